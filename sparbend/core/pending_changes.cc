// A report of a position covers all changes before it, so only a position that
// is higher than all known ones adds an entry.
#include "sparbend/core/pending_changes.h"

#include <algorithm>

namespace sparbend {

void PendingChanges::OnReported(LogPosition position, Millis now) {
  const LogPosition highest =
      reported_at_.empty() ? used_ : reported_at_.rbegin()->first;
  if (position <= highest)
    return;
  if (reported_at_.size() >= kMaxTracked) {
    auto last = reported_at_.extract(std::prev(reported_at_.end()));
    last.key() = position;
    reported_at_.insert(std::move(last));
    return;
  }
  reported_at_.emplace(position, now);
}

void PendingChanges::OnUsed(LogPosition position) {
  used_ = std::max(used_, position);
  reported_at_.erase(reported_at_.begin(), reported_at_.upper_bound(used_));
}

auto PendingChanges::OldestAge(Millis now) const -> Millis {
  return reported_at_.empty() ? Millis(0) : now - reported_at_.begin()->second;
}

}  // namespace sparbend
