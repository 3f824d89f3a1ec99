// Limits the rate of requests to cold targets. A target that has just started
// sustains only a few requests per second for some time, and fails at a rate
// well above that, whichever boxes the requests come from. ColdTargets decides
// whether this box may send one now.
//
//   cold_targets.SetBoxes(self, boxes);
//   cold_targets.SetPools(requests_per_s);
//   cold_targets.SetCold(target, until);
//   if (cold_targets.MaySend(target, pool, now)) {
//     ...
//     cold_targets.RecordSent(target, now);
//   }
//
// Performs no I/O and reads no clock.
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
  // Sets the boxes of the fleet, live or not; `self` is one of them.
  void SetBoxes(BoxId self, std::vector<BoxId> boxes);
  // Sets the requests per second, from all boxes together, that a cold target
  // of each pool sustains. Targets of other pools are not limited.
  void SetPools(std::map<PoolId, double> requests_per_s);
  // Forgets targets that are not in `targets`.
  void Retain(const std::set<TargetId>& targets);

  // Treats the target as cold until `until` at least. An `until` before the
  // present end has no effect.
  void SetCold(TargetId target, Millis until);

  auto IsCold(TargetId target, Millis now) const -> bool;
  // Whether this box may send a request to the target at `now`; always true for
  // a target that is not cold.
  auto MaySend(TargetId target, PoolId pool, Millis now) const -> bool;
  // Records that a request was sent, which MaySend counts against the rate.
  void RecordSent(TargetId target, Millis now);

 private:
  struct State {
    Millis until;
    Millis last_sent{INT64_MIN / 2};  // when this box last sent it a request
  };

  // Whether this box is one of the boxes that send to the target while it is
  // cold.
  auto IsSender(TargetId target) const -> bool;

  BoxId self_ = 0;
  std::vector<BoxId> boxes_;
  std::map<PoolId, double> requests_per_s_;
  std::unordered_map<TargetId, State> states_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_COLD_TARGETS_H_
