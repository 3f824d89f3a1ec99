#include "sparbend/services/target_probe.h"

#include <algorithm>

namespace sparbend {
namespace {

// The first probe comes soon, because most often only a single packet was lost.
// The delay then doubles up to a limit, within which a target should be used
// again after a network partition has healed.
constexpr Millis kInitialRetryDelay = Millis(50);
constexpr Millis kMaxRetryDelay = Millis(1'000);

}  // namespace

void TargetProbe::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
}

void TargetProbe::Watch(TargetId target, tcp::endpoint address) {
  if (watched_.insert(target).second)
    kernel_->Spawn("target-probe", ProbeUntilReachable(target, address));
}

auto TargetProbe::ProbeUntilReachable(TargetId target, tcp::endpoint address)
    -> asio::awaitable<void> {
  Millis delay = kInitialRetryDelay;
  while (scheduler_->node().FindTarget(target) != nullptr) {
    co_await Sleep(delay);
    delay = std::min(kMaxRetryDelay, delay + delay);
    // Even an idle connection uses up capacity of a target that is rejecting
    // requests for lack of it.
    const TargetBackoff& backoff =
        scheduler_->node().ingress_scheduler().placement().backoff();
    if (backoff.Left(target, kernel_->Now()) > Millis(0))
      continue;
    if (!co_await TryConnect(address, connect_time_)) {
      scheduler_->OnReachable(target);
      break;
    }
  }
  watched_.erase(target);
}

}  // namespace sparbend
