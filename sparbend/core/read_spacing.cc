#include "sparbend/core/read_spacing.h"

#include <algorithm>

namespace sparbend {
namespace {

// The spacing is at most this, and this part of the pause that the route
// allows. An engine sends an event about every 25 ms, so about two events
// arrive in the longest spacing.
constexpr Millis kMaxSpacing = Millis(40);
constexpr int64_t kGapObjectiveParts = 8;

}  // namespace

auto ReadSpacing(bool busy, Millis pause_objective) -> Millis {
  if (!busy)
    return Millis(0);
  if (pause_objective <= Millis(0))
    return kMaxSpacing;
  return std::min(kMaxSpacing,
                  Millis(pause_objective.count() / kGapObjectiveParts));
}

auto TimeToNextRead(Millis now, Millis spacing) -> Millis {
  return spacing - Millis(now.count() % spacing.count());
}

}  // namespace sparbend
