// Estimates the time to an engine's first token from earlier answers. The model
// is linear: a fixed time, plus a time for each prompt token that is read
// first, those of the request and those queued before it. It is fitted per
// pool, since the engines of a pool are mostly alike, with a factor for each
// engine that differs.
//
//   model.FirstByteMs(engine, queued_tokens + own_tokens)
//   model.Observe(engine, queued_tokens + own_tokens, elapsed);
//
// Performs no I/O and reads no clock. Token counts are those that this box
// knows of when it sends, so the fit also covers what these counts lack, such
// as load reports of peers that come late.
#ifndef SPARBEND_CORE_ENGINE_MODEL_H_
#define SPARBEND_CORE_ENGINE_MODEL_H_

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

  // Time to read `tokens` prompt tokens at `engine`, without the fixed time.
  auto ReadMs(Engine engine, double tokens) const -> double;
  // Time to the first byte if `tokens` prompt tokens are read before it.
  auto FirstByteMs(Engine engine, double tokens) const -> double;
  // Updates the model: a first byte came `elapsed` after its request was sent,
  // with an estimated `tokens` prompt tokens to read before it.
  void Observe(Engine engine, double tokens, Millis elapsed);
  // Forgets the factors of targets that are not in `targets`.
  void Retain(const std::set<TargetId>& targets);

 private:
  // A weighted least-squares line of first-byte time over tokens, with the sums
  // that it is fitted from.
  struct Line {
    double sum_weights = 0;
    double sum_tokens = 0;
    double sum_ms = 0;
    double sum_tokens_squared = 0;
    double sum_tokens_ms = 0;
    double fixed_ms = 0;
    double ms_per_token = 0;

    Line();
    void Add(double tokens, double ms, double weight);
    // Scales down the weight of all earlier answers.
    void Decay();
    // Recomputes fixed_ms and ms_per_token from the sums.
    void Fit();
  };

  auto LineOf(PoolId pool) const -> const Line&;
  auto FactorOf(TargetId target) const -> double;

  std::unordered_map<PoolId, Line> lines_;
  std::unordered_map<TargetId, double> factors_;
  Line prior_;  // the prior, for pools without observations
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_ENGINE_MODEL_H_
