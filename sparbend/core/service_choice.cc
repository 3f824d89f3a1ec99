// A plain service answers in less time than load reports between boxes take. If
// each box chose the target that is emptiest by the last reports, all boxes
// would choose the same one and fill it. So the average of the reported load
// over seconds gives each target a weight, and targets are drawn at random by
// weight. The box's own requests are known exactly and count at once.
//
// Drawing by weight uses exponential random variables: of independent ones,
// each with its target's weight as rate, the least belongs to each target with
// a probability proportional to that weight.
#include "sparbend/core/service_choice.h"

#include <algorithm>
#include <cmath>

namespace sparbend {
namespace {

// Time constant of the average load. It covers several load reports; a shorter
// one would follow the fluctuation of single reports.
constexpr double kLoadTimeConstantMs = 2'000;
// Least share of slots that counts as free. A target that seems full still gets
// a few requests, since reports may be wrong.
constexpr double kMinFreeShare = 0.1;
// Weight of a target in the box's own hall, relative to one in another hall.
// When a hall is cut off, it loses the requests that it sent to others.
constexpr double kSameHallWeight = 3;
// Exponent of the share of good answers: a target that fails a third of its
// requests gets about a third of the weight.
constexpr double kSuccessExponent = 3;
constexpr double kMinWeight = 1e-6;

// Uniform in (0, 1], from 53 bits of a hash of the request and target.
auto UniformRandom(uint64_t request, TargetId target) -> double {
  uint64_t mixed =
      (request << 32 ^ request >> 32 ^ target) + 0x9e3779b97f4a7c15;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  mixed ^= mixed >> 31;
  return (static_cast<double>(mixed >> 11) + 1) / 9007199254740993.0;
}

}  // namespace

void ServiceChoice::RecordLoad(TargetId target, int running, Millis now) {
  const auto [found, first] = average_loads_.try_emplace(target);
  AverageLoad& average = found->second;
  const auto elapsed_ms = static_cast<double>(
      std::max(Millis(0), now - average.updated_at).count());
  const double newest_weight =
      first ? 1 : 1 - std::exp(-elapsed_ms / kLoadTimeConstantMs);
  average.running += newest_weight * (running - average.running);
  average.updated_at = now;
}

auto ServiceChoice::CostOf(const Candidate& candidate, uint64_t request) const
    -> double {
  const auto average = average_loads_.find(candidate.target);
  const double usual_running =
      average == average_loads_.end() ? 0 : average->second.running;
  const double free_share =
      std::max(1 - usual_running / candidate.slots, kMinFreeShare);
  const double success_share = 1 - candidate.failure_share;
  const double weight = candidate.slots * free_share *
                        (candidate.same_hall ? kSameHallWeight : 1) *
                        std::pow(success_share, kSuccessExponent) /
                        (1 + candidate.own_running);
  return -std::log(UniformRandom(request, candidate.target)) /
         std::max(weight, kMinWeight);
}

}  // namespace sparbend
