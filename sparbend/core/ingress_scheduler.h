// The entry box's scheduling: its queues, the slots it holds, and the choice
// which request goes to which target next. Requests are bound late, to a slot
// that is free now. Also holds the other policies that the bench weighs.
//
//   entry.Enqueue(request, now);           // or why not
//   entry.Schedule(now) -> dispatches      // start these, now
//   entry.Progress(id, tokens); entry.Finish(id, tokens);
#ifndef SPARBEND_CORE_INGRESS_SCHEDULER_H_
#define SPARBEND_CORE_INGRESS_SCHEDULER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sparbend/core/catalog.h"
#include "sparbend/core/demand.h"
#include "sparbend/core/estimator.h"
#include "sparbend/core/fair_shares.h"
#include "sparbend/core/lease_table.h"
#include "sparbend/core/placement.h"
#include "sparbend/core/queue.h"
#include "sparbend/core/service_counters.h"
#include "sparbend/core/slot_allocator.h"
#include "sparbend/core/verdict.h"

namespace sparbend {

// How slots come to requests; kHybrid is the product, the others are kept to
// be measured against it (docs/SCHEDULING.md).
enum class Policy {
  kIndependent,  // each box on its own: own fair queue, least loaded target
  kLeases,       // slots stay with a box until called back
  kGrants,       // every request needs a grant of its own
  kHybrid,       // a slot stays while its box has the neediest work
  kShared,       // each box chooses by loads that all tell each other
};

auto ToString(Policy policy) -> std::string_view;
auto ParsePolicy(std::string_view text) -> std::optional<Policy>;

struct Dispatch {
  RequestId request = 0;
  TargetId target = 0;
  // Why, under kShared; else only the target is set.
  Choice choice;

  auto operator==(const Dispatch&) const -> bool = default;
};

class IngressScheduler {
 public:
  // `ledger` must outlive the entry.
  IngressScheduler(ServiceCounters* ledger,
                   Policy policy,
                   QueueLimits limits,
                   const std::string& hall);

  void SetCatalog(std::shared_ptr<const Catalog> catalog);
  // All targets and, for each, the box that allocates it, if any lives.
  struct TargetAssignment {
    TargetView view;
    std::optional<BoxId> allocator;
  };
  void SetTargets(const std::vector<TargetAssignment>& targets);
  // How many boxes serve callers; used by kIndependent and kShared.
  void SetBoxCount(int boxes) {
    boxes_ = boxes;
    placement_.SetBoxCount(boxes);
  }
  // A target said how many requests it runs; used by kIndependent alone.
  void OnLoad(TargetId target, int running);

  // Takes the request into its queue, or says why not. The refusal's verdict
  // is not-run.
  auto Enqueue(const QueuedRequest& request) -> std::optional<Refusal>;
  // A request of `flow` was refused for want of room, or since this box is
  // behind its work: it counts as asked.
  void Deny(Flow flow, const WorkFacts& work, Millis now);
  // The caller left or the request ended before dispatch; true if it waited.
  auto Cancel(RequestId id) -> bool;
  // Bytes of a dispatched request's answer came, the first or more.
  void OnBytes(RequestId id, Millis now) { placement_.OnBytes(id, now); }
  // A dispatched request did not run: back to the front of its queue, not to
  // the same target again while another will do. It waits until `until`.
  void Requeue(RequestId id, Millis until);
  // `tokens` of service so far; charges what exceeds the estimate.
  void Progress(RequestId id, int64_t tokens);
  // The request ended after `tokens` of service; its slot is free.
  void Finish(RequestId id, int64_t tokens);

  // Starts the request at once if nothing else waits for its pool and a slot
  // is held that may be kept: the way without contention, no decision pending.
  auto TryStart(const QueuedRequest& request, Millis now)
      -> std::optional<Dispatch>;

  // Binds waiting requests to free slots and hands back what must not be
  // kept. O(free targets * flows).
  auto Schedule(Millis now) -> std::vector<Dispatch>;
  // Removes the requests whose time in the queue is up.
  auto TakeExpired(Millis now) -> std::vector<RequestId>;
  // Waiting requests of flows that had more than their fair part, once they
  // have waited for long enough; with the refusal. Under kShared alone.
  auto TakeShed(Millis now) -> std::vector<std::pair<RequestId, Refusal>>;
  // Waiting requests no target can serve any more, or in time, with the reason.
  auto TakeUnservable(Millis now) -> std::vector<std::pair<RequestId, Refusal>>;

  // An allocator's word on its leases and the least service waiting there.
  void OnNotice(BoxId from, const LeaseNotice& notice, Millis now);
  void OnFloors(BoxId from, const std::vector<SlotKeepLimit>& floors);
  void RenewLeases(BoxId from, Millis now) { leases_.RenewLeases(from, now); }
  void OnRestart(BoxId allocator) { demand_.Reset(allocator); }

  // Recomputes what allocators should know; then what to tell one of them.
  void UpdateDemand(Millis now);
  auto Demands(BoxId allocator, bool all) {
    return demand_.Next(allocator, all);
  }
  auto Reports(BoxId allocator, bool all) {
    return leases_.Reports(allocator, all);
  }
  auto Urgent(BoxId allocator) const -> bool {
    return leases_.NeedsImmediateSend(allocator) || demand_.Urgent(allocator);
  }

  // Whether no free slot has to be handed back.
  auto KeepsSlots() const -> bool;

  auto queues() const -> const FlowQueues& { return queues_; }
  auto leases() const -> const LeaseTable& { return leases_; }
  auto in_flight() const -> size_t { return running_.size(); }
  auto policy() const -> Policy { return policy_; }
  auto placement() -> Placement& { return placement_; }
  auto placement() const -> const Placement& { return placement_; }
  auto fair_parts() -> FairShares& { return fair_parts_; }

  // Why no further request of `workspace` would be taken now, or nothing.
  // O(log workspaces); for refusing before the request is read.
  auto WhyFull(const Workspace& workspace) const -> std::optional<Refusal>;
  // Why a workspace's request could not be served at all, or nothing.
  auto WhyUnservable(Flow flow) const -> std::optional<Refusal>;
  auto Permitted(Flow flow, const std::string& hall) const -> bool;

 private:
  struct Running {
    QueuedRequest request;
    TargetId target = 0;
    int64_t charged = 0;  // tokens
  };

  // What the list and the catalog say of a flow; kept until either changes.
  struct Ways {
    std::optional<Refusal> unservable;
    std::vector<BoxId> allocators;  // of the targets it may use
  };
  auto WaysOf(Flow flow) const -> const Ways&;
  auto FindWays(Flow flow) const -> Ways;
  auto Rank(const QueuedRequest& request, TargetId id) const
      -> std::optional<std::pair<bool, int>>;
  auto FreeAt(TargetId target) const -> int;
  auto MayUse(Flow flow, const TargetAssignment& target) const -> bool;
  auto ChooseTarget(const QueuedRequest& request) const
      -> std::optional<TargetId>;
  auto FlowsByService(Millis now) const -> std::vector<Flow>;
  void Start(const QueuedRequest& request, TargetId target, Millis now);
  // The policy kShared.
  auto ChooseShared(const QueuedRequest& request, Millis now) const
      -> std::optional<Choice>;
  // Tokens that a request of `flow` is expected to cost.
  auto EstimateOf(Flow flow, const WorkFacts& work) const -> int64_t;
  auto ScheduleShared(Millis now) -> std::vector<Dispatch>;
  auto TryStartShared(const QueuedRequest& request, Millis now)
      -> std::optional<Dispatch>;
  auto StartFirstOf(Flow flow, Millis now, size_t* tries)
      -> std::optional<Dispatch>;
  auto OverFairPart(Flow flow, Millis now) const -> Refusal;
  // How long until any target that `flow` may use wants requests again, if none
  // does now.
  auto AllBackOff(Flow flow, Millis now) const -> std::optional<Millis>;
  // Why a request need not wait until then.
  static auto WhyNotWait(const QueuedRequest& request, Millis left, Millis now)
      -> std::optional<Refusal>;
  // Why a request of a flow over its fair part need not even wait.
  auto WhyShedAtOnce(const QueuedRequest& request) const
      -> std::optional<Refusal>;
  void Charge(Flow flow, int64_t tokens);
  void HandBack();

  ServiceCounters* ledger_;
  Policy policy_;
  int boxes_ = 1;
  FlowQueues queues_;
  LeaseTable leases_;
  DemandTeller demand_;
  Estimator estimator_;
  std::shared_ptr<const Catalog> catalog_;
  std::map<TargetId, TargetAssignment> targets_;
  mutable std::map<Flow, Ways> ways_;
  std::map<TargetId, int> loads_;
  std::map<std::pair<BoxId, PoolId>, int64_t> floors_;
  std::map<RequestId, Running> running_;
  Placement placement_;
  FairShares fair_parts_;
  Millis now_;          // of the last call that told it
  Millis shared_pass_;  // when waiting requests were last gone through
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_INGRESS_SCHEDULER_H_
