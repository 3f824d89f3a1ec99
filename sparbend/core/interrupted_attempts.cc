// When a target exits, all its connections break at about the same time, but
// the box processes the errors one after the other. The exit may be known
// before the last error is processed, so it is remembered for as long as the
// attempts are.
//
// An attempt that is sent after a known exit, on a connection made before it,
// cannot reach the target. This happens where a network fault resets a
// connection only when it is used next.
//
// A full target may refuse connections though it is alive. A target that
// answers an attempt that was sent after its supposed exit had not exited.
#include "sparbend/core/interrupted_attempts.h"

#include <utility>

namespace sparbend {
namespace {

// An exit more than this after an attempt was interrupted has another cause.
// Well over the time within which the list of targets shows an exit that no
// connection has shown.
constexpr Millis kRetention = Millis(10'000);
// Per target; more than a target executes for one box at the same time.
constexpr size_t kMaxAttempts = 256;
constexpr size_t kMaxTargets = 1'024;

}  // namespace

void InterruptedAttempts::Expire(Millis now) {
  std::erase_if(targets_, [&](const auto& entry) {
    return now - entry.second.changed_at >= kRetention;
  });
}

void InterruptedAttempts::AddBounded(
    const InterruptedAttempt& attempt,
    std::vector<InterruptedAttempt>* attempts) {
  if (attempts->size() < kMaxAttempts)
    attempts->push_back(attempt);
}

auto InterruptedAttempts::Add(TargetId target,
                              const InterruptedAttempt& attempt,
                              Millis now) -> bool {
  Expire(now);
  if (!targets_.contains(target) && targets_.size() >= kMaxTargets)
    return false;
  State& state = targets_[target];
  state.changed_at = now;
  const bool exited = state.exited && attempt.began <= state.exited_at;
  // Sent on a connection made before the exit: it did not reach the target.
  if (state.exited && !exited && attempt.connected_at <= state.exited_at)
    return false;
  AddBounded(attempt, exited ? &state.reported : &state.pending);
  return exited;
}

auto InterruptedAttempts::OnEnded(TargetId target, Millis now)
    -> std::vector<InterruptedAttempt> {
  Expire(now);
  if (!targets_.contains(target) && targets_.size() >= kMaxTargets)
    return {};
  State& state = targets_[target];
  state.changed_at = now;
  state.exited = true;
  state.exited_at = now;
  for (const InterruptedAttempt& attempt : state.pending)
    AddBounded(attempt, &state.reported);
  return std::exchange(state.pending, {});
}

auto InterruptedAttempts::OnAnswered(TargetId target, Millis sent_at)
    -> std::vector<InterruptedAttempt> {
  const auto found = targets_.find(target);
  if (found == targets_.end())
    return {};
  State& state = found->second;
  if (!state.exited || sent_at <= state.exited_at)
    return {};
  state.exited = false;
  return std::exchange(state.reported, {});
}

}  // namespace sparbend
