// Faults are drawn independently, so they come in series and overlap; nothing
// keeps one from hitting a box that another has hit already.
#include "testing/soak/plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <tuple>

namespace sparbend::testing {
namespace {

constexpr std::array<std::string_view, kSoakActs> kNames = {
    "pause-box",    "kill-box",      "stop-box",      "reload-box",
    "delay-target", "reset-target",  "reset-answer",  "silence-target",
    "refuse-store", "silence-store", "refuse-one",    "lose-history",
    "configure",    "kill-all",      "remove-version"};
constexpr int kActsWithoutUpgrades = static_cast<int>(SoakAct::kConfigure) + 1;
constexpr int64_t kLeastSpanMs = 100;
constexpr int64_t kMostSpanMs = 1'500;

auto OfTarget(SoakAct act) -> bool {
  return act >= SoakAct::kDelayTarget && act <= SoakAct::kSilenceTarget;
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
    const bool upgrade = shape.upgrades && i % 2 == 0;
    step.act = static_cast<SoakAct>(
        draw(upgrade ? kActsWithoutUpgrades : 0,
             upgrade ? kSoakActs - 1 : kActsWithoutUpgrades - 1));
    const int things = OfTarget(step.act) ? shape.targets : shape.boxes;
    step.index = static_cast<int>(draw(0, things - 1));
    step.span = Millis(draw(kLeastSpanMs, kMostSpanMs));
    plan.push_back(step);
  }
  std::ranges::sort(plan, [](const SoakStep& a, const SoakStep& b) {
    return std::tie(a.at, a.act, a.index, a.span) <
           std::tie(b.at, b.act, b.index, b.span);
  });
  return plan;
}

}  // namespace sparbend::testing
