// The policy kShared, which works without leases. Each box sends a request at
// once if Placement finds room for it; otherwise the request is queued, and the
// flows with the least recent service go first. A flow over its fair share only
// gets spare capacity, so that its excess delays no other flow, and its
// requests are soon refused if there is none.
//
// Passes over the queued requests are at least kPassInterval apart: under
// overload each answer that ends frees capacity, and a pass costs O(flows *
// scanned requests * targets).
#include <algorithm>
#include <cmath>
#include <set>

#include "sparbend/core/ingress_scheduler.h"

namespace sparbend {
namespace {

constexpr Millis kPassInterval = Millis(10);
// A request of a flow over its fair share is refused after this percentage of
// its objective, unless capacity becomes free. Spare capacity comes and goes
// with each answer, and a client that is refused early may still be served
// elsewhere in time.
constexpr int64_t kShedObjectivePercent = 5;
// The same for a request that goes first: the longest that a request may be
// held and then refused, an eighth of its objective.
constexpr int64_t kShedKeptReturnPercent = 12;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;
// Maximum number of queued requests of one flow that are tried in a pass: a
// request that has no room must not delay a smaller one behind it for long.
constexpr size_t kMaxScannedRequestsPerFlow = 8;
// Maximum number of queued requests per box of a flow over its fair share. An
// immediate refusal costs neither memory nor passes, and the client tries
// another box sooner.
constexpr size_t kMaxQueuedOverFairShare = 8;
// Maximum number of requests tried in one pass. Each costs some microseconds
// per hundred targets, and a box may have only an eighth of a core for all its
// work.
constexpr size_t kMaxTriesPerPass = 64;

}  // namespace

auto IngressScheduler::OverFairShareRefusal(const QueuedRequest& request,
                                            Millis now) -> Refusal {
  const FairShares::FlowState state = fair_shares_.StateOf(request.flow, now);
  const AssignedReturn assigned = AssignReturn(request, state, now);
  return {
      kStatusTooManyRequests, Verdict::kNotRun,
      "the workspace exceeded its fair share and there is no spare capacity "
      "(in tokens over its share, -1: no bound): recently served " +
          std::to_string(state.served) + ", requested " +
          std::to_string(state.requested) + ", estimated current service " +
          std::to_string(state.estimated) + ", limit " +
          std::to_string(state.ceiling) + ", entitlement " +
          std::to_string(state.entitled) + assigned.description,
      assigned.delay};
}

auto IngressScheduler::AssignReturn(const QueuedRequest& request,
                                    const FairShares::FlowState& state,
                                    Millis now) -> AssignedReturn {
  if (!schedules_returns_)
    return {placement_.EstimatedWait(request.flow.pool, now), ""};
  const WorkFacts& work = request.work;
  const Millis waited = now - request.arrived;
  ReturnQuery query;
  query.flow = request.flow;
  query.amount = AmountOf(request.flow, work);
  query.state = state;
  query.engine_queue = placement_.EstimatedWait(request.flow.pool, now);
  query.fraction = fair_shares_.FractionHere(request.flow, now);
  if (work.client_remaining)
    query.remaining = *work.client_remaining - waited;
  if (work.first_byte_due > Millis(0))
    query.asked_for =
        request.arrived + work.objective - work.first_byte_due + waited;
  query.key = work.return_key;
  const ReturnTime told = return_schedule_.Assign(query, now);
  constexpr double kPercent = 100;
  return {
      told.delay,
      "; return in " + std::to_string(told.delay.count()) + " ms" +
          (told.in_time ? "" : ", no room expected within its time") +
          " (tokens " + std::to_string(query.amount) + ", engine queue " +
          std::to_string(query.engine_queue.count()) +
          " ms, part of this box " +
          std::to_string(std::lround(query.fraction * kPercent)) +
          "%, asked for " + std::to_string(query.asked_for.count()) +
          " ms, client waits " +
          (query.remaining ? std::to_string(query.remaining->count()) : "?") +
          " ms)"};
}

auto IngressScheduler::QueueFullRefusal(const QueuedRequest& request,
                                        Refusal refusal) -> Refusal {
  if (policy_ != Policy::kShared || !schedules_returns_)
    return refusal;
  const AssignedReturn assigned =
      AssignReturn(request, fair_shares_.StateOf(request.flow, request.arrived),
                   request.arrived);
  refusal.reason += assigned.description;
  refusal.retry_after = assigned.delay;
  return refusal;
}

auto IngressScheduler::IsEarlyReturn(const QueuedRequest& request,
                                     Millis now) const -> bool {
  return policy_ == Policy::kShared &&
         return_schedule_.Check(request.work.return_key, now) ==
             Arrival::kEarly &&
         fair_shares_.RatioToFairShare(request.flow, now) >= 1;
}

auto IngressScheduler::CheckEarlyReturn(const QueuedRequest& request,
                                        Millis now) -> std::optional<Refusal> {
  if (!IsEarlyReturn(request, now))
    return std::nullopt;
  const uint64_t key = request.work.return_key;
  return_schedule_.OnArrival(key, now);
  return Refusal{
      kStatusTooManyRequests, Verdict::kNotRun,
      "the workspace exceeded its fair share and the client came back before "
      "the time that it was told",
      return_schedule_.TimeLeft(key, now)};
}

auto IngressScheduler::IsOnTime(const QueuedRequest& request) const -> bool {
  return policy_ == Policy::kShared &&
         return_schedule_.Check(request.work.return_key, request.arrived) ==
             Arrival::kOnTime;
}

auto IngressScheduler::TakeOnTime(const QueuedRequest& request) -> bool {
  return IsOnTime(request) &&
         return_schedule_.OnArrival(request.work.return_key, request.arrived) ==
             Arrival::kOnTime;
}

auto IngressScheduler::AllBackOff(Flow flow, Millis now) const
    -> std::optional<Millis> {
  if (policy_ != Policy::kShared || placement_.backoff().empty())
    return std::nullopt;
  return placement_.BackoffRemaining(
      flow.pool, [&](const std::string& hall) { return Permitted(flow, hall); },
      now);
}

// The request would be late by then. Its client may be served elsewhere in the
// meantime, or retry when there is room.
auto IngressScheduler::CheckBackoffWait(const QueuedRequest& request,
                                        Millis backoff,
                                        Millis now) -> std::optional<Refusal> {
  const Millis due = request.work.first_byte_due;
  const Millis latest_useful =
      due > Millis(0) ? std::min(due, request.expires) : request.expires;
  if (now + backoff < latest_useful)
    return std::nullopt;
  return Refusal{
      kStatusUnavailable, Verdict::kNotRun,
      "all targets that the workspace may use have asked to retry later",
      backoff};
}

auto IngressScheduler::EstimateOf(Flow flow, const WorkFacts& work) const
    -> int64_t {
  return work.prompt_tokens > 0 ? work.prompt_tokens + 2 * work.output_tokens
                                : estimator_.Expected(flow);
}

auto IngressScheduler::AmountOf(Flow flow, const WorkFacts& work) const
    -> int64_t {
  const Workspace* workspace = catalog_->FindWorkspace(flow.workspace);
  const int64_t share = workspace == nullptr ? 1 : workspace->share;
  return EstimateOf(flow, work) / std::max<int64_t>(1, share);
}

void IngressScheduler::RecordRefusal(Flow flow,
                                     const WorkFacts& work,
                                     Millis now) {
  fair_shares_.RecordDenied(flow, AmountOf(flow, work), now);
}

// The requests already queued will use whatever becomes free before one more
// could be served in time. A retry that arrives after its due time would take
// the place of a request that can still be in time.
//
// A client that came back at its time is queued: room was assigned to it. So is
// one that resumes a stream, whose work so far would be lost.
auto IngressScheduler::CheckImmediateShed(const QueuedRequest& request)
    -> std::optional<Refusal> {
  const bool no_objective = request.work.first_byte_due <= Millis(0);
  if (policy_ != Policy::kShared || no_objective || GoesFirst(request) ||
      fair_shares_.RatioToFairShare(request.flow, request.arrived) < 1)
    return std::nullopt;
  const bool late = request.work.first_byte_due <= request.arrived;
  if (!late && queues_.Count(request.flow) < kMaxQueuedOverFairShare)
    return std::nullopt;
  return OverFairShareRefusal(request, request.arrived);
}

auto IngressScheduler::TakeShed(Millis now)
    -> std::vector<std::pair<RequestId, Refusal>> {
  std::vector<std::pair<RequestId, Refusal>> shed;
  if (policy_ != Policy::kShared)
    return shed;
  for (const auto& [flow, queue] : queues_.queues()) {
    if (fair_shares_.RatioToFairShare(flow, now) < 1)
      continue;
    for (const QueuedRequest& request : queue) {
      const int64_t percent =
          GoesFirst(request) ? kShedKeptReturnPercent : kShedObjectivePercent;
      const bool shed_due = (now - request.arrived).count() * 100 >=
                            request.work.objective.count() * percent;
      if (request.work.objective > Millis(0) && request.avoid.empty() &&
          shed_due)
        shed.emplace_back(request.id, OverFairShareRefusal(request, now));
    }
  }
  for (const auto& [id, refusal] : shed) {
    const std::optional<QueuedRequest> request = RemoveFromQueue(id);
    RecordRefusal(request->flow, request->work, now);
  }
  return shed;
}

auto IngressScheduler::ChooseShared(const QueuedRequest& request,
                                    Millis now) const -> std::optional<Choice> {
  const Workspace* workspace = catalog_->FindWorkspace(request.flow.workspace);
  if (workspace == nullptr)
    return std::nullopt;
  return placement_.Choose(
      request,
      [workspace](const std::string& hall) {
        return MayBeServedIn(*workspace, hall);
      },
      fair_shares_.ShareForPlacement(request.flow, now), now);
}

auto IngressScheduler::TryStartShared(const QueuedRequest& request, Millis now)
    -> std::optional<Dispatch> {
  const std::optional<Choice> choice = ChooseShared(request, now);
  if (!choice)
    return std::nullopt;
  Start(request, choice->target, now);
  placement_.Start(request, *choice, now);
  return Dispatch{request.id, choice->target, *choice};
}

auto IngressScheduler::StartOneOf(Flow flow, Millis now, size_t* tries)
    -> std::optional<Dispatch> {
  const auto found = queues_.queues().find(flow);
  const double fair_share_ratio =
      fair_shares_.ShareForPlacement(flow, now).ratio;
  if (found == queues_.queues().end() ||
      (fair_share_ratio >= 1 &&
       !placement_.HasSpareCapacity(flow.pool, fair_share_ratio, now)))
    return std::nullopt;
  const auto& queue = found->second;
  const size_t count =
      std::min({queue.size(), kMaxScannedRequestsPerFlow, *tries});
  for (size_t i = 0; i < count; ++i) {
    // Alternates between the oldest and the newest: the oldest may all be late
    // and must not delay the newest, which can still be in time.
    const size_t index = i % 2 == 0 ? i / 2 : queue.size() - 1 - i / 2;
    const QueuedRequest request = queue[index];
    --*tries;
    const std::optional<Dispatch> dispatch = TryStartShared(request, now);
    if (!dispatch)
      continue;
    RemoveFromQueue(request.id);
    return dispatch;
  }
  return std::nullopt;
}

auto IngressScheduler::ScheduleShared(Millis now) -> std::vector<Dispatch> {
  std::vector<Dispatch> dispatches;
  placement_.Expire(now);
  if (queues_.total() == 0 || now - last_shared_pass_ < kPassInterval)
    return dispatches;
  last_shared_pass_ = now;
  // The least-served flow goes first. A flow that was served is inserted again
  // by its new service; one that found no room is left out of this pass.
  std::set<std::pair<int64_t, Flow>> order;
  for (const auto& [flow, queue] : queues_.queues())
    order.emplace(fair_shares_.RecentService(flow, now), flow);
  size_t tries = kMaxTriesPerPass;
  while (!order.empty() && tries > 0) {
    const Flow flow = order.begin()->second;
    order.erase(order.begin());
    const std::optional<Dispatch> dispatch = StartOneOf(flow, now, &tries);
    if (!dispatch)
      continue;
    dispatches.push_back(*dispatch);
    order.emplace(fair_shares_.RecentService(flow, now), flow);
  }
  return dispatches;
}

}  // namespace sparbend
