#include "sparbend/services/target_probe.h"

#include <algorithm>

namespace sparbend {
namespace {

// The first try comes soon: most often a single packet was lost. Then they
// come ever more rarely, but within the time in which a healed cut should be
// of use again.
constexpr Millis kFirstPause = Millis(50);
constexpr Millis kLongestPause = Millis(1'000);

}  // namespace

void TargetProbe::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
}

void TargetProbe::Watch(TargetId target, tcp::endpoint address) {
  if (watched_.insert(target).second)
    kernel_->Spawn("target-probe", Run(target, address));
}

auto TargetProbe::Run(TargetId target, tcp::endpoint address)
    -> asio::awaitable<void> {
  Millis pause = kFirstPause;
  while (scheduler_->node().FindTarget(target) != nullptr) {
    co_await Sleep(pause);
    pause = std::min(kLongestPause, pause + pause);
    // A connection takes up a place at a target that has none to spare.
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
