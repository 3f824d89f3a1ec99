// Who is in the fleet: the platform's list says who may be a member, hearing
// from a box says that it lives, directly or by what others have heard.
//
//   members.SetList(version, boxes);      // as read, however late
//   members.Heard(box, incarnation, heartbeat, leaving, now);
//   members.AllocatorOf(target_name, hall, now);
//
// Leaving is sticky for an incarnation: nothing but a later one undoes it.
#ifndef SPARBEND_CORE_MEMBERS_H_
#define SPARBEND_CORE_MEMBERS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/messages.h"
#include "sparbend/core/millis.h"

namespace sparbend {

// A box as the platform lists it.
struct BoxEntry {
  std::string name;
  std::string hall;
  std::string peer_address;   // ip:port, UDP
  std::string admin_address;  // ip:port, HTTP
  bool leaving = false;
  // Thousandths of a processor core that it may use; zero: not told.
  int processor = 0;

  auto operator==(const BoxEntry&) const -> bool = default;
};

// A target as the platform lists it.
struct TargetEntry {
  std::string name;
  std::string hall;
  std::string pool;
  std::string address;  // ip:port, HTTP
  int slots = 1;        // requests it runs well at once
  bool leaving = false;
  // When it started, in Unix milliseconds by its own clock; zero: not told. A
  // target may start again under its name, and then knows nothing of before.
  int64_t started_at_ms = 0;
  // How much longer from `beat` on it bears few requests only.
  Millis cold_left;
  // Rises with each sign of life since it started; zero: not told. Entries that
  // differ in this and in how long they stay cold are equal.
  int64_t beat = 0;

  auto operator==(const TargetEntry& other) const -> bool {
    return std::tie(name, hall, pool, address, slots, leaving, started_at_ms) ==
           std::tie(other.name, other.hall, other.pool, other.address,
                    other.slots, other.leaving, other.started_at_ms);
  }
};

// The number of one life of a target. Whatever is kept by it (loads, prefixes,
// speed, failures, connections) ends with that life.
auto IdOf(const TargetEntry& target) -> TargetId;

// The whole list at one version.
struct MemberList {
  int64_t version = 0;
  std::vector<BoxEntry> boxes;
  std::vector<TargetEntry> targets;

  auto operator==(const MemberList&) const -> bool = default;
};

// A box that was not heard of for this long is taken for dead.
inline constexpr Millis kSilence = Millis(2'000);

// The duty of the box that reads the platform's store for its hall.
inline constexpr const char* kStoreReaderRole = "store";

class Members {
 public:
  Members(std::string self, uint32_t incarnation);

  // Takes the list if it is newer than the one held; true if it was.
  auto SetList(const MemberList& list, Millis now) -> bool;
  auto list() const -> const MemberList& { return list_; }

  // A sign of life. Older incarnations and heartbeats change nothing.
  void OnMemberNews(const MemberNews& news, Millis now);
  // This box itself leaves.
  void LeaveSelf() { leaving_ = true; }

  auto self() const -> BoxId { return self_; }
  auto self_name() const -> const std::string& { return self_name_; }
  auto incarnation() const -> uint32_t { return incarnation_; }
  auto leaving() const -> bool { return leaving_; }
  auto Find(BoxId box) const -> const BoxEntry*;
  auto IsLive(BoxId box, Millis now) const -> bool;
  auto LiveBoxes(Millis now) const -> std::vector<BoxId>;

  // The live box of `hall` that allocates `target`'s slots by this box's
  // view: the highest rendezvous hash. Nothing if the hall has no live box.
  auto AllocatorOf(TargetId target, const std::string& hall, Millis now) const
      -> std::optional<BoxId>;

  // The boxes that add up for `hall`, at most `count`: those with the most
  // processor time among the live ones, and among equals by a rendezvous hash.
  // Boxes that were listed a moment ago count as live until they can be heard;
  // of a hall without any such box all may be meant, since a hall that was cut
  // off is not heard of.
  auto Aggregators(const std::string& hall, size_t count, Millis now) const
      -> std::vector<BoxId>;
  // Whether any box of `hall` but this one lives, as far as is known.
  auto AnyLive(const std::string& hall, Millis now) const -> bool;
  // The listed boxes of `hall` without this one, in a fixed order.
  auto BoxesOf(const std::string& hall) const -> const std::vector<BoxId>&;
  auto Halls() const -> std::vector<std::string>;

  // Whether this box is among the first `count` live boxes of its hall for
  // `duty`, ranked as Aggregators does; false when it is not listed. Others
  // that are not `able` are passed over; none given: all are.
  using IsAble = std::function<bool(BoxId)>;
  auto HasRole(const std::string& duty,
               size_t count,
               Millis now,
               const IsAble& able = nullptr) const -> bool;

  // News of third boxes to pass on, the next `most` in turn.
  auto NextNews(size_t most) -> std::vector<MemberNews>;

 private:
  struct State {
    uint32_t incarnation = 0;
    uint32_t heartbeat = 0;
    bool leaving = false;
    Millis heard;
  };

  std::string self_name_;
  BoxId self_;
  uint32_t incarnation_;
  bool leaving_ = false;
  MemberList list_;
  // The boxes of `hall`, this one included, the first to have `duty` first.
  auto Ranked(const std::string& hall, const std::string& duty) const
      -> const std::vector<BoxId>&;
  // Lives, or was listed too lately to have been heard.
  auto MayLive(BoxId box, Millis now) const -> bool;

  std::map<BoxId, BoxEntry> boxes_;
  std::map<std::string, std::vector<BoxId>> by_hall_;  // without this box
  std::map<BoxId, Millis> listed_at_;                  // first
  // By hall and duty; kept until the list changes, since a rank takes a hash.
  mutable std::map<std::pair<std::string, std::string>, std::vector<BoxId>>
      ranked_;
  std::map<BoxId, State> states_;
  BoxId passed_on_ = 0;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_MEMBERS_H_
