// How soon an engine's first token comes, learned from what came before: a
// fixed time, and a time for each prompt token that is read before it, its own
// and those queued ahead. Learned for a pool, since its engines are mostly
// alike, with a factor for each engine that is not.
//
//   model.FirstByteMs(engine, queued_tokens, own_tokens)
//   model.Observe(engine, queued_tokens + own_tokens, taken);
//
// Pure. Tokens are as this box believes them when it sends, so what the belief
// lacks (words of peers that are late) is learned along with the speed.
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

  // Time to read `tokens` at `engine`.
  auto ReadMs(Engine engine, double tokens) const -> double;
  // Time to the first byte with `tokens` to be read before it.
  auto FirstByteMs(Engine engine, double tokens) const -> double;
  // A first byte came `taken` after its request was sent, with `tokens`
  // believed to be read before it.
  void Observe(Engine engine, double tokens, Millis taken);
  // Forgets all other targets.
  void Retain(const std::set<TargetId>& targets);

 private:
  // A line through what was seen, weighted sums of a regression.
  struct Line {
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    double fixed_ms = 0;
    double ms_per_token = 0;

    Line();
    void Add(double tokens, double ms, double times);
    void Fade();
    void Fit();
  };

  auto LineOf(PoolId pool) const -> const Line&;
  auto FactorOf(TargetId target) const -> double;

  std::unordered_map<PoolId, Line> lines_;
  std::unordered_map<TargetId, double> factors_;
  Line unknown_;  // of a pool that nothing is known of
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_ENGINE_MODEL_H_
