#include "sparbend/core/retry.h"

#include <algorithm>

namespace sparbend {
namespace {

constexpr int kMaxAttempts = 4;
constexpr int64_t kFirstBackoffMs = 10;
constexpr int64_t kLastBackoffMs = 500;
constexpr int64_t kTenthsPerFresh = 2;  // a fifth of fresh requests
constexpr int64_t kTenthsPerRetry = 10;
constexpr int64_t kMostTenths = 200;

}  // namespace

auto MayRetry(const FailedAttempt& attempt) -> bool {
  if (attempt.answered || attempt.attempts >= kMaxAttempts ||
      attempt.now >= attempt.deadline)
    return false;
  return attempt.verdict == Verdict::kNotRun || attempt.repeatable;
}

auto Backoff(int attempts, uint64_t random) -> Millis {
  const int doublings = std::clamp(attempts - 1, 0, 10);
  const int64_t whole = std::min(kLastBackoffMs, kFirstBackoffMs << doublings);
  const int64_t half = whole / 2;
  return Millis(half + static_cast<int64_t>(random % (half + 1)));
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
