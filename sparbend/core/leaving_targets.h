// Targets that are known to be leaving from a source other than the list of
// targets: their own answers, or the gossip of another box. They count as
// leaving whatever the list says. It may still name such a target as ready, or
// lack it for a while and name it again.
//
//   leaving.Add(target);
//   leaving.SetListed(is_listed, now);  // with each new list
//   if (leaving.Contains(target)) ...
//
// Does no I/O.
#ifndef SPARBEND_CORE_LEAVING_TARGETS_H_
#define SPARBEND_CORE_LEAVING_TARGETS_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"

namespace sparbend {

class LeavingTargets {
 public:
  // A target that is no longer listed is removed after `retention`. Zero, which
  // removes it with the first list that lacks it, is for targets that may have
  // the same id after a restart.
  explicit LeavingTargets(Millis retention) : retention_(retention) {}

  // True if the target was not in the set.
  auto Add(TargetId target) -> bool;
  auto Contains(TargetId target) const -> bool {
    return targets_.contains(target);
  }
  // Updates the set from a new list of targets, and removes those that have
  // been off the list for the retention time.
  void SetListed(const std::function<bool(TargetId)>& is_listed, Millis now);
  // Those that the last list named, and those added since.
  auto Listed() const -> std::vector<TargetId>;

 private:
  Millis retention_;
  // All leaving targets. The value is the time when a list first lacked the
  // target; nullopt while the list names it, or if no list came since it was
  // added.
  std::map<TargetId, std::optional<Millis>> targets_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_LEAVING_TARGETS_H_
