// One box's whole decision logic: membership, books of service, entry queues,
// allocator duties and what is told to peers when. Pure: inputs and time go
// in, dispatches and datagrams come out. The daemon, the fuzzer and the tests
// drive this same code.
//
//   Node node(options);
//   node.SetList(list, now); node.SetCatalog(catalog);
//   node.Enqueue(request); node.OnDatagram(bytes, now);
//   Effects effects = node.Run(now);  // after any input, and each tick
#ifndef SPARBEND_CORE_NODE_H_
#define SPARBEND_CORE_NODE_H_

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "sparbend/core/ingress_scheduler.h"
#include "sparbend/core/leaving_targets.h"
#include "sparbend/core/load_report_exchange.h"
#include "sparbend/core/members.h"
#include "sparbend/core/messages.h"
#include "sparbend/core/quarantine.h"
#include "sparbend/core/service_counters.h"
#include "sparbend/core/slot_allocator.h"
#include "sparbend/core/store_availability.h"

namespace sparbend {

struct NodeOptions {
  std::string name;          // of this box, as the platform lists it
  uint32_t incarnation = 1;  // rises with each start of the box
  std::string hall;
  std::string peer_key;  // shared by the fleet's boxes
  Policy policy = Policy::kHybrid;
  QueueLimits queue_limits;
  // How long a target serves on after the store has taken that it leaves; zero:
  // not told, and the list may be as old as it likes.
  Millis target_drain;
  // Whether a target that starts again may have the id that it had before.
  bool target_ids_reused = true;
};

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

  // What the platform and the log say.
  void SetList(const MemberList& list, Millis now);
  void SetCatalog(std::shared_ptr<const Catalog> catalog);
  // The configuration in force here; told to all at once if no peer was heard
  // to have it yet.
  void SetConfigOffset(int64_t offset);
  // The digest of the list of targets, and when it was read at its source. A
  // new digest is told to the peers at once.
  void SetDirectory(uint32_t digest, Millis read_at);
  // A call of this box for the list was answered by the platform's store, or
  // was not. A box that does not reach the store hands the duty to read it for
  // its hall on, and tells that at once.
  void OnStoreAnswered(Millis now);
  void OnStoreFailed(Millis sent);
  // Whether this box reads the store for its hall.
  auto IsStoreReader(Millis now) const -> bool;
  auto store_contact() const -> const StoreAvailability& {
    return store_contact_;
  }
  // Whether the list is so old that a target in it may have left and ended by
  // now, though the store could be read meanwhile: then nothing may be sent. A
  // list stands for as long as the store is away.
  auto ListOutOfDate(Millis now) const -> bool;
  // The halls in which no new work is to start, all of them.
  void SetEvacuatedHalls(std::set<std::string> halls, Millis now);
  // A target was seen to be leaving; spread to the other boxes. True if that is
  // news.
  auto OnTargetLeaving(TargetId target) -> bool;
  // A request sent at `stamp` was at a target when that ended; told to all.
  void OnTargetExit(const Fingerprint& request,
                    SuspicionVersion stamp,
                    Millis now);
  // This box leaves: no duties any more, told to all.
  void Leave();

  // What callers and targets do; see Entry.
  auto Enqueue(const QueuedRequest& request) -> std::optional<Refusal>;
  auto ingress_scheduler() -> IngressScheduler& { return entry_; }
  auto entry() const -> const IngressScheduler& { return entry_; }

  // A datagram from outside; any bytes are safe. The error says why it was
  // not taken. What it tells the age of is older by `waited`, for which it lay
  // unread.
  auto OnDatagram(std::string_view bytes, Millis now, Millis waited = Millis(0))
      -> std::error_code;

  // Decides all there is to decide now.
  auto Run(Millis now) -> Effects;
  // When Run should be called next if nothing else happens.
  auto NextWake(Millis now) const -> Millis;

  auto quarantine() -> Quarantine& { return quarantine_; }
  auto ledger() -> ServiceCounters& { return ledger_; }
  auto members() -> Members& { return members_; }
  auto members() const -> const Members& { return members_; }
  // Boxes that live, as far as is known, this one included.
  auto live_boxes() const -> size_t {
    return std::max(live_.size(), exchange_.boxes());
  }
  // Age of what this box knows of a large fleet's work; see LoadReportExchange.
  auto aggregate_age(Millis now) const -> Millis {
    return exchange_.SumAge(now);
  }
  // How much longer news may be on its way than from box to box.
  auto report_lag() const -> Millis { return exchange_.Lag(); }
  auto allocators() const -> const SlotAllocator& { return allocators_; }
  // The list of targets that a live peer read last.
  struct PeerDirectory {
    BoxId box = 0;
    uint32_t digest = 0;
    Millis read_at;
  };
  // One of this box's hall where any there was read within `fresh`: if all
  // asked the one box that read last, that box would do nothing else.
  auto FreshestDirectory(Millis fresh, Millis now) const
      -> std::optional<PeerDirectory>;
  // The highest configuration offset heard of, and one box that has it.
  auto HighestOffset() const -> std::pair<int64_t, BoxId>;
  auto OffsetOf(BoxId box) const -> int64_t;
  auto FindTarget(TargetId target) const -> const TargetEntry*;
  auto TargetLeaving(TargetId target) const -> bool;
  auto evacuated_halls() const -> const std::set<std::string>& {
    return evacuated_halls_;
  }

 private:
  struct Peer {
    uint32_t incarnation = 0;
    uint32_t received = 0;  // highest sequence taken
    uint32_t sent = 0;
    Millis last_sent;
    Millis last_whole;
    Millis urgent_since;
    bool urgent = false;  // not under kShared
    int64_t config_offset = 0;
    uint32_t directory = 0;
    // Nothing: it has no list, or does not reach the store.
    std::optional<Millis> directory_read_at;
    ServiceReportCursor services;
    ServiceReportCursor min_services;
  };

  // True if that is news of a target that is listed.
  auto AddLeaving(TargetId target) -> bool;
  void RefreshTargets(Millis now);
  void TakeDatagram(const Datagram& datagram, Millis now);
  void TalkToSelf(Millis now);
  void TalkToPeers(Millis now, Effects* effects);
  void TalkByWords(Millis now, Effects* effects);
  // News for peers, to be told without waiting for the next word.
  void MakeUrgent(Urgency urgency);
  void SetReadsStore(bool reads);
  void HearStoreContact(const Datagram& datagram, Millis now);
  void TellStoreContact(Datagram* datagram, Millis now) const;
  // What is the same in all datagrams of this box.
  auto Head(Millis now) -> Datagram;
  auto Compose(BoxId to, Peer* peer, bool whole, Millis now) -> Datagram;

  NodeOptions options_;
  Members members_;
  ServiceCounters ledger_;
  IngressScheduler entry_;
  SlotAllocator allocators_;
  LoadReportExchange exchange_;  // under kShared
  Quarantine quarantine_;
  Millis suspicion_told_{-1'000'000};
  Urgency urgency_ = Urgency::kNone;
  std::map<BoxId, Peer> peers_;
  std::map<TargetId, TargetEntry> targets_;
  std::map<std::string, PoolId> pools_;  // of targets_
  LeavingTargets leaving_targets_;
  std::set<std::string> evacuated_halls_;
  std::vector<BoxId> live_;
  bool targets_changed_ = true;
  Millis liveness_seen_{-1'000'000};
  uint32_t heartbeat_ = 0;
  Millis last_heartbeat_;
  int64_t config_offset_ = 0;
  uint32_t directory_ = 0;
  std::optional<Millis> directory_read_at_;
  bool reads_store_ = true;
  StoreAvailability store_contact_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_NODE_H_
