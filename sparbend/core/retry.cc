#include "sparbend/core/retry.h"

#include <algorithm>
#include <cmath>

namespace sparbend {
namespace {

// Maximum number of attempts of a request that no target has executed.
constexpr int kMaxAttemptsNotRun = 6;
// Ratio of the retries per request that boxes use. The rest is a margin, since
// requests are spread unevenly over time.
constexpr double kUsedRatio = 0.7;
// Ratio of the slack that boxes use, and of that for a box that has just
// started and knows no other: what its predecessor leaves.
constexpr double kUsedSlack = 0.6;
constexpr double kUsedSlackAtStart = 1 - kUsedSlack;
// The ratio also holds over this part of the window. Where requests move from
// one box to another, both may retry by them: the first those of its last part,
// the second all. Together that is the ratio: 0.7 * (0.4 + 1) < 1.
constexpr double kPartOfWindow = 0.4;
constexpr int64_t kInitialBackoffMs = 10;
constexpr int64_t kMaxBackoffMs = 500;
// The budget counts tenths of a retry: each request adds 2, so a fifth of the
// requests may be retried.
constexpr int64_t kTenthsPerFirstAttempt = 2;
constexpr int64_t kTenthsPerRetry = 10;
constexpr int64_t kMaxTenths = 200;  // 20 retries

}  // namespace

auto MayRetry(const FailedAttempt& attempt) -> bool {
  if (attempt.answered || attempt.now >= attempt.deadline ||
      attempt.attempts >= std::max(kMaxAttemptsNotRun, attempt.max_runs))
    return false;
  return attempt.verdict == Verdict::kNotRun ||
         (attempt.repeatable && attempt.runs < attempt.max_runs);
}

auto Backoff(int attempts, uint64_t random) -> Millis {
  const int doublings = std::clamp(attempts - 1, 0, 10);
  const int64_t backoff_ms =
      std::min(kMaxBackoffMs, kInitialBackoffMs << doublings);
  const int64_t half_ms = backoff_ms / 2;
  return Millis(half_ms + static_cast<int64_t>(random % (half_ms + 1)));
}

void FleetRetryBudget::DropExpired(Millis now) {
  while (!first_attempts_.empty() &&
         now - first_attempts_.front() >= limits_.window)
    first_attempts_.pop_front();
  while (!retries_.empty() && now - retries_.front() >= limits_.window)
    retries_.pop_front();
  while (!box_counts_.empty() && now - box_counts_.front().at >= limits_.window)
    box_counts_.pop_front();
}

void FleetRetryBudget::RecordBoxes(int boxes, Millis now) {
  while (!box_counts_.empty() && box_counts_.back().boxes <= boxes)
    box_counts_.pop_back();
  box_counts_.push_back({now, std::max(1, boxes)});
}

// The retries of a box that is gone count until the window has passed. So its
// share is dealt out to nobody until then: the largest number of boxes within
// the window counts, and a box that starts has no share, since it may replace
// one that has used its own, and may not know all others yet.
auto FleetRetryBudget::OwnSlack(Millis now) const -> double {
  const int boxes = box_counts_.front().boxes;
  if (now - started_ >= limits_.window)
    return kUsedSlack * limits_.slack / boxes;
  return boxes == 1 ? kUsedSlackAtStart * limits_.slack : 0;
}

void FleetRetryBudget::OnFirstAttempt(int boxes, Millis now) {
  DropExpired(now);
  RecordBoxes(boxes, now);
  first_attempts_.push_back(now);
}

auto FleetRetryBudget::Take(int boxes, Millis now) -> bool {
  DropExpired(now);
  RecordBoxes(boxes, now);
  const Millis part = Millis(std::llround(
      kPartOfWindow * static_cast<double>(limits_.window.count())));
  if (!HasRetry(limits_.window, now) || !HasRetry(part, now))
    return false;
  ++unsent_;
  return true;
}

// Boxes of a large fleet have less than one retry in a part of the window. They
// may take that one, within the limit for the whole window.
auto FleetRetryBudget::HasRetry(Millis span, Millis now) const -> bool {
  const auto within = [&](const std::deque<Millis>& times) {
    const auto first = std::ranges::upper_bound(times, now - span);
    return static_cast<double>(times.end() - first);
  };
  const double taken = within(retries_) + static_cast<double>(unsent_);
  const double part =
      kUsedRatio * limits_.ratio * within(first_attempts_) + OwnSlack(now);
  return taken + 1 <= part || (taken == 0 && span < limits_.window);
}

// A retry may wait for room for longer than the window, so the time at which it
// was taken says nothing about when it arrives.
void FleetRetryBudget::OnRetrySent(Millis now) {
  DropExpired(now);
  --unsent_;
  retries_.push_back(now);
}

void RetryBudget::OnFirstAttempt() {
  available_tenths_ =
      std::min(kMaxTenths, available_tenths_ + kTenthsPerFirstAttempt);
}

auto RetryBudget::Take() -> bool {
  if (available_tenths_ < kTenthsPerRetry)
    return false;
  available_tenths_ -= kTenthsPerRetry;
  return true;
}

}  // namespace sparbend
