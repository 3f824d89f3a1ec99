// Requests whose connection broke while a target had them, kept until it is
// known whether the target ended. A broken connection alone doesn't tell: the
// network cuts them, and targets that live on break off answers.
//
//   if (runs.Add(target, run, now)) ...        // it is known already
//   for (const InterruptedAttempt& run : runs.OnEnded(target, now)) ...
//   for (const InterruptedAttempt& run : runs.OnAnswered(target, sent)) take it
//   back
//
// Pure; O(log targets) a call.
#ifndef SPARBEND_CORE_INTERRUPTED_ATTEMPTS_H_
#define SPARBEND_CORE_INTERRUPTED_ATTEMPTS_H_

#include <map>
#include <vector>

#include "sparbend/core/fingerprint.h"
#include "sparbend/core/millis.h"
#include "sparbend/core/quarantine.h"

namespace sparbend {

struct InterruptedAttempt {
  Fingerprint request;
  SuspicionVersion stamp;
  Millis connected;  // when its connection was made
  Millis began;      // when it was sent

  auto operator==(const InterruptedAttempt&) const -> bool = default;
};

class InterruptedAttempts {
 public:
  // True if `target` is known to have ended since the run began; else the run
  // is kept, within a bound, unless it never reached the target.
  auto Add(TargetId target, const InterruptedAttempt& run, Millis now) -> bool;
  // This life of `target` has ended; the runs that broke there lately, each
  // handed out once.
  auto OnEnded(TargetId target, Millis now) -> std::vector<InterruptedAttempt>;
  // `target` answered a run that was sent at `began`. The runs handed out for
  // an end that was none, if that was later.
  auto OnAnswered(TargetId target, Millis began)
      -> std::vector<InterruptedAttempt>;

 private:
  struct State {
    std::vector<InterruptedAttempt> runs;
    std::vector<InterruptedAttempt> handed_out;
    Millis changed;
    bool ended = false;
    Millis ended_at;
  };

  void Expire(Millis now);
  static void Keep(const InterruptedAttempt& run,
                   std::vector<InterruptedAttempt>* runs);

  std::map<TargetId, State> targets_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_INTERRUPTED_ATTEMPTS_H_
