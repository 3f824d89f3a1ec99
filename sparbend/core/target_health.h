// Passive health: each target is judged by what became of this box's own
// requests there. A target that fails is left out for a while, which grows
// each time, and then tried again. One that no connection can be made to is
// left out until one can: a request is a poor way to find that out.
//
//   health.OnOutcome(target, TargetOutcome::kFailed, now);
//   if (health.Usable(target, now)) ...
#ifndef SPARBEND_CORE_TARGET_HEALTH_H_
#define SPARBEND_CORE_TARGET_HEALTH_H_

#include <string_view>
#include <unordered_map>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"

namespace sparbend {

enum class TargetOutcome {
  kGood,          // a whole answer that is no failure, or a true refusal
  kFailed,        // a failure, a broken answer, bytes that are none
  kUnreachable,   // the connection died without an answer
  kRefused,       // nobody listens there: it ended, or has not started yet
  kNoConnection,  // none could be made
};

auto ToString(TargetOutcome outcome) -> std::string_view;

class TargetHealth {
 public:
  // True if the target is left out from now on.
  auto OnOutcome(TargetId target, TargetOutcome outcome, Millis now) -> bool;
  auto Usable(TargetId target, Millis now) const -> bool;
  // A connection could be made to a target that was left out for want of one;
  // for how long there was none.
  auto OnReachable(TargetId target, Millis now) -> Millis;
  // Share of late outcomes that failed, 0 to 1.
  auto FailureShare(TargetId target) const -> double;

 private:
  struct State {
    double failures = 0;  // moving average
    int in_a_row = 0;
    int ejections = 0;
    Millis out_until;
    bool no_connection = false;  // the reason it is out
    Millis no_connection_since;
  };

  std::unordered_map<TargetId, State> states_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_TARGET_HEALTH_H_
