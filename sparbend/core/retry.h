// Whether and when a failed attempt is made again. Pure: the caller counts.
//
//   RetryBudget budget;            // one per workspace and box
//   budget.OnFresh();              // each request's first attempt
//   if (MayRetry(attempt) && budget.Take()) wait Backoff(n, random) ...
#ifndef SPARBEND_CORE_RETRY_H_
#define SPARBEND_CORE_RETRY_H_

#include <cstdint>
#include <deque>

#include "sparbend/core/millis.h"
#include "sparbend/core/verdict.h"

namespace sparbend {

// Targets that one request may be sent to where nothing else is declared.
inline constexpr int kMaxAttempts = 4;

// What is known of a request after an attempt failed.
struct FailedAttempt {
  Verdict verdict = Verdict::kMayHaveRun;  // over all attempts so far
  bool repeatable = false;
  bool answered = false;  // some byte of an answer reached the caller
  int attempts = 1;
  int runs = 1;                 // attempts that may have run
  int max_runs = kMaxAttempts;  // targets that may run it
  Millis now;
  Millis deadline;

  auto operator==(const FailedAttempt&) const -> bool = default;
};

// By the verdict, the request's kind and the deadline alone.
auto MayRetry(const FailedAttempt& attempt) -> bool;

// The wait before attempt number `attempts` + 1; `random` is any number and
// spreads the waits evenly between half and the whole.
auto Backoff(int attempts, uint64_t random) -> Millis;

// A limit on repeats over the whole fleet, kept by each box for its own part:
// a ratio of the requests it saw within a window, and its share of a fixed
// allowance. The sum over all boxes stays within the whole without a word.
class FleetRetryBudget {
 public:
  struct Limits {
    double ratio = 0;  // repeats a request
    double slack = 0;  // repeats beyond that, of all boxes together
    Millis window;

    auto operator==(const Limits&) const -> bool = default;
  };

  explicit FleetRetryBudget(Limits limits) : limits_(limits) {}

  void OnFresh(Millis now);
  // Takes one repeat from this box's part; false if it is spent.
  auto Take(int boxes, Millis now) -> bool;

 private:
  void Forget(Millis now);

  Limits limits_;
  std::deque<Millis> fresh_;
  std::deque<Millis> repeats_;
};

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
