// An introduction is repeated because datagrams get lost and the receiver may
// be busy. A box that never confirms is down, or of a build without
// introductions, and learns of this box from the list.
#include "sparbend/core/introductions.h"

#include <algorithm>

namespace sparbend {
namespace {

// Long enough for an answer from a busy box, and short against the time in
// which clients begin to use a box that starts.
constexpr Millis kRepeatInterval = Millis(250);
constexpr int kMaxIntroductions = 4;

}  // namespace

void Introductions::Start(const BoxEntry& self) {
  if (self_ == self)
    return;
  self_ = self;
  sent_.clear();
}

auto Introductions::TakeDue(const std::vector<BoxId>& boxes, Millis now)
    -> std::vector<BoxId> {
  std::vector<BoxId> due;
  if (!self_)
    return due;
  for (const BoxId box : boxes) {
    Sent& sent = sent_[box];
    if (sent.confirmed || sent.count == kMaxIntroductions ||
        (sent.count > 0 && now - sent.at < kRepeatInterval))
      continue;
    ++sent.count;
    sent.at = now;
    due.push_back(box);
  }
  return due;
}

auto Introductions::AllConfirmed(const std::vector<BoxId>& boxes) const
    -> bool {
  return !self_ || std::ranges::all_of(boxes, [this](BoxId box) {
    const auto sent = sent_.find(box);
    return sent != sent_.end() && sent->second.confirmed;
  });
}

auto Introductions::Add(const BoxEntry& box) -> bool {
  const BoxId id = BoxIdOf(box.name);
  if (!unlisted_.contains(id) && unlisted_.size() == kMaxUnlisted)
    return false;
  unlisted_[id] = box;
  return true;
}

void Introductions::OnList(const MemberList& list,
                           const std::function<bool(BoxId)>& may_be_live) {
  for (const BoxEntry& box : list.boxes) {
    const auto introduced = unlisted_.find(BoxIdOf(box.name));
    if (introduced != unlisted_.end() && introduced->second == box)
      unlisted_.erase(introduced);
  }
  std::erase_if(unlisted_, [&](const auto& introduced) {
    return !may_be_live(introduced.first);
  });
}

}  // namespace sparbend
