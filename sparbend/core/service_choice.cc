// A plain service answers in less time than load reports between boxes take. If
// each box chose the target that is emptiest by the last reports, all boxes
// would choose the same one and fill it. So the average of the reported load
// over seconds gives each target a weight, and targets are drawn at random by
// weight. The box's own requests are known exactly and count at once.
//
// A target that is slow holds its slots longer, so its weight falls with the
// moving average of its latency against the pool's, from kMinSlowLatency on.
// That average is of few answers, to notice periods of slowness of some 600 ms,
// and loses its effect with time, so that a target which gets few requests is
// tried again.
//
// The limit of outstanding requests follows the gradient of latency: it shrinks
// by the ratio of the pool's usual latency to the target's and grows by a
// constant. A box whose requests already wait at a slow target thus keeps the
// next one for another target.
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
// Weight of the newest answer in the moving average of a target's latency. A
// box gets a few answers of each target within a period of slowness, so the
// last two count.
constexpr double kLatencyWeight = 0.7;
// A target counts as slow from this multiple of the pool's latency on, as
// answers of equal targets differ by half.
constexpr double kMinSlowLatency = 1.5;
// Exponent of the multiple. A slow target that gets its share of 1 / 2.5 still
// has a queue, since its load was near its capacity before.
constexpr double kLatencyExponent = 3;
// The pool's average has no effect before this many answers.
constexpr int kMinPoolAnswers = 20;
// The pool's average is over some hundred answers, which outlasts a period of
// slowness of one target.
constexpr int kMaxPoolAnswers = 100;
// Time constant with which a target's latency returns to the pool's without new
// answers. Slowness lasts some 600 ms.
constexpr double kLatencyTimeConstantMs = 700;
// Bounds of one answer's latency against the pool's.
constexpr double kMinRelativeLatency = 0.5;
constexpr double kMaxRelativeLatency = 6;
constexpr double kMinGradient = 0.5;
// Weight of the newest limit.
constexpr double kLimitWeight = 0.2;

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

void ServiceChoice::RecordLatency(PoolId pool,
                                  TargetId target,
                                  int slots,
                                  Millis elapsed,
                                  Millis now) {
  const double ms = std::max(1.0, static_cast<double>(elapsed.count()));
  PoolLatency& usual = pool_latencies_[pool];
  // The plain mean of the first answers, then a moving average.
  usual.answers = std::min(usual.answers + 1, kMaxPoolAnswers);
  const double bounded_ms = usual.answers > kMinPoolAnswers
                                ? std::min(ms, usual.ms * kMaxRelativeLatency)
                                : ms;
  usual.ms += (bounded_ms - usual.ms) / usual.answers;
  const auto [found, first] = latencies_.try_emplace(target);
  Latency& latency = found->second;
  latency.pool = pool;
  if (first) {
    latency.ms = usual.ms;
    latency.limit = slots;
  }
  const double bounded = std::clamp(ms, usual.ms * kMinRelativeLatency,
                                    usual.ms * kMaxRelativeLatency);
  latency.ms += kLatencyWeight * (bounded - latency.ms);
  latency.updated_at = now;
  if (usual.answers < kMinPoolAnswers)
    return;
  const double gradient =
      std::clamp(kMinSlowLatency * usual.ms / latency.ms, kMinGradient, 1.0);
  latency.limit +=
      kLimitWeight * (latency.limit * gradient + 1 - latency.limit);
  latency.limit = std::clamp(latency.limit, 1.0, std::max(1.0, 1.0 * slots));
}

void ServiceChoice::Retain(const std::set<TargetId>& targets) {
  const auto is_gone = [&](const auto& entry) {
    return !targets.contains(entry.first);
  };
  std::erase_if(average_loads_, is_gone);
  std::erase_if(latencies_, is_gone);
}

auto ServiceChoice::OutstandingLimit(TargetId target, int slots) const -> int {
  const auto found = latencies_.find(target);
  if (found == latencies_.end())
    return slots;
  return std::clamp(static_cast<int>(std::lround(found->second.limit)), 1,
                    std::max(1, slots));
}

auto ServiceChoice::LatencyMs(TargetId target, Millis now) const
    -> std::optional<double> {
  const auto found = latencies_.find(target);
  if (found == latencies_.end())
    return std::nullopt;
  const Latency& latency = found->second;
  const double usual_ms = pool_latencies_.at(latency.pool).ms;
  const auto age_ms = static_cast<double>(
      std::max(Millis(0), now - latency.updated_at).count());
  return usual_ms +
         (latency.ms - usual_ms) * std::exp(-age_ms / kLatencyTimeConstantMs);
}

auto ServiceChoice::Slowness(TargetId target, Millis now) const -> double {
  const auto found = latencies_.find(target);
  if (found == latencies_.end())
    return 1;
  const PoolLatency& usual = pool_latencies_.at(found->second.pool);
  if (usual.answers < kMinPoolAnswers)
    return 1;
  const double relative =
      std::min(*LatencyMs(target, now) / usual.ms, kMaxRelativeLatency);
  return relative < kMinSlowLatency ? 1 : relative;
}

auto ServiceChoice::CostOf(const Candidate& candidate,
                           uint64_t request,
                           Millis now) const -> double {
  const auto average = average_loads_.find(candidate.target);
  const double usual_running =
      average == average_loads_.end() ? 0 : average->second.running;
  const double free_share =
      std::max(1 - usual_running / candidate.slots, kMinFreeShare);
  const double success_share = 1 - candidate.failure_share;
  const double weight =
      candidate.slots * free_share *
      (candidate.same_hall ? kSameHallWeight : 1) *
      std::pow(success_share, kSuccessExponent) /
      ((1 + candidate.own_running) *
       std::pow(Slowness(candidate.target, now), kLatencyExponent));
  return -std::log(UniformRandom(request, candidate.target)) /
         std::max(weight, kMinWeight);
}

}  // namespace sparbend
