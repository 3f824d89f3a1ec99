// Backoff of targets that rejected a request of this box with Retry-After.
// Nothing is sent to such a target until the time it asked for has passed. Then
// it is sent one request, and the limit on unanswered requests grows by one
// with each request that it starts to answer, so that the requests that have
// queued up do not fill it again immediately.
//
//   backoff.OnRetryAfter(target, Millis(3'000), now);
//   if (backoff.MaySend(target, now)) {
//     backoff.OnSent(target, request, now);
//     ...
//     backoff.OnAnswerStart(request);   // its answer has started
//     backoff.OnEnded(request);   // or it has ended in any way
//   }
//
// Does no I/O and reads no clock. The state is kept by target id, apart from
// the list of targets: neither a new list, nor a new configuration, nor a
// changed address ends a backoff.
#ifndef SPARBEND_CORE_TARGET_BACKOFF_H_
#define SPARBEND_CORE_TARGET_BACKOFF_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"
#include "sparbend/core/queue.h"

namespace sparbend {

class TargetBackoff {
 public:
  // Sets a value that differs between boxes, which spreads the ends of backoffs
  // that a target asked of several boxes at the same time.
  void SetSeed(uint64_t seed) { seed_ = seed; }

  // `target` rejected a request at `now` and asked for none within `span`. No
  // effect if `span` is not positive.
  void OnRetryAfter(TargetId target, Millis span, Millis now);
  // A request is sent to `target`.
  void OnSent(TargetId target, RequestId request, Millis now);
  // The answer to a request has started: the target had capacity for it.
  void OnAnswerStart(RequestId request);
  // A request has ended, whether or not its answer had started.
  void OnEnded(RequestId request);

  // Whether another request may be sent to `target`.
  auto MaySend(TargetId target, Millis now) const -> bool;
  // Remaining time for which nothing may be sent to `target`; zero: no backoff.
  auto Left(TargetId target, Millis now) const -> Millis;
  // Whether no target has state here; then MaySend is true for all.
  auto empty() const -> bool { return states_.empty(); }

  // A backoff that has ended.
  struct Ended {
    TargetId target = 0;
    Millis asked;         // from its first rejection to its end
    int refusals = 0;     // rejections, including the first
    Millis last_refusal;  // time of the last rejection after the first

    auto operator==(const Ended&) const -> bool = default;
  };
  // Backoffs that ended since the last call. Also drops the state of targets
  // that no longer need it.
  auto TakeEndedBackoffs(Millis now) -> std::vector<Ended>;

 private:
  struct State {
    Millis first_rejected_at;
    Millis until;
    Millis last_rejected_at;
    int rejections = 0;
    bool end_taken = false;  // by TakeEndedBackoffs
    // After `until`:
    int max_unanswered = 1;  // limit on `unanswered`
    int unanswered = 0;      // requests sent whose answer has not started
  };

  uint64_t seed_ = 0;
  std::map<TargetId, State> states_;
  // Unanswered requests that were sent after a backoff of their target.
  std::unordered_map<RequestId, TargetId> unanswered_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_TARGET_BACKOFF_H_
