// Faults are drawn independently, so they come in series and overlap; nothing
// keeps one from hitting a box that another has hit already.
#include "testing/soak/plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <tuple>
#include <utility>

namespace sparbend::testing {
namespace {

constexpr std::array<std::string_view, kSoakActs> kNames = {
    "pause-box",    "kill-box",      "stop-box",       "reload-box",
    "delay-target", "reset-target",  "reset-answer",   "silence-target",
    "refuse-store", "silence-store", "refuse-one",     "lose-history",
    "configure",    "kill-all",      "remove-version", "hold-target",
    "hold-store"};
constexpr int64_t kLeastSpanMs = 100;
constexpr int64_t kMostSpanMs = 1'500;
// Added to that of a partition, so that it outlasts what callers wait for.
constexpr Millis kPartitionSpan = Millis(3'000);

auto OfTarget(SoakAct act) -> bool {
  return act == SoakAct::kHoldTarget ||
         (act >= SoakAct::kDelayTarget && act <= SoakAct::kSilenceTarget);
}

// The first and the last act that step `number` is drawn from.
auto ActsOf(const SoakShape& shape, int number) -> std::pair<SoakAct, SoakAct> {
  if (shape.upgrades && number % 2 == 0)
    return {SoakAct::kKillAllBoxes, SoakAct::kRemoveVersion};
  if (shape.partitions && number % 2 == 0)
    return {SoakAct::kHoldTarget, SoakAct::kHoldStore};
  return {SoakAct::kPauseBox, SoakAct::kConfigure};
}

}  // namespace

auto ToString(SoakAct act) -> std::string_view {
  return kNames[static_cast<size_t>(act)];
}

auto MakePlan(uint64_t seed, const SoakShape& shape) -> SoakPlan {
  std::mt19937_64 random(seed);
  const auto draw = [&](int64_t least, int64_t most) {
    return std::uniform_int_distribution<int64_t>(least, most)(random);
  };
  SoakPlan plan;
  for (int i = 0; i < shape.acts; ++i) {
    SoakStep step;
    step.at = Millis(draw(0, shape.span.count()));
    const auto [first, last] = ActsOf(shape, i);
    step.act = static_cast<SoakAct>(
        draw(static_cast<int>(first), static_cast<int>(last)));
    const int things = OfTarget(step.act) ? shape.targets : shape.boxes;
    step.index = static_cast<int>(draw(0, things - 1));
    step.span = Millis(draw(kLeastSpanMs, kMostSpanMs));
    if (step.act == SoakAct::kHoldTarget || step.act == SoakAct::kHoldStore)
      step.span = step.span + kPartitionSpan;
    plan.push_back(step);
  }
  std::ranges::sort(plan, [](const SoakStep& a, const SoakStep& b) {
    return std::tie(a.at, a.act, a.index, a.span) <
           std::tie(b.at, b.act, b.index, b.span);
  });
  return plan;
}

}  // namespace sparbend::testing
