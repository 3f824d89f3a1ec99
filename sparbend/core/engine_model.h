// Estimates the time to an engine's first token, and the time between events of
// its streams, from earlier answers. Both are linear: a fixed time, plus a time
// for each prompt token that is read first, or for each request that runs. They
// are fitted per pool, since the engines of a pool are mostly alike, with
// factors for each engine that differs: one for reading prompts, one for
// decoding.
//
//   model.FirstByteMs(engine, queued_tokens + own_tokens)
//   model.Observe(engine, queued_tokens + own_tokens, elapsed);
//   model.EventGapMs(engine, load)
//   model.ObserveGap(engine, load, gap_ms);
//
// Performs no I/O and reads no clock. Token counts are those that this box
// knows of when it sends, so the fit also covers what these counts lack, such
// as load reports of peers that come late.
#ifndef SPARBEND_CORE_ENGINE_MODEL_H_
#define SPARBEND_CORE_ENGINE_MODEL_H_

#include <optional>
#include <set>
#include <unordered_map>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"

namespace sparbend {

class EngineModel {
 public:
  struct Engine {
    PoolId pool = 0;
    TargetId target = 0;

    auto operator==(const Engine&) const -> bool = default;
  };

  // What the time between two events of a stream depends on.
  struct DecodeLoad {
    double running = 1;    // requests that run at the engine
    bool reading = false;  // it also reads prompts

    auto operator==(const DecodeLoad&) const -> bool = default;
  };

  // Time to read `tokens` prompt tokens at `engine`, without the fixed time.
  auto ReadMs(Engine engine, double tokens) const -> double;
  // Time to the first byte if `tokens` prompt tokens are read before it.
  auto FirstByteMs(Engine engine, double tokens) const -> double;
  // Updates the model: a first byte came `elapsed` after its request was sent,
  // with an estimated `tokens` prompt tokens to read before it.
  void Observe(Engine engine, double tokens, Millis elapsed);
  // Time between two events of a stream; nothing until the pool's answers
  // suffice for an estimate.
  auto EventGapMs(Engine engine, DecodeLoad load) const
      -> std::optional<double>;
  // The same for the usual engine of a pool. Meant for comparisons: it is an
  // assumption while the pool has shown too little.
  auto PoolGapMs(PoolId pool, DecodeLoad load) const -> double;
  // Updates the model by the mean gap of several events at about that load.
  void ObserveGap(Engine engine, DecodeLoad load, double gap_ms);
  // Factors of the engine's times for reading and decoding, against its pool.
  auto ReadFactor(TargetId target) const -> double;
  auto DecodeFactor(TargetId target) const -> double;
  // Forgets the factors of targets that are not in `targets`.
  void Retain(const std::set<TargetId>& targets);

 private:
  // Range and prior of a line.
  struct LineRule {
    double prior_fixed_ms = 0;
    double prior_ms_per_token = 0;
    double prior_tokens = 0;
    double min_ms_per_token = 0;
    double max_ms_per_token = 0;

    auto operator==(const LineRule&) const -> bool = default;
  };
  static const LineRule kReadRule;
  static const LineRule kDecodeRule;

  // A weighted least-squares line of a time over tokens (or over running
  // requests), with the sums that it is fitted from.
  struct Line {
    LineRule rule;
    int answers = 0;  // observed, up to a bound
    double sum_weights = 0;
    double sum_tokens = 0;
    double sum_ms = 0;
    double sum_tokens_squared = 0;
    double sum_tokens_ms = 0;
    double fixed_ms = 0;
    double ms_per_token = 0;

    explicit Line(const LineRule& line_rule);
    auto At(double tokens) const -> double {
      return fixed_ms + tokens * ms_per_token;
    }
    // Updates the line by an observed `ms` at `tokens`. Returns the ratio to
    // what the line expected.
    auto Observe(double tokens, double ms) -> double;
    // Whether more answers than the prior is worth were observed.
    auto IsFitted() const -> bool;
    void Add(double tokens, double ms, double weight);
    // Scales down the weight of all earlier answers.
    void Decay();
    // Recomputes fixed_ms and ms_per_token from the sums.
    void Fit();
  };

  // A moving average of ratios whose weights follow the number of answers.
  struct Factor {
    double value = 1;
    double answers = 0;  // that it is based on, up to a bound

    // `fitted`: whether the line that the ratio refers to can be relied on.
    void Add(double ratio, bool fitted);
  };
  struct Factors {
    Factor speed;  // of both kinds of work
    Factor read;
    Factor decode;
  };
  struct PoolLines {
    Line read{kReadRule};
    Line decode{kDecodeRule};
    // How many times longer gaps are while prompts are read.
    double reading_ratio = 1;
  };

  auto LinesOf(PoolId pool) const -> const PoolLines&;
  auto FactorsOf(TargetId target) const -> const Factors*;
  // The factor of one kind of work, by its own answers and those of both kinds.
  static auto Combine(const Factor& own, const Factor& speed) -> double;

  std::unordered_map<PoolId, PoolLines> lines_;
  std::unordered_map<TargetId, Factors> factors_;
  PoolLines prior_;  // the prior, for pools without observations
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_ENGINE_MODEL_H_
