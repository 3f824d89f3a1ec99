// Schedules the requests that an ingress box has accepted: holds its queues and
// the slots leased to it, and chooses which request goes to which target next.
// Requests are bound late, to a slot that is free now. Implements
// several policies of how boxes share the slots of targets (Policy).
//
//   scheduler.Enqueue(request, now);           // or the reason for a refusal
//   scheduler.Schedule(now) -> dispatches      // to be started now
//   scheduler.Progress(id, tokens); scheduler.Finish(id, tokens);
#ifndef SPARBEND_CORE_INGRESS_SCHEDULER_H_
#define SPARBEND_CORE_INGRESS_SCHEDULER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sparbend/core/catalog.h"
#include "sparbend/core/demand_reporter.h"
#include "sparbend/core/estimator.h"
#include "sparbend/core/fair_shares.h"
#include "sparbend/core/lease_table.h"
#include "sparbend/core/placement.h"
#include "sparbend/core/queue.h"
#include "sparbend/core/return_schedule.h"
#include "sparbend/core/service_counters.h"
#include "sparbend/core/slot_allocator.h"
#include "sparbend/core/verdict.h"

namespace sparbend {

// How requests get slots. kHybrid is the default; the others are kept for
// comparison with it (docs/SCHEDULING.md).
enum class Policy {
  kIndependent,  // no exchange: own fair queue, least loaded target
  kLeases,       // slots stay with a box until they are revoked
  kGrants,       // every request needs its own grant
  kHybrid,       // a slot stays while its box has the least-served flow
  kShared,       // each box chooses by the loads that all boxes report
};

auto ToString(Policy policy) -> std::string_view;
auto ParsePolicy(std::string_view text) -> std::optional<Policy>;

struct Dispatch {
  RequestId request = 0;
  TargetId target = 0;
  // The estimates behind the choice, under kShared; empty under other policies.
  Choice choice;

  auto operator==(const Dispatch&) const -> bool = default;
};

class IngressScheduler {
 public:
  // `service_counters` must outlive the scheduler.
  IngressScheduler(ServiceCounters* service_counters,
                   Policy policy,
                   QueueLimits limits,
                   const std::string& hall);

  void SetCatalog(std::shared_ptr<const Catalog> catalog);
  // A target and the box that allocates its slots, if such a box is live.
  struct TargetAssignment {
    TargetView view;
    std::optional<BoxId> allocator;
  };
  // Replaces the list of all targets.
  void SetTargets(const std::vector<TargetAssignment>& targets);
  // Sets how many boxes accept client requests. Used by kIndependent and
  // kShared.
  void SetBoxCount(int boxes) {
    boxes_ = boxes;
    placement_.SetBoxCount(boxes);
  }
  // Records how many requests `target` reported to run. Used by kIndependent
  // only.
  void OnLoad(TargetId target, int running);

  // Appends the request to its queue, or returns the reason for a refusal. The
  // verdict of the refusal is not-run.
  auto Enqueue(const QueuedRequest& request) -> std::optional<Refusal>;
  // Counts a refused request of `flow` as requested, so that the refusal enters
  // the fair shares. For refusals because there was no capacity or because this
  // box is saturated.
  void RecordRefusal(Flow flow, const WorkFacts& work, Millis now);
  // Removes a request whose client disconnected, or that ended otherwise before
  // its dispatch, and counts it as refused. Returns whether it was queued.
  auto Cancel(RequestId id, Millis now) -> bool;
  // Records that a dispatched request received bytes of its answer, the first
  // ones or more.
  void OnBytes(RequestId id, Millis now) { placement_.OnBytes(id, now); }
  // Puts a dispatched request that did not run, or whose stream is to be
  // resumed, back at the front of its queue. It expires at `until` or at its
  // own expiry, whichever is later, and avoids its target while another can
  // take it. With `version`, only targets of that version can.
  void Requeue(RequestId id,
               Millis until,
               std::optional<VersionId> version = std::nullopt);
  // Records that a running request has used `tokens` of service so far, and
  // charges what exceeds the estimate.
  void Progress(RequestId id, int64_t tokens);
  // Ends a request that used `tokens` of service: corrects its charge and frees
  // its slot.
  void Finish(RequestId id, int64_t tokens);

  // Starts the request at once if no request is queued and, except under
  // kShared, a held slot may be retained. The fast path without contention.
  auto TryStart(const QueuedRequest& request, Millis now)
      -> std::optional<Dispatch>;

  // Binds queued requests to free slots, and returns what to start. Gives the
  // slots that may not be retained back to their allocators. O(free targets *
  // flows).
  auto Schedule(Millis now) -> std::vector<Dispatch>;
  // Removes the requests that have expired in the queue, counts them as
  // refused, and returns their ids.
  auto TakeExpired(Millis now) -> std::vector<RequestId>;
  // Removes the queued requests of flows over their fair share that have waited
  // for long enough, counts them as refused, and returns them with their
  // refusals. Used by kShared only.
  auto TakeShed(Millis now) -> std::vector<std::pair<RequestId, Refusal>>;
  // Removes the queued requests that no target can serve any more, or not in
  // time, and returns them with their refusals.
  auto TakeUnservable(Millis now) -> std::vector<std::pair<RequestId, Refusal>>;

  // Handles a lease notice of an allocator.
  void OnNotice(BoxId from, const LeaseNotice& notice, Millis now);
  // Replaces the slot keep limits of allocator `from`: per pool, the normalised
  // service up to which a flow may keep a slot.
  void OnSlotKeepLimits(BoxId from, const std::vector<SlotKeepLimit>& limits);
  // Renews all leases of allocator `from`; each of its datagrams does.
  void RenewLeases(BoxId from, Millis now) { leases_.RenewLeases(from, now); }
  // Records that `allocator` restarted without its state.
  void OnRestart(BoxId allocator) { demand_reporter_.Reset(allocator); }

  // Recomputes the demand to report; then Demands and Reports return what to
  // send to one allocator: what changed, or with `all` everything.
  void UpdateDemand(Millis now);
  auto Demands(BoxId allocator, bool all) {
    return demand_reporter_.Next(allocator, all);
  }
  auto Reports(BoxId allocator, bool all) {
    return leases_.Reports(allocator, all);
  }
  // Whether a change should be sent to `allocator` before its next report is
  // due.
  auto NeedsImmediateSend(BoxId allocator) const -> bool {
    return leases_.NeedsImmediateSend(allocator) ||
           demand_reporter_.NeedsImmediateSend(allocator);
  }

  // Whether no free slot has to be returned.
  auto RetainsAllFreeSlots() const -> bool;

  auto queues() const -> const FlowQueues& { return queues_; }
  auto leases() const -> const LeaseTable& { return leases_; }
  auto in_flight() const -> size_t { return running_.size(); }
  auto policy() const -> Policy { return policy_; }
  auto placement() -> Placement& { return placement_; }
  auto placement() const -> const Placement& { return placement_; }
  auto fair_shares() -> FairShares& { return fair_shares_; }
  // Whether refused clients are told a time by the return schedule, under
  // kShared. Otherwise they are told the shortest engine queue.
  void SetSchedulesReturns(bool schedules_returns) {
    schedules_returns_ = schedules_returns;
  }
  auto return_schedule() const -> const ReturnSchedule& {
    return return_schedule_;
  }

  // Returns the refusal if the queue limits admit no further request of
  // `workspace` now. O(log workspaces); allows a refusal before the request is
  // read.
  auto CheckQueueLimits(const Workspace& workspace) const
      -> std::optional<Refusal>;
  // Returns the refusal that TryStart and Enqueue would end in, as far as it is
  // certain before the request's body has been read; records it as demand.
  auto RefuseOnArrival(const QueuedRequest& request) -> std::optional<Refusal>;
  // Returns the refusal if no target can serve the flow's requests at all.
  auto CheckServable(Flow flow) const -> std::optional<Refusal>;
  // Returns the refusal if no target can serve a request of the flow that is
  // bound to `version`.
  auto CheckVersion(Flow flow, VersionId version) const
      -> std::optional<Refusal>;
  // Whether the flow's workspace may be served in `hall`.
  auto Permitted(Flow flow, const std::string& hall) const -> bool;

 private:
  struct Running {
    QueuedRequest request;
    TargetId target = 0;
    int64_t charged = 0;  // tokens charged to the flow
  };

  // What the target list and the catalog say about a flow. Cached until either
  // changes.
  struct FlowRoutes {
    std::optional<Refusal> unservable;
    std::vector<BoxId> allocators;  // of the targets that the flow may use
  };
  auto RoutesOf(Flow flow) const -> const FlowRoutes&;
  auto ComputeRoutes(Flow flow) const -> FlowRoutes;
  // The rank of a target for the request, higher is better: whether the request
  // need not avoid it, then the number of its free slots. Nothing if the target
  // can not be used.
  auto Rank(const QueuedRequest& request, TargetId id) const
      -> std::optional<std::pair<bool, int>>;
  // Free slots of `target` that this box may use.
  auto FreeAt(TargetId target) const -> int;
  // Whether the flow may use a slot of the target; see the .cc for the rules.
  auto MayUse(Flow flow, const TargetAssignment& target) const -> bool;
  auto ChooseTarget(const QueuedRequest& request) const
      -> std::optional<TargetId>;
  // CheckServable and, if the request is bound to a version, CheckVersion.
  auto CheckServable(const QueuedRequest& request) const
      -> std::optional<Refusal>;
  // Starts the first request of `flow` that may go ahead of those before it and
  // has a target. Only requests bound to a version let others go ahead.
  auto StartFirst(Flow flow, Millis now) -> std::optional<Dispatch>;
  // Flows with queued requests, the least-served first.
  auto FlowsByService(Millis now) const -> std::vector<Flow>;
  void Start(const QueuedRequest& request, TargetId target, Millis now);
  // These functions implement the policy kShared.
  auto ChooseShared(const QueuedRequest& request, Millis now) const
      -> std::optional<Choice>;
  // The number of tokens that a request of `flow` is expected to cost.
  auto EstimateOf(Flow flow, const WorkFacts& work) const -> int64_t;
  auto ScheduleShared(Millis now) -> std::vector<Dispatch>;
  auto TryStartShared(const QueuedRequest& request, Millis now)
      -> std::optional<Dispatch>;
  // Starts one queued request of `flow` if there is room for it; `*tries` is
  // the number of requests that may still be tried in this pass.
  auto StartOneOf(Flow flow, Millis now, size_t* tries)
      -> std::optional<Dispatch>;
  auto OverFairShareRefusal(const QueuedRequest& request, Millis now)
      -> Refusal;
  // The time that the client of a refused request is told, and its description
  // for the reason of the refusal.
  struct AssignedReturn {
    Millis delay;
    std::string description;
  };
  auto AssignReturn(const QueuedRequest& request,
                    const FairShares::FlowState& state,
                    Millis now) -> AssignedReturn;
  // Replaces the fixed Retry-After of a full queue by an assigned return.
  auto QueueFullRefusal(const QueuedRequest& request, Refusal refusal)
      -> Refusal;
  // Whether the client of a flow over its fair share came back before the time
  // that it was told.
  auto IsEarlyReturn(const QueuedRequest& request, Millis now) const -> bool;
  // Returns the refusal if the client of a flow over its fair share came back
  // before the time that it was told.
  auto CheckEarlyReturn(const QueuedRequest& request, Millis now)
      -> std::optional<Refusal>;
  // Whether the client came back at the time that it was told.
  auto IsOnTime(const QueuedRequest& request) const -> bool;
  // The same, and uses up its assigned return.
  auto TakeOnTime(const QueuedRequest& request) -> bool;
  // Returns the time until the first target that `flow` may use accepts
  // requests again, or nothing if one does now.
  auto AllBackOff(Flow flow, Millis now) const -> std::optional<Millis>;
  // Returns the refusal if the request would be late when all targets have
  // backed off for another `backoff`.
  static auto CheckBackoffWait(const QueuedRequest& request,
                               Millis backoff,
                               Millis now) -> std::optional<Refusal>;
  // Returns the refusal if a request of a flow over its fair share is not to be
  // queued at all.
  auto CheckImmediateShed(const QueuedRequest& request)
      -> std::optional<Refusal>;
  // Returns the refusal if the request must not be queued; records it as
  // demand. The queue limits are checked separately.
  auto RefuseToQueue(const QueuedRequest& request) -> std::optional<Refusal>;
  // The estimated cost over the share of the flow's workspace.
  auto AmountOf(Flow flow, const WorkFacts& work) const -> int64_t;
  // These two keep what waits in step with the queues.
  void AddToQueue(QueuedRequest request, bool in_front);
  auto RemoveFromQueue(RequestId id) -> std::optional<QueuedRequest>;
  void Charge(Flow flow, int64_t tokens);
  // Gives the free slots that may not be retained back to their allocators.
  void ReturnUnretainedSlots();

  ServiceCounters* service_counters_;
  Policy policy_;
  int boxes_ = 1;
  FlowQueues queues_;
  LeaseTable leases_;
  DemandReporter demand_reporter_;
  Estimator estimator_;
  std::shared_ptr<const Catalog> catalog_;
  std::map<TargetId, TargetAssignment> targets_;
  // Halls of the targets that are not leaving, by pool and version.
  std::map<std::pair<PoolId, VersionId>, std::set<std::string>> version_halls_;
  mutable std::map<Flow, FlowRoutes> routes_;
  std::map<TargetId, int> reported_loads_;
  std::map<std::pair<BoxId, PoolId>, int64_t> slot_keep_limits_;
  std::map<RequestId, Running> running_;
  Placement placement_;
  FairShares fair_shares_;
  ReturnSchedule return_schedule_;
  bool schedules_returns_ = true;
  Millis now_;               // time of the last started request
  Millis last_shared_pass_;  // time of the last pass of ScheduleShared
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_INGRESS_SCHEDULER_H_
