// Targets that just started bear few requests a second for some time, and fall
// over at a rate well above that, whichever boxes the requests come from. Says
// whether this box may send one now.
//
//   cold.SetBoxes(self, boxes); cold.SetPools(rates);
//   cold.SetCold(target, until);
//   if (cold.MaySend(target, pool, now)) { ...; cold.Sent(target, now); }
//
// Pure.
#ifndef SPARBEND_CORE_COLD_TARGETS_H_
#define SPARBEND_CORE_COLD_TARGETS_H_

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"

namespace sparbend {

class ColdTargets {
 public:
  // The boxes of the fleet, whether they live or not; `self` is among them.
  void SetBoxes(BoxId self, std::vector<BoxId> boxes);
  // Requests a second that a cold target of each pool bears; pools that are
  // not named have no cold targets.
  void SetPools(std::map<PoolId, double> per_second);
  // Forgets targets that are not among `targets`.
  void Retain(const std::set<TargetId>& targets);

  // The target stays cold until then, or may; an earlier end changes nothing.
  void SetCold(TargetId target, Millis until);

  auto IsCold(TargetId target, Millis now) const -> bool;
  auto MaySend(TargetId target, PoolId pool, Millis now) const -> bool;
  void Sent(TargetId target, Millis now);

 private:
  struct State {
    Millis until;
    Millis sent{INT64_MIN / 2};  // the last request
  };

  auto Keeps(TargetId target) const -> bool;

  BoxId self_ = 0;
  std::vector<BoxId> boxes_;
  std::map<PoolId, double> per_second_;
  std::unordered_map<TargetId, State> cold_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_COLD_TARGETS_H_
