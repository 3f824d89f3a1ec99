// The service "target-probe": watches over targets that no connection could be
// made to, and says when one can be made again. No request is put at risk to
// find that out, and nothing is sent on the connection.
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

  // Tries to reach `target` until it can or the target left the list.
  void Watch(TargetId target, tcp::endpoint address);

 private:
  auto Run(TargetId target, tcp::endpoint address) -> asio::awaitable<void>;

  Kernel* kernel_;
  Millis connect_time_;
  std::shared_ptr<Scheduler> scheduler_;
  std::set<TargetId> watched_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_TARGET_PROBE_H_
