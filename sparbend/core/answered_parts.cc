// Invariant: by_time_ has each key of positions_ once.
#include "sparbend/core/answered_parts.h"

namespace sparbend {
namespace {

// Some hundred bytes each. A part that is dropped is suspected as one that was
// never answered.
constexpr size_t kMaxParts = 4'096;

}  // namespace

void AnsweredParts::Add(const Fingerprint& part) {
  const auto found = positions_.find(part);
  if (found != positions_.end()) {
    by_time_.splice(by_time_.begin(), by_time_, found->second);
    return;
  }
  by_time_.push_front(part);
  positions_[part] = by_time_.begin();
  if (positions_.size() <= kMaxParts)
    return;
  positions_.erase(by_time_.back());
  by_time_.pop_back();
}

}  // namespace sparbend
