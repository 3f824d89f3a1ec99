// The policy kShared: no leases. Each box sends at once where Placement finds
// room; what finds none waits, and the flows that were served least lately go
// first. A flow that had more than its fair part only gets what is to spare, so
// that its excess delays nobody, and what finds nothing to spare is refused
// soon. Passes over waiting requests are at least kPassInterval apart: under
// overload there is something to look at with every answer that ends, and a
// pass costs flows * scanned requests * targets.
#include <algorithm>
#include <set>

#include "sparbend/core/ingress_scheduler.h"

namespace sparbend {
namespace {

constexpr Millis kPassInterval = Millis(10);
// A request of a flow over its fair part is refused after this part of its
// objective, in percent, unless something becomes free: what is to spare comes
// and goes with each answer, and a caller told early may still be in time
// elsewhere (mean worth of five days: 0.692 at 22%, 0.711 at 12%, 0.723 at 5%,
// 0.718 at once).
constexpr int64_t kShedPercent = 5;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
// Waiting requests of one flow that are looked at in a pass: one that has no
// room must not keep back a smaller one behind it for long.
constexpr size_t kScanned = 8;
// Requests of a flow over its fair part that may wait in one box: what is
// refused at once costs neither memory nor passes, and its caller asks another
// box the sooner.
constexpr size_t kMostWaitingOver = 8;
// Requests looked at in one pass: each costs some microseconds a hundred
// targets, and a box of an eighth of a core has other things to do.
constexpr size_t kMostTries = 64;

}  // namespace

auto IngressScheduler::OverFairPart(Flow flow, Millis now) const -> Refusal {
  const FairShares::Standing standing = fair_parts_.StandingOf(flow, now);
  return {kTooManyRequests, Verdict::kNotRun,
          "the workspace had more than its fair part, and nothing is to spare: "
          "it was served " +
              std::to_string(standing.served) +
              " tokens lately, is judged by " +
              std::to_string(standing.judged) + ", may take " +
              std::to_string(standing.ceiling) + ", is owed " +
              std::to_string(standing.owed),
          placement_.EstimatedWait(flow.pool, now)};
}

auto IngressScheduler::AllBackOff(Flow flow, Millis now) const
    -> std::optional<Millis> {
  if (policy_ != Policy::kShared || placement_.backoff().empty())
    return std::nullopt;
  return placement_.BackoffRemaining(
      flow.pool, [&](const std::string& hall) { return Permitted(flow, hall); },
      now);
}

// It would be late by then. Its caller may be served elsewhere meanwhile, or
// come back when there is room.
auto IngressScheduler::WhyNotWait(const QueuedRequest& request,
                                  Millis left,
                                  Millis now) -> std::optional<Refusal> {
  const Millis due = request.work.first_byte_due;
  const Millis useful =
      due > Millis(0) ? std::min(due, request.expires) : request.expires;
  if (now + left < useful)
    return std::nullopt;
  return Refusal{kUnavailable, Verdict::kNotRun,
                 "all targets turn requests away for now", left};
}

auto IngressScheduler::EstimateOf(Flow flow, const WorkFacts& work) const
    -> int64_t {
  return work.prompt_tokens > 0 ? work.prompt_tokens + 2 * work.output_tokens
                                : estimator_.Expected(flow);
}

void IngressScheduler::Deny(Flow flow, const WorkFacts& work, Millis now) {
  const Workspace* workspace = catalog_->FindWorkspace(flow.workspace);
  const int64_t share = workspace == nullptr ? 1 : workspace->share;
  fair_parts_.Denied(flow, EstimateOf(flow, work) / std::max<int64_t>(1, share),
                     now);
}

// What waits already will use up whatever becomes free in time for one more.
// One that came back too late to be in time would take the place of one that
// still can be.
auto IngressScheduler::WhyShedAtOnce(const QueuedRequest& request) const
    -> std::optional<Refusal> {
  const bool no_objective = request.work.first_byte_due <= Millis(0);
  if (policy_ != Policy::kShared || no_objective ||
      fair_parts_.Excess(request.flow, request.arrived) < 1)
    return std::nullopt;
  const bool late = request.work.first_byte_due <= request.arrived;
  if (!late && queues_.Count(request.flow) < kMostWaitingOver)
    return std::nullopt;
  return OverFairPart(request.flow, request.arrived);
}

auto IngressScheduler::TakeShed(Millis now)
    -> std::vector<std::pair<RequestId, Refusal>> {
  std::vector<std::pair<RequestId, Refusal>> shed;
  if (policy_ != Policy::kShared)
    return shed;
  for (const auto& [flow, waiting] : queues_.queues()) {
    if (fair_parts_.Excess(flow, now) < 1)
      continue;
    for (const QueuedRequest& request : waiting) {
      const bool long_waited = (now - request.arrived).count() * 100 >=
                               request.work.objective.count() * kShedPercent;
      if (request.work.objective > Millis(0) && request.avoid.empty() &&
          long_waited)
        shed.emplace_back(request.id, OverFairPart(flow, now));
    }
  }
  for (const auto& [id, refusal] : shed) {
    const std::optional<QueuedRequest> request = queues_.Remove(id);
    Deny(request->flow, request->work, now);
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
      fair_parts_.Excess(request.flow, now), now);
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

auto IngressScheduler::StartFirstOf(Flow flow, Millis now, size_t* tries)
    -> std::optional<Dispatch> {
  const auto found = queues_.queues().find(flow);
  const double excess = fair_parts_.Excess(flow, now);
  if (found == queues_.queues().end() ||
      (excess >= 1 && !placement_.HasSpareCapacity(flow.pool, excess, now)))
    return std::nullopt;
  const auto& waiting = found->second;
  const size_t count = std::min({waiting.size(), kScanned, *tries});
  for (size_t i = 0; i < count; ++i) {
    // Those that have waited longest may all be late; they must not keep back
    // the newest, which can still be in time.
    const size_t place = i % 2 == 0 ? i / 2 : waiting.size() - 1 - i / 2;
    const QueuedRequest request = waiting[place];
    --*tries;
    const std::optional<Dispatch> dispatch = TryStartShared(request, now);
    if (!dispatch)
      continue;
    queues_.Remove(request.id);
    return dispatch;
  }
  return std::nullopt;
}

auto IngressScheduler::ScheduleShared(Millis now) -> std::vector<Dispatch> {
  std::vector<Dispatch> dispatches;
  placement_.Expire(now);
  if (queues_.total() == 0 || now - shared_pass_ < kPassInterval)
    return dispatches;
  shared_pass_ = now;
  // The flow served least goes first; one that got something takes its new
  // place, one that found no room is out for this pass.
  std::set<std::pair<int64_t, Flow>> order;
  for (const auto& [flow, waiting] : queues_.queues())
    order.emplace(fair_parts_.ServedLately(flow, now), flow);
  size_t tries = kMostTries;
  while (!order.empty() && tries > 0) {
    const Flow flow = order.begin()->second;
    order.erase(order.begin());
    const std::optional<Dispatch> dispatch = StartFirstOf(flow, now, &tries);
    if (!dispatch)
      continue;
    dispatches.push_back(*dispatch);
    order.emplace(fair_parts_.ServedLately(flow, now), flow);
  }
  return dispatches;
}

}  // namespace sparbend
