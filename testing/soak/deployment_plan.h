// What a soak of a deployment does to it and when, drawn from a seed: faults
// alone, and in pairs that overlap.
//
//   const DeploymentPlan plan = MakeDeploymentPlan(seed, deployment);
#ifndef TESTING_SOAK_DEPLOYMENT_PLAN_H_
#define TESTING_SOAK_DEPLOYMENT_PLAN_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "testing/soak/deployment.h"

namespace sparbend::testing {

enum class DeploymentAct {
  kReturnStore,    // away, then back from a copy some seconds old
  kRestartTarget,  // ends, and starts under its id with other software
  kPauseBox,       // SIGSTOP, and SIGCONT at the end
  kKillBox,        // SIGKILL, started again at the end
};
inline constexpr int kDeploymentActs =
    static_cast<int>(DeploymentAct::kKillBox) + 1;

auto ToString(DeploymentAct act) -> std::string_view;
auto ParseDeploymentAct(std::string_view name) -> std::optional<DeploymentAct>;

struct DeploymentStep {
  Millis at;
  DeploymentAct act = DeploymentAct::kReturnStore;
  int index = 0;  // of the box or target, or a number to choose by
  Millis span;    // how long it lasts

  auto operator==(const DeploymentStep&) const -> bool = default;
};

using DeploymentPlan = std::vector<DeploymentStep>;  // in the order of time

auto MakeDeploymentPlan(uint64_t seed, const Deployment& deployment)
    -> DeploymentPlan;

}  // namespace sparbend::testing

#endif  // TESTING_SOAK_DEPLOYMENT_PLAN_H_
