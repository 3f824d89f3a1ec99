// Attempts whose connection broke while a target was executing them, kept until
// it is known whether the target exited. A broken connection alone is no proof:
// the network breaks connections too, and a live target may abort an answer.
//
//   if (attempts.Add(target, attempt, now))
//     suspect(attempt);   // the exit is known already
//   for (const InterruptedAttempt& attempt : attempts.OnEnded(target, now))
//     suspect(attempt);
//   for (const InterruptedAttempt& attempt :
//        attempts.OnAnswered(target, sent_at))
//     clear(attempt);     // the target had not exited
//
// Does no I/O and reads no clock. Calls with `now` visit all targets, of which
// there are at most 1,024.
#ifndef SPARBEND_CORE_INTERRUPTED_ATTEMPTS_H_
#define SPARBEND_CORE_INTERRUPTED_ATTEMPTS_H_

#include <map>
#include <vector>

#include "sparbend/core/millis.h"
#include "sparbend/core/quarantine.h"

namespace sparbend {

struct InterruptedAttempt {
  std::vector<SentSuspect> suspects;  // the first is the request
  Millis connected_at;                // when its connection was made
  Millis began;                       // when the attempt was sent

  auto operator==(const InterruptedAttempt&) const -> bool = default;
};

class InterruptedAttempts {
 public:
  // Adds an attempt whose connection to `target` broke. True if the target is
  // known to have exited since the attempt was sent. Otherwise the attempt is
  // kept for OnEnded, up to a bound per target, unless it cannot have reached
  // the target.
  auto Add(TargetId target, const InterruptedAttempt& attempt, Millis now)
      -> bool;
  // The process of `target` has exited. Returns the attempts that were recently
  // interrupted there, each once.
  auto OnEnded(TargetId target, Millis now) -> std::vector<InterruptedAttempt>;
  // `target` answered an attempt that was sent at `sent_at`. If that is later
  // than the exit that was recorded, the target had not exited: returns the
  // attempts that were reported for that exit, each once.
  auto OnAnswered(TargetId target, Millis sent_at)
      -> std::vector<InterruptedAttempt>;

 private:
  struct State {
    std::vector<InterruptedAttempt> pending;   // not known whether it exited
    std::vector<InterruptedAttempt> reported;  // for the exit at exited_at
    Millis changed_at;
    bool exited = false;
    Millis exited_at;
  };

  void Expire(Millis now);
  static void AddBounded(const InterruptedAttempt& attempt,
                         std::vector<InterruptedAttempt>* attempts);

  std::map<TargetId, State> targets_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_INTERRUPTED_ATTEMPTS_H_
