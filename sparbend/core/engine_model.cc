// A least-squares line over the answers seen, each weighted by one over the
// square of its estimate so that relative errors count, and faded so that some
// hundred answers are remembered. It starts from a prior worth a few answers.
//
// What one engine can teach is bounded: an outcome counts as no more than
// kMostRatio times its estimate for the pool, and kMostFactor times for the
// engine's own factor.
#include "sparbend/core/engine_model.h"

#include <algorithm>

namespace sparbend {
namespace {

// The prior: 50 tokens a millisecond and 55 ms to a first token, the middle of
// what large models on one accelerator node do.
constexpr double kPriorMsPerToken = 0.02;
constexpr double kPriorFixedMs = 55;
constexpr double kPriorTokens = 6'000;
// Answers that the prior is worth.
constexpr double kPriorWeight = 4;
// Part of the weight that is kept with each answer: 300 are remembered.
constexpr double kKept = 1 - 1.0 / 300;
// Bounds of what is believed: from 2 to 2,000 tokens a millisecond.
constexpr double kLeastMsPerToken = 0.0005;
constexpr double kMostMsPerToken = 0.5;
constexpr double kLeastFixedMs = 1;
constexpr double kMostFixedMs = 2'000;
// Bounds of one outcome against its estimate.
constexpr double kLeastRatio = 0.2;
constexpr double kMostRatio = 4;
// Shorter estimates weigh as this one.
constexpr double kLeastEstimateMs = 20;
// An engine's own factor follows its answers at this weight of the newest.
constexpr double kFactorWeight = 0.15;
constexpr double kLeastFactor = 0.5;
constexpr double kMostFactor = 8;

auto RelativeWeight(double estimate_ms) -> double {
  const double bounded = std::max(kLeastEstimateMs, estimate_ms);
  return 1 / (bounded * bounded);
}

}  // namespace

EngineModel::Line::Line() {
  for (const double tokens : {0.0, kPriorTokens}) {
    const double ms = kPriorFixedMs + tokens * kPriorMsPerToken;
    Add(tokens, ms, kPriorWeight * RelativeWeight(ms));
  }
  Fit();
}

void EngineModel::Line::Add(double tokens, double ms, double times) {
  weight += times;
  x += times * tokens;
  y += times * ms;
  xx += times * tokens * tokens;
  xy += times * tokens * ms;
}

void EngineModel::Line::Fade() {
  for (double* sum : {&weight, &x, &y, &xx, &xy})
    *sum *= kKept;
}

// With all answers of one size the slope can't be told, and stays.
void EngineModel::Line::Fit() {
  const double spread = weight * xx - x * x;
  constexpr double kLeastSpread = 1e-6;
  if (spread > kLeastSpread * weight * xx)
    ms_per_token = (weight * xy - x * y) / spread;
  ms_per_token = std::clamp(ms_per_token, kLeastMsPerToken, kMostMsPerToken);
  fixed_ms =
      std::clamp((y - ms_per_token * x) / weight, kLeastFixedMs, kMostFixedMs);
}

auto EngineModel::LineOf(PoolId pool) const -> const Line& {
  const auto found = lines_.find(pool);
  return found == lines_.end() ? unknown_ : found->second;
}

auto EngineModel::FactorOf(TargetId target) const -> double {
  const auto found = factors_.find(target);
  return found == factors_.end() ? 1 : found->second;
}

auto EngineModel::ReadMs(Engine engine, double tokens) const -> double {
  return tokens * LineOf(engine.pool).ms_per_token * FactorOf(engine.target);
}

auto EngineModel::FirstByteMs(Engine engine, double tokens) const -> double {
  const Line& line = LineOf(engine.pool);
  return (line.fixed_ms + tokens * line.ms_per_token) * FactorOf(engine.target);
}

void EngineModel::Retain(const std::set<TargetId>& targets) {
  std::erase_if(factors_, [&](const auto& factor) {
    return !targets.contains(factor.first);
  });
}

void EngineModel::Observe(Engine engine, double tokens, Millis taken) {
  Line& line = lines_[engine.pool];
  const double usual = line.fixed_ms + tokens * line.ms_per_token;
  const double ratio = static_cast<double>(taken.count()) / usual;
  line.Fade();
  line.Add(tokens, std::clamp(ratio, kLeastRatio, kMostRatio) * usual,
           RelativeWeight(usual));
  line.Fit();
  double& factor = factors_.try_emplace(engine.target, 1.0).first->second;
  factor +=
      kFactorWeight * (std::clamp(ratio, kLeastFactor, kMostFactor) - factor);
}

}  // namespace sparbend
