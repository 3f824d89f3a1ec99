// A target is ejected in one of three cases:
//  - connecting timed out once: engines accept a connection within
//    milliseconds, and the target's prober reports when they do so again;
//  - it was unreachable twice without a good outcome in between: a dead target
//    fails every request immediately;
//  - a high rate of failures over recent outcomes: the target fails part of its
//    work.
// The caller must not exclude all targets of a pool: if none is usable, it
// chooses among all of them.
#include "sparbend/core/target_health.h"

#include <algorithm>
#include <array>

namespace sparbend {
namespace {

constexpr double kNewestOutcomeWeight = 0.15;
constexpr double kEjectionFailureRate = 0.5;
constexpr int kUnreachableToEject = 2;
constexpr int64_t kInitialEjectionMs = 500;
constexpr int64_t kMaxEjectionMs = 5'000;
constexpr int kMaxEjectionDoublings = 4;

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
    const bool newly_ejected = now >= state.ejected_until;
    state.ejected_until = now + Millis(kMaxEjectionMs);
    if (!state.no_connection)
      state.no_connection_since = now;
    state.no_connection = true;
    return newly_ejected;
  }
  const bool good = outcome == TargetOutcome::kGood;
  state.failure_rate +=
      kNewestOutcomeWeight * ((good ? 0.0 : 1.0) - state.failure_rate);
  if (good) {
    state.unreachable_since_good = 0;
    if (state.failure_rate < kEjectionFailureRate / 4)
      state.ejections = 0;
    return false;
  }
  const bool unreachable = outcome == TargetOutcome::kUnreachable ||
                           outcome == TargetOutcome::kRefused;
  state.unreachable_since_good += unreachable ? 1 : 0;
  const bool dead = state.unreachable_since_good >= kUnreachableToEject;
  if (now < state.ejected_until ||
      (!dead && state.failure_rate < kEjectionFailureRate))
    return false;
  const int doublings = std::min(state.ejections, kMaxEjectionDoublings);
  state.ejected_until =
      now + Millis(std::min(kMaxEjectionMs, kInitialEjectionMs << doublings));
  ++state.ejections;
  // After the ejection the target may fail a few more requests before it is
  // ejected again; being unreachable once ejects it.
  state.failure_rate = kEjectionFailureRate / 2;
  state.unreachable_since_good = kUnreachableToEject - 1;
  return true;
}

auto TargetHealth::OnReachable(TargetId target, Millis now) -> Millis {
  State& state = states_[target];
  if (!state.no_connection)
    return Millis(0);
  state.ejected_until = now;
  state.no_connection = false;
  return now - state.no_connection_since;
}

auto TargetHealth::Usable(TargetId target, Millis now) const -> bool {
  const auto found = states_.find(target);
  return found == states_.end() || now >= found->second.ejected_until;
}

auto TargetHealth::FailureRate(TargetId target) const -> double {
  const auto found = states_.find(target);
  return found == states_.end() ? 0 : found->second.failure_rate;
}

}  // namespace sparbend
