// A report of an offset covers all changes below it, so only an offset that is
// higher than all known ones adds an entry.
#include "sparbend/core/pending_changes.h"

#include <algorithm>

namespace sparbend {

void PendingChanges::OnReported(int64_t offset, Millis now) {
  const int64_t highest =
      reported_at_.empty() ? used_ : reported_at_.rbegin()->first;
  if (offset <= highest)
    return;
  if (reported_at_.size() >= kMaxTracked) {
    auto last = reported_at_.extract(std::prev(reported_at_.end()));
    last.key() = offset;
    reported_at_.insert(std::move(last));
    return;
  }
  reported_at_.emplace(offset, now);
}

void PendingChanges::OnUsed(int64_t offset) {
  used_ = std::max(used_, offset);
  reported_at_.erase(reported_at_.begin(), reported_at_.upper_bound(used_));
}

auto PendingChanges::OldestAge(Millis now) const -> Millis {
  return reported_at_.empty() ? Millis(0) : now - reported_at_.begin()->second;
}

}  // namespace sparbend
