// Uses a moving average, so that one long step (a large configuration, a pause
// of the whole box) doesn't cause refusals. The busy state takes longer to
// leave than to enter: the load balancer polls it only once a second, and
// moving clients back and forth between boxes would be of no use.
#include "sparbend/core/overload.h"

#include <algorithm>
#include <cmath>

namespace sparbend {
namespace {

// Time constant of the exponential average. The weight of a sample depends on
// the time since the previous tick, so the average follows as fast when ticks
// are rare: an idle box ticks only twice a second.
constexpr double kAveragingTimeMs = 225;
// Upper limit of a sample, so that one long step doesn't dominate the average.
constexpr double kMaxSampleMs = 120;
// A tenth of the tightest time-to-first-byte objective in use (300 ms).
constexpr double kBusyDelayMs = 30;
// The busy state ends when the average was at most this for kMinRecoveryTime.
constexpr double kRecoveredDelayMs = 12;
constexpr Millis kMinRecoveryTime = Millis(1'000);
// About a quarter of that objective: a request accepted at this delay would be
// answered too late, while a client that is refused may still be served in time
// by another box. With a much higher limit, more attempts end at their
// deadline.
constexpr double kSaturatedDelayMs = 80;

}  // namespace

void Overload::OnTick(Millis loop_delay, Millis now) {
  const double sample_ms =
      std::clamp(static_cast<double>(loop_delay.count()), 0.0, kMaxSampleMs);
  const auto elapsed_ms =
      static_cast<double>(std::max(Millis(1), now - last_tick_at_).count());
  last_tick_at_ = now;
  mean_delay_ms_ += (1 - std::exp(-elapsed_ms / kAveragingTimeMs)) *
                    (sample_ms - mean_delay_ms_);
  if (mean_delay_ms_ > kRecoveredDelayMs)
    last_above_recovered_delay_at_ = now;
  if (mean_delay_ms_ >= kBusyDelayMs)
    busy_ = true;
  else if (now - last_above_recovered_delay_at_ >= kMinRecoveryTime)
    busy_ = false;
}

auto Overload::saturated() const -> bool {
  return mean_delay_ms_ >= kSaturatedDelayMs;
}

}  // namespace sparbend
