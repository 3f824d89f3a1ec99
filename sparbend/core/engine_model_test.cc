// Tests how the model fits observed answers, and the bound on one engine's
// influence on it.
#include "sparbend/core/engine_model.h"

#include <cmath>

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr PoolId kPool = 1;
constexpr EngineModel::Engine kFirstEngine = {kPool, 101};
constexpr EngineModel::Engine kSecondEngine = {kPool, 102};

TEST_GROUP(EngineModel) {
  EngineModel model;

  // Observes answers to prompts of many sizes from an engine of that speed.
  void ObserveAnswers(EngineModel::Engine engine, double fixed_ms,
                      double tokens_per_ms, int answers) {
    for (int i = 0; i < answers; ++i) {
      const double tokens = (i * 7919) % 20'000;
      model.Observe(engine, tokens,
                    Millis(std::llround(fixed_ms + tokens / tokens_per_ms)));
    }
  }
};

TEST(EngineModel, FitsTheSpeedOfTheEngines) {
  struct Case {
    double fixed_ms;
    double tokens_per_ms;
  };
  const Case cases[] = {{47, 51}, {47, 112}, {20, 400}, {300, 5}, {5, 20}};
  for (const Case& row : cases) {
    model = EngineModel();
    ObserveAnswers(kFirstEngine, row.fixed_ms, row.tokens_per_ms, 1'000);
    for (const double tokens : {200.0, 5'000.0, 15'000.0}) {
      const double actual_ms = row.fixed_ms + tokens / row.tokens_per_ms;
      const double estimate = model.FirstByteMs(kFirstEngine, tokens);
      CHECK(estimate > 0.85 * actual_ms);
      CHECK(estimate < 1.15 * actual_ms);
    }
  }
}

TEST(EngineModel, FollowsAChangeOfSpeed) {
  ObserveAnswers(kFirstEngine, 47, 50, 1'000);
  ObserveAnswers(kFirstEngine, 47, 110, 1'500);
  const double estimate = model.ReadMs(kFirstEngine, 11'000);
  CHECK(estimate > 85);
  CHECK(estimate < 115);
}

// One engine of nine answers late. Its own estimate follows; those of the
// others barely change.
TEST(EngineModel, SlowEngineBarelyChangesEstimatesOfOthers) {
  for (int round = 0; round < 400; ++round) {
    const double tokens = (round * 7919) % 20'000;
    const auto usual = Millis(std::llround(50 + tokens / 100));
    for (TargetId target = 1; target <= 8; ++target)
      model.Observe({kPool, target}, tokens, usual);
    model.Observe({kPool, 9}, tokens, Millis(1'000'000'000));
  }
  const double usual_ms = 50 + 5'000.0 / 100;
  CHECK(model.FirstByteMs({kPool, 1}, 5'000) < 1.3 * usual_ms);
  CHECK(model.FirstByteMs({kPool, 9}, 5'000) > 4 * usual_ms);
}

TEST(EngineModel, PromptsOfOneSizeFitThatSize) {
  for (int i = 0; i < 500; ++i)
    model.Observe(kFirstEngine, 3'000, Millis(400));
  DOUBLES_EQUAL(400, model.FirstByteMs(kFirstEngine, 3'000), 40);
}

TEST(EngineModel, RemovedEngineGetsTheEstimateOfItsPool) {
  ObserveAnswers(kFirstEngine, 50, 100, 300);
  for (int i = 0; i < 100; ++i)
    model.Observe(kSecondEngine, 1'000, Millis(10'000));
  const double slow = model.FirstByteMs(kSecondEngine, 1'000);
  model.Retain({kFirstEngine.target});
  CHECK(model.FirstByteMs(kSecondEngine, 1'000) < slow / 2);
}

// For any observed answers, estimates are finite and positive, and grow with
// the number of tokens.
TEST(EngineModel, EstimatesAreFiniteAndIncreasingForAnyAnswers) {
  testing::CheckHolds("estimates are finite and increasing", [] {
    EngineModel fitted;
    const auto answers =
        *rc::gen::container<std::vector<std::pair<int64_t, int64_t>>>(
            rc::gen::pair(rc::gen::inRange<int64_t>(0, 100'000'000),
                          rc::gen::inRange<int64_t>(0, 100'000'000)));
    for (const auto& [tokens, elapsed_ms] : answers)
      fitted.Observe(kFirstEngine, static_cast<double>(tokens),
                     Millis(elapsed_ms));
    double previous = 0;
    for (const double tokens : {0.0, 100.0, 10'000.0, 1e8}) {
      const double estimate = fitted.FirstByteMs(kFirstEngine, tokens);
      RC_ASSERT(std::isfinite(estimate));
      RC_ASSERT(estimate > previous);
      previous = estimate;
    }
  });
}

}  // namespace
}  // namespace sparbend
