#include "sparbend/core/leaving_targets.h"

namespace sparbend {

auto LeavingTargets::Add(TargetId target) -> bool {
  return targets_.try_emplace(target).second;
}

void LeavingTargets::SetListed(const std::function<bool(TargetId)>& is_listed,
                               Millis now) {
  for (auto& [target, unlisted_since] : targets_) {
    if (is_listed(target))
      unlisted_since.reset();
    else if (!unlisted_since)
      unlisted_since = now;
  }
  std::erase_if(targets_, [&](const auto& entry) {
    return entry.second && now - *entry.second >= retention_;
  });
}

auto LeavingTargets::Listed() const -> std::vector<TargetId> {
  std::vector<TargetId> listed;
  for (const auto& [target, unlisted_since] : targets_) {
    if (!unlisted_since)
      listed.push_back(target);
  }
  return listed;
}

}  // namespace sparbend
