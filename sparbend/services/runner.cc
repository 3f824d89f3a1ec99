// A request given up on is answered at once. Every acquired slot is finished
// exactly once: by Finish at the end, or by AcquireAgain's requeue.
#include "sparbend/services/runner.h"

#include <cmath>

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

constexpr Millis kRetryAfterFailure = Millis(1'000);
constexpr double kPercent = 100;
// Larger ones are told as this.
constexpr double kMostExcess = 100;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// What is left to a request below which another attempt is of no use.
constexpr Millis kLeastTimeLeft = Millis(20);

auto QueuedFrom(const RequestContext& exchange) -> QueuedRequest {
  QueuedRequest queued;
  queued.id = exchange.id;
  queued.flow = {PoolIdOf(exchange.pool->name), exchange.workspace->number};
  queued.bytes = static_cast<int64_t>(exchange.request.body().size()) + 1'024;
  queued.arrived = exchange.received;
  queued.expires = exchange.queue_until;
  queued.prefix = exchange.prefix;
  queued.work = exchange.work;
  return queued;
}

// How long before this try its caller first asked, as far as is known.
auto AskedBefore(const RequestContext& exchange) -> Millis {
  const WorkFacts& work = exchange.work;
  return work.objective > Millis(0)
             ? exchange.received + work.objective - work.first_byte_due
             : Millis(0);
}

}  // namespace

Runner::Runner(Kernel* kernel, const Settings& settings)
    : kernel_(kernel), settings_(settings), random_(std::random_device()()) {}

void Runner::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  forward_ = kernel_->Find<Forward>("forward");
  claims_ = kernel_->Find<Claims>("claims");
  metrics_ = kernel_->Find<Metrics>("metrics");
  dialect_ = kernel_->Find<ClientProtocol>("caller-dialect");
}

void Runner::OnCallerGone(RequestContext* exchange) {
  metrics_->caller_left.Increment();
  scheduler_->Abandon(exchange->id);
  // Work that may not be repeated is left to finish, where that is wanted.
  const bool finish = exchange->once && exchange->finish_unwatched;
  if (!finish && exchange->cancel)
    exchange->cancel();
}

void Runner::CountFresh(const RequestContext& exchange) {
  if (settings_.retry_limits.window <= Millis(0)) {
    budgets_[exchange.workspace->name].OnFirstAttempt();
    return;
  }
  const auto [budget, added] =
      fleet_budgets_.try_emplace(exchange.pool->name, settings_.retry_limits);
  budget->second.OnFirstAttempt(kernel_->Now());
}

auto Runner::TakeBudget(const RequestContext& exchange) -> bool {
  bool taken = false;
  if (settings_.retry_limits.window <= Millis(0)) {
    taken = budgets_[exchange.workspace->name].Take();
  } else {
    const int boxes = static_cast<int>(
        std::max(scheduler_->node().members().list().boxes.size(),
                 scheduler_->node().live_boxes()));
    taken = fleet_budgets_.at(exchange.pool->name).Take(boxes, kernel_->Now());
  }
  if (!taken)
    metrics_->retries_denied.Increment();
  return taken;
}

// A request that is never suspected costs no digest: nothing is remembered most
// of the time, and then bodies are looked at on suspected paths alone.
void Runner::Identify(RequestContext* exchange) {
  const Quarantine& quarantine = scheduler_->node().quarantine();
  if (exchange->fingerprint || quarantine.empty())
    return;
  const StringRequest& request = exchange->request;
  if (quarantine.HasSuspicions(
          exchange->workspace->number,
          PathDigest(request.method_string(), request.target())))
    exchange->fingerprint = FingerprintOf(*exchange);
}

auto Runner::WhyQuarantined(RequestContext* exchange)
    -> std::optional<Refusal> {
  Identify(exchange);
  if (!exchange->fingerprint)
    return std::nullopt;
  const Millis span = scheduler_->node().quarantine().BlockedFor(
      *exchange->fingerprint, kernel_->Now());
  if (span <= Millis(0))
    return std::nullopt;
  metrics_->quarantine_refusals.Increment();
  return Refusal{kUnavailable, Verdict::kNotRun,
                 "targets ended while they ran this request", span};
}

auto Runner::WhyListTooOld() -> std::optional<Refusal> {
  if (!scheduler_->node().IsListOutOfDate(kernel_->Now()))
    return std::nullopt;
  metrics_->list_refusals.Increment();
  return Refusal{kUnavailable, Verdict::kNotRun,
                 "the list of targets is out of date", kRetryAfterFailure};
}

auto Runner::Attempt(RequestContext* exchange, const Slot& slot)
    -> asio::awaitable<AttemptResult> {
  Quarantine& quarantine = scheduler_->node().quarantine();
  exchange->stamp = exchange->fingerprint
                        ? quarantine.SuspicionVersionOf(*exchange->fingerprint)
                        : SuspicionVersion();
  const AttemptResult result = co_await forward_->Attempt(exchange, slot);
  if (!result.whole)
    co_return result;
  Identify(exchange);
  if (exchange->fingerprint)
    quarantine.ClearSuspicion(*exchange->fingerprint, exchange->stamp,
                              kernel_->Now());
  co_return result;
}

auto Runner::MayTryAgain(const RequestContext& exchange,
                         const AttemptResult& result) -> bool {
  const AnswerProgress& progress = exchange.progress;
  const bool can_go_on =
      exchange.resumable && !progress.meter.last_event_id().empty();
  FailedAttempt failed;
  failed.verdict = exchange.verdict;
  failed.repeatable = !exchange.once || can_go_on;
  failed.answered = exchange.caller->began() && !can_go_on;
  failed.attempts = exchange.attempts;
  failed.runs = exchange.runs;
  failed.max_runs = exchange.max_runs;
  failed.now = kernel_->Now() + kLeastTimeLeft;
  failed.deadline = exchange.deadline;
  if (exchange.caller->gone() || !MayRetry(failed))
    return false;
  // What never left this box repeats nothing.
  return !result.arrived || TakeBudget(exchange);
}

auto Runner::FinalRefusal(const RequestContext& exchange,
                          const AttemptResult& result) -> Refusal {
  const bool ran_nowhere = exchange.verdict == Verdict::kNotRun;
  if (kernel_->Now() + kLeastTimeLeft >= exchange.deadline)
    return {kGatewayTimeout, exchange.verdict, "its time ran out",
            kRetryAfterFailure};
  return {ran_nowhere ? kUnavailable : kBadGateway, exchange.verdict,
          result.problem, kRetryAfterFailure};
}

void Runner::LogSent(const RequestContext& exchange, const Slot& slot) {
  Log(LogLevel::kInfo, "request-sent",
      {{"request", exchange.request_id},
       {"caller_id", exchange.caller_id},
       {"workspace", exchange.workspace->name},
       {"route", exchange.route == nullptr ? "" : exchange.route->name},
       {"target", slot.target},
       {"attempt", exchange.attempts},
       {"waited_ms", (kernel_->Now() - exchange.received).count()},
       {"left_ms", (exchange.deadline - kernel_->Now()).count()},
       {"expected_first_byte_ms", slot.choice.first_byte.count()},
       {"uncached_tokens", slot.choice.uncached_tokens},
       {"queued_tokens", slot.choice.queued_tokens},
       {"fetched", slot.fetch_from.has_value()},
       {"prompt_tokens", exchange.work.prompt_tokens},
       {"shared_tokens", exchange.work.shared_tokens()},
       {"prefix",
        exchange.work.prefixes.empty() ? 0 : exchange.work.prefixes.back().id},
       {"excess",
        std::lround(std::min(slot.choice.fair_share_ratio, kMostExcess) *
                    kPercent)},
       {"in_time", slot.choice.in_time}});
}

void Runner::LogFailed(const RequestContext& exchange,
                       const Slot& slot,
                       const AttemptResult& result) {
  Log(LogLevel::kWarning, "attempt-failed",
      {{"request", exchange.request_id},
       {"caller_id", exchange.caller_id},
       {"workspace", exchange.workspace->name},
       {"target", slot.target},
       {"attempt", exchange.attempts},
       {"verdict", ToString(result.verdict)},
       {"problem", result.problem},
       {"retry_after_ms", result.retry_after.count()},
       {"after_ms", (kernel_->Now() - exchange.received).count()}});
}

auto Runner::Attempts(RequestContext* exchange) -> asio::awaitable<Refusal> {
  // Sent on, it would end one target after the other, with all that runs there.
  if (const std::optional<Refusal> refused = WhyQuarantined(exchange))
    co_return *refused;
  CountFresh(*exchange);
  SlotOrRefusal acquired = co_await scheduler_->Acquire(QueuedFrom(*exchange));
  while (true) {
    if (std::holds_alternative<Slot>(acquired)) {
      // Its like may have ended a target while it waited.
      std::optional<Refusal> refused = WhyQuarantined(exchange);
      if (!refused)
        refused = WhyListTooOld();
      if (refused) {
        scheduler_->Finish(exchange->id, 0);
        acquired = std::move(*refused);
      }
    }
    if (const Refusal* refusal = std::get_if<Refusal>(&acquired)) {
      Refusal final = *refusal;
      final.verdict = Combine(final.verdict, exchange->verdict);
      if (final.verdict != Verdict::kNotRun)
        final.status = kBadGateway;
      co_return final;
    }
    const Slot slot = std::get<Slot>(acquired);
    ++exchange->attempts;
    LogSent(*exchange, slot);
    const AttemptResult result = co_await Attempt(exchange, slot);
    exchange->verdict = Combine(exchange->verdict, result.verdict);
    exchange->runs += result.verdict == Verdict::kNotRun ? 0 : 1;
    if (result.whole) {
      scheduler_->Finish(exchange->id, exchange->tokens);
      co_return Refusal{200, Verdict::kRan, "", Millis(0)};
    }
    LogFailed(*exchange, slot, result);
    if (!MayTryAgain(*exchange, result)) {
      scheduler_->Finish(exchange->id, exchange->tokens);
      co_return FinalRefusal(*exchange, result);
    }
    metrics_->retries.Increment();
    if (result.arrived)
      co_await Sleep(Backoff(exchange->attempts, random_()));
    acquired =
        co_await scheduler_->AcquireAgain(exchange->id, exchange->deadline);
  }
}

auto Runner::ClaimKey(const RequestContext& exchange)
    -> asio::awaitable<std::optional<Refusal>> {
  if (const auto why =
          CheckIdempotencyKey(exchange.idempotency_key, WallClock()))
    co_return Refusal{kBadRequest, Verdict::kNotRun, *why, Millis(0)};
  const ClaimAnswer answer =
      co_await claims_->Claim(exchange.workspace->number,
                              exchange.idempotency_key, exchange.request_id);
  if (answer.outcome == ClaimOutcome::kWon)
    co_return std::nullopt;
  if (answer.outcome == ClaimOutcome::kLost)
    co_return Refusal{
        kConflict, Verdict::kMayHaveRun,
        "a copy of this request was taken before: " + answer.detail, Millis(0)};
  co_return Refusal{kUnavailable, Verdict::kNotRun,
                    "no decision on the Idempotency-Key: " + answer.detail,
                    kRetryAfterFailure};
}

// The request's fate, with its key claimed before and, if nothing was sent,
// released after.
auto Runner::Settle(RequestContext* exchange) -> asio::awaitable<Refusal> {
  const bool keyed = exchange->once && !exchange->idempotency_key.empty();
  if (!keyed)
    co_return co_await Attempts(exchange);
  const std::optional<Refusal> refused = co_await ClaimKey(*exchange);
  if (refused)
    co_return *refused;
  const Refusal final = co_await Attempts(exchange);
  if (final.verdict == Verdict::kNotRun)
    claims_->Release(exchange->workspace->number, exchange->idempotency_key,
                     exchange->request_id);
  co_return final;
}

auto Runner::Run(RequestContext* exchange) -> asio::awaitable<void> {
  ++active_;
  co_await RunCounted(exchange);
  --active_;
}

void Runner::LogEnd(const RequestContext& exchange, const Refusal& final) {
  Log(LogLevel::kInfo,
      final.status == 200 ? "request-answered" : "request-refused",
      {{"request", exchange.request_id},
       {"caller_id", exchange.caller_id},
       {"workspace", exchange.workspace->name},
       {"status", final.status},
       {"verdict", ToString(final.verdict)},
       {"reason", final.reason},
       {"route", exchange.route == nullptr ? "" : exchange.route->name},
       {"prompt_tokens", exchange.work.prompt_tokens},
       {"asked_before_ms", AskedBefore(exchange).count()},
       {"attempts", exchange.attempts},
       {"events", exchange.progress.meter.events()},
       {"first_byte_ms", exchange.first_byte > Millis(0)
                             ? (exchange.first_byte - exchange.received).count()
                             : -1},
       {"took_ms", (kernel_->Now() - exchange.received).count()}});
}

auto Runner::Deliver(RequestContext* exchange, const Refusal& final)
    -> asio::awaitable<void> {
  ClientStream& caller = *exchange->caller;
  // Once an answer has begun, the truth is told by not ending it.
  if (final.status == 200 || caller.began() || caller.gone())
    co_return;
  if (exchange->failed)
    co_await forward_->SendFailed(exchange);
  else
    co_await caller.Answer(dialect_->refusal(final, *exchange));
}

auto Runner::RunCounted(RequestContext* exchange) -> asio::awaitable<void> {
  ClientStream& caller = *exchange->caller;
  caller.Watch([this, exchange] { OnCallerGone(exchange); });
  const Refusal final = co_await Settle(exchange);
  caller.EndWatch();
  metrics_->CountAnswer(final.status, ToString(final.verdict));
  LogEnd(*exchange, final);
  co_await Deliver(exchange, final);
}

}  // namespace sparbend
