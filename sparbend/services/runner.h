// The service "runner": takes an accepted request to its final answer. Gets
// it a slot, makes the attempts, decides on retries, and tells the caller
// what is known when there is no whole answer.
#ifndef SPARBEND_SERVICES_RUNNER_H_
#define SPARBEND_SERVICES_RUNNER_H_

#include <map>
#include <memory>
#include <random>
#include <string>

#include "sparbend/core/retry.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/services/claims.h"
#include "sparbend/services/forward.h"
#include "sparbend/services/metrics.h"
#include "sparbend/services/request_context.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

class Runner : public Service {
 public:
  Runner(Kernel* kernel, const Settings& settings);

  void Start() override;

  // Runs `exchange` to its end: when this returns the caller has its whole
  // answer or refusal, or its connection must be closed.
  auto Run(RequestContext* exchange) -> asio::awaitable<void>;

  // Requests being run, for draining.
  auto active() const -> size_t { return active_; }

 private:
  auto RunCounted(RequestContext* exchange) -> asio::awaitable<void>;
  auto Attempts(RequestContext* exchange) -> asio::awaitable<Refusal>;
  auto ClaimKey(const RequestContext& exchange)
      -> asio::awaitable<std::optional<Refusal>>;
  auto Settle(RequestContext* exchange) -> asio::awaitable<Refusal>;
  auto MayTryAgain(const RequestContext& exchange, const AttemptResult& result)
      -> bool;
  auto TakeBudget(const RequestContext& exchange) -> bool;
  // Gives the request its fingerprint if one like it is under suspicion.
  void Identify(RequestContext* exchange);
  // Why nothing is to be sent, if a target in the list may have left and ended
  // by the time a request arrives.
  auto WhyListTooOld() -> std::optional<Refusal>;
  // Why it is not to be sent, if targets ended under it.
  auto WhyQuarantined(RequestContext* exchange) -> std::optional<Refusal>;
  auto Attempt(RequestContext* exchange, const Slot& slot)
      -> asio::awaitable<AttemptResult>;
  void CountFresh(const RequestContext& exchange);
  auto Deliver(RequestContext* exchange, const Refusal& final)
      -> asio::awaitable<void>;
  void LogSent(const RequestContext& exchange, const Slot& slot);
  void LogFailed(const RequestContext& exchange,
                 const Slot& slot,
                 const AttemptResult& result);
  void LogEnd(const RequestContext& exchange, const Refusal& final);
  void OnCallerGone(RequestContext* exchange);
  auto FinalRefusal(const RequestContext& exchange, const AttemptResult& result)
      -> Refusal;

  Kernel* kernel_;
  Settings settings_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Forward> forward_;
  std::shared_ptr<Claims> claims_;
  std::shared_ptr<Metrics> metrics_;
  std::shared_ptr<ClientProtocol> dialect_;
  std::map<std::string, RetryBudget> budgets_;  // by workspace
  // By pool; used instead where the settings name the fleet's limits.
  std::map<std::string, FleetRetryBudget> fleet_budgets_;
  std::mt19937_64 random_;
  size_t active_ = 0;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_RUNNER_H_
