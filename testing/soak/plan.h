// What a soak does to the system and when, drawn from a seed: the same seed
// gives the same plan.
//
//   const SoakPlan plan = MakePlan(seed, shape);
#ifndef TESTING_SOAK_PLAN_H_
#define TESTING_SOAK_PLAN_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "sparbend/core/millis.h"

namespace sparbend::testing {

enum class SoakAct {
  kPauseBox,       // SIGSTOP, and SIGCONT at the end
  kKillBox,        // SIGKILL, started again at the end
  kStopBox,        // SIGTERM, started again once it is gone
  kReloadBox,      // SIGHUP
  kDelayTarget,    // its connections pass bytes late
  kResetTarget,    // its connections are reset after a few bytes
  kResetAnswers,   // the same, after a few bytes of the answer
  kSilenceTarget,  // cut one way: its answers vanish
  kRefuseStore,    // the store turns calls away
  kSilenceStore,   // the store takes calls and does not answer
  kRefuseOneBox,   // the store turns one box away
  kLoseHistory,    // the store's history is gone
  kConfigure,      // a new version: the workspace's key changes
  // Only if SoakShape::upgrades:
  kKillAllBoxes,   // SIGKILL to each, started again at the end
  kRemoveVersion,  // the engines of one software version leave the list
  // Only if SoakShape::partitions:
  kHoldTarget,  // what is on its connections arrives at the end
  kHoldStore,   // the same of the store
};
inline constexpr int kSoakActs = static_cast<int>(SoakAct::kHoldStore) + 1;

auto ToString(SoakAct act) -> std::string_view;

struct SoakShape {
  int boxes = 3;
  int targets = 4;
  Millis span = Millis(8'000);  // in which faults begin
  int acts = 14;
  int deadly = 0;  // requests that end their targets, all the time
  // Targets turn requests away for spells and ask for none; one says in its
  // answers that it leaves.
  bool refusing = false;
  // Engines of one version leave the list and come back; all boxes end at once.
  bool upgrades = false;
  // Partitions, which heal, between boxes and targets or the store.
  bool partitions = false;

  auto operator==(const SoakShape&) const -> bool = default;
};

struct SoakStep {
  Millis at;
  SoakAct act = SoakAct::kConfigure;
  int index = 0;  // of the box or target
  Millis span;    // how long it lasts

  auto operator==(const SoakStep&) const -> bool = default;
};

using SoakPlan = std::vector<SoakStep>;  // in the order of time

auto MakePlan(uint64_t seed, const SoakShape& shape) -> SoakPlan;

}  // namespace sparbend::testing

#endif  // TESTING_SOAK_PLAN_H_
