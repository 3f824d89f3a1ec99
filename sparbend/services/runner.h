// The service "runner": runs an accepted request until its final answer.
// Acquires a slot, makes the attempts, decides on retries, and answers with a
// refusal that carries the verdict if no target gave a complete answer.
#ifndef SPARBEND_SERVICES_RUNNER_H_
#define SPARBEND_SERVICES_RUNNER_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "sparbend/core/retry.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/services/claims.h"
#include "sparbend/services/forward.h"
#include "sparbend/services/metrics.h"
#include "sparbend/services/request_context.h"
#include "sparbend/services/scheduler.h"
#include "sparbend/services/stream_continuation.h"

namespace sparbend {

class Runner : public Service {
 public:
  Runner(Kernel* kernel, const Settings& settings);

  void Start() override;

  // Runs the request of `context`. When this returns, the client has received
  // its complete answer or refusal, or its connection must be closed.
  auto Run(RequestContext* context) -> asio::awaitable<void>;

  // Requests that are being run. A box that drains waits until it is zero.
  auto active() const -> size_t { return running_.size(); }
  // Ends the attempts whose answers have not begun. To be called once this box
  // sends nothing to targets any more: their requests are refused then.
  void EndUnanswered();

 private:
  // Run without recording the request in `running_`.
  auto RunToEnd(RequestContext* context) -> asio::awaitable<void>;
  // Acquires slots and makes attempts until one succeeds or none is allowed.
  // Returns the final status and verdict; status 200 if a target answered.
  auto RunAttempts(RequestContext* context) -> asio::awaitable<Refusal>;
  // Claims the request's idempotency key. Returns a refusal if the key is
  // invalid, another copy of the request has claimed it, or the claim is
  // undecided.
  auto ClaimKey(const RequestContext& context)
      -> asio::awaitable<std::optional<Refusal>>;
  // Runs the attempts. If the request must run at most once and has an
  // idempotency key, claims the key before, and releases it if no target may
  // have executed the request.
  auto RunWithClaim(RequestContext* context) -> asio::awaitable<Refusal>;
  // Whether another attempt follows one that ended with `result`. Spends the
  // retry budget if so.
  auto ShouldRetry(RequestContext* context, const AttemptResult& result)
      -> bool;
  // Spends one retry of the budget; false if none is left.
  auto SpendRetryBudget(RequestContext* context) -> bool;
  // Returns a retry to the fleet's budget if one was spent and not sent.
  void ReturnUnsentRetry(const RequestContext& context);
  // Computes the request's fingerprint if requests to its path are suspected of
  // crashing targets.
  void SetFingerprintIfSuspected(RequestContext* context);
  // Returns a refusal if the list of targets is so old that a target in it may
  // have left and exited by the time a request arrives there.
  auto CheckTargetList() -> std::optional<Refusal>;
  // Returns a refusal if the request is quarantined because targets exited
  // while they executed it, or others with a part of its prompt.
  auto CheckQuarantine(RequestContext* context) -> std::optional<Refusal>;
  auto Attempt(RequestContext* context, const Slot& slot)
      -> asio::awaitable<AttemptResult>;
  // Boxes that are listed, or heard of if those are more.
  auto KnownBoxes() const -> int;
  // Counts a request's first attempt towards the retry budget.
  void RecordFirstAttempt(const RequestContext& context);
  // Sends the answer for a request that no target answered to the end, unless
  // part of an answer has been sent.
  auto Deliver(RequestContext* context, const Refusal& final)
      -> asio::awaitable<void>;
  void LogSent(const RequestContext& context, const Slot& slot);
  void LogFailed(const RequestContext& context,
                 const Slot& slot,
                 const AttemptResult& result);
  void LogEnd(const RequestContext& context, const Refusal& final);
  void OnClientGone(RequestContext* context);
  // The refusal after the last attempt has failed with `result`.
  auto FinalRefusal(const RequestContext& context, const AttemptResult& result)
      -> Refusal;

  Kernel* kernel_;
  Settings settings_;
  Millis started_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Forward> forward_;
  std::shared_ptr<StreamContinuation> continuation_;
  std::shared_ptr<Claims> claims_;
  std::shared_ptr<Metrics> metrics_;
  std::shared_ptr<ClientProtocol> protocol_;
  std::map<std::string, RetryBudget> workspace_budgets_;  // by workspace
  // By pool; used instead if the settings limit retries over the fleet.
  std::map<std::string, FleetRetryBudget> fleet_budgets_;
  std::mt19937_64 random_;
  std::set<RequestContext*> running_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_RUNNER_H_
