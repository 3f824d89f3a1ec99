// The model is a least-squares line over observed answers. Each answer is
// weighted by the inverse square of its estimate, so that relative errors
// count. Weights decay so that some hundred answers matter. The line starts
// from a prior that is worth a few answers.
//
// The influence of one engine is bounded: a time counts as at most kMaxRatio
// times its estimate in the line of the pool, and as at most kMaxFactor times
// in the engine's own factors.
//
// A box gets few answers of each engine, and an engine that reads slowly mostly
// decodes slowly too. So answers of both kinds move a shared factor, which
// stands in for the factor of one kind until that has answers of its own. The
// first answers move a factor much, later ones little. While the pool's line
// still depends on the prior, all engines differ from it alike, so ratios to it
// say little of one engine and get kFactorWeight.
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
// The same for the time between events over the running requests: a few tokens
// an event at some 10 ms each, and half as long again with 32 requests.
constexpr double kPriorGapMs = 60;
constexpr double kPriorGapMsPerRequest = 1;
constexpr double kPriorRequests = 32;
constexpr double kMinGapMsPerRequest = 0.001;
constexpr double kMaxGapMsPerRequest = 50;
// A line relies on its answers rather than on the prior from this many on, five
// times what the prior is worth.
constexpr int kFittedAnswers = 40;
// Weight of the newest ratio, and upper bound, of the ratio of gaps while
// prompts are read.
constexpr double kReadingRatioWeight = 0.03;
constexpr double kMaxReadingRatio = 8;
constexpr double kMinFixedMs = 1;
constexpr double kMaxFixedMs = 2'000;
// Bounds on the ratio of one observed time to its estimate.
constexpr double kMinRatio = 0.2;
constexpr double kMaxRatio = 4;
// Shorter estimates get the weight of this one.
constexpr double kMinEstimateMs = 20;
// Weight of the newest answer in the moving average that is an engine's own
// factor while the line is not fitted.
constexpr double kFactorWeight = 0.15;
// With a fitted line, the weight is 1 / (kFactorPrior + answers), down to that
// of kMaxFactorAnswers. The first answers are noisy, so none sets the factor
// alone; the last weight follows a lasting change within some 20 answers.
constexpr double kFactorPrior = 2;
constexpr double kMaxFactorAnswers = 10;
// The number of own answers of one kind of work that the shared factor is
// worth.
constexpr double kSpeedWeight = 3;
// Bounds of the ratios that factors average.
constexpr double kMinFactor = 0.5;
constexpr double kMaxFactor = 8;

auto RelativeWeight(double estimate_ms) -> double {
  const double bounded_ms = std::max(kMinEstimateMs, estimate_ms);
  return 1 / (bounded_ms * bounded_ms);
}

}  // namespace

const EngineModel::LineRule EngineModel::kReadRule = {
    kPriorFixedMs, kPriorMsPerToken, kPriorTokens, kMinMsPerToken,
    kMaxMsPerToken};
const EngineModel::LineRule EngineModel::kDecodeRule = {
    kPriorGapMs, kPriorGapMsPerRequest, kPriorRequests, kMinGapMsPerRequest,
    kMaxGapMsPerRequest};

EngineModel::Line::Line(const LineRule& line_rule) : rule(line_rule) {
  for (const double tokens : {0.0, rule.prior_tokens}) {
    const double ms = rule.prior_fixed_ms + tokens * rule.prior_ms_per_token;
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
  ms_per_token =
      std::clamp(ms_per_token, rule.min_ms_per_token, rule.max_ms_per_token);
  fixed_ms = std::clamp((sum_ms - ms_per_token * sum_tokens) / sum_weights,
                        kMinFixedMs, kMaxFixedMs);
}

auto EngineModel::Line::Observe(double tokens, double ms) -> double {
  const double expected_ms = At(tokens);
  const double ratio = ms / expected_ms;
  Decay();
  Add(tokens, std::clamp(ratio, kMinRatio, kMaxRatio) * expected_ms,
      RelativeWeight(expected_ms));
  Fit();
  answers = std::min(answers + 1, kFittedAnswers);
  return ratio;
}

auto EngineModel::Line::IsFitted() const -> bool {
  return answers >= kFittedAnswers;
}

void EngineModel::Factor::Add(double ratio, bool fitted) {
  const double weight = fitted ? 1 / (kFactorPrior + answers) : kFactorWeight;
  value += weight * (std::clamp(ratio, kMinFactor, kMaxFactor) - value);
  if (fitted)
    answers = std::min(answers + 1, kMaxFactorAnswers);
}

auto EngineModel::LinesOf(PoolId pool) const -> const PoolLines& {
  const auto found = lines_.find(pool);
  return found == lines_.end() ? prior_ : found->second;
}

auto EngineModel::FactorsOf(TargetId target) const -> const Factors* {
  const auto found = factors_.find(target);
  return found == factors_.end() ? nullptr : &found->second;
}

auto EngineModel::Combine(const Factor& own, const Factor& speed) -> double {
  return (own.answers * own.value + kSpeedWeight * speed.value) /
         (own.answers + kSpeedWeight);
}

auto EngineModel::ReadFactor(TargetId target) const -> double {
  const Factors* factors = FactorsOf(target);
  return factors == nullptr ? 1 : Combine(factors->read, factors->speed);
}

auto EngineModel::DecodeFactor(TargetId target) const -> double {
  const Factors* factors = FactorsOf(target);
  return factors == nullptr ? 1 : Combine(factors->decode, factors->speed);
}

auto EngineModel::ReadMs(Engine engine, double tokens) const -> double {
  return tokens * LinesOf(engine.pool).read.ms_per_token *
         ReadFactor(engine.target);
}

auto EngineModel::FirstByteMs(Engine engine, double tokens) const -> double {
  return LinesOf(engine.pool).read.At(tokens) * ReadFactor(engine.target);
}

auto EngineModel::PoolGapMs(PoolId pool, DecodeLoad load) const -> double {
  const PoolLines& lines = LinesOf(pool);
  return lines.decode.At(load.running) *
         (load.reading ? lines.reading_ratio : 1);
}

auto EngineModel::EventGapMs(Engine engine, DecodeLoad load) const
    -> std::optional<double> {
  if (!LinesOf(engine.pool).decode.IsFitted())
    return std::nullopt;
  return PoolGapMs(engine.pool, load) * DecodeFactor(engine.target);
}

void EngineModel::Retain(const std::set<TargetId>& targets) {
  std::erase_if(factors_, [&](const auto& factor) {
    return !targets.contains(factor.first);
  });
}

void EngineModel::Observe(Engine engine, double tokens, Millis elapsed) {
  Line& line = lines_[engine.pool].read;
  const bool fitted = line.IsFitted();
  const double ratio =
      line.Observe(tokens, static_cast<double>(elapsed.count()));
  Factors& factors = factors_[engine.target];
  factors.read.Add(ratio, fitted);
  factors.speed.Add(ratio, fitted);
}

// Until the pool's line is fitted, gaps say nothing of one engine.
void EngineModel::ObserveGap(Engine engine, DecodeLoad load, double gap_ms) {
  PoolLines& lines = lines_[engine.pool];
  if (!lines.decode.IsFitted()) {
    if (!load.reading)
      lines.decode.Observe(load.running, gap_ms);
    return;
  }
  Factors& factors = factors_[engine.target];
  double ratio = 1;
  if (load.reading) {
    const double decode_ms = lines.decode.At(load.running);
    ratio = gap_ms / (decode_ms * lines.reading_ratio);
    const double reading_ratio =
        std::clamp(gap_ms / (decode_ms * DecodeFactor(engine.target)), 1.0,
                   kMaxReadingRatio);
    lines.reading_ratio +=
        kReadingRatioWeight * (reading_ratio - lines.reading_ratio);
  } else {
    ratio = lines.decode.Observe(load.running, gap_ms);
  }
  factors.decode.Add(ratio, /*fitted=*/true);
  factors.speed.Add(ratio, /*fitted=*/true);
}

}  // namespace sparbend
