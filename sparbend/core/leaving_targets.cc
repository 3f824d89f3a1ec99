#include "sparbend/core/leaving_targets.h"

namespace sparbend {

auto LeavingTargets::Add(TargetId target) -> bool {
  return unlisted_since_.try_emplace(target).second;
}

void LeavingTargets::SetListed(const std::function<bool(TargetId)>& is_listed,
                               Millis now) {
  for (auto& [target, since] : unlisted_since_) {
    if (is_listed(target))
      since.reset();
    else if (!since)
      since = now;
  }
  std::erase_if(unlisted_since_, [&](const auto& entry) {
    return entry.second && now - *entry.second >= retention_;
  });
}

auto LeavingTargets::Listed() const -> std::vector<TargetId> {
  std::vector<TargetId> listed;
  for (const auto& [target, since] : unlisted_since_) {
    if (!since)
      listed.push_back(target);
  }
  return listed;
}

}  // namespace sparbend
