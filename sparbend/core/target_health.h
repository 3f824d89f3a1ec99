// Passive health checks: judges each target by the outcomes of this box's own
// requests to it. A failing target is ejected (excluded from choice) for a time
// that doubles with each ejection, up to a bound, and is then tried again. A
// target to which connecting times out is ejected for the longest time, or
// until a probe connects to it (OnReachable): client requests are a poor means
// of finding out whether it can be reached.
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
  kGood,          // a complete answer without failure, or a valid refusal
  kFailed,        // an error, an incomplete answer, or a malformed one
  kUnreachable,   // the connection broke without an answer
  kRefused,       // connection refused: the process exited or is not up yet
  kNoConnection,  // connecting timed out
};

auto ToString(TargetOutcome outcome) -> std::string_view;

class TargetHealth {
 public:
  // Records the outcome of one request. True if it ejects the target, which was
  // usable until now.
  auto OnOutcome(TargetId target, TargetOutcome outcome, Millis now) -> bool;
  auto Usable(TargetId target, Millis now) const -> bool;
  // Ends an ejection by kNoConnection: a connection to the target was made.
  // Returns the time since the first such outcome; zero if there was none.
  auto OnReachable(TargetId target, Millis now) -> Millis;
  // Exponential moving average of failed outcomes, 0 to 1.
  auto FailureRate(TargetId target) const -> double;

 private:
  struct State {
    double failure_rate = 0;         // moving average, 0 to 1
    int unreachable_since_good = 0;  // outcomes since the last kGood
    int ejections = 0;               // since the target was last healthy
    Millis ejected_until;
    bool no_connection = false;  // connecting timed out, no success since
    Millis no_connection_since;
  };

  std::unordered_map<TargetId, State> states_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_TARGET_HEALTH_H_
