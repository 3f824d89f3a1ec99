// Targets that are known to leave by something else than the list of targets:
// their own word, or that of another box. The list may name such a target as
// ready, lose it and bring it back; it leaves all the same.
//
//   leaving.Add(target);
//   leaving.SetListed(listed, now);   // with each new list
//   if (leaving.Contains(target)) ...
//
// Pure.
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
  // A target that is not listed is forgotten after `kept`: with zero at once,
  // where another start of it may have the same id.
  explicit LeavingTargets(Millis kept) : kept_(kept) {}

  // True if that is news.
  auto Add(TargetId target) -> bool;
  auto Contains(TargetId target) const -> bool {
    return unlisted_since_.contains(target);
  }
  void SetListed(const std::function<bool(TargetId)>& is_listed, Millis now);
  // Those that the last list named, or that came since.
  auto Listed() const -> std::vector<TargetId>;

 private:
  Millis kept_;
  // When the list was first seen without the target; nothing: it names it.
  std::map<TargetId, std::optional<Millis>> unlisted_since_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_LEAVING_TARGETS_H_
