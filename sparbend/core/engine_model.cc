// The model is a least-squares line over observed answers. Each answer is
// weighted by the inverse square of its estimate, so that relative errors
// count. Weights decay so that some hundred answers matter. The line starts
// from a prior that is worth a few answers.
//
// The influence of one engine is bounded: a first-byte time counts as at most
// kMaxRatio times its estimate in the line of the pool, and as at most
// kMaxFactor times in the engine's own factor.
#include "sparbend/core/engine_model.h"

#include <algorithm>

namespace sparbend {
namespace {

// The prior: 50 tokens per millisecond and 55 ms to a first token, the middle
// of what large models on one accelerator node reach. It consists of a prompt
// without tokens and one of kPriorTokens.
constexpr double kPriorMsPerToken = 0.02;
constexpr double kPriorFixedMs = 55;
constexpr double kPriorTokens = 6'000;
// The number of answers that each of the prior's two points is worth.
constexpr double kPriorWeight = 4;
// Factor on all earlier weights at each answer; some 300 answers matter.
constexpr double kDecayPerAnswer = 1 - 1.0 / 300;
// Bounds of the fitted line; its slope is from 2 to 2,000 tokens per
// millisecond.
constexpr double kMinMsPerToken = 0.0005;
constexpr double kMaxMsPerToken = 0.5;
constexpr double kMinFixedMs = 1;
constexpr double kMaxFixedMs = 2'000;
// Bounds on the ratio of one observed time to its estimate.
constexpr double kMinRatio = 0.2;
constexpr double kMaxRatio = 4;
// Shorter estimates get the weight of this one.
constexpr double kMinEstimateMs = 20;
// Weight of the newest answer in the moving average that is an engine's own
// factor, and the bounds of the ratios that it averages.
constexpr double kFactorWeight = 0.15;
constexpr double kMinFactor = 0.5;
constexpr double kMaxFactor = 8;

auto RelativeWeight(double estimate_ms) -> double {
  const double bounded_ms = std::max(kMinEstimateMs, estimate_ms);
  return 1 / (bounded_ms * bounded_ms);
}

}  // namespace

EngineModel::Line::Line() {
  for (const double tokens : {0.0, kPriorTokens}) {
    const double ms = kPriorFixedMs + tokens * kPriorMsPerToken;
    Add(tokens, ms, kPriorWeight * RelativeWeight(ms));
  }
  Fit();
}

void EngineModel::Line::Add(double tokens, double ms, double weight) {
  sum_weights += weight;
  sum_tokens += weight * tokens;
  sum_ms += weight * ms;
  sum_tokens_squared += weight * tokens * tokens;
  sum_tokens_ms += weight * tokens * ms;
}

void EngineModel::Line::Decay() {
  for (double* sum : {&sum_weights, &sum_tokens, &sum_ms, &sum_tokens_squared,
                      &sum_tokens_ms})
    *sum *= kDecayPerAnswer;
}

// If all answers have the same number of tokens, the slope is undetermined and
// stays as it is.
void EngineModel::Line::Fit() {
  const double spread =
      sum_weights * sum_tokens_squared - sum_tokens * sum_tokens;
  constexpr double kMinRelativeSpread = 1e-6;
  if (spread > kMinRelativeSpread * sum_weights * sum_tokens_squared)
    ms_per_token = (sum_weights * sum_tokens_ms - sum_tokens * sum_ms) / spread;
  ms_per_token = std::clamp(ms_per_token, kMinMsPerToken, kMaxMsPerToken);
  fixed_ms = std::clamp((sum_ms - ms_per_token * sum_tokens) / sum_weights,
                        kMinFixedMs, kMaxFixedMs);
}

auto EngineModel::LineOf(PoolId pool) const -> const Line& {
  const auto found = lines_.find(pool);
  return found == lines_.end() ? prior_ : found->second;
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

void EngineModel::Observe(Engine engine, double tokens, Millis elapsed) {
  Line& line = lines_[engine.pool];
  const double expected_ms = line.fixed_ms + tokens * line.ms_per_token;
  const double ratio = static_cast<double>(elapsed.count()) / expected_ms;
  line.Decay();
  line.Add(tokens, std::clamp(ratio, kMinRatio, kMaxRatio) * expected_ms,
           RelativeWeight(expected_ms));
  line.Fit();
  double& factor = factors_.try_emplace(engine.target, 1.0).first->second;
  factor +=
      kFactorWeight * (std::clamp(ratio, kMinFactor, kMaxFactor) - factor);
}

}  // namespace sparbend
