// Decides whether and when a failed attempt of a request is retried. These are
// pure functions and counters: the calling code counts attempts and waits.
//
//   RetryBudget budget;  // one per workspace and box
//   budget.OnFirstAttempt();    // at the first attempt of each request
//   if (MayRetry(attempt) && budget.Take())
//     ...  // wait for Backoff(attempts, random), then send it again
#ifndef SPARBEND_CORE_RETRY_H_
#define SPARBEND_CORE_RETRY_H_

#include <cstdint>
#include <deque>

#include "sparbend/core/millis.h"
#include "sparbend/core/verdict.h"

namespace sparbend {

// Default for the number of targets that may execute one request.
inline constexpr int kMaxAttempts = 4;

// State of a request after an attempt has failed.
struct FailedAttempt {
  Verdict verdict = Verdict::kMayHaveRun;  // over all attempts so far
  bool repeatable = false;                 // may be executed more than once
  bool answered = false;        // some byte of a response reached the client
  int attempts = 1;             // so far, on any target
  int runs = 1;                 // attempts that may have been executed
  int max_runs = kMaxAttempts;  // targets that may execute it
  Millis now;
  Millis deadline;

  auto operator==(const FailedAttempt&) const -> bool = default;
};

// Whether a retry is allowed by the verdict, the request and its deadline.
// Budgets are separate: see below.
auto MayRetry(const FailedAttempt& attempt) -> bool;

// Time to wait after `attempts` attempts before the next one: an exponential
// backoff. `random` is any number; it spreads the waits evenly between half of
// the backoff and the full backoff.
auto Backoff(int attempts, uint64_t random) -> Millis;

// Limits the retries of the whole fleet. Each box enforces its own part of the
// limit: a ratio of the requests that it received within a window, plus its
// share of a fixed number. The total over all boxes stays within the limit
// without messages between them.
class FleetRetryBudget {
 public:
  struct Limits {
    double ratio = 0;  // retries per request
    double slack = 0;  // additional retries of all boxes together
    Millis window;

    auto operator==(const Limits&) const -> bool = default;
  };

  explicit FleetRetryBudget(Limits limits) : limits_(limits) {}

  // Records the first attempt of a request.
  void OnFirstAttempt(Millis now);
  // Takes one retry from this box's part, where the fleet has `boxes` boxes;
  // false if the part is used up.
  auto Take(int boxes, Millis now) -> bool;

 private:
  void DropExpired(Millis now);

  Limits limits_;
  std::deque<Millis> first_attempts_;
  std::deque<Millis> retries_;
};

// Limits retries to a fraction of the requests, so that a failing target can't
// multiply the load.
class RetryBudget {
 public:
  // Records the first attempt of a request.
  void OnFirstAttempt();
  // Takes one retry from the budget; false if it is used up.
  auto Take() -> bool;

 private:
  int64_t available_tenths_ = 100;  // tenths of a retry; initially ten retries
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_RETRY_H_
