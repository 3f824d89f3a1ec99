// Outcome of one attempt to have a target answer a request.
#ifndef SPARBEND_SERVICES_ATTEMPT_RESULT_H_
#define SPARBEND_SERVICES_ATTEMPT_RESULT_H_

#include <string>

#include "sparbend/core/millis.h"
#include "sparbend/core/verdict.h"
#include "sparbend/kernel/http.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

struct AttemptResult {
  bool complete = false;  // the target's own answer was read to its end
  Verdict verdict = Verdict::kNotRun;
  std::string problem;            // why it is not complete
  bool may_have_arrived = false;  // some byte may have reached the target
  // What the attempt says about the target.
  TargetOutcome outcome = TargetOutcome::kGood;
  // The target closed the connection before the answer was complete.
  bool interrupted = false;
  // Bytes of the request that the target had not acknowledged when the attempt
  // ended.
  int unacknowledged = 0;
  // How long the target asks for no further requests; zero: not stated.
  Millis retry_after = Millis(0);
};

// An attempt that is not complete, with the reason `problem`.
auto Failed(Verdict verdict, std::string problem, TargetOutcome outcome)
    -> AttemptResult;
// An attempt whose connection failed with `error` after the request was sent.
auto Interrupted(const std::string& what,
                 const boost::system::error_code& error,
                 TargetOutcome outcome) -> AttemptResult;

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_ATTEMPT_RESULT_H_
