// The usual wait of a route is an upper percentile of the waits that were
// stated lately. It isn't the maximum, because a few clients with long timeouts
// must not make all others look like retries. It is valid only while enough
// attempts state about that wait; where each client states a different one, the
// usual wait is unknown and every attempt is taken for a first attempt.
#include "sparbend/core/client_wait_estimator.h"

#include <algorithm>
#include <vector>

namespace sparbend {
namespace {

// Covers some seconds of a route's attempts through one box.
constexpr size_t kMaxWaitsPerRoute = 64;
// With fewer recorded waits the usual wait is unknown.
constexpr size_t kMinWaits = 8;
// In an overload up to this percentage of the attempts may be retries.
constexpr size_t kUsualWaitPercentile = 80;
// Percentage of the recorded waits that must be about the usual one.
constexpr size_t kMinAgreementPercent = 20;
// A wait this close to the usual one counts as equal, since a request spends
// some time in the network before the box reads its stated wait.
constexpr Millis kWaitTolerance = Millis(30);
// Bound on memory, above the number of routes of any configuration in use. When
// it is reached, the waits of all routes are discarded.
constexpr size_t kMaxRoutes = 4'096;

}  // namespace

auto ClientWaitEstimator::UsualWait(const StatedWaits& waits) -> Millis {
  if (waits.size() < kMinWaits)
    return Millis(0);
  std::vector<Millis> sorted(waits.begin(), waits.end());
  const size_t index = (sorted.size() - 1) * kUsualWaitPercentile / 100;
  std::ranges::nth_element(sorted,
                           sorted.begin() + static_cast<std::ptrdiff_t>(index));
  const Millis usual = sorted[index];
  const auto agreeing =
      static_cast<size_t>(std::ranges::count_if(sorted, [&](Millis wait) {
        return wait >= usual - kWaitTolerance && wait <= usual + kWaitTolerance;
      }));
  return agreeing * 100 >= sorted.size() * kMinAgreementPercent ? usual
                                                                : Millis(0);
}

auto ClientWaitEstimator::Elapsed(const std::string& route, Millis remaining)
    -> Millis {
  if (waits_by_route_.size() >= kMaxRoutes && !waits_by_route_.contains(route))
    waits_by_route_.clear();
  StatedWaits& waits = waits_by_route_[route];
  waits.push_back(remaining);
  if (waits.size() > kMaxWaitsPerRoute)
    waits.pop_front();
  const Millis usual = UsualWait(waits);
  return usual - remaining > kWaitTolerance ? usual - remaining : Millis(0);
}

}  // namespace sparbend
