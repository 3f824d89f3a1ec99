// Membership of the fleet. The platform's list says which boxes may be members;
// datagrams from a box, or gossip about it from other boxes, show that it is
// live.
//
//   members.SetList(list, now);
//   members.OnMemberUpdate({box, incarnation, heartbeat, leaving}, now);
//   members.AllocatorOf(target, hall, now);
//
// Once a box is leaving, it stays so until an update with a higher incarnation.
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

// A box in the platform's list.
struct BoxEntry {
  std::string name;
  std::string hall;
  std::string peer_address;   // ip:port, UDP
  std::string admin_address;  // ip:port, HTTP
  bool leaving = false;
  // Thousandths of a processor core that the box may use; zero: unknown.
  int processor = 0;

  auto operator==(const BoxEntry&) const -> bool = default;
};

// Far more than any target runs at the same time.
inline constexpr int kMaxTargetSlots = 100'000;

// A target in the platform's list.
struct TargetEntry {
  std::string name;
  std::string hall;
  std::string pool;
  std::string address;  // ip:port, HTTP
  int slots = 1;        // requests that it runs well at the same time
  bool leaving = false;
  // Process start time in Unix milliseconds, by the target's clock; zero:
  // unknown. A target may restart under its name, and then has lost its state.
  int64_t started_at_ms = 0;
  // For how much longer, from `beat` on, the target is cold: it sustains only
  // few requests.
  Millis cold_left;
  // Heartbeat: rises with each record of the target since its start; zero:
  // unknown. Not part of the comparison, and neither is cold_left.
  int64_t beat = 0;
  // Of its software; empty if the list states none. Only targets of one version
  // may continue each other's streams.
  std::string version{};

  auto operator==(const TargetEntry& other) const -> bool {
    return std::tie(name, hall, pool, address, version, slots, leaving,
                    started_at_ms) ==
           std::tie(other.name, other.hall, other.pool, other.address,
                    other.version, other.slots, other.leaving,
                    other.started_at_ms);
  }
};

// The id of one incarnation of a target. State that is kept by this id (loads,
// prefix locations, speed, failures, connections) is not carried over to the
// next incarnation. Without a start time it is the id of the name.
auto IdOf(const TargetEntry& target) -> TargetId;

// The complete list at one version.
struct MemberList {
  int64_t version = 0;
  std::vector<BoxEntry> boxes;
  std::vector<TargetEntry> targets;

  auto operator==(const MemberList&) const -> bool = default;
};

// A box whose heartbeat has not risen for this long is considered dead.
inline constexpr Millis kMemberTimeout = Millis(2'000);

// The role of the box that reads the platform's store for its hall.
inline constexpr const char* kStoreReaderRole = "store";

class Members {
 public:
  Members(std::string self, uint32_t incarnation);

  // Replaces the list if the version of `list` is higher; returns whether it
  // is.
  auto SetList(const MemberList& list, Millis now) -> bool;
  // Adds `box` to the list, or replaces its entry.
  void PutBox(const BoxEntry& box, Millis now);
  auto list() const -> const MemberList& { return list_; }

  // Applies an update about a listed box, from the box itself or by gossip.
  // Ignores updates with an older incarnation or heartbeat, except that
  // `leaving` counts for the current incarnation at any heartbeat.
  void OnMemberUpdate(const MemberUpdate& update, Millis now);
  // Marks this box as leaving.
  void LeaveSelf() { leaving_ = true; }

  auto self() const -> BoxId { return self_; }
  auto self_name() const -> const std::string& { return self_name_; }
  auto incarnation() const -> uint32_t { return incarnation_; }
  auto leaving() const -> bool { return leaving_; }
  // Null if `box` is not listed.
  auto Find(BoxId box) const -> const BoxEntry*;
  auto IsLive(BoxId box, Millis now) const -> bool;
  // Whether `box` is live, or was listed too recently to be known as live.
  auto MayBeLive(BoxId box, Millis now) const -> bool;
  auto LiveBoxes(Millis now) const -> std::vector<BoxId>;

  // The box that allocates the slots of `target`, in the view of this box: the
  // live box of `hall` with the highest rendezvous hash. Nothing if the hall
  // has no live box.
  auto AllocatorOf(TargetId target, const std::string& hall, Millis now) const
      -> std::optional<BoxId>;

  // The boxes that build the aggregate of `hall`, at most `count`: the live
  // ones with the most processor time, ordered by a rendezvous hash among
  // equals. A box that was first listed less than kMemberTimeout ago counts as
  // live, since no datagram of it can have been received yet. If no box counts
  // as live, all count: nothing is received from a hall that is cut off.
  auto Aggregators(const std::string& hall, size_t count, Millis now) const
      -> std::vector<BoxId>;
  // Whether any box of `hall` other than this one is live.
  auto AnyOtherLive(const std::string& hall, Millis now) const -> bool;
  // The listed boxes of `hall` without this one, in the order of the list.
  auto OtherBoxesOf(const std::string& hall) const -> const std::vector<BoxId>&;
  // The halls that have a listed box other than this one.
  auto Halls() const -> std::vector<std::string>;

  // How many live boxes of this box's hall come before it for `role`, ranked as
  // by Aggregators; nothing if it is leaving or not listed. Other boxes for
  // which `eligible` is false are skipped; if null, all are eligible.
  using IsEligible = std::function<bool(BoxId)>;
  auto RoleRank(const std::string& role,
                Millis now,
                const IsEligible& eligible = nullptr) const
      -> std::optional<size_t>;
  // Whether the rank of this box is less than `count`.
  auto HasRole(const std::string& role,
               size_t count,
               Millis now,
               const IsEligible& eligible = nullptr) const -> bool;

  // Updates about the next boxes to gossip about, at most `max_count`, round
  // robin over the boxes about which an update was received.
  auto NextUpdates(size_t max_count) -> std::vector<MemberUpdate>;

 private:
  struct State {
    uint32_t incarnation = 0;
    uint32_t heartbeat = 0;
    bool leaving = false;
    Millis last_seen;  // when `heartbeat` last rose
  };

  std::string self_name_;
  BoxId self_;
  uint32_t incarnation_;
  bool leaving_ = false;
  MemberList list_;
  // The boxes of `hall` including this one, best candidate for `role` first.
  auto RankedBoxes(const std::string& hall, const std::string& role) const
      -> const std::vector<BoxId>&;
  // Makes the indexes below anew from list_.
  void IndexBoxes(Millis now);

  std::map<BoxId, BoxEntry> boxes_;
  std::map<std::string, std::vector<BoxId>> by_hall_;  // without this box
  std::map<BoxId, Millis> first_listed_at_;
  // By hall and role. Cached until the list changes, since ranking takes a
  // hash per box.
  mutable std::map<std::pair<std::string, std::string>, std::vector<BoxId>>
      ranked_boxes_;
  std::map<BoxId, State> states_;
  BoxId last_gossiped_ = 0;  // the box of the last update from NextUpdates
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_MEMBERS_H_
