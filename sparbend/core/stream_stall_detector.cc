// The usual gap between bytes and its deviation are estimated as TCP
// estimates round-trip times (RFC 6298), so that a target that sends less often
// is given a longer timeout. A single stream is no evidence, as it may pause
// for a reason of its own.
#include "sparbend/core/stream_stall_detector.h"

#include <algorithm>
#include <cmath>

namespace sparbend {
namespace {

constexpr int kMinStreams = 2;
// A target processes a long prompt in chunks of about ten milliseconds, between
// the tokens of its running requests. The minimum timeout is many such chunks.
constexpr double kMinTimeoutMs = 250;
constexpr double kMaxTimeoutMs = 2'000;
// The weights of the newest gap are those of RFC 6298; the number of deviations
// allowed is twice that of RFC 6298.
constexpr double kGapWeight = 0.125;
constexpr double kDeviationWeight = 0.25;
constexpr double kAllowedDeviations = 8;

}  // namespace

void StreamStallDetector::OnStreamStart(TargetId target, Millis now) {
  State& state = states_[target];
  if (state.streams == 0)
    state.last_bytes_at = now;
  ++state.streams;
}

void StreamStallDetector::OnBytes(TargetId target, Millis now) {
  const auto found = states_.find(target);
  if (found == states_.end())
    return;
  State& state = found->second;
  const auto gap = static_cast<double>((now - state.last_bytes_at).count());
  state.deviation_ms +=
      kDeviationWeight * (std::abs(gap - state.gap_ms) - state.deviation_ms);
  state.gap_ms += kGapWeight * (gap - state.gap_ms);
  state.last_bytes_at = now;
}

void StreamStallDetector::OnEnded(TargetId target) {
  const auto found = states_.find(target);
  if (found != states_.end() && --found->second.streams <= 0)
    states_.erase(found);
}

auto StreamStallDetector::IsStalled(TargetId target, Millis now) const -> bool {
  const auto found = states_.find(target);
  if (found == states_.end() || found->second.streams < kMinStreams)
    return false;
  const State& state = found->second;
  const double timeout_ms =
      state.gap_ms + kAllowedDeviations * state.deviation_ms;
  return static_cast<double>((now - state.last_bytes_at).count()) >
         std::clamp(timeout_ms, kMinTimeoutMs, kMaxTimeoutMs);
}

}  // namespace sparbend
