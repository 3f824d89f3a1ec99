// Whether and when a failed attempt is made again. Pure: the caller counts.
//
//   RetryBudget budget;            // one per workspace and box
//   budget.OnFresh();              // each request's first attempt
//   if (MayRetry(attempt) && budget.Take()) wait Backoff(n, random) ...
#ifndef SPARBEND_CORE_RETRY_H_
#define SPARBEND_CORE_RETRY_H_

#include <cstdint>

#include "sparbend/core/millis.h"
#include "sparbend/core/verdict.h"

namespace sparbend {

// What is known of a request after an attempt failed.
struct FailedAttempt {
  Verdict verdict = Verdict::kMayHaveRun;  // over all attempts so far
  bool repeatable = false;
  bool answered = false;  // some byte of an answer reached the caller
  int attempts = 1;
  Millis now;
  Millis deadline;

  auto operator==(const FailedAttempt&) const -> bool = default;
};

// By the verdict, the request's kind and the deadline alone.
auto MayRetry(const FailedAttempt& attempt) -> bool;

// The wait before attempt number `attempts` + 1; `random` is any number and
// spreads the waits evenly between half and the whole.
auto Backoff(int attempts, uint64_t random) -> Millis;

// Allows retries up to a fraction of fresh requests, so that a failing target
// cannot multiply the load.
class RetryBudget {
 public:
  void OnFresh();
  // Takes one retry from the budget; false if it is spent.
  auto Take() -> bool;

 private:
  int64_t tenths_ = 100;  // of a retry
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_RETRY_H_
