// An engine reads prompts in the order they arrive, in pieces between the
// tokens of what already runs there. So the time to a first token depends on
// the tokens queued before it and the request's own uncached prompt; how, is
// learned from answers (EngineModel).
//
// Where a prefix lives: at the engines it was sent to, as this box knows from
// itself and its peers. Every box ranks the engines for a prefix that nobody
// holds by the same hash, so a new one gets the same first home everywhere
// without a word. That rank says nothing of a prefix that others hold: a home
// that never read it is no holder.
//
// Reading a long prefix again costs as much of an engine as several requests
// that find theirs kept, and pushes other prefixes out; under load that feeds
// on itself. So where no holder can answer in time, and engines can, a holder
// hands it over. Else another engine reads it only while that engine has next
// to nothing to do. Either is a further holder then, told to the peers.
//
// A request that cannot begin in time anywhere waits until an engine has
// little to do, so that late work fills gaps and never makes others late.
#include "sparbend/core/placement.h"

#include <algorithm>
#include <cmath>

#include "sparbend/core/fair_shares.h"

namespace sparbend {
namespace {

// What a move costs beside its bytes: the engines' agreement on it.
constexpr double kMoveSetupMs = 2;
// A move is charged this much besides, so that it is made where it helps.
constexpr double kMoveChargeMs = 5;
// A prefix sent to an engine is read there after so long, mostly.
constexpr Millis kReadWithin = Millis(400);
// Fewer tokens are read rather than moved.
constexpr int64_t kLeastMoved = 64;
// Reading a prefix again is charged this many times its time (measured:
// docs/SCHEDULING.md).
constexpr double kRereadCharge = 2;
// A reading again of so few tokens is not worth waiting for a home.
constexpr int64_t kSmallReread = 1'000;
// An engine with a longer queue reads no long prefix again, and does no late
// work of a flow that had its part.
constexpr double kIdleQueueMs = 40;
// A request is in time if the estimate leaves this part of its objective.
constexpr double kInTimePart = 0.85;
// Late work goes to an engine whose queue is shorter than this.
constexpr double kLateQueueMs = 120;
// An engine has capacity to spare for a request of a flow that just had its
// part while its queue and the request's own reading together take less than
// this, and so much of its slots is taken at most. For a larger excess it must
// be less in proportion: of two floods the one that had less goes first,
// through however many boxes either comes. Counting its own reading serves the
// many small requests of a flood rather than the few large (what was served
// of all that was owed, mean of five days: 0.86 without, 0.89 with it).
constexpr double kSpareQueueMs = 250;
constexpr double kSpareSlots = 0.5;
// Part of an engine's memory that running requests may take; the rest is for
// cached prefixes.
constexpr double kRunningMemory = 0.6;
// Half of the box's part of the connections is left to probes and errors of
// the count of boxes.
constexpr double kConnectionsUsed = 0.8;

// A target that started again, or turned cold, is known to have after so long:
// its sign of life takes up to 1.2 s, the reading 0.85 s, the word to other
// boxes 0.45 s in the mean.
constexpr Millis kNewsWithin = Millis(2'500);
// A target that crashed takes no connection for longer than this.
constexpr Millis kLeastRestart = Millis(1'000);
// A request that goes on waiting draws others with each refreshed view.
constexpr int64_t kTurnMs = 20;

auto AskFor(const QueuedRequest& request, Millis now) -> Candidates::Ask {
  Candidates::Ask ask;
  ask.request = request.id;
  ask.avoid = &request.avoid;
  ask.turn = static_cast<int>(now.count() / kTurnMs);
  return ask;
}

}  // namespace

void Placement::SetTargets(std::vector<PlacementTarget> targets) {
  std::set<TargetId> ids;
  for (const PlacementTarget& target : targets)
    ids.insert(target.id);
  cold_.Retain(ids);
  candidates_.SetTargets(std::move(targets));
  model_.Retain(ids);
}

auto Placement::OnOutcome(TargetId target, TargetOutcome outcome, Millis now)
    -> bool {
  if (outcome == TargetOutcome::kRefused)
    SuspectCold(target, now);
  const bool left_out = health_.OnOutcome(target, outcome, now);
  if (left_out)
    candidates_.Invalidate();
  return left_out;
}

void Placement::OnReachable(TargetId target, Millis now) {
  // A box behind its work misses connections that would have been made, and
  // makes them at the next try: no sign that the target started again.
  if (health_.OnReachable(target, now) >= kLeastRestart)
    SuspectCold(target, now);
  else
    candidates_.Invalidate();
}

void Placement::OnRetryAfter(TargetId target, Millis span, Millis now) {
  backoff_.OnRetryAfter(target, span, now);
  candidates_.Invalidate();
}

auto Placement::AllBackOff(PoolId pool,
                           const Permitted& permitted,
                           Millis now) const -> std::optional<Millis> {
  const auto targets = candidates_.by_pool().find(pool);
  if (backoff_.empty() || targets == candidates_.by_pool().end())
    return std::nullopt;
  std::optional<Millis> least;
  for (const PlacementTarget& target : targets->second) {
    if (target.leaving || !permitted(target.hall))
      continue;
    const Millis left = backoff_.Left(target.id, now);
    if (left <= Millis(0))
      return std::nullopt;
    least = std::min(left, least.value_or(left));
  }
  return least;
}

void Placement::SuspectCold(TargetId target, Millis now) {
  cold_.SetCold(target, now + kNewsWithin);
  candidates_.Invalidate();
}

void Placement::SetPools(std::map<PoolId, PoolLimits> pools) {
  pools_ = std::move(pools);
  std::map<PoolId, double> cold;
  for (const auto& [pool, limits] : pools_) {
    if (limits.cold_requests_per_s > 0)
      cold[pool] = limits.cold_requests_per_s;
  }
  cold_.SetPools(std::move(cold));
}

auto Placement::MovedTokensPerMs(PoolId pool) const -> double {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.moved_tokens_per_ms;
}

auto Placement::Targets(Millis now) const -> const Candidates& {
  candidates_.Refresh({[&](TargetId target) {
                         return health_.Usable(target, now) &&
                                !silence_.IsStalled(target, now);
                       },
                       [&](const PlacementTarget& target) {
                         return !cold_.MaySend(target.id, target.pool, now) ||
                                !backoff_.MaySend(target.id, now);
                       },
                       [this](const PlacementTarget& target) {
                         return QueueMs(target, loads_.Total(target.id));
                       },
                       [this](const PlacementTarget& target) {
                         return HalfEmpty(target, loads_.Total(target.id));
                       }},
                      now);
  return candidates_;
}

auto Placement::HasRoom(const QueuedRequest& request,
                        const PlacementTarget& target,
                        const TargetLoad& load) const -> bool {
  if (static_cast<int>(load.running) >= target.slots)
    return false;
  const auto pool = pools_.find(target.pool);
  if (pool == pools_.end())
    return true;
  const PoolLimits& limits = pool->second;
  if (limits.connections > 0) {
    const double part = kConnectionsUsed * limits.connections / boxes_;
    const auto own = static_cast<double>(loads_.Own(target.id).running);
    if (own >= std::max(1.0, part))
      return false;
  }
  if (limits.memory_tokens <= 0 || load.running == 0)
    return true;
  const int64_t own_part = request.work.prompt_tokens -
                           request.work.shared_tokens() +
                           request.work.output_tokens;
  return static_cast<double>(load.memory_tokens + own_part) <=
         kRunningMemory * static_cast<double>(limits.memory_tokens);
}

// A prefix is of use only together with those before it.
auto Placement::HeldBy(const WorkFacts& work, Millis now) const -> Held {
  Held held;
  int64_t before = 0;  // tokens of the prefixes gone through
  for (const PromptPrefix& prefix : work.prefixes) {
    for (const PrefixLocations::Holder& holder :
         homes_.HoldersOf(prefix.id, now)) {
      const auto found =
          std::ranges::find(held, holder.target, &HeldPrefix::target);
      if (found != held.end() && found->tokens == before) {
        found->tokens = prefix.tokens;
        found->since = holder.since;
      } else if (found == held.end() && before == 0) {
        held.push_back({holder.target, prefix.tokens, holder.since});
      }
    }
    before = prefix.tokens;
  }
  return held;
}

auto Placement::QueueMs(const PlacementTarget& target,
                        const TargetLoad& load) const -> double {
  return model_.ReadMs({target.pool, target.id}, load.waiting_tokens);
}

auto Placement::HalfEmpty(const PlacementTarget& target, const TargetLoad& load)
    -> bool {
  return load.running <= kSpareSlots * static_cast<double>(target.slots);
}

auto Placement::Spare(double queue_ms, bool half_empty, double excess) -> bool {
  return half_empty && excess < FairShares::kMustYield &&
         queue_ms * excess <= kSpareQueueMs;
}

auto Placement::AnySpare(PoolId pool, double excess, Millis now) const -> bool {
  const std::optional<double> least = Targets(now).LeastSpareMs(pool);
  return least && Spare(*least, /*half_empty=*/true, excess);
}

auto Placement::Judge(const QueuedRequest& request,
                      const PlacementTarget& target,
                      int64_t held,
                      const HeldPrefix& source,
                      Millis now) const -> std::optional<Judged> {
  const WorkFacts& work = request.work;
  const TargetLoad load = loads_.Total(target.id);
  if (!HasRoom(request, target, load))
    return std::nullopt;
  const EngineModel::Engine engine = {target.pool, target.id};
  Judged judged;
  const double moved_per_ms = MovedTokensPerMs(target.pool);
  const int64_t movable = source.tokens - held;
  if (moved_per_ms > 0 && movable >= kLeastMoved) {
    judged.moved = movable;
    judged.move_ms = kMoveSetupMs + static_cast<double>(movable) / moved_per_ms;
  }
  judged.uncached = work.prompt_tokens - held - judged.moved;
  judged.reread = judged.uncached - (work.prompt_tokens - work.shared_tokens());
  judged.queue_ms = QueueMs(target, load);
  judged.queued = load.waiting_tokens;
  judged.first_byte_ms =
      judged.move_ms +
      model_.FirstByteMs(engine,
                         static_cast<double>(judged.queued + judged.uncached));
  judged.own_ms = model_.ReadMs(engine, static_cast<double>(judged.uncached));
  judged.reread_ms = model_.ReadMs(engine, static_cast<double>(judged.reread));
  const auto left = static_cast<double>((work.first_byte_due - now).count());
  judged.in_time = work.first_byte_due <= Millis(0) ||
                   judged.first_byte_ms <= left * kInTimePart;
  judged.half_empty = HalfEmpty(target, load);
  return judged;
}

auto Placement::MayTake(const Judged& judged, Resort resort, double excess)
    -> bool {
  const bool limited = excess >= 1;
  const double taken_ms = judged.queue_ms + judged.own_ms;
  if (limited && !Spare(taken_ms, judged.half_empty, excess))
    return false;
  if (limited && !judged.in_time && judged.queue_ms > kIdleQueueMs)
    return false;
  const bool long_reread = judged.reread > kSmallReread;
  switch (resort) {
    case Resort::kInTime:
      return judged.in_time && !long_reread && judged.moved == 0;
    case Resort::kMoved:
      return judged.in_time && !long_reread;
    case Resort::kReadAgain:
      return judged.in_time && !limited && judged.queue_ms <= kIdleQueueMs;
    case Resort::kLate:
      return !long_reread && judged.moved == 0 &&
             judged.queue_ms <= kLateQueueMs;
  }
  return false;
}

// What was sent there a moment ago is not read yet, and can't be handed over.
auto Placement::SourceOf(const Candidates::List& candidates,
                         const Held& held,
                         Millis now) -> HeldPrefix {
  HeldPrefix source;
  for (const HeldPrefix& prefix : held) {
    const bool candidate =
        std::ranges::any_of(candidates, [&](const PlacementTarget* other) {
          return other->id == prefix.target;
        });
    if (candidate && now - prefix.since >= kReadWithin &&
        prefix.tokens > source.tokens)
      source = prefix;
  }
  return source;
}

auto Placement::ChooseEngine(const QueuedRequest& request,
                             const Permitted& permitted,
                             double excess,
                             Millis now) const -> std::optional<Choice> {
  const WorkFacts& work = request.work;
  const PoolId pool = request.flow.pool;
  const Candidates& targets = Targets(now);
  const PlacementTarget* first =
      work.prefixes.empty()
          ? nullptr
          : targets.First(pool, work.prefixes.back().id, permitted);
  const TargetId home = first == nullptr ? TargetId{0} : first->id;
  const Held held = HeldBy(work, now);
  Candidates::Ask ask = AskFor(request, now);
  for (const HeldPrefix& prefix : held)
    ask.named.push_back(prefix.target);
  if (first != nullptr)
    ask.named.push_back(home);
  const Candidates::List candidates = targets.Few(pool, ask, permitted);
  const bool known = std::ranges::any_of(held, [&](const HeldPrefix& prefix) {
    return prefix.tokens == work.shared_tokens();
  });
  const auto held_at = [&](TargetId target) -> int64_t {
    // The first home of a prefix that nobody holds reads it for all.
    if (target == home && !known)
      return work.shared_tokens();
    const auto found = std::ranges::find(held, target, &HeldPrefix::target);
    return found != held.end() ? found->tokens : 0;
  };
  const HeldPrefix source = SourceOf(candidates, held, now);
  std::vector<std::pair<TargetId, Judged>> all;
  all.reserve(candidates.size());
  for (const PlacementTarget* target : candidates) {
    if (const auto judged =
            Judge(request, *target, held_at(target->id), source, now))
      all.emplace_back(target->id, *judged);
  }
  for (const Resort resort :
       {Resort::kInTime, Resort::kMoved, Resort::kReadAgain, Resort::kLate}) {
    std::optional<Choice> best;
    double best_cost = 0;
    for (const auto& [id, judged] : all) {
      const double cost = judged.first_byte_ms +
                          (judged.moved > 0 ? kMoveChargeMs : 0) +
                          kRereadCharge * judged.reread_ms;
      if (!MayTake(judged, resort, excess) || (best && cost >= best_cost))
        continue;
      best = Choice{id,
                    Millis(std::llround(judged.first_byte_ms)),
                    judged.uncached,
                    judged.queued,
                    judged.in_time,
                    excess,
                    judged.moved > 0 ? source.target : 0};
      best_cost = cost;
    }
    if (best)
      return best;
  }
  return std::nullopt;
}

auto Placement::ChooseService(const QueuedRequest& request,
                              const Candidates::List& candidates) const
    -> std::optional<Choice> {
  std::optional<Choice> best;
  double best_cost = 0;
  for (const PlacementTarget* target : candidates) {
    const TargetLoad own = loads_.Own(target->id);
    if (!HasRoom(request, *target, own))
      continue;
    const double cost = services_.CostOf(
        {target->id, target->slots, target->hall == hall_,
         static_cast<int>(own.running), health_.FailureRate(target->id)},
        request.id);
    if (best && cost >= best_cost)
      continue;
    best = Choice{target->id, Millis(0), 0, 0, true, 0, 0};
    best_cost = cost;
  }
  return best;
}

auto Placement::Choose(const QueuedRequest& request,
                       const Permitted& permitted,
                       double excess,
                       Millis now) const -> std::optional<Choice> {
  if (request.work.prompt_tokens > 0)
    return ChooseEngine(request, permitted, excess, now);
  return ChooseService(
      request,
      Targets(now).All(request.flow.pool, AskFor(request, now), permitted));
}

void Placement::Start(const QueuedRequest& request,
                      const Choice& choice,
                      Millis now) {
  const WorkFacts& work = request.work;
  const int64_t own_part = work.prompt_tokens - work.shared_tokens();
  TargetLoad load;
  load.target = choice.target;
  load.waiting_tokens = static_cast<uint32_t>(choice.uncached_tokens);
  load.memory_tokens = static_cast<uint32_t>(own_part + work.output_tokens);
  loads_.Start(request.id, load, now);
  if (cold_.IsCold(choice.target, now)) {
    cold_.Sent(choice.target, now);
    candidates_.Invalidate();
  }
  backoff_.OnSent(choice.target, request.id, now);
  if (!backoff_.MaySend(choice.target, now))
    candidates_.Invalidate();
  for (const PromptPrefix& prefix : work.prefixes)
    homes_.Note(prefix.id, choice.target, now);
  if (choice.first_byte > Millis(0))
    expected_[request.id] = Expected{
        {request.flow.pool, choice.target},
        static_cast<double>(choice.queued_tokens + choice.uncached_tokens)};
}

void Placement::OnBytes(RequestId id, Millis now) {
  const std::optional<Millis> taken = loads_.FirstByte(id, now);
  backoff_.OnAnswerStart(id);
  const auto expected = expected_.find(id);
  if (expected == expected_.end())
    return;
  Expected& request = expected->second;
  if (!taken) {
    silence_.OnBytes(request.engine.target, now);
    return;
  }
  model_.Observe(request.engine, request.tokens, *taken);
  request.begun = true;
  silence_.OnStreamStart(request.engine.target, now);
}

void Placement::Finish(RequestId id) {
  loads_.Finish(id);
  backoff_.OnEnded(id);
  const auto expected = expected_.find(id);
  if (expected == expected_.end())
    return;
  if (expected->second.begun)
    silence_.OnEnded(expected->second.engine.target);
  expected_.erase(expected);
}

auto Placement::Relief(PoolId pool, Millis now) const -> Millis {
  constexpr double kLeastMs = 200;
  constexpr double kMostMs = 1'500;
  const double least = Targets(now).LeastQueueMs(pool).value_or(kMostMs);
  return Millis(std::llround(std::clamp(least, kLeastMs, kMostMs)));
}

void Placement::NoteServices(Millis now) {
  for (const auto& [pool, targets] : candidates_.by_pool()) {
    const auto limits = pools_.find(pool);
    if (limits != pools_.end() && limits->second.memory_tokens > 0)
      continue;  // engines
    for (const PlacementTarget& target : targets) {
      const TargetId id = target.id;
      services_.Note(id, static_cast<int>(loads_.Total(id).running), now);
    }
  }
}

void Placement::UpdateFromPeer(BoxId from,
                               const std::vector<TargetLoad>& loads,
                               const std::vector<PrefixLocation>& homes,
                               Millis now) {
  loads_.UpdateFromPeer(from, loads, now);
  NoteServices(now);
  for (const PrefixLocation& home : homes)
    homes_.UpdateFromPeer(home, now);
}

}  // namespace sparbend
