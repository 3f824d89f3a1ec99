// Which boxes this box still has to introduce itself to, and which boxes have
// introduced themselves to it and are not in the platform's list yet. Boxes
// read the list seconds apart, and not at all while the store is unavailable;
// until then a box that starts would be known to some of them only.
//
//   introductions.Start(self);
//   for (BoxId box : introductions.TakeDue(boxes, now))
//     Send(box, EncodeIntroduction(...));
//   introductions.OnConfirmed(box);
//
// Pure: no I/O and no clock.
#ifndef SPARBEND_CORE_INTRODUCTIONS_H_
#define SPARBEND_CORE_INTRODUCTIONS_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "sparbend/core/members.h"

namespace sparbend {

class Introductions {
 public:
  // Most boxes that may be known by their introduction alone.
  static constexpr size_t kMaxUnlisted = 1'024;

  // Starts to introduce this box as `self`, again if `self` has changed.
  void Start(const BoxEntry& self);
  // What this box introduces itself as; nothing before Start().
  auto self() const -> const std::optional<BoxEntry>& { return self_; }
  // Those of `boxes` that are to be sent an introduction now. Repeated a few
  // times until the box has confirmed it.
  auto TakeDue(const std::vector<BoxId>& boxes, Millis now)
      -> std::vector<BoxId>;
  // `box` lists this box now.
  void OnConfirmed(BoxId box) { sent_[box].confirmed = true; }
  // Whether all of `boxes` have confirmed, or Start() was not called.
  auto AllConfirmed(const std::vector<BoxId>& boxes) const -> bool;

  // Records that `box` introduced itself. Returns false if there are too many.
  auto Add(const BoxEntry& box) -> bool;
  // Drops the boxes that `list` states as they introduced themselves, and those
  // for which `may_be_live` is false.
  void OnList(const MemberList& list,
              const std::function<bool(BoxId)>& may_be_live);
  // The boxes that are known by their introduction alone.
  auto unlisted() const -> const std::map<BoxId, BoxEntry>& {
    return unlisted_;
  }

 private:
  struct Sent {
    int count = 0;
    Millis at;
    bool confirmed = false;
  };

  std::optional<BoxEntry> self_;
  std::map<BoxId, Sent> sent_;
  std::map<BoxId, BoxEntry> unlisted_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_INTRODUCTIONS_H_
