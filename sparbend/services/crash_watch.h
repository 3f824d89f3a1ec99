// The service "crash-watch": finds out whether a target exited when connections
// to it broke, and reports the requests that it was executing to the
// quarantine.
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

  // `connection` broke while the target of `slot` had the request, and this box
  // did not close it. Sets the fingerprint of the request.
  void OnInterrupted(RequestContext* context,
                     const Slot& slot,
                     const Connection& connection);
  // The target's address refused a connection: no process listens there.
  void OnConnectionRefused(const Slot& slot);
  // The target answered a request that was sent at `sent_at`. Clears the
  // suspicions of attempts that were reported for an exit before that time.
  void OnAnswered(const Slot& slot, Millis sent_at);

 private:
  // Connects to the target of `slot` to see whether it exited.
  auto ProbeForExit(Slot slot) -> asio::awaitable<void>;
  // Reports `attempts`, which the target of `slot` was executing when it
  // exited.
  void ReportExit(const Slot& slot,
                  const std::vector<InterruptedAttempt>& attempts);

  Kernel* kernel_;
  Millis connect_time_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Metrics> metrics_;
  InterruptedAttempts interrupted_attempts_;
  std::set<TargetId> probed_targets_;  // with a ProbeForExit under way
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CRASH_WATCH_H_
