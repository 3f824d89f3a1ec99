#include "sparbend/services/control_timer.h"

#include <ctime>

namespace sparbend {
namespace {

constexpr int64_t kMicrosPerMilli = 1'000;

}  // namespace

auto ThreadCpuMicros() -> int64_t {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return int64_t{now.tv_sec} * 1'000'000 + now.tv_nsec / 1'000;
}

ControlTimer::ControlTimer(Metrics* metrics, ControlWork work)
    : metrics_(metrics), work_(work), start_us_(ThreadCpuMicros()) {}

ControlTimer::~ControlTimer() {
  metrics_->CountControlWork(work_, ThreadCpuMicros() - start_us_);
}

auto ControlWorkReport::Next(const Metrics& metrics) -> Json {
  Json report = Json::object();
  const auto add = [&](std::string_view name, int64_t micros) {
    if (micros >= kMicrosPerMilli)
      report[std::string(name)] = micros / kMicrosPerMilli;
  };
  for (size_t work = 0; work < kControlWorkCount; ++work) {
    const double total_us = metrics.ControlWorkMicros(ControlWork(work));
    add(ToString(ControlWork(work)),
        static_cast<int64_t>(total_us - reported_us_[work]));
    reported_us_[work] = total_us;
  }
  const int64_t thread_us = ThreadCpuMicros();
  add("all", thread_us - reported_thread_us_);
  reported_thread_us_ = thread_us;
  return report;
}

}  // namespace sparbend
