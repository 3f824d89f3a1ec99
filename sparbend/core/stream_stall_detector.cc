// The usual gap and its deviation are followed as TCP follows round trips, so
// that targets which send seldom are given longer. One stream alone proves
// little: it may pause for reasons of its own.
#include "sparbend/core/stream_stall_detector.h"

#include <algorithm>
#include <cmath>

namespace sparbend {
namespace {

constexpr int kLeastStreams = 2;
// A target reads a long prompt in pieces of some ten milliseconds, between the
// tokens of what runs there; this is many of them.
constexpr double kLeastMs = 250;
constexpr double kMostMs = 2'000;
// Weights of the newest gap, and deviations allowed, of RFC 6298 doubled.
constexpr double kGapWeight = 0.125;
constexpr double kDeviationWeight = 0.25;
constexpr double kDeviations = 8;

}  // namespace

void StreamStallDetector::OnBegun(TargetId target, Millis now) {
  State& state = states_[target];
  if (state.streams == 0)
    state.heard = now;
  ++state.streams;
}

void StreamStallDetector::OnBytes(TargetId target, Millis now) {
  const auto found = states_.find(target);
  if (found == states_.end())
    return;
  State& state = found->second;
  const auto gap = static_cast<double>((now - state.heard).count());
  state.deviation_ms +=
      kDeviationWeight * (std::abs(gap - state.gap_ms) - state.deviation_ms);
  state.gap_ms += kGapWeight * (gap - state.gap_ms);
  state.heard = now;
}

void StreamStallDetector::OnEnded(TargetId target) {
  const auto found = states_.find(target);
  if (found != states_.end() && --found->second.streams <= 0)
    states_.erase(found);
}

auto StreamStallDetector::Quiet(TargetId target, Millis now) const -> bool {
  const auto found = states_.find(target);
  if (found == states_.end() || found->second.streams < kLeastStreams)
    return false;
  const State& state = found->second;
  const double usual = state.gap_ms + kDeviations * state.deviation_ms;
  return static_cast<double>((now - state.heard).count()) >
         std::clamp(usual, kLeastMs, kMostMs);
}

}  // namespace sparbend
