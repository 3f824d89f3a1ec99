// A request that gets no further attempt is answered immediately. Every
// acquired slot is released exactly once: by Finish at the end, or by
// AcquireAgain, which queues the request again.
#include "sparbend/services/runner.h"

#include <cmath>

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

constexpr Millis kRetryAfterFailure = Millis(1'000);
constexpr double kPercent = 100;
// Larger ratios to the fair share are logged as this.
constexpr double kMaxLoggedFairShareRatio = 100;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kClientLeftStatus = 499;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// With less time than this until the deadline, another attempt is useless.
constexpr Millis kMinTimeLeft = Millis(20);

// The version of the targets' software that may continue the request's stream;
// nothing if it has none yet.
auto RequiredVersion(const RequestContext& context)
    -> std::optional<VersionId> {
  const std::optional<StreamOrigin>& origin = context.progress.origin;
  return origin ? std::optional(origin->version) : std::nullopt;
}

auto ToQueuedRequest(const RequestContext& context) -> QueuedRequest {
  QueuedRequest queued;
  queued.id = context.id;
  queued.flow = {PoolIdOf(context.pool->name), context.workspace->number};
  queued.route = context.answer_kind().route;
  queued.bytes = static_cast<int64_t>(context.body->size()) + 1'024;
  queued.arrived = context.received;
  queued.expires = context.queue_until;
  queued.prefix = context.prefix;
  queued.work = context.work;
  queued.resumes_stream = context.ResumesStream();
  queued.version = RequiredVersion(context);
  return queued;
}

// The time between the client's first attempt at this request and this one, as
// far as it is known; otherwise zero.
auto SinceFirstAttempt(const RequestContext& context) -> Millis {
  const WorkFacts& work = context.work;
  return work.objective > Millis(0)
             ? context.received + work.objective - work.first_byte_due
             : Millis(0);
}

// The id of the last event that the client has; empty: none that is known.
auto LastEventId(const RequestContext& context) -> std::string {
  const std::string relayed = context.progress.meter.last_event_id();
  return relayed.empty() ? context.resumes.last_event_id : relayed;
}

}  // namespace

Runner::Runner(Kernel* kernel, const Settings& settings)
    : kernel_(kernel),
      settings_(settings),
      started_(kernel->Now()),
      random_(std::random_device()()) {}

void Runner::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  forward_ = kernel_->Find<Forward>("forward");
  continuation_ = kernel_->Find<StreamContinuation>("stream-continuation");
  claims_ = kernel_->Find<Claims>("claims");
  metrics_ = kernel_->Find<Metrics>("metrics");
  protocol_ = kernel_->Find<ClientProtocol>("caller-dialect");
}

void Runner::OnClientGone(RequestContext* context) {
  metrics_->caller_left.Increment();
  scheduler_->Abandon(context->id);
  // A request that must not be repeated runs to its end if that is configured.
  const bool finish = context->once && context->finish_without_client;
  if (!finish && context->cancel)
    context->cancel();
}

auto Runner::KnownBoxes() const -> int {
  const Node& node = scheduler_->node();
  return static_cast<int>(
      std::max(node.members().list().boxes.size(), node.live_boxes()));
}

void Runner::RecordFirstAttempt(const RequestContext& context) {
  if (settings_.retry_limits.window <= Millis(0)) {
    workspace_budgets_[context.workspace->name].OnFirstAttempt();
    return;
  }
  const auto [budget, added] = fleet_budgets_.try_emplace(
      context.pool->name, settings_.retry_limits, started_);
  budget->second.OnFirstAttempt(KnownBoxes(), kernel_->Now());
}

auto Runner::SpendRetryBudget(RequestContext* context) -> bool {
  bool taken = false;
  if (settings_.retry_limits.window <= Millis(0)) {
    taken = workspace_budgets_[context->workspace->name].Take();
  } else {
    FleetRetryBudget& budget = fleet_budgets_.at(context->pool->name);
    taken = budget.Take(KnownBoxes(), kernel_->Now());
    if (taken)
      context->on_write = [this, &budget] {
        budget.OnRetrySent(kernel_->Now());
      };
  }
  if (!taken)
    metrics_->retries_denied.Increment();
  return taken;
}

// Requests that are not suspected cost no digest of the body: most of the time
// there are no suspicions at all, and otherwise only bodies of requests to
// suspected paths are digested.
void Runner::SetFingerprintIfSuspected(RequestContext* context) {
  const Quarantine& quarantine = scheduler_->node().quarantine();
  if (context->fingerprint || quarantine.empty())
    return;
  const StringRequest& request = context->request;
  if (quarantine.HasSuspicions(
          context->workspace->number,
          PathDigest(request.method_string(), request.target())))
    context->fingerprint = FingerprintOf(*context);
}

auto Runner::CheckQuarantine(RequestContext* context)
    -> std::optional<Refusal> {
  const Quarantine& quarantine = scheduler_->node().quarantine();
  if (quarantine.empty())
    return std::nullopt;
  SetFingerprintIfSuspected(context);
  const Millis span =
      quarantine.RefusedFor(SuspectsOf(*context), kernel_->Now());
  if (span <= Millis(0))
    return std::nullopt;
  metrics_->quarantine_refusals.Increment();
  return Refusal{kUnavailable, Verdict::kNotRun,
                 "targets exited while they ran this request, or others with a "
                 "part of its prompt",
                 span};
}

auto Runner::CheckTargetList() -> std::optional<Refusal> {
  if (!scheduler_->node().IsListOutOfDate(kernel_->Now()))
    return std::nullopt;
  metrics_->list_refusals.Increment();
  return Refusal{kUnavailable, Verdict::kNotRun,
                 "the list of targets is out of date", kRetryAfterFailure};
}

auto Runner::Attempt(RequestContext* context, const Slot& slot)
    -> asio::awaitable<AttemptResult> {
  context->sent = scheduler_->OnAttemptSent(SuspectsOf(*context));
  const AnswerTimes::Kind kind = context->answer_kind();
  scheduler_->answer_times().OnSent(kind, context->id, kernel_->Now());
  const AttemptResult result = co_await forward_->Attempt(context, slot);
  scheduler_->answer_times().OnEnded(kind, context->id, result.complete,
                                     kernel_->Now());
  if (!result.complete)
    co_return result;
  if (!context->fingerprint) {
    SetFingerprintIfSuspected(context);
    if (context->fingerprint)
      context->sent.push_back({*context->fingerprint, SuspicionVersion()});
  }
  scheduler_->node().quarantine().OnAnswered(context->sent, kernel_->Now());
  co_return result;
}

void Runner::ReturnUnsentRetry(const RequestContext& context) {
  if (context.on_write)
    fleet_budgets_.at(context.pool->name).ReturnRetry();
}

auto Runner::ShouldRetry(RequestContext* context, const AttemptResult& result)
    -> bool {
  const AnswerProgress& progress = context->progress;
  // A stream of unknown origin can't go on anywhere.
  const bool can_resume = context->resumable &&
                          !progress.meter.last_event_id().empty() &&
                          progress.origin;
  FailedAttempt failed;
  failed.verdict = context->verdict;
  failed.repeatable = !context->once || can_resume;
  failed.answered = context->client->began() && !can_resume;
  failed.attempts = context->attempts;
  failed.runs = context->runs;
  failed.max_runs = context->max_runs;
  failed.now = kernel_->Now() + kMinTimeLeft;
  failed.deadline = context->deadline;
  if (context->client->gone() || scheduler_->sending_ended() ||
      !MayRetry(failed))
    return false;
  // An answer that can't go on ends at once, so that its client may act.
  const std::optional<VersionId> version = RequiredVersion(*context);
  const Flow flow = {PoolIdOf(context->pool->name), context->workspace->number};
  if (version &&
      scheduler_->node().ingress_scheduler().CheckVersion(flow, *version))
    return false;
  // An attempt of which no byte was sent repeats no work, so its retry is free.
  return !result.may_have_arrived || SpendRetryBudget(context);
}

auto Runner::FinalRefusal(const RequestContext& context,
                          const AttemptResult& result) -> Refusal {
  const bool not_run = context.verdict == Verdict::kNotRun;
  if (kernel_->Now() + kMinTimeLeft >= context.deadline)
    return {kGatewayTimeout, context.verdict, "the request's deadline passed",
            kRetryAfterFailure};
  if (scheduler_->sending_ended())
    return {not_run ? kUnavailable : kBadGateway, context.verdict,
            "this box is stopping: " + result.problem, kRetryAfterStopping};
  return {not_run ? kUnavailable : kBadGateway, context.verdict, result.problem,
          kRetryAfterFailure};
}

void Runner::LogSent(const RequestContext& context, const Slot& slot) {
  Log(LogLevel::kInfo, "request-sent",
      {{"request", context.request_id},
       {"caller_id", context.caller_id},
       {"workspace", context.workspace->name},
       {"route", context.route == nullptr ? "" : context.route->name},
       {"target", slot.target},
       {"pool", context.pool->name},
       {"target_version", slot.version},
       {"resumes", context.resumes.attempt},
       {"after_event", LastEventId(context)},
       {"attempt", context.attempts},
       {"waited_ms", (kernel_->Now() - context.received).count()},
       {"left_ms", (context.deadline - kernel_->Now()).count()},
       {"expected_first_byte_ms", slot.choice.first_byte.count()},
       {"uncached_tokens", slot.choice.uncached_tokens},
       {"queued_tokens", slot.choice.queued_tokens},
       {"fetched", slot.fetch_from.has_value()},
       {"prompt_tokens", context.work.prompt_tokens},
       {"shared_tokens", context.work.shared_tokens()},
       {"prefix",
        context.work.prefixes.empty() ? 0 : context.work.prefixes.back().id},
       {"excess", std::lround(std::min(slot.choice.fair_share_ratio,
                                       kMaxLoggedFairShareRatio) *
                              kPercent)},
       {"in_time", slot.choice.in_time}});
}

void Runner::LogFailed(const RequestContext& context,
                       const Slot& slot,
                       const AttemptResult& result) {
  Log(LogLevel::kWarning, "attempt-failed",
      {{"request", context.request_id},
       {"caller_id", context.caller_id},
       {"workspace", context.workspace->name},
       {"target", slot.target},
       {"pool", context.pool->name},
       {"target_version", slot.version},
       {"after_event", LastEventId(context)},
       {"first_event", context.progress.meter.first_event_id()},
       {"resumes_made", context.progress.resumes},
       {"attempt", context.attempts},
       {"verdict", ToString(result.verdict)},
       {"problem", result.problem},
       {"framing", ToString(context.progress.end.framing)},
       {"position", ToString(context.progress.end.position)},
       {"target_at_end", ToString(context.progress.end.target)},
       {"retry_after_ms", result.retry_after.count()},
       {"unacknowledged_bytes", result.unacknowledged},
       {"after_ms", (kernel_->Now() - context.received).count()}});
}

auto Runner::RunAttempts(RequestContext* context) -> asio::awaitable<Refusal> {
  // A quarantined request would crash one target after the other, with all
  // other requests there.
  if (const std::optional<Refusal> refused = CheckQuarantine(context))
    co_return *refused;
  if (const std::optional<Refusal> refused =
          co_await continuation_->Resolve(context))
    co_return *refused;
  if (context->client->gone())
    co_return Refusal{kClientLeftStatus, Verdict::kNotRun, "the client left",
                      Millis(0)};
  RecordFirstAttempt(*context);
  SlotOrRefusal acquired =
      co_await scheduler_->Acquire(ToQueuedRequest(*context));
  while (true) {
    if (std::holds_alternative<Slot>(acquired)) {
      // An identical request may have crashed a target while this one waited.
      std::optional<Refusal> refused = CheckQuarantine(context);
      if (!refused)
        refused = CheckTargetList();
      if (refused) {
        scheduler_->Finish(context->id, 0);
        acquired = std::move(*refused);
      }
    }
    if (const Refusal* refusal = std::get_if<Refusal>(&acquired)) {
      Refusal final = *refusal;
      final.verdict = Combine(final.verdict, context->verdict);
      if (final.verdict != Verdict::kNotRun)
        final.status = kBadGateway;
      co_return final;
    }
    const Slot slot = std::get<Slot>(acquired);
    ++context->attempts;
    LogSent(*context, slot);
    if (context->on_attempt)
      context->on_attempt();
    const AttemptResult result = co_await Attempt(context, slot);
    context->verdict = Combine(context->verdict, result.verdict);
    context->runs += result.verdict == Verdict::kNotRun ? 0 : 1;
    if (result.complete) {
      scheduler_->Finish(context->id, context->tokens);
      co_return Refusal{200, Verdict::kRan, "", Millis(0)};
    }
    LogFailed(*context, slot, result);
    if (!context->client->gone())
      co_await continuation_->FindOrigin(context);
    if (!ShouldRetry(context, result)) {
      scheduler_->Finish(context->id, context->tokens);
      co_return FinalRefusal(*context, result);
    }
    metrics_->retries.Increment();
    if (result.may_have_arrived)
      co_await Sleep(
          scheduler_->SendingWithin(Backoff(context->attempts, random_())));
    acquired = co_await scheduler_->AcquireAgain(context->id, context->deadline,
                                                 RequiredVersion(*context));
  }
}

auto Runner::ClaimKey(const RequestContext& context)
    -> asio::awaitable<std::optional<Refusal>> {
  if (const auto why =
          CheckIdempotencyKey(context.idempotency_key, WallClock()))
    co_return Refusal{kBadRequest, Verdict::kNotRun, *why, Millis(0)};
  const ClaimAnswer answer = co_await claims_->Claim(
      context.workspace->number, context.idempotency_key, context.request_id);
  if (answer.outcome == ClaimOutcome::kWon)
    co_return std::nullopt;
  if (answer.outcome == ClaimOutcome::kLost)
    co_return Refusal{
        kConflict, Verdict::kMayHaveRun,
        "a copy of this request was accepted before: " + answer.detail,
        Millis(0)};
  co_return Refusal{
      kUnavailable, Verdict::kNotRun,
      "the claim on the Idempotency-Key is undecided: " + answer.detail,
      kRetryAfterFailure};
}

auto Runner::RunWithClaim(RequestContext* context) -> asio::awaitable<Refusal> {
  const bool needs_claim = context->once && !context->idempotency_key.empty();
  if (!needs_claim)
    co_return co_await RunAttempts(context);
  const std::optional<Refusal> refused = co_await ClaimKey(*context);
  if (refused)
    co_return *refused;
  const Refusal final = co_await RunAttempts(context);
  if (final.verdict == Verdict::kNotRun)
    claims_->Release(context->workspace->number, context->idempotency_key,
                     context->request_id);
  co_return final;
}

auto Runner::Run(RequestContext* context) -> asio::awaitable<void> {
  // Removes the context also if running it fails, since it ends then.
  const std::unique_ptr<RequestContext, std::function<void(RequestContext*)>>
      recorded(context, [this](RequestContext* one) { running_.erase(one); });
  running_.insert(context);
  co_await RunToEnd(context);
}

void Runner::EndUnanswered() {
  for (RequestContext* context : running_) {
    if (!context->client->began() && context->cancel)
      context->cancel();
  }
}

void Runner::LogEnd(const RequestContext& context, const Refusal& final) {
  Log(LogLevel::kInfo,
      final.status == 200 ? "request-answered" : "request-refused",
      {{"request", context.request_id},
       {"caller_id", context.caller_id},
       {"workspace", context.workspace->name},
       {"status", final.status},
       {"verdict", ToString(final.verdict)},
       {"reason", final.reason},
       {"route", context.route == nullptr ? "" : context.route->name},
       {"resumes", context.resumes.attempt},
       {"prompt_tokens", context.work.prompt_tokens},
       {"asked_before_ms", SinceFirstAttempt(context).count()},
       {"attempts", context.attempts},
       {"events", context.progress.meter.events()},
       {"first_event", context.progress.meter.first_event_id()},
       {"last_event", LastEventId(context)},
       {"resumes_made", context.progress.resumes},
       {"framing", ToString(context.progress.end.framing)},
       {"position", ToString(context.progress.end.position)},
       {"target_at_end", ToString(context.progress.end.target)},
       {"client_framing", ToString(context.client->framing())},
       {"client_complete", context.client->complete()},
       {"first_byte_ms", context.first_byte > Millis(0)
                             ? (context.first_byte - context.received).count()
                             : -1},
       {"took_ms", (kernel_->Now() - context.received).count()}});
}

auto Runner::Deliver(RequestContext* context, const Refusal& final)
    -> asio::awaitable<void> {
  ClientStream& client = *context->client;
  // Once an answer has begun, the only way to report the failure is not to
  // complete it.
  if (final.status == 200 || client.began() || client.gone())
    co_return;
  if (context->failed_answer)
    co_await forward_->SendFailed(context);
  else
    co_await client.Answer(protocol_->refusal(final, *context));
}

auto Runner::RunToEnd(RequestContext* context) -> asio::awaitable<void> {
  ClientStream& client = *context->client;
  client.Watch([this, context] { OnClientGone(context); });
  const Refusal final = co_await RunWithClaim(context);
  ReturnUnsentRetry(*context);
  co_await client.Flush();  // EndWatch cancels writes
  client.EndWatch();
  metrics_->CountAnswer(final.status, ToString(final.verdict));
  LogEnd(*context, final);
  co_await Deliver(context, final);
}

}  // namespace sparbend
