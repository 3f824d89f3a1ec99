// The service "crash-watch": finds out whether a target ended when connections
// to it broke, and tells the quarantine which requests it had then.
#ifndef SPARBEND_SERVICES_CRASH_WATCH_H_
#define SPARBEND_SERVICES_CRASH_WATCH_H_

#include <memory>
#include <set>

#include "sparbend/core/interrupted_attempts.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/connections.h"
#include "sparbend/services/metrics.h"
#include "sparbend/services/request_context.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

class CrashWatch : public Service {
 public:
  CrashWatch(Kernel* kernel, const Settings& settings)
      : kernel_(kernel), connect_time_(settings.connect_time) {}

  void Start() override;

  // The connection ended, by no doing of this box, while the target of `slot`
  // had the request.
  void OnBroken(RequestContext* exchange,
                const Slot& slot,
                const Connection& connection);
  // Nobody listens at the target's address.
  void OnRefused(const Slot& slot);
  // The target answered a request that was sent at `began`.
  void OnAnswered(const Slot& slot, Millis began);

 private:
  auto Look(Slot slot) -> asio::awaitable<void>;
  void NoteEnded(const Slot& slot, const std::vector<InterruptedAttempt>& runs);

  Kernel* kernel_;
  Millis connect_time_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Metrics> metrics_;
  InterruptedAttempts runs_;
  std::set<TargetId> looking_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CRASH_WATCH_H_
