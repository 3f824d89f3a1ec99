// The decision logic of one box: membership, service counters, ingress queues,
// the allocator role for targets, and what is sent to peers and when. Pure:
// takes inputs and the time, returns dispatches, refusals and datagrams, and
// does no I/O. The daemon, the fuzzer and the tests run this same code.
//
//   Node node(options);
//   node.SetList(list, now); node.SetCatalog(catalog);
//   node.Enqueue(request); node.OnDatagram(bytes, now);
//   Effects effects = node.Run(now);  // after any input, and at NextWake
#ifndef SPARBEND_CORE_NODE_H_
#define SPARBEND_CORE_NODE_H_

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "sparbend/core/ingress_scheduler.h"
#include "sparbend/core/introduction_messages.h"
#include "sparbend/core/introductions.h"
#include "sparbend/core/leaving_targets.h"
#include "sparbend/core/load_report_exchange.h"
#include "sparbend/core/members.h"
#include "sparbend/core/messages.h"
#include "sparbend/core/origin_exchange.h"
#include "sparbend/core/pending_changes.h"
#include "sparbend/core/quarantine.h"
#include "sparbend/core/service_counters.h"
#include "sparbend/core/slot_allocator.h"
#include "sparbend/core/store_availability.h"

namespace sparbend {

struct NodeOptions {
  std::string name;          // of this box, as the platform lists it
  uint32_t incarnation = 1;  // rises with each start of the box
  std::string hall;
  std::string peer_key;  // authenticates datagrams; the same for all boxes
  Policy policy = Policy::kHybrid;
  QueueLimits queue_limits;
  // How long a target continues to serve after the store has recorded that it
  // is leaving; zero: unknown, and the age of the list is not limited.
  Millis target_drain;
  // Whether a restarted target may have the same id as before.
  bool target_ids_reused = true;
  // Whether refused clients are told a time by the return schedule.
  bool schedules_returns = true;
};

// What Run decided, to be carried out by the caller.
struct Effects {
  std::vector<Dispatch> dispatches;
  std::vector<std::pair<RequestId, Refusal>> refusals;
  struct Outgoing {
    BoxId to;
    std::string bytes;
  };
  std::vector<Outgoing> datagrams;
};

class Node {
 public:
  explicit Node(NodeOptions options);
  Node(const Node&) = delete;
  auto operator=(const Node&) -> Node& = delete;

  // Input from the platform and from the configuration log.
  void SetList(const MemberList& platform_list, Millis now);
  void SetCatalog(std::shared_ptr<const Catalog> catalog);
  // Introduces this box as `self` to the boxes that it lists, since they may
  // not list it. Call if the list does not state this box as it is.
  void Introduce(const BoxEntry& self) { introductions_.Start(self); }
  // Whether this box has read which boxes there are, the listed boxes list this
  // one and it has their reports, or has waited for long enough. Before that it
  // does not know what the fleet serves, nor the fleet what it does.
  auto IsAcquainted(Millis now) const -> bool;
  // Sets the position up to which the records of operators are in use, and the
  // version of the active configuration. Sent to all boxes immediately if no
  // peer has reported as high a position.
  void SetConfigPosition(LogPosition position, int64_t version);
  // The store had no newer record of operators at `at`.
  void OnConfigConfirmed(Millis at);
  // Whether no box is known to have seen recently that the store has no newer
  // records of operators. The box that reads them for the hall then has
  // probably failed.
  auto IsConfigUnconfirmed(Millis now) const -> bool;
  // Whether it is this box's turn to read them in its place. The boxes of a
  // hall take turns, so that usually one reads and informs the others.
  auto IsConfigReadDue(Millis now) const -> bool;
  // Sets the digest of the list of targets, and when the list was read from its
  // source. A digest that no peer of the hall has reported is sent to the hall
  // immediately.
  void SetDirectory(uint32_t digest, Millis read_at);
  // A call of this box to the platform's store was answered, or a call sent at
  // `sent` failed. A box that does not reach the store gives up the role of
  // reading it for its hall, and sends that to the hall immediately.
  void OnStoreAnswered(Millis now);
  void OnStoreFailed(Millis sent);
  // The store is in `era`, as this box or a peer found. A later one than before
  // shows that it came back from an older copy.
  void OnStoreEra(int64_t era, Millis now);
  // Whether this box has the role of reading the store for its hall.
  auto IsStoreReader(Millis now) const -> bool;
  auto store_availability() const -> const StoreAvailability& {
    return store_availability_;
  }
  // Whether the list is so old that a target in it may have left and exited,
  // although the store could be read in the meantime. Then no request may be
  // sent. While the store is unavailable, the list does not go out of date.
  auto IsListOutOfDate(Millis now) const -> bool;
  // Replaces the set of halls in which no new work may start.
  void SetEvacuatedHalls(std::set<std::string> halls, Millis now);
  // A target was found to be leaving; sent to all boxes immediately. Returns
  // whether this was unknown and the target is listed.
  auto OnTargetLeaving(TargetId target) -> bool;
  // A target exited while it ran an attempt with these suspects. Reported to
  // all boxes.
  void OnTargetExit(const std::vector<SentSuspect>& suspects, Millis now);
  // An attempt at a request with these fingerprints is sent. Returns their
  // versions. A trial (Quarantine) is reported to all boxes immediately.
  auto OnAttemptSent(const std::vector<Fingerprint>& request, Millis now)
      -> std::vector<SentSuspect>;
  // This box is leaving: it gives up its roles and sends that immediately.
  void Leave();

  // Input from clients and targets; see IngressScheduler.
  auto Enqueue(const QueuedRequest& request) -> std::optional<Refusal>;
  auto ingress_scheduler() -> IngressScheduler& { return ingress_; }
  auto entry() const -> const IngressScheduler& { return ingress_; }

  // Applies a datagram from the network; `bytes` may be anything. The error
  // says why it was dropped. `queue_delay` is how long it waited unread; ages
  // stated in it are that much older by now.
  auto OnDatagram(std::string_view bytes,
                  Millis now,
                  Millis queue_delay = Millis(0)) -> std::error_code;

  // Makes all decisions that are due.
  auto Run(Millis now) -> Effects;
  // When to call Run next if there is no input before.
  auto NextWake(Millis now) const -> Millis;

  auto quarantine() -> Quarantine& { return quarantine_; }
  auto ledger() -> ServiceCounters& { return service_counters_; }
  auto members() -> Members& { return members_; }
  auto members() const -> const Members& { return members_; }
  // Number of boxes known to be live, including this one.
  auto live_boxes() const -> size_t {
    return std::max(live_.size(), load_report_exchange_.box_count());
  }
  // Age of the fleet aggregate; see LoadReportExchange.
  auto aggregate_age(Millis now) const -> Millis {
    return load_report_exchange_.AggregateAge(now);
  }
  // How much longer a report may take than from box to box directly, because it
  // goes through aggregates.
  auto report_lag() const -> Millis {
    return load_report_exchange_.ReportLag();
  }
  auto allocators() const -> const SlotAllocator& { return slot_allocator_; }
  // A live peer's list of targets.
  struct PeerDirectory {
    BoxId box = 0;
    uint32_t digest = 0;
    Millis read_at;
  };
  // The list that was read last among live peers; among those of this box's
  // hall alone, if any of them was read within `max_age`. If all boxes asked
  // the one box that read last, that box would do nothing else.
  auto FreshestDirectory(Millis max_age, Millis now) const
      -> std::optional<PeerDirectory>;
  // The highest configuration position of this box and its peers, and a box
  // that has it.
  auto HighestConfigPosition() const -> std::pair<LogPosition, BoxId>;
  // The highest version of a configuration that this box or a live peer uses.
  // After the store has come back from an older copy it may be higher than that
  // in the store.
  auto HighestConfigVersion(Millis now) const -> int64_t;
  auto ConfigPositionOf(BoxId box) const -> LogPosition;
  // The changes of the configuration that peers use and this box does not.
  auto pending_changes() const -> const PendingChanges& {
    return pending_changes_;
  }
  // The peer to ask for newer records of operators than this box has, or for a
  // newer version; nothing if no live peer outside `excluded` has any. It is
  // one of those with the highest position, of this box's hall if possible, and
  // a different one for different boxes: if all asked the same, its failure
  // would hold up all of them.
  auto ConfigSource(const std::set<BoxId>& excluded, Millis now) const
      -> std::optional<BoxId>;
  auto FindTarget(TargetId target) const -> const TargetEntry*;
  // Whether the target is leaving, or is not listed.
  auto IsTargetLeaving(TargetId target) const -> bool;
  // Whether the target has stated that it is leaving.
  auto HasAnnouncedLeaving(TargetId target) const -> bool;
  // Whether the list of targets was read more than `age` ago; false without a
  // list.
  auto IsListOlderThan(Millis age, Millis now) const -> bool {
    return directory_read_at_ && now - *directory_read_at_ > age;
  }
  // What is known of the origins of streams, by the present list and catalog.
  auto origins(Millis now) -> OriginExchange& {
    RefreshPossibleOrigins(now);
    return origins_;
  }
  // Adds origins that streams had until a short time ago, as boxes recorded
  // before they ended.
  void AddPastOrigins(const PastOrigins& past);
  // The kind of the datagram that was passed to OnDatagram last; nothing if it
  // was not decoded or is about origins of streams.
  auto last_datagram_kind() const -> std::optional<DatagramKind> {
    return last_datagram_kind_;
  }
  // The answer to the datagram that OnDatagram applied last, to be sent to
  // where it came from; nothing if none is due.
  auto TakeAnswer() -> std::optional<std::string> {
    return std::exchange(answer_, std::nullopt);
  }
  // The names of boxes that introduced themselves since the last call and were
  // not listed like that.
  auto TakeIntroduced() -> std::vector<std::string> {
    return std::exchange(introduced_, {});
  }
  // The pending datagrams on origins of streams.
  auto TakeOriginDatagrams() -> std::vector<Effects::Outgoing>;
  auto evacuated_halls() const -> const std::set<std::string>& {
    return evacuated_halls_;
  }

 private:
  struct Peer {
    uint32_t incarnation = 0;
    uint32_t last_sequence_received = 0;
    uint32_t last_sequence_sent = 0;
    Millis last_sent_at;
    Millis last_full_at;
    // Since when an immediate send is pending; zero: none is.
    Millis immediate_since;
    // Whether RequestImmediateSend was called; unused under kShared.
    bool immediate = false;
    LogPosition config_position;
    int64_t config_version = 0;
    uint32_t directory_digest = 0;
    // Nothing: it has no list, or does not reach the store.
    std::optional<Millis> directory_read_at;
    ServiceReportCursor service_cursor;
    ServiceReportCursor service_offset_cursor;
  };

  // Returns whether `target` was not known to be leaving and is listed.
  auto AddLeaving(TargetId target) -> bool;
  void RefreshTargets(Millis now);
  void ApplyDatagram(const Datagram& datagram, Millis now);
  auto OnOriginMessage(std::string_view bytes, Millis now) -> std::error_code;
  auto OnIntroduction(std::string_view bytes, Millis now) -> std::error_code;
  // Lists a box that introduced itself.
  void PutBox(const BoxEntry& box, Millis now);
  // Takes the boxes of the list over where they are kept by id.
  void RefreshBoxes();
  void AppendIntroductions(Millis now, Effects* effects);
  void RefreshPossibleOrigins(Millis now);
  void RunOwnAllocator(Millis now);
  void SendToPeers(Millis now, Effects* effects);
  void SendLoadReports(Millis now, Effects* effects);
  // Requests a send before the next periodic datagram is due: under kShared to
  // the boxes of `scope`, else to all peers.
  void RequestImmediateSend(ImmediateSend scope);
  void SetStoreReachable(bool reachable);
  // How many boxes come before this one for the role of reading the store.
  auto StoreReaderRank(Millis now) const -> std::optional<size_t>;
  // Time since the store was last known to have no newer records of operators.
  auto ConfirmationAge(Millis now) const -> Millis;
  // Greatest ConfirmationAge() while the store reader of the hall works.
  auto MaxConfirmationAge() const -> Millis;
  void ApplyStoreAvailability(const Datagram& datagram, Millis now);
  // Takes over when the sender knew the configuration to be the newest.
  void ApplyConfirmation(const Datagram& datagram, Millis sent);
  void AddStoreAvailability(Datagram* datagram, Millis now) const;
  // The fields that are the same in all datagrams of this box.
  auto MakeHeader(Millis now) -> Datagram;
  // A datagram for `to`, with all entries if `full`, else with the changes.
  auto MakeDatagram(BoxId to, Peer* peer, bool full, Millis now) -> Datagram;

  NodeOptions options_;
  Members members_;
  ServiceCounters service_counters_;
  IngressScheduler ingress_;
  SlotAllocator slot_allocator_;
  LoadReportExchange load_report_exchange_;  // under kShared
  OriginExchange origins_;
  Introductions introductions_;
  std::vector<std::string> introduced_;  // since TakeIntroduced
  std::optional<std::string> answer_;    // encoded
  std::optional<DatagramKind> last_datagram_kind_;
  std::shared_ptr<const Catalog> catalog_ = std::make_shared<Catalog>();
  PastOrigins past_origins_;  // from AddPastOrigins
  // The list, the catalog or past_origins_ has changed since
  // RefreshPossibleOrigins.
  bool possible_origins_changed_ = false;
  Quarantine quarantine_;
  Millis suspicion_sent_at_{-1'000'000};
  // The pending immediate send under kShared; else see Peer::immediate.
  ImmediateSend immediate_send_ = ImmediateSend::kNone;
  std::map<BoxId, Peer> peers_;
  std::map<TargetId, TargetEntry> targets_;
  std::map<std::string, PoolId> pools_;  // by name, of targets_
  LeavingTargets leaving_targets_;
  std::set<std::string> evacuated_halls_;
  std::vector<BoxId> live_;
  // When this box first had a list, and when it first listed another box.
  std::optional<Millis> first_list_at_;
  std::optional<Millis> first_peer_at_;
  bool targets_changed_ = true;  // since RefreshTargets took them over
  Millis liveness_checked_at_{-1'000'000};
  uint32_t heartbeat_ = 0;
  Millis last_heartbeat_;
  LogPosition config_position_;
  int64_t config_version_ = 0;
  int64_t store_era_ = 0;  // the latest known one; zero: none was stated
  // When the store was last known to have no newer records of operators.
  std::optional<Millis> config_confirmed_at_;
  PendingChanges pending_changes_;
  uint32_t directory_digest_ = 0;
  std::optional<Millis> directory_read_at_;
  bool store_reachable_ = true;
  StoreAvailability store_availability_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_NODE_H_
