// Measures the processor time of a box's control work by kind, for metrics and
// logs.
//
//   ControlTimer timer(metrics.get(), ControlWork::kListRead);
//   ...  // until the end of the block, without co_await
//
// Timers must not be nested: the time would be counted for both.
#ifndef SPARBEND_SERVICES_CONTROL_TIMER_H_
#define SPARBEND_SERVICES_CONTROL_TIMER_H_

#include <array>
#include <cstdint>

#include "sparbend/core/json.h"
#include "sparbend/services/metrics.h"

namespace sparbend {

class ControlTimer {
 public:
  ControlTimer(Metrics* metrics, ControlWork work);
  ~ControlTimer();
  ControlTimer(const ControlTimer&) = delete;
  auto operator=(const ControlTimer&) -> ControlTimer& = delete;

  // For work whose kind is known only after it was done.
  void set_work(ControlWork work) { work_ = work; }

 private:
  Metrics* metrics_;
  ControlWork work_;
  int64_t start_us_;
};

// Processor time of the calling thread, in microseconds.
auto ThreadCpuMicros() -> int64_t;

// Reports the processor time that was spent since the previous report.
class ControlWorkReport {
 public:
  // Milliseconds by kind of work, without kinds below one; "all" is the
  // processor time of the calling thread, with what is not control work.
  auto Next(const Metrics& metrics) -> Json;

 private:
  std::array<double, kControlWorkCount> reported_us_{};
  int64_t reported_thread_us_ = ThreadCpuMicros();
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CONTROL_TIMER_H_
