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
// without messages between them, also while boxes start and end.
class FleetRetryBudget {
 public:
  struct Limits {
    double ratio = 0;  // retries per request
    double slack = 0;  // additional retries of all boxes together
    Millis window;

    auto operator==(const Limits&) const -> bool = default;
  };

  // The box started at `started`.
  FleetRetryBudget(Limits limits, Millis started)
      : limits_(limits), started_(started) {}

  // Records the first attempt of a request. This box knows `boxes` boxes of the
  // fleet, itself included.
  void OnFirstAttempt(int boxes, Millis now);
  // Takes one retry from this box's part; false if the part is used up. It
  // counts until OnRetrySent or ReturnRetry, and one that was sent counts until
  // the window has passed since then.
  auto Take(int boxes, Millis now) -> bool;
  // A retry that was taken is sent to its target.
  void OnRetrySent(Millis now);
  // A retry that was taken is not sent.
  void ReturnRetry() { --unsent_; }

 private:
  struct BoxCount {
    Millis at;
    int boxes = 1;
  };

  // Whether one more retry keeps this box's part of the limit over `span`.
  auto HasRetry(Millis span, Millis now) const -> bool;
  void RecordBoxes(int boxes, Millis now);
  void DropExpired(Millis now);
  // This box's share of the slack.
  auto OwnSlack(Millis now) const -> double;

  Limits limits_;
  Millis started_;
  std::deque<Millis> first_attempts_;
  int64_t unsent_ = 0;          // retries taken
  std::deque<Millis> retries_;  // when they were sent
  // The numbers of boxes known within the window that no later one exceeds, so
  // the first is the largest.
  std::deque<BoxCount> box_counts_;
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
