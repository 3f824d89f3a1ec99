#include "sparbend/core/retry.h"

#include <algorithm>

namespace sparbend {
namespace {

// A request that no target ran is sent on to so many at most.
constexpr int kMostSendings = 6;
// Part of the fleet's limit that is used: boxes' counts of each other are
// late, and requests spread unevenly.
constexpr double kUsedPart = 0.7;
constexpr int64_t kFirstBackoffMs = 10;
constexpr int64_t kLastBackoffMs = 500;
constexpr int64_t kTenthsPerFresh = 2;  // a fifth of fresh requests
constexpr int64_t kTenthsPerRetry = 10;
constexpr int64_t kMostTenths = 200;

}  // namespace

auto MayRetry(const FailedAttempt& attempt) -> bool {
  if (attempt.answered || attempt.now >= attempt.deadline ||
      attempt.attempts >= std::max(kMostSendings, attempt.max_runs))
    return false;
  return attempt.verdict == Verdict::kNotRun ||
         (attempt.repeatable && attempt.runs < attempt.max_runs);
}

auto Backoff(int attempts, uint64_t random) -> Millis {
  const int doublings = std::clamp(attempts - 1, 0, 10);
  const int64_t whole = std::min(kLastBackoffMs, kFirstBackoffMs << doublings);
  const int64_t half = whole / 2;
  return Millis(half + static_cast<int64_t>(random % (half + 1)));
}

void FleetRetryBudget::Forget(Millis now) {
  while (!fresh_.empty() && now - fresh_.front() >= limits_.window)
    fresh_.pop_front();
  while (!repeats_.empty() && now - repeats_.front() >= limits_.window)
    repeats_.pop_front();
}

void FleetRetryBudget::OnFresh(Millis now) {
  Forget(now);
  fresh_.push_back(now);
}

auto FleetRetryBudget::Take(int boxes, Millis now) -> bool {
  Forget(now);
  const double own_part = limits_.ratio * static_cast<double>(fresh_.size()) +
                          limits_.slack / std::max(1, boxes);
  if (static_cast<double>(repeats_.size()) + 1 > kUsedPart * own_part)
    return false;
  repeats_.push_back(now);
  return true;
}

void RetryBudget::OnFresh() {
  tenths_ = std::min(kMostTenths, tenths_ + kTenthsPerFresh);
}

auto RetryBudget::Take() -> bool {
  if (tenths_ < kTenthsPerRetry)
    return false;
  tenths_ -= kTenthsPerRetry;
  return true;
}

}  // namespace sparbend
