// A moving average, so that one long step (a large configuration, a pause of
// the whole box) does not turn callers away; leaving the state takes longer
// than entering it, since the balancer asks only once a second and sending
// callers to and fro helps nobody.
#include "sparbend/core/overload.h"

#include <algorithm>
#include <cmath>

namespace sparbend {
namespace {

// The average follows within about this time, however rarely ticks come: an
// idle box ticks twice a second.
constexpr double kFollowsMs = 225;
// One long step counts for no more than this.
constexpr double kMostMs = 120;
// A tenth of the tightest objective of a first byte seen in use (300 ms).
constexpr double kBusyMs = 30;
constexpr double kWellMs = 12;
constexpr Millis kWellFor = Millis(1'000);
// A quarter of that objective: what is taken now comes too late, while a
// caller that is refused may still be in time elsewhere (a deployment of 85
// boxes, one of them with most callers of its hall, tries that ended at their
// deadline: 2,161 at 200 ms, 748 at 80 ms).
constexpr double kFloodedMs = 80;

}  // namespace

void Overload::OnTick(Millis loop_delay, Millis now) {
  const double behind =
      std::clamp(static_cast<double>(loop_delay.count()), 0.0, kMostMs);
  const auto elapsed =
      static_cast<double>(std::max(Millis(1), now - ticked_at_).count());
  ticked_at_ = now;
  lag_ms_ += (1 - std::exp(-elapsed / kFollowsMs)) * (behind - lag_ms_);
  if (lag_ms_ > kWellMs)
    well_since_ = now;
  if (lag_ms_ >= kBusyMs)
    busy_ = true;
  else if (now - well_since_ >= kWellFor)
    busy_ = false;
}

auto Overload::flooded() const -> bool {
  return lag_ms_ >= kFloodedMs;
}

}  // namespace sparbend
