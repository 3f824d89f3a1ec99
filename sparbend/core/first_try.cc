// The usual time is an upper quantile of what was stated lately, not the
// maximum: a few patient callers must not make all others look late. It counts
// only while enough tries state just about that; where each caller states
// another time, nothing can be told and every try is taken for a first one.
#include "sparbend/core/first_try.h"

#include <algorithm>
#include <vector>

namespace sparbend {
namespace {

// Some seconds of a route's tries through one box.
constexpr size_t kRemembered = 64;
// Fewer tell nothing.
constexpr size_t kLeast = 8;
// Under a flood up to this part of the tries may be of callers that came back.
constexpr size_t kUsualPercent = 80;
// Part of the remembered tries that must state the usual time.
constexpr size_t kAgreePercent = 20;
// Stated times so near the usual one are the same: the way here takes time.
constexpr Millis kSame = Millis(30);
// More routes than any configuration in use; beyond it all are forgotten.
constexpr size_t kMostRoutes = 4'096;

}  // namespace

auto FirstTries::UsualOf(const Stated& stated) -> Millis {
  if (stated.size() < kLeast)
    return Millis(0);
  std::vector<Millis> sorted(stated.begin(), stated.end());
  const size_t place = (sorted.size() - 1) * kUsualPercent / 100;
  std::ranges::nth_element(sorted,
                           sorted.begin() + static_cast<std::ptrdiff_t>(place));
  const Millis usual = sorted[place];
  const auto agree =
      static_cast<size_t>(std::ranges::count_if(sorted, [&](Millis time) {
        return time >= usual - kSame && time <= usual + kSame;
      }));
  return agree * 100 >= sorted.size() * kAgreePercent ? usual : Millis(0);
}

auto FirstTries::Elapsed(const std::string& route, Millis left) -> Millis {
  if (routes_.size() >= kMostRoutes && !routes_.contains(route))
    routes_.clear();
  Stated& stated = routes_[route];
  stated.push_back(left);
  if (stated.size() > kRemembered)
    stated.pop_front();
  const Millis usual = UsualOf(stated);
  return usual - left > kSame ? usual - left : Millis(0);
}

}  // namespace sparbend
