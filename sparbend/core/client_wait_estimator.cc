// The usual wait of a route is a high percentile of the remaining waits that
// clients stated in its newest attempts. It isn't the maximum, because a few
// clients with long timeouts must not make all others look like retries. It is
// valid only while enough attempts state a wait close to it. Where each client
// states a different one, the usual wait is unknown and every attempt is taken
// for a first attempt.
#include "sparbend/core/client_wait_estimator.h"

#include <algorithm>
#include <vector>

namespace sparbend {
namespace {

// Number of newest attempts that are recorded for a route. Covers some seconds
// of its attempts through one box.
constexpr size_t kMaxWaitsPerRoute = 64;
// With fewer recorded waits the usual wait is unknown.
constexpr size_t kMinWaits = 8;
// Retries state shorter waits than first attempts, so the percentile is the
// wait of a first attempt while at most this percentage of the attempts are
// retries. In an overload it may be as many.
constexpr size_t kUsualWaitPercentile = 80;
// Percentage of the recorded waits that must lie within kWaitTolerance of the
// usual wait. If as many attempts are retries as kUsualWaitPercentile allows,
// this is the percentage of first attempts.
constexpr size_t kMinAgreementPercent = 20;
// A wait this close to the usual one counts as equal, so that first attempts
// whose stated waits differ slightly are not taken for retries.
constexpr Millis kWaitTolerance = Millis(30);
// Bounds the memory. When waits of this many routes are recorded, the first
// attempt on another route discards all of them, so a configuration should have
// fewer routes.
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
