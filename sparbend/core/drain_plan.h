// Decides what a box that makes a planned stop still sends to targets. What can
// not be sent, or not be completed before the stop ends, is refused as soon as
// that is known, so that its client can go to another box.
//
//   DrainPlan plan(now, now + drain_time);
//   if (!plan.MayStart(answer_times.Percentile90(kind, now), now)) ...  //
//   refuse for (RequestId id : plan.FindUnservable(queues, times, is_retry,
//   now)) ...
#ifndef SPARBEND_CORE_DRAIN_PLAN_H_
#define SPARBEND_CORE_DRAIN_PLAN_H_

#include <functional>
#include <optional>
#include <vector>

#include "sparbend/core/answer_times.h"
#include "sparbend/core/millis.h"
#include "sparbend/core/queue.h"

namespace sparbend {

class DrainPlan {
 public:
  // The stop begins at `begin`, and the process ends at `end` at the latest.
  DrainPlan(Millis begin, Millis end);

  // No request is read any more, and no first attempt sent, from this time on.
  auto last_start() const -> Millis { return last_start_; }
  // Nothing at all is sent to a target from this time on, and what has no
  // answer yet is refused.
  auto last_send() const -> Millis { return last_send_; }
  auto end() const -> Millis { return end_; }

  // Whether a first attempt that is sent at `at` is likely to be answered in
  // full. `answer_time`: how long its answer may take; nothing: not known.
  auto MayStart(std::optional<Millis> answer_time, Millis at) const -> bool;
  // The queued requests that are to be refused now. First attempts: those that
  // would be sent too late, if the flows of a pool are served in turn and slots
  // become free as fast as running requests end. Retries: all from last_send()
  // on. O(n) in the queued requests.
  auto FindUnservable(const FlowQueues& queues,
                      const AnswerTimes& times,
                      const std::function<bool(RequestId)>& is_retry,
                      Millis now) const -> std::vector<RequestId>;

  auto operator==(const DrainPlan&) const -> bool = default;

 private:
  Millis last_start_;
  Millis last_send_;
  Millis end_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_DRAIN_PLAN_H_
