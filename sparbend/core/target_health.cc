// Three ways out: no connection (engines take one within milliseconds, and
// whoever watches over the target says when it does again), unreachable twice
// in a row (a dead target fails everything at once), or a high share of
// failures over the last outcomes (a target that fails part of its work). The
// caller must not leave out all targets of a pool: when none is usable, it
// takes them all.
#include "sparbend/core/target_health.h"

#include <algorithm>
#include <array>

namespace sparbend {
namespace {

constexpr double kWeightOfNewest = 0.15;
constexpr double kFailureShare = 0.5;
constexpr int kUnreachableInARow = 2;
constexpr int64_t kFirstOutMs = 500;
constexpr int64_t kLongestOutMs = 5'000;
constexpr int kMostDoublings = 4;

constexpr std::array<std::string_view, 5> kOutcomeNames = {
    "good", "failed", "unreachable", "refused", "no-connection"};

}  // namespace

auto ToString(TargetOutcome outcome) -> std::string_view {
  return kOutcomeNames[static_cast<size_t>(outcome)];
}

auto TargetHealth::OnOutcome(TargetId target, TargetOutcome outcome, Millis now)
    -> bool {
  State& state = states_[target];
  if (outcome == TargetOutcome::kNoConnection) {
    const bool left_out = now >= state.out_until;
    state.out_until = now + Millis(kLongestOutMs);
    if (!state.no_connection)
      state.no_connection_since = now;
    state.no_connection = true;
    return left_out;
  }
  const bool good = outcome == TargetOutcome::kGood;
  state.failures += kWeightOfNewest * ((good ? 0.0 : 1.0) - state.failures);
  if (good) {
    state.in_a_row = 0;
    if (state.failures < kFailureShare / 4)
      state.ejections = 0;
    return false;
  }
  const bool unreached = outcome == TargetOutcome::kUnreachable ||
                         outcome == TargetOutcome::kRefused;
  state.in_a_row += unreached ? 1 : 0;
  const bool dead = state.in_a_row >= kUnreachableInARow;
  if (now < state.out_until || (!dead && state.failures < kFailureShare))
    return false;
  const int doublings = std::min(state.ejections, kMostDoublings);
  state.out_until =
      now + Millis(std::min(kLongestOutMs, kFirstOutMs << doublings));
  ++state.ejections;
  // On its return it gets the benefit of a few tries.
  state.failures = kFailureShare / 2;
  state.in_a_row = kUnreachableInARow - 1;
  return true;
}

auto TargetHealth::OnReachable(TargetId target, Millis now) -> Millis {
  State& state = states_[target];
  if (!state.no_connection)
    return Millis(0);
  state.out_until = now;
  state.no_connection = false;
  return now - state.no_connection_since;
}

auto TargetHealth::Usable(TargetId target, Millis now) const -> bool {
  const auto found = states_.find(target);
  return found == states_.end() || now >= found->second.out_until;
}

auto TargetHealth::FailureShare(TargetId target) const -> double {
  const auto found = states_.find(target);
  return found == states_.end() ? 0 : found->second.failures;
}

}  // namespace sparbend
