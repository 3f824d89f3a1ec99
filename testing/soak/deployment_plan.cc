// The second fault of a pair begins while the first is in force, or not at all:
// every other step stands alone.
#include "testing/soak/deployment_plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <tuple>

namespace sparbend::testing {
namespace {

constexpr std::array<std::string_view, kDeploymentActs> kNames = {
    "return-store", "restart-target", "pause-box",   "kill-box",
    "slow-box",     "cut-off-box",    "join-target", "cut-heads",
    "odd-record",   "drain-box",      "kill-engine", "pause-engine"};
constexpr int kActsInProcess = static_cast<int>(DeploymentAct::kDrainBox);
constexpr int64_t kLeastSpanMs = 300;
constexpr int64_t kMostSpanMs = 2'500;
constexpr int64_t kMostAwayMs = 800;
constexpr int kMostIndex = 1'000'000;

}  // namespace

auto ToString(DeploymentAct act) -> std::string_view {
  return kNames[static_cast<size_t>(act)];
}

auto ParseDeploymentAct(std::string_view name) -> std::optional<DeploymentAct> {
  const auto found = std::ranges::find(kNames, name);
  if (found == kNames.end())
    return std::nullopt;
  return static_cast<DeploymentAct>(found - kNames.begin());
}

auto MakeDeploymentPlan(uint64_t seed, const Deployment& deployment)
    -> DeploymentPlan {
  std::mt19937_64 random(seed);
  const auto draw = [&](int64_t least, int64_t most) {
    return std::uniform_int_distribution<int64_t>(least, most)(random);
  };
  std::vector<DeploymentAct> acts;
  for (const std::string& name : deployment.acts) {
    if (const auto act = ParseDeploymentAct(name))
      acts.push_back(*act);
  }
  const bool all = acts.empty();
  const int count = deployment.processes ? kDeploymentActs : kActsInProcess;
  for (int act = 0; all && act < count; ++act)
    acts.push_back(static_cast<DeploymentAct>(act));
  const auto draw_step = [&](Millis from, Millis to) {
    DeploymentStep step;
    step.at = Millis(draw(from.count(), to.count()));
    step.act = acts[static_cast<size_t>(draw(0, std::ssize(acts) - 1))];
    step.index = static_cast<int>(draw(0, kMostIndex));
    const bool away = step.act == DeploymentAct::kReturnStore;
    step.span = Millis(draw(kLeastSpanMs, away ? kMostAwayMs : kMostSpanMs));
    return step;
  };
  DeploymentPlan plan;
  for (int pair = 0; pair < deployment.pairs; ++pair) {
    const DeploymentStep first = draw_step(Millis(0), deployment.span);
    plan.push_back(first);
    if (draw(0, 2) != 0)
      plan.push_back(draw_step(first.at, first.at + first.span));
  }
  std::ranges::sort(plan, {}, [](const DeploymentStep& step) {
    return std::tuple(step.at, step.act, step.index, step.span);
  });
  return plan;
}

}  // namespace sparbend::testing
