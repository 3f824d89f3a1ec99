// Schedule goes through the flows in order of their normalised service, the
// least-served first, and gives each the best free slot that it may use, until
// a full pass finds none. Remaining slots that may not be retained are returned
// at once.
//
// Which flow may use a slot that was revoked (`keep` is false):
//   - the flow it was reserved for, unless a less-served flow that may use it
//     takes it first;
//   - under kHybrid any flow up to the slot keep limit that the target's
//     allocator sends: the least normalised service of the flows queued in the
//     hall, and some slack. The slot would come back to such a flow anyway, and
//     retaining it saves two messages and the time between them;
//   - under kLeases any flow, under kGrants no other.
#include "sparbend/core/ingress_scheduler.h"

#include <algorithm>
#include <array>

namespace sparbend {
namespace {

constexpr std::array<std::string_view, 5> kPolicyNames = {
    "independent", "leases", "grants", "hybrid", "shared"};
constexpr Millis kFullRetryAfter = Millis(1'000);
constexpr Millis kNoTargetRetryAfter = Millis(2'000);
// Maximum number of requests of a flow that are tried while those at its front
// are bound to a version that has no room.
constexpr size_t kMaxTriedPerFlow = 8;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusForbidden = 403;

auto RefusalOf(QueueFull full) -> Refusal {
  switch (full) {
    case QueueFull::kWorkspaceRequests:
      return {
          kStatusTooManyRequests, Verdict::kNotRun,
          "the workspace has reached its limit of queued requests on this box",
          kFullRetryAfter};
    case QueueFull::kWorkspaceBytes:
      return {kStatusTooManyRequests, Verdict::kNotRun,
              "the workspace has reached its limit of queued bytes on this box",
              kFullRetryAfter};
    case QueueFull::kBox:
      break;
  }
  return {kStatusUnavailable, Verdict::kNotRun,
          "the box has reached its limit of queued requests or bytes",
          kFullRetryAfter};
}

}  // namespace

auto ToString(Policy policy) -> std::string_view {
  return kPolicyNames[static_cast<size_t>(policy)];
}

auto ParsePolicy(std::string_view text) -> std::optional<Policy> {
  const auto found = std::ranges::find(kPolicyNames, text);
  if (found == kPolicyNames.end())
    return std::nullopt;
  return static_cast<Policy>(found - kPolicyNames.begin());
}

IngressScheduler::IngressScheduler(ServiceCounters* service_counters,
                                   Policy policy,
                                   QueueLimits limits,
                                   const std::string& hall)
    : service_counters_(service_counters),
      policy_(policy),
      queues_(limits),
      catalog_(std::make_shared<Catalog>()),
      placement_(hall) {
  fair_shares_.SetHasAmpleRoom([this](PoolId pool, Millis now) {
    return placement_.HasAmpleRoom(pool, now);
  });
}

void IngressScheduler::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  catalog_ = std::move(catalog);
  routes_.clear();
  std::map<PoolId, PoolLimits> limits;
  for (const auto& [name, pool] : catalog_->pools()) {
    limits[PoolIdOf(name)] = {pool.memory_tokens, pool.connections,
                              pool.kv_transfer_tokens_per_ms,
                              pool.cold_requests_per_s};
    if (pool.kind == PoolKind::kEngine)
      fair_shares_.SetCapacity(PoolIdOf(name),
                               catalog_->limits().tokens_per_second);
  }
  placement_.SetPools(std::move(limits));
}

void IngressScheduler::SetTargets(
    const std::vector<TargetAssignment>& targets) {
  targets_.clear();
  version_halls_.clear();
  routes_.clear();
  std::set<TargetId> usable;
  for (const TargetAssignment& target : targets) {
    targets_[target.view.id] = target;
    leases_.SetAllocator(target.view.id, target.allocator);
    if (target.view.leaving)
      continue;
    usable.insert(target.view.id);
    version_halls_[{target.view.pool, target.view.version}].insert(
        target.view.hall);
  }
  leases_.Retain(usable);
  std::vector<PlacementTarget> placed;
  for (const TargetAssignment& target : targets)
    placed.push_back({target.view.id, target.view.pool, target.view.hall,
                      target.view.slots, target.view.leaving,
                      target.view.version});
  placement_.SetTargets(std::move(placed));
}

void IngressScheduler::OnLoad(TargetId target, int running) {
  reported_loads_[target] = running;
}

auto IngressScheduler::Permitted(Flow flow, const std::string& hall) const
    -> bool {
  const Workspace* workspace = catalog_->FindWorkspace(flow.workspace);
  return workspace != nullptr && MayBeServedIn(*workspace, hall);
}

auto IngressScheduler::ComputeRoutes(Flow flow) const -> FlowRoutes {
  const Workspace* workspace = catalog_->FindWorkspace(flow.workspace);
  if (workspace == nullptr)
    return {
        Refusal{kStatusForbidden, Verdict::kNotRun,
                "the workspace is no longer in the configuration", Millis(0)},
        {}};
  const bool may_use_pool = std::ranges::any_of(
      workspace->pools,
      [&](const std::string& pool) { return PoolIdOf(pool) == flow.pool; });
  if (!may_use_pool)
    return {Refusal{kStatusForbidden, Verdict::kNotRun,
                    "the workspace may not use this pool", Millis(0)},
            {}};
  bool any_target = false;
  std::set<BoxId> allocators;
  for (const auto& [id, target] : targets_) {
    if (target.view.pool != flow.pool || target.view.leaving ||
        !Permitted(flow, target.view.hall))
      continue;
    any_target = true;
    if (target.allocator)
      allocators.insert(*target.allocator);
  }
  if (!any_target)
    return {
        Refusal{
            kStatusUnavailable, Verdict::kNotRun,
            "no target of this pool in the halls that the workspace permits",
            kNoTargetRetryAfter},
        {}};
  return {std::nullopt, {allocators.begin(), allocators.end()}};
}

auto IngressScheduler::RoutesOf(Flow flow) const -> const FlowRoutes& {
  const auto found = routes_.find(flow);
  return found != routes_.end()
             ? found->second
             : routes_.emplace(flow, ComputeRoutes(flow)).first->second;
}

auto IngressScheduler::CheckServable(Flow flow) const
    -> std::optional<Refusal> {
  return RoutesOf(flow).unservable;
}

auto IngressScheduler::CheckVersion(Flow flow, VersionId version) const
    -> std::optional<Refusal> {
  const auto halls = version_halls_.find({flow.pool, version});
  if (halls != version_halls_.end() &&
      std::ranges::any_of(halls->second, [&](const std::string& hall) {
        return Permitted(flow, hall);
      }))
    return std::nullopt;
  return Refusal{kStatusUnavailable, Verdict::kNotRun,
                 "no target of the software version that began this stream is "
                 "left",
                 Millis(0)};
}

auto IngressScheduler::CheckServable(const QueuedRequest& request) const
    -> std::optional<Refusal> {
  if (std::optional<Refusal> refusal = CheckServable(request.flow))
    return refusal;
  return request.version ? CheckVersion(request.flow, *request.version)
                         : std::nullopt;
}

auto IngressScheduler::CheckQueueLimits(const Workspace& workspace) const
    -> std::optional<Refusal> {
  const std::optional<QueueFull> full = queues_.CheckLimits(workspace, 0);
  return full ? std::optional(RefusalOf(*full)) : std::nullopt;
}

auto IngressScheduler::RefuseToQueue(const QueuedRequest& request)
    -> std::optional<Refusal> {
  if (std::optional<Refusal> refusal = CheckServable(request))
    return refusal;
  if (const auto backoff = AllBackOff(request.flow, request.arrived)) {
    if (auto refusal = CheckBackoffWait(request, *backoff, request.arrived))
      return refusal;
  }
  // An early attempt does not count as requested, since the attempt before it
  // did.
  if (std::optional<Refusal> refusal =
          CheckEarlyReturn(request, request.arrived))
    return refusal;
  if (std::optional<Refusal> refusal = CheckImmediateShed(request)) {
    RecordRefusal(request.flow, request.work, request.arrived);
    return refusal;
  }
  return std::nullopt;
}

// With empty queues, TryStart may still start the request at once. That it came
// at its time is only used up by Enqueue.
auto IngressScheduler::RefuseOnArrival(const QueuedRequest& request)
    -> std::optional<Refusal> {
  if (queues_.total() == 0)
    return CheckServable(request);
  QueuedRequest arrived = request;
  arrived.kept_return_time = IsOnTime(request);
  return RefuseToQueue(arrived);
}

auto IngressScheduler::Enqueue(const QueuedRequest& request)
    -> std::optional<Refusal> {
  QueuedRequest queued = request;
  queued.kept_return_time = TakeOnTime(request);
  if (std::optional<Refusal> refusal = RefuseToQueue(queued))
    return refusal;
  const Workspace* workspace = catalog_->FindWorkspace(request.flow.workspace);
  if (const auto full = queues_.CheckLimits(*workspace, request.bytes))
    return QueueFullRefusal(request, RefusalOf(*full));
  const bool in_front = GoesFirst(queued);
  AddToQueue(std::move(queued), in_front);
  return std::nullopt;
}

void IngressScheduler::AddToQueue(QueuedRequest request, bool in_front) {
  request.waiting_amount = AmountOf(request.flow, request.work);
  fair_shares_.AddWaiting(request.flow, request.waiting_amount);
  const Workspace* workspace = catalog_->FindWorkspace(request.flow.workspace);
  if (in_front || workspace == nullptr)
    queues_.PushFront(request);
  else
    queues_.Push(request, *workspace);
}

auto IngressScheduler::RemoveFromQueue(RequestId id)
    -> std::optional<QueuedRequest> {
  std::optional<QueuedRequest> removed = queues_.Remove(id);
  if (removed)
    fair_shares_.AddWaiting(removed->flow, -removed->waiting_amount);
  return removed;
}

auto IngressScheduler::Cancel(RequestId id, Millis now) -> bool {
  const std::optional<QueuedRequest> cancelled = RemoveFromQueue(id);
  if (cancelled)
    RecordRefusal(cancelled->flow, cancelled->work, now);
  return cancelled.has_value();
}

void IngressScheduler::Charge(Flow flow, int64_t tokens) {
  const Workspace* workspace = catalog_->FindWorkspace(flow.workspace);
  const int64_t share = workspace == nullptr ? 1 : workspace->share;
  service_counters_->Charge(flow, Normalised(tokens, share));
  if (policy_ == Policy::kShared)
    fair_shares_.RecordServed(flow, tokens / std::max<int64_t>(1, share), now_);
}

void IngressScheduler::Start(const QueuedRequest& request,
                             TargetId target,
                             Millis now) {
  now_ = now;
  const int64_t estimate = EstimateOf(request.flow, request.work);
  Charge(request.flow, estimate);
  leases_.Start(target, request.flow.workspace);
  running_[request.id] = Running{request, target, estimate};
}

void IngressScheduler::Progress(RequestId id, int64_t tokens) {
  const auto found = running_.find(id);
  if (found == running_.end() || tokens <= found->second.charged)
    return;
  Charge(found->second.request.flow, tokens - found->second.charged);
  found->second.charged = tokens;
}

void IngressScheduler::Finish(RequestId id, int64_t tokens) {
  const auto found = running_.find(id);
  if (found == running_.end())
    return;
  const Running& running = found->second;
  Charge(running.request.flow, tokens - running.charged);
  if (tokens > 0)
    estimator_.Observe(running.request.flow, tokens);
  leases_.Finish(running.target);
  placement_.Finish(id);
  running_.erase(found);
}

void IngressScheduler::Requeue(RequestId id,
                               Millis until,
                               std::optional<VersionId> version) {
  const auto found = running_.find(id);
  if (found == running_.end())
    return;
  QueuedRequest request = found->second.request;
  request.avoid.insert(found->second.target);
  request.expires = std::max(request.expires, until);
  if (version) {
    request.version = version;
    request.resumes_stream = true;
  }
  Finish(id, 0);
  AddToQueue(std::move(request), /*in_front=*/true);
}

auto IngressScheduler::FreeAt(TargetId target) const -> int {
  if (policy_ != Policy::kIndependent)
    return leases_.Free(target);
  // Without leases a box can only split the slots evenly among all boxes, or
  // trust the last load that the target reported.
  const int slots = targets_.at(target).view.slots;
  const int own = leases_.InFlight(target);
  const auto load = reported_loads_.find(target);
  const int even_share = std::max(1, (slots + boxes_ - 1) / boxes_);
  const int reported_free =
      load == reported_loads_.end() ? 0 : slots - load->second;
  return std::max(even_share - own, own < slots ? reported_free : 0);
}

auto IngressScheduler::MayUse(Flow flow, const TargetAssignment& target) const
    -> bool {
  const TargetId id = target.view.id;
  if (policy_ == Policy::kIndependent || policy_ == Policy::kLeases ||
      leases_.Keep(id) || leases_.IsReservedFor(id, flow.workspace))
    return true;
  if (policy_ == Policy::kGrants || !target.allocator)
    return false;
  const auto limit = slot_keep_limits_.find({*target.allocator, flow.pool});
  if (limit == slot_keep_limits_.end())
    return true;
  return service_counters_->Service(flow) <= limit->second;
}

auto IngressScheduler::Rank(const QueuedRequest& request, TargetId id) const
    -> std::optional<std::pair<bool, int>> {
  const auto target = targets_.find(id);
  if (target == targets_.end())
    return std::nullopt;
  const TargetView& view = target->second.view;
  if (view.pool != request.flow.pool || view.leaving ||
      (request.version && *request.version != view.version))
    return std::nullopt;
  const int free = FreeAt(id);
  if (free <= 0 || !Permitted(request.flow, view.hall) ||
      !MayUse(request.flow, target->second))
    return std::nullopt;
  return std::pair(!request.avoid.contains(id), free);
}

auto IngressScheduler::ChooseTarget(const QueuedRequest& request) const
    -> std::optional<TargetId> {
  std::optional<TargetId> best;
  std::pair<bool, int> best_rank;
  const auto consider = [&](TargetId id) {
    const auto rank = Rank(request, id);
    if (rank && (!best || *rank > best_rank)) {
      best = id;
      best_rank = *rank;
    }
  };
  if (policy_ == Policy::kIndependent) {
    for (const auto& [id, target] : targets_)
      consider(id);
  } else {
    for (const TargetId id : leases_.free_targets())
      consider(id);
  }
  return best;
}

auto IngressScheduler::TryStart(const QueuedRequest& request, Millis now)
    -> std::optional<Dispatch> {
  if (queues_.total() != 0 || CheckServable(request))
    return std::nullopt;
  if (policy_ == Policy::kShared) {
    if (IsEarlyReturn(request, now))
      return std::nullopt;
    const std::optional<Dispatch> dispatch = TryStartShared(request, now);
    if (dispatch)
      TakeOnTime(request);
    return dispatch;
  }
  const std::optional<TargetId> target = ChooseTarget(request);
  if (!target || !leases_.Keep(*target))
    return std::nullopt;
  Start(request, *target, now);
  return Dispatch{request.id, *target, {}};
}

auto IngressScheduler::FlowsByService(Millis now) const -> std::vector<Flow> {
  std::vector<std::pair<int64_t, Flow>> order;
  for (const auto& [flow, queue] : queues_.queues())
    order.emplace_back(policy_ == Policy::kShared
                           ? fair_shares_.RecentService(flow, now)
                           : service_counters_->Service(flow),
                       flow);
  std::ranges::sort(order);
  std::vector<Flow> flows;
  for (const auto& [service, flow] : order)
    flows.push_back(flow);
  return flows;
}

auto IngressScheduler::StartFirst(Flow flow, Millis now)
    -> std::optional<Dispatch> {
  const auto queue = queues_.queues().find(flow);
  if (queue == queues_.queues().end())
    return std::nullopt;
  size_t tried = 0;
  for (const QueuedRequest& queued : queue->second) {
    const std::optional<TargetId> target = ChooseTarget(queued);
    if (target) {
      const QueuedRequest request = *RemoveFromQueue(queued.id);
      Start(request, *target, now);
      return Dispatch{request.id, *target, {}};
    }
    if (!queued.version || ++tried == kMaxTriedPerFlow)
      break;
  }
  return std::nullopt;
}

auto IngressScheduler::Schedule(Millis now) -> std::vector<Dispatch> {
  if (policy_ == Policy::kShared)
    return ScheduleShared(now);
  leases_.ExpireLeases(now);
  std::vector<Dispatch> dispatches;
  bool progress = true;
  while (progress) {
    progress = false;
    for (const Flow flow : FlowsByService(now)) {
      const std::optional<Dispatch> dispatch = StartFirst(flow, now);
      if (!dispatch)
        continue;
      dispatches.push_back(*dispatch);
      progress = true;
      break;  // the order of the flows has changed
    }
  }
  ReturnUnretainedSlots();
  return dispatches;
}

void IngressScheduler::ReturnUnretainedSlots() {
  if (policy_ == Policy::kIndependent || policy_ == Policy::kShared)
    return;
  for (const TargetId target : leases_.free_targets()) {
    if (!leases_.Keep(target))
      leases_.Return(target);
  }
}

auto IngressScheduler::RetainsAllFreeSlots() const -> bool {
  const std::vector<TargetId> free = leases_.free_targets();
  return std::ranges::all_of(
      free, [&](TargetId target) { return leases_.Keep(target); });
}

auto IngressScheduler::TakeExpired(Millis now) -> std::vector<RequestId> {
  std::vector<RequestId> expired;
  for (const QueuedRequest& request : queues_.TakeExpired(now)) {
    fair_shares_.AddWaiting(request.flow, -request.waiting_amount);
    RecordRefusal(request.flow, request.work, now);
    expired.push_back(request.id);
  }
  return expired;
}

auto IngressScheduler::TakeUnservable(Millis now)
    -> std::vector<std::pair<RequestId, Refusal>> {
  std::vector<std::pair<RequestId, Refusal>> taken;
  for (const auto& [flow, queue] : queues_.queues()) {
    const std::optional<Refusal> unservable = CheckServable(flow);
    const std::optional<Millis> backoff = AllBackOff(flow, now);
    if (!unservable && !backoff && queues_.bound_to_version() == 0)
      continue;
    for (const QueuedRequest& request : queue) {
      std::optional<Refusal> refusal = unservable;
      if (!refusal && request.version)
        refusal = CheckVersion(flow, *request.version);
      if (!refusal && backoff)
        refusal = CheckBackoffWait(request, *backoff, now);
      if (refusal)
        taken.emplace_back(request.id, *refusal);
    }
  }
  for (const auto& [id, refusal] : taken)
    RemoveFromQueue(id);
  return taken;
}

void IngressScheduler::OnNotice(BoxId from,
                                const LeaseNotice& notice,
                                Millis now) {
  int new_grants = 0;
  if (!leases_.OnNotice(from, notice, now, &new_grants))
    return;
  const auto target = targets_.find(notice.target);
  if (target == targets_.end())
    return;
  for (const WorkspaceId workspace : notice.reserved_for)
    demand_reporter_.OnGranted(from, {target->second.view.pool, workspace}, 1);
}

void IngressScheduler::OnSlotKeepLimits(
    BoxId from,
    const std::vector<SlotKeepLimit>& limits) {
  std::erase_if(slot_keep_limits_,
                [&](const auto& entry) { return entry.first.first == from; });
  for (const SlotKeepLimit& limit : limits)
    slot_keep_limits_[{from, limit.pool}] = limit.value;
}

void IngressScheduler::UpdateDemand(Millis now) {
  DemandReporter::FlowDemands demands;
  for (const auto& [flow, queue] : queues_.queues()) {
    DemandReporter::FlowDemand flow_demand;
    const Workspace* workspace = catalog_->FindWorkspace(flow.workspace);
    flow_demand.demand.flow = flow;
    flow_demand.demand.queued = static_cast<uint32_t>(queue.size());
    flow_demand.demand.age_ms = static_cast<uint32_t>(
        std::max<int64_t>(0, (now - queue.front().arrived).count()));
    flow_demand.demand.estimate = Normalised(
        estimator_.Expected(flow), workspace == nullptr ? 1 : workspace->share);
    flow_demand.allocators = RoutesOf(flow).allocators;
    demands[flow] = std::move(flow_demand);
  }
  demand_reporter_.Update(demands);
}

}  // namespace sparbend
