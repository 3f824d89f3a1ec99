// Targets that turned requests away and asked this box for none for a while
// (Retry-After). Nothing is sent to such a target until that time is over.
// Then it gets one request, and one more at a time for each that it takes, so
// that what has waited does not fill it again at once.
//
//   backoff.OnRetryAfter(target, Millis(3'000), now);
//   if (backoff.MaySend(target, now)) {
//     backoff.OnSent(target, request, now);
//     backoff.OnTaken(request); or backoff.OnEnded(request);
//   }
//
// Pure. Kept by target and not by the list of targets: neither a new list or
// configuration nor another address ends the time that a target asked for.
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
  // What tells this box apart from others, which were asked at the same time.
  void SetSeed(uint64_t seed) { seed_ = seed; }

  // `target` turned a request away at `now` and wants none for `span`.
  void OnRetryAfter(TargetId target, Millis span, Millis now);
  // A request goes to `target`.
  void OnSent(TargetId target, RequestId request, Millis now);
  // A request's answer has begun: the target had room for it.
  void OnTaken(RequestId request);
  // A request has ended, taken or not.
  void OnEnded(RequestId request);

  // Whether a further request may go to `target`.
  auto MaySend(TargetId target, Millis now) const -> bool;
  // What is left of the time for which `target` wants nothing; zero: none.
  auto Left(TargetId target, Millis now) const -> Millis;
  // Whether no target is known here: MaySend is true for all.
  auto empty() const -> bool { return states_.empty(); }

  // How a time that a target asked for went.
  struct Ended {
    TargetId target = 0;
    Millis asked;         // from its first refusal to the end
    int refusals = 0;     // in all
    Millis last_refusal;  // after the first

    auto operator==(const Ended&) const -> bool = default;
  };
  // Those that ended since the last call. Also forgets targets that were not
  // heard of for long.
  auto TakeEnded(Millis now) -> std::vector<Ended>;

 private:
  struct State {
    Millis began;
    Millis until;
    Millis last_refusal;
    int refusals = 0;
    bool told = false;  // its end was taken
    // Since the end:
    int most_waiting = 1;  // requests that may be without an answer
    int waiting = 0;
  };

  uint64_t seed_ = 0;
  std::map<TargetId, State> states_;
  std::unordered_map<RequestId, TargetId> waiting_;  // requests sent since
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_TARGET_BACKOFF_H_
