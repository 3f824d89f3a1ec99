// An engine reads prompts in order of arrival, in chunks between the decoding
// steps of the requests that run there. So the time to a first token depends on
// the prompt tokens queued before the request and on its own uncached prompt
// tokens. EngineModel fits this dependence from observed answers.
//
// A prefix is taken to be cached at the engines that it was sent to, as known
// from this box's own requests and from reports of its peers. For a prefix that
// is cached nowhere, every box ranks the engines by the same hash, so that
// without any message all boxes send a new prefix to the same engine. The rank
// does not matter for a prefix that is cached elsewhere: the highest-ranked
// engine has not read it then.
//
// Recomputing a long prefix takes as much engine time as several requests whose
// prefix is cached, and evicts other prefixes, which under load leads to yet
// more recomputing. So if no engine that has the prefix can answer in time but
// another engine can, the prefix is transferred to that engine. If that is not
// possible, another engine recomputes it, but only while it is nearly idle. In
// both cases that engine has the prefix afterwards, which is reported to the
// peers.
//
// Engines differ in speed and are slow for periods of some 600 ms. EngineModel
// has factors of each engine for the former, SlowSpans measures the latter; a
// slow engine's times are stretched by what is left of the period, and it stays
// in use.
//
// A request that cannot begin in time anywhere waits until an engine has little
// work, so that late requests use idle time and do not delay others. This holds
// while its flow gets what it is entitled to. The model of a box that sends
// little follows few answers, and under load these came after requests of other
// boxes that were not reported yet. Such a box takes the engines for slower
// than they are, finds nothing in time, sends less, and would stay that way: so
// a flow below its entitlement is sent late, too.
#include "sparbend/core/placement.h"

#include <algorithm>
#include <cmath>

#include "sparbend/core/fair_shares.h"

namespace sparbend {
namespace {

// Fixed time of a KV transfer, in which the engines agree on it.
constexpr double kTransferSetupMs = 2;
// Added to the cost of a choice with a transfer, so that transfers are made
// only where they help.
constexpr double kTransferPenaltyMs = 5;
// An engine has usually read a prefix this long after the prefix was sent
// there.
constexpr Millis kUsualReadTime = Millis(400);
// Fewer tokens than this are recomputed, not transferred.
constexpr int64_t kMinTransferTokens = 64;
// Weight in the cost of a choice of the time to recompute a prefix. It comes on
// top of the same time in the estimate of the first byte.
constexpr double kRecomputePenaltyFactor = 2;
// Recomputing up to this many tokens is not worth waiting for an engine that
// has the prefix.
constexpr int64_t kMaxSmallRecomputeTokens = 1'000;
// An engine with a longer queue does not recompute a long prefix, and takes no
// late request of a flow that is over its fair share.
constexpr double kMaxIdleQueueMs = 40;
// A request counts as in time if the estimate is within this share of the time
// left to its deadline.
constexpr double kMaxDeadlineShare = 0.85;
// A late request goes only to an engine with a queue up to this.
constexpr double kMaxLateQueueMs = 120;
// The same for a flow below its entitlement, whose requests would wait at the
// box for seconds instead and be refused.
constexpr double kMaxLateQueueMsBelowEntitlement = 1'000;
// An engine has spare capacity for a request of a flow that is just at its fair
// share if its queue and the reading of the request's own prompt together take
// at most kMaxSpareQueueMs, and at most a share of kMaxSpareSlotShare of its
// slots is in use. For a larger ratio to the fair share, the time limit is
// lower in proportion: of two overloading flows, the one with less service goes
// first, through however many boxes their requests arrive. Because the
// request's own prompt counts, the many small requests of an overloading flow
// are served rather than the few large ones.
constexpr double kMaxSpareQueueMs = 250;
constexpr double kMaxSpareSlotShare = 0.5;
// Share of an engine's memory that running requests may take. The rest is for
// cached prefixes.
constexpr double kMaxRunningMemoryShare = 0.6;
// Share of a box's connections to a target that requests may use. The rest is
// for probes, and for errors in the count of boxes.
constexpr double kConnectionShare = 0.8;
// Gaps between events that the model observes as one: as many events take about
// as long as an answer takes to begin.
constexpr int kGapsPerObservation = 8;
// A stream that ends contributes its last gaps if they are at least these.
constexpr int kMinGapsPerObservation = 4;
// Weight in the cost of a choice of the time by which pauses between events are
// expected to exceed the longest that is in time. Each of a stream's dozens of
// pauses would be late, but an engine that answers too late is worse.
constexpr double kPausePenaltyFactor = 3;
// Times to the first byte that differ by up to this share are decided at
// random. Boxes that agree on which engine is the fastest would otherwise all
// send to it until the next load reports.
constexpr double kMaxSpread = 0.6;
// Bounds of the speed by which the number of running requests that leaves spare
// capacity is scaled.
constexpr double kMinSpareSpeed = 0.5;
constexpr double kMaxSpareSpeed = 1.6;

// Time until a target's restart or cold state is known here: its heartbeat
// takes up to 1.2 s, and on average reading it takes 0.85 s and the report to
// other boxes 0.45 s.
constexpr Millis kColdReportDelay = Millis(2'500);
// A target that crashed accepts no connection for longer than this.
constexpr Millis kMinRestartTime = Millis(1'000);
// Interval after which a waiting request gets another sample of targets. Equals
// the interval at which Candidates evaluates all targets.
constexpr int64_t kSampleIntervalMs = 20;

// Uniform in [0, kMaxSpread), by a hash of the request and target.
auto SpreadOf(const QueuedRequest& request, TargetId target) -> double {
  constexpr uint64_t kSteps = 1'024;
  return kMaxSpread *
         static_cast<double>(
             HashPair(HashPair(request.id >> 32, request.id), target) %
             kSteps) /
         kSteps;
}

auto QueryFor(const QueuedRequest& request, Millis now) -> Candidates::Query {
  Candidates::Query query;
  query.request = request.id;
  query.avoid = &request.avoid;
  query.round = static_cast<int>(now.count() / kSampleIntervalMs);
  return query;
}

}  // namespace

void Placement::SetTargets(std::vector<PlacementTarget> targets) {
  std::set<TargetId> ids;
  for (const PlacementTarget& target : targets)
    ids.insert(target.id);
  cold_targets_.Retain(ids);
  candidates_.SetTargets(std::move(targets));
  engine_model_.Retain(ids);
  slow_spans_.Retain(ids);
  service_choice_.Retain(ids);
}

auto Placement::OnOutcome(TargetId target, TargetOutcome outcome, Millis now)
    -> bool {
  if (outcome == TargetOutcome::kRefused)
    SuspectCold(target, now);
  const bool ejected = health_.OnOutcome(target, outcome, now);
  if (ejected)
    candidates_.Invalidate();
  return ejected;
}

void Placement::OnReachable(TargetId target, Millis now) {
  // An overloaded box misses connections that would have been made, and makes
  // them at the next attempt. A shorter interruption is therefore no sign of a
  // restart.
  if (health_.OnReachable(target, now) >= kMinRestartTime)
    SuspectCold(target, now);
  else
    candidates_.Invalidate();
}

void Placement::OnRetryAfter(TargetId target, Millis delay, Millis now) {
  backoff_.OnRetryAfter(target, delay, now);
  candidates_.Invalidate();
}

auto Placement::BackoffRemaining(PoolId pool,
                                 const Permitted& permitted,
                                 Millis now) const -> std::optional<Millis> {
  const auto targets = candidates_.by_pool().find(pool);
  if (backoff_.empty() || targets == candidates_.by_pool().end())
    return std::nullopt;
  std::optional<Millis> shortest;
  for (const PlacementTarget& target : targets->second) {
    if (target.leaving || !permitted(target.hall))
      continue;
    const Millis remaining = backoff_.Left(target.id, now);
    if (remaining <= Millis(0))
      return std::nullopt;
    shortest = std::min(remaining, shortest.value_or(remaining));
  }
  return shortest;
}

void Placement::SuspectCold(TargetId target, Millis now) {
  cold_targets_.SetCold(target, now + kColdReportDelay);
  candidates_.Invalidate();
}

void Placement::SetPools(std::map<PoolId, PoolLimits> pools) {
  pools_ = std::move(pools);
  std::map<PoolId, double> cold_rates;
  for (const auto& [pool, limits] : pools_) {
    if (limits.cold_requests_per_s > 0)
      cold_rates[pool] = limits.cold_requests_per_s;
  }
  cold_targets_.SetPools(std::move(cold_rates));
}

auto Placement::TransferTokensPerMs(PoolId pool) const -> double {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.kv_transfer_tokens_per_ms;
}

auto Placement::RefreshedCandidates(Millis now) const -> const Candidates& {
  candidates_.Refresh({[&](TargetId target) {
                         return health_.Usable(target, now) &&
                                !stall_detector_.IsStalled(target, now);
                       },
                       [&](const PlacementTarget& target) {
                         return !cold_targets_.MaySend(target.id, target.pool,
                                                       now) ||
                                !backoff_.MaySend(target.id, now);
                       },
                       [&](const PlacementTarget& target) {
                         return QueueMs(target, loads_.Total(target.id), now);
                       },
                       [this](const PlacementTarget& target) {
                         return HasSpareSlots(target, loads_.Total(target.id));
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
    const double connection_share =
        kConnectionShare * limits.connections / box_count_;
    const auto own_running = static_cast<double>(loads_.Own(target.id).running);
    if (own_running >= std::max(1.0, connection_share))
      return false;
  }
  if (limits.memory_tokens <= 0 || load.running == 0)
    return true;
  const int64_t own_tokens = request.work.prompt_tokens -
                             request.work.shared_tokens() +
                             request.work.output_tokens;
  return static_cast<double>(load.memory_tokens + own_tokens) <=
         kMaxRunningMemoryShare * static_cast<double>(limits.memory_tokens);
}

// A cached prefix is of use only together with all shorter ones, so a target
// that lacks one counts only up to there.
auto Placement::FindCachedPrefixes(const WorkFacts& work, Millis now) const
    -> CachedPrefixes {
  CachedPrefixes cached;
  int64_t previous_tokens = 0;  // tokens of the prefix before this one
  for (const PromptPrefix& prefix : work.prefixes) {
    for (const PrefixLocations::Holder& holder :
         prefix_locations_.HoldersOf(prefix.id, now)) {
      const auto found =
          std::ranges::find(cached, holder.target, &CachedPrefix::target);
      if (found != cached.end() && found->tokens == previous_tokens) {
        found->tokens = prefix.tokens;
        found->first_sent = holder.first_sent;
      } else if (found == cached.end() && previous_tokens == 0) {
        cached.push_back({holder.target, prefix.tokens, holder.first_sent});
      }
    }
    previous_tokens = prefix.tokens;
  }
  return cached;
}

auto Placement::QueueMs(const PlacementTarget& target,
                        const TargetLoad& load,
                        Millis now) const -> double {
  return slow_spans_.Stretch(
      target.id,
      engine_model_.ReadMs({target.pool, target.id}, load.waiting_tokens), now);
}

// A fast engine carries more running requests at the same pauses.
auto Placement::HasSpareSlots(const PlacementTarget& target,
                              const TargetLoad& load) const -> bool {
  const double speed = std::clamp(1 / engine_model_.DecodeFactor(target.id),
                                  kMinSpareSpeed, kMaxSpareSpeed);
  return load.running <=
         kMaxSpareSlotShare * speed * static_cast<double>(target.slots);
}

auto Placement::IsSpareCapacity(double queue_ms,
                                bool has_spare_slots,
                                double fair_share_ratio) -> bool {
  return has_spare_slots && fair_share_ratio < FairShares::kMustYield &&
         queue_ms * fair_share_ratio <= kMaxSpareQueueMs;
}

auto Placement::HasSpareCapacity(PoolId pool,
                                 double fair_share_ratio,
                                 Millis now) const -> bool {
  const std::optional<double> shortest =
      RefreshedCandidates(now).MinSpareQueueMs(pool);
  return shortest &&
         IsSpareCapacity(*shortest, /*has_spare_slots=*/true, fair_share_ratio);
}

auto Placement::MakeEstimate(const QueuedRequest& request,
                             const PlacementTarget& target,
                             int64_t cached_tokens,
                             const CachedPrefix& source,
                             Millis now) const -> std::optional<Estimate> {
  const WorkFacts& work = request.work;
  const TargetLoad load = loads_.Total(target.id);
  if (!HasRoom(request, target, load))
    return std::nullopt;
  const EngineModel::Engine engine = {target.pool, target.id};
  Estimate estimate;
  const double transfer_tokens_per_ms = TransferTokensPerMs(target.pool);
  const int64_t transferable_tokens = source.tokens - cached_tokens;
  if (transfer_tokens_per_ms > 0 && transferable_tokens >= kMinTransferTokens) {
    estimate.transferred_tokens = transferable_tokens;
    estimate.transfer_ms =
        kTransferSetupMs +
        static_cast<double>(transferable_tokens) / transfer_tokens_per_ms;
  }
  estimate.uncached_tokens =
      work.prompt_tokens - cached_tokens - estimate.transferred_tokens;
  estimate.recomputed_tokens =
      estimate.uncached_tokens - (work.prompt_tokens - work.shared_tokens());
  estimate.queue_ms = QueueMs(target, load, now);
  estimate.queued_tokens = load.waiting_tokens;
  estimate.first_byte_ms =
      estimate.transfer_ms +
      slow_spans_.Stretch(
          target.id,
          engine_model_.FirstByteMs(
              engine, static_cast<double>(estimate.queued_tokens +
                                          estimate.uncached_tokens)),
          now);
  estimate.prompt_ms = slow_spans_.Stretch(
      target.id,
      engine_model_.ReadMs(engine,
                           static_cast<double>(estimate.uncached_tokens)),
      now);
  estimate.recompute_ms = engine_model_.ReadMs(
      engine, static_cast<double>(estimate.recomputed_tokens));
  const auto remaining_ms =
      static_cast<double>((work.first_byte_due - now).count());
  estimate.in_time = work.first_byte_due <= Millis(0) ||
                     estimate.first_byte_ms <= remaining_ms * kMaxDeadlineShare;
  estimate.has_spare_slots = HasSpareSlots(target, load);
  if (work.pause_objective > Millis(0)) {
    const bool reading = load.waiting_tokens > 0;
    const std::optional<double> pause_ms =
        engine_model_.EventGapMs(engine, {load.running + 1.0, reading});
    // Zero while the model can't tell.
    estimate.pause_excess_ms = std::max(
        0.0, pause_ms.value_or(0) * slow_spans_.FactorOf(target.id, now) -
                 static_cast<double>(work.pause_objective.count()));
  }
  return estimate;
}

auto Placement::IsAcceptable(const Estimate& estimate,
                             Preference preference,
                             const FlowShare& share) -> bool {
  const bool over_fair_share = share.ratio >= 1;
  const double total_ms = estimate.queue_ms + estimate.prompt_ms;
  if (over_fair_share &&
      !IsSpareCapacity(total_ms, estimate.has_spare_slots, share.ratio))
    return false;
  if (over_fair_share && !estimate.in_time &&
      estimate.queue_ms > kMaxIdleQueueMs)
    return false;
  const bool long_recompute =
      estimate.recomputed_tokens > kMaxSmallRecomputeTokens;
  switch (preference) {
    case Preference::kInTime:
      return estimate.in_time && !long_recompute &&
             estimate.transferred_tokens == 0;
    case Preference::kTransferred:
      return estimate.in_time && !long_recompute;
    case Preference::kRecomputed:
      return estimate.in_time && !over_fair_share &&
             estimate.queue_ms <= kMaxIdleQueueMs;
    case Preference::kLate:
      return !long_recompute && estimate.transferred_tokens == 0 &&
             estimate.queue_ms <= (share.below_entitlement
                                       ? kMaxLateQueueMsBelowEntitlement
                                       : kMaxLateQueueMs);
  }
  return false;
}

// A prefix that was sent only a moment ago has not been read yet, and can't be
// transferred.
auto Placement::FindTransferSource(const Candidates::List& candidates,
                                   const CachedPrefixes& cached,
                                   VersionId version,
                                   Millis now) -> CachedPrefix {
  CachedPrefix source;
  for (const CachedPrefix& prefix : cached) {
    const bool is_candidate =
        std::ranges::any_of(candidates, [&](const PlacementTarget* other) {
          return other->id == prefix.target && other->version == version;
        });
    if (is_candidate && now - prefix.first_sent >= kUsualReadTime &&
        prefix.tokens > source.tokens)
      source = prefix;
  }
  return source;
}

auto Placement::ChooseEngine(const QueuedRequest& request,
                             const Candidates::Permitted& permitted,
                             const FlowShare& share,
                             Millis now) const -> std::optional<Choice> {
  const WorkFacts& work = request.work;
  const PoolId pool = request.flow.pool;
  const Candidates& targets = RefreshedCandidates(now);
  const PlacementTarget* highest_ranked =
      work.prefixes.empty()
          ? nullptr
          : targets.HighestRanked(pool, work.prefixes.back().id, permitted);
  const TargetId highest_ranked_id =
      highest_ranked == nullptr ? TargetId{0} : highest_ranked->id;
  const CachedPrefixes cached = FindCachedPrefixes(work, now);
  Candidates::Query query = QueryFor(request, now);
  for (const CachedPrefix& prefix : cached)
    query.always_include.push_back(prefix.target);
  if (highest_ranked != nullptr)
    query.always_include.push_back(highest_ranked_id);
  const Candidates::List candidates = targets.Sample(pool, query, permitted);
  const bool fully_cached =
      std::ranges::any_of(cached, [&](const CachedPrefix& prefix) {
        return prefix.tokens == work.shared_tokens();
      });
  const auto cached_tokens_at = [&](TargetId target) -> int64_t {
    // A prefix that is cached nowhere is to be read by its highest-ranked
    // engine, so it counts as cached there for all requests.
    if (target == highest_ranked_id && !fully_cached)
      return work.shared_tokens();
    const auto found = std::ranges::find(cached, target, &CachedPrefix::target);
    return found != cached.end() ? found->tokens : 0;
  };
  // KV blocks are the output of a version too.
  std::map<VersionId, CachedPrefix> sources;
  std::vector<std::pair<const PlacementTarget*, Estimate>> estimates;
  estimates.reserve(candidates.size());
  for (const PlacementTarget* target : candidates) {
    const auto [source, missing] = sources.try_emplace(target->version);
    if (missing)
      source->second =
          FindTransferSource(candidates, cached, target->version, now);
    if (const auto estimate =
            MakeEstimate(request, *target, cached_tokens_at(target->id),
                         source->second, now))
      estimates.emplace_back(target, *estimate);
  }
  for (const Preference preference :
       {Preference::kInTime, Preference::kTransferred, Preference::kRecomputed,
        Preference::kLate}) {
    const std::pair<const PlacementTarget*, Estimate>* best = nullptr;
    double best_cost = 0;
    for (const auto& candidate : estimates) {
      const Estimate& estimate = candidate.second;
      if (!IsAcceptable(estimate, preference, share))
        continue;
      const double cost =
          estimate.first_byte_ms *
              (1 + SpreadOf(request, candidate.first->id)) +
          (estimate.transferred_tokens > 0 ? kTransferPenaltyMs : 0) +
          kRecomputePenaltyFactor * estimate.recompute_ms +
          kPausePenaltyFactor * estimate.pause_excess_ms;
      if (best == nullptr || cost < best_cost) {
        best = &candidate;
        best_cost = cost;
      }
    }
    if (best == nullptr)
      continue;
    const Estimate& estimate = best->second;
    const PlacementTarget& target = *best->first;
    return Choice{target.id,
                  Millis(std::llround(estimate.first_byte_ms)),
                  estimate.uncached_tokens,
                  estimate.queued_tokens,
                  estimate.in_time,
                  share.ratio,
                  estimate.transferred_tokens > 0
                      ? sources.at(target.version).target
                      : 0};
  }
  return std::nullopt;
}

auto Placement::ChooseService(const QueuedRequest& request,
                              const Candidates::List& candidates,
                              Millis now) const -> std::optional<Choice> {
  std::optional<Choice> best;
  double best_cost = 0;
  for (const PlacementTarget* target : candidates) {
    const TargetLoad own = loads_.Own(target->id);
    if (!HasRoom(request, *target, own) ||
        static_cast<int>(own.running) >=
            service_choice_.OutstandingLimit(target->id, target->slots))
      continue;
    const double cost = service_choice_.CostOf(
        {target->id, target->slots, target->hall == hall_,
         static_cast<int>(own.running), health_.FailureRate(target->id)},
        request.id, now);
    if (best && cost >= best_cost)
      continue;
    best = Choice{target->id, Millis(0), 0, 0, true, 0, 0};
    best_cost = cost;
  }
  return best;
}

auto Placement::Choose(const QueuedRequest& request,
                       const Permitted& permitted,
                       const FlowShare& share,
                       Millis now) const -> std::optional<Choice> {
  const Candidates::Permitted may_run = [&](const PlacementTarget& target) {
    return permitted(target.hall) &&
           (!request.version || *request.version == target.version);
  };
  if (request.work.prompt_tokens > 0)
    return ChooseEngine(request, may_run, share, now);
  return ChooseService(request,
                       RefreshedCandidates(now).All(
                           request.flow.pool, QueryFor(request, now), may_run),
                       now);
}

void Placement::Start(const QueuedRequest& request,
                      const Choice& choice,
                      Millis now) {
  const WorkFacts& work = request.work;
  const int64_t own_tokens = work.prompt_tokens - work.shared_tokens();
  TargetLoad load;
  load.target = choice.target;
  load.waiting_tokens = static_cast<uint32_t>(choice.uncached_tokens);
  load.memory_tokens = static_cast<uint32_t>(own_tokens + work.output_tokens);
  loads_.Start(request.id, load, now);
  if (cold_targets_.IsCold(choice.target, now)) {
    cold_targets_.RecordSent(choice.target, now);
    candidates_.Invalidate();
  }
  backoff_.OnSent(choice.target, request.id, now);
  if (!backoff_.MaySend(choice.target, now))
    candidates_.Invalidate();
  for (const PromptPrefix& prefix : work.prefixes)
    prefix_locations_.Record(prefix.id, choice.target, now);
  if (choice.first_byte > Millis(0)) {
    SentEstimate& sent = sent_estimates_[request.id];
    sent = {};
    sent.engine = {request.flow.pool, choice.target};
    sent.tokens =
        static_cast<double>(choice.queued_tokens + choice.uncached_tokens);
  } else if (work.prompt_tokens <= 0)
    sent_calls_[request.id] = SentCall{request.flow.pool, choice.target,
                                       candidates_.SlotsOf(choice.target)};
}

void Placement::ObserveGaps(EngineModel::Engine engine,
                            bool reading,
                            int min_gaps,
                            Millis now,
                            GapSums* sums) {
  if (sums->gaps < min_gaps)
    return;
  // A period of slowness is no property of the engine.
  if (slow_spans_.FactorOf(engine.target, now) <= 1)
    engine_model_.ObserveGap(engine, {sums->running / sums->gaps, reading},
                             sums->ms / sums->gaps);
  *sums = {};
}

void Placement::OnEvent(RequestId id, SentEstimate* request, Millis now) {
  const TargetId target = request->engine.target;
  const Millis gap = now - request->last_bytes_at;
  request->last_bytes_at = now;
  const TargetLoad load = loads_.Total(target);
  const bool reading = load.waiting_tokens > 0;
  const auto running = static_cast<double>(load.running);
  const auto gap_ms = static_cast<double>(gap.count());
  slow_spans_.OnEvent({target, id,
                       gap_ms / engine_model_.PoolGapMs(request->engine.pool,
                                                        {running, reading}),
                       gap},
                      now);
  GapSums& sums = reading ? request->reading : request->decoding;
  ++sums.gaps;
  sums.ms += gap_ms;
  sums.running += running;
  ObserveGaps(request->engine, reading, kGapsPerObservation, now, &sums);
}

void Placement::OnBytes(RequestId id, Millis now) {
  const std::optional<Millis> elapsed = loads_.OnFirstByte(id, now);
  backoff_.OnAnswerStart(id);
  const auto sent = sent_estimates_.find(id);
  if (sent == sent_estimates_.end()) {
    const auto call = sent_calls_.find(id);
    if (elapsed && call != sent_calls_.end())
      service_choice_.RecordLatency(call->second.pool, call->second.target,
                                    call->second.slots, *elapsed, now);
    return;
  }
  SentEstimate& request = sent->second;
  if (!elapsed) {
    stall_detector_.OnBytes(request.engine.target, now);
    OnEvent(id, &request, now);
    return;
  }
  if (slow_spans_.FactorOf(request.engine.target, now) <= 1)
    engine_model_.Observe(request.engine, request.tokens, *elapsed);
  request.answer_started = true;
  request.last_bytes_at = now;
  stall_detector_.OnStreamStart(request.engine.target, now);
}

void Placement::Finish(RequestId id) {
  loads_.Finish(id);
  backoff_.OnEnded(id);
  sent_calls_.erase(id);
  const auto sent = sent_estimates_.find(id);
  if (sent == sent_estimates_.end())
    return;
  SentEstimate& request = sent->second;
  if (request.answer_started)
    stall_detector_.OnEnded(request.engine.target);
  for (const bool reading : {false, true})
    ObserveGaps(request.engine, reading, kMinGapsPerObservation,
                request.last_bytes_at,
                reading ? &request.reading : &request.decoding);
  sent_estimates_.erase(sent);
}

auto Placement::EstimatedWait(PoolId pool, Millis now) const -> Millis {
  constexpr double kMinWaitMs = 200;
  constexpr double kMaxWaitMs = 1'500;
  const double shortest =
      RefreshedCandidates(now).MinQueueMs(pool).value_or(kMaxWaitMs);
  return Millis(std::llround(std::clamp(shortest, kMinWaitMs, kMaxWaitMs)));
}

auto Placement::EstimatedAnswer(PoolId pool, Millis now) const
    -> std::optional<Millis> {
  const auto targets = candidates_.by_pool().find(pool);
  if (targets == candidates_.by_pool().end())
    return std::nullopt;
  std::optional<double> shortest_ms;
  for (const PlacementTarget& target : targets->second) {
    const std::optional<double> latency_ms =
        service_choice_.LatencyMs(target.id, now);
    if (target.leaving || !latency_ms || !health_.Usable(target.id, now))
      continue;
    const int limit = service_choice_.OutstandingLimit(target.id, target.slots);
    const auto own_running = static_cast<int>(loads_.Own(target.id).running);
    // If this box has no place there, one becomes free after an even part of
    // the time of those that run.
    const double wait_ms =
        own_running < limit
            ? 0
            : *latency_ms * (own_running - limit + 1) / own_running;
    const double answer_ms = *latency_ms + wait_ms;
    shortest_ms = std::min(answer_ms, shortest_ms.value_or(answer_ms));
  }
  if (!shortest_ms)
    return std::nullopt;
  return Millis(std::llround(*shortest_ms));
}

void Placement::RecordServiceLoads(Millis now) {
  for (const auto& [pool, targets] : candidates_.by_pool()) {
    const auto limits = pools_.find(pool);
    if (limits != pools_.end() && limits->second.memory_tokens > 0)
      continue;  // engines
    for (const PlacementTarget& target : targets) {
      const TargetId id = target.id;
      service_choice_.RecordLoad(id, static_cast<int>(loads_.Total(id).running),
                                 now);
    }
  }
}

void Placement::UpdateFromPeer(BoxId from,
                               const std::vector<TargetLoad>& loads,
                               const std::vector<PrefixLocation>& locations,
                               Millis now) {
  loads_.UpdateFromPeer(from, loads, now);
  RecordServiceLoads(now);
  for (const PrefixLocation& location : locations)
    prefix_locations_.UpdateFromPeer(location, now);
}

}  // namespace sparbend
