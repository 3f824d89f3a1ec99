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
  kSlowBox,        // stopped for most of the time, in short turns
  kCutOffBox,      // from the store
  kJoinTarget,     // of new software: enters the list, and leaves it at the end
  kCutHeads,       // a target ends its answers within the head
  kOddRecord,      // one that can't be decoded, alone or over a target's
  // Drawn only if engines are processes:
  kDrainBox,     // SIGTERM, started again once it has ended
  kKillEngine,   // SIGKILL; the next one listens before its record is written
  kPauseEngine,  // SIGSTOP, and SIGCONT at the end
};
inline constexpr int kDeploymentActs =
    static_cast<int>(DeploymentAct::kPauseEngine) + 1;

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
