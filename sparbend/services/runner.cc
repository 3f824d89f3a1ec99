// A request given up on is answered at once. Every acquired slot is finished
// exactly once: by Finish at the end, or by AcquireAgain's requeue.
#include "sparbend/services/runner.h"

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

constexpr Millis kRetryAfterFailure = Millis(1'000);
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

auto QueuedFrom(const Exchange& exchange) -> QueuedRequest {
  QueuedRequest queued;
  queued.id = exchange.id;
  queued.flow = {PoolIdOf(exchange.pool->name), exchange.workspace->number};
  queued.bytes = static_cast<int64_t>(exchange.request.body().size()) + 1'024;
  queued.arrived = exchange.received;
  queued.expires = std::min(exchange.received + exchange.workspace->queue_time,
                            exchange.deadline);
  queued.prefix = exchange.prefix;
  return queued;
}

}  // namespace

Runner::Runner(Kernel* kernel)
    : kernel_(kernel), random_(std::random_device()()) {}

void Runner::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  forward_ = kernel_->Find<Forward>("forward");
  claims_ = kernel_->Find<Claims>("claims");
  metrics_ = kernel_->Find<Metrics>("metrics");
}

void Runner::OnCallerGone(Exchange* exchange) {
  metrics_->caller_left.Increment();
  scheduler_->Abandon(exchange->id);
  // Work that may not be repeated is left to finish.
  if (!exchange->once && exchange->cancel)
    exchange->cancel();
}

auto Runner::MayTryAgain(const Exchange& exchange) -> bool {
  FailedAttempt failed;
  failed.verdict = exchange.verdict;
  failed.repeatable = !exchange.once;
  failed.answered = exchange.caller->began();
  failed.attempts = exchange.attempts;
  failed.now = kernel_->Now();
  failed.deadline = exchange.deadline;
  return !exchange.caller->gone() && MayRetry(failed) &&
         budgets_[exchange.workspace->name].Take();
}

auto Runner::FinalRefusal(const Exchange& exchange, const AttemptResult& result)
    -> Refusal {
  if (kernel_->Now() >= exchange.deadline)
    return {kGatewayTimeout, exchange.verdict, "its time ran out",
            kRetryAfterFailure};
  const bool ran_nowhere = exchange.verdict == Verdict::kNotRun;
  return {ran_nowhere ? kUnavailable : kBadGateway, exchange.verdict,
          result.problem, kRetryAfterFailure};
}

auto Runner::Attempts(Exchange* exchange) -> asio::awaitable<Refusal> {
  budgets_[exchange->workspace->name].OnFresh();
  SlotOrRefusal acquired = co_await scheduler_->Acquire(QueuedFrom(*exchange));
  while (true) {
    if (const Refusal* refusal = std::get_if<Refusal>(&acquired)) {
      Refusal final = *refusal;
      final.verdict = Combine(final.verdict, exchange->verdict);
      co_return final;
    }
    const Slot slot = std::get<Slot>(acquired);
    ++exchange->attempts;
    const AttemptResult result = co_await forward_->Attempt(exchange, slot);
    exchange->verdict = Combine(exchange->verdict, result.verdict);
    if (result.whole) {
      scheduler_->Finish(exchange->id, exchange->tokens);
      co_return Refusal{200, Verdict::kRan, "", Millis(0)};
    }
    Log(LogLevel::kWarning, "attempt-failed",
        {{"request", exchange->request_id},
         {"workspace", exchange->workspace->name},
         {"target", slot.target},
         {"verdict", ToString(result.verdict)},
         {"problem", result.problem}});
    if (!MayTryAgain(*exchange)) {
      scheduler_->Finish(exchange->id, exchange->tokens);
      co_return FinalRefusal(*exchange, result);
    }
    metrics_->retries.Increment();
    co_await Sleep(Backoff(exchange->attempts, random_()));
    acquired = co_await scheduler_->AcquireAgain(exchange->id);
  }
}

auto Runner::ClaimKey(const Exchange& exchange)
    -> asio::awaitable<std::optional<Refusal>> {
  if (const auto why = WhyKeyRefused(exchange.idempotency_key, WallClock()))
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
auto Runner::Settle(Exchange* exchange) -> asio::awaitable<Refusal> {
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

auto Runner::Run(Exchange* exchange) -> asio::awaitable<void> {
  ++active_;
  co_await RunCounted(exchange);
  --active_;
}

auto Runner::RunCounted(Exchange* exchange) -> asio::awaitable<void> {
  Caller& caller = *exchange->caller;
  caller.Watch([this, exchange] { OnCallerGone(exchange); });
  const Refusal final = co_await Settle(exchange);
  caller.EndWatch();
  metrics_->CountAnswer(final.status, ToString(final.verdict));
  if (final.status == 200)
    co_return;
  Log(LogLevel::kInfo, "request-refused",
      {{"request", exchange->request_id},
       {"workspace", exchange->workspace->name},
       {"status", final.status},
       {"verdict", ToString(final.verdict)},
       {"reason", final.reason}});
  // Once an answer has begun, the truth is told by not ending it.
  if (!caller.began() && !caller.gone())
    co_await caller.Refuse(final);
}

}  // namespace sparbend
