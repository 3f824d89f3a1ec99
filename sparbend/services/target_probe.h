// The service "target-probe": probes targets to which no connection could be
// made, and reports to the scheduler when they accept connections again. It
// opens connections without sending anything, so no request is risked.
#ifndef SPARBEND_SERVICES_TARGET_PROBE_H_
#define SPARBEND_SERVICES_TARGET_PROBE_H_

#include <memory>
#include <set>

#include "sparbend/kernel/http.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

class TargetProbe : public Service {
 public:
  TargetProbe(Kernel* kernel, const Settings& settings)
      : kernel_(kernel), connect_time_(settings.connect_time) {}

  void Start() override;

  // Probes `target` until it accepts a connection or is no longer in the list.
  // Does nothing if it is being probed already.
  void Watch(TargetId target, tcp::endpoint address);

 private:
  auto ProbeUntilReachable(TargetId target, tcp::endpoint address)
      -> asio::awaitable<void>;

  Kernel* kernel_;
  Millis connect_time_;
  std::shared_ptr<Scheduler> scheduler_;
  std::set<TargetId> watched_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_TARGET_PROBE_H_
