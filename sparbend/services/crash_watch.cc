// A process that ends closes all its sockets, the listening one too: after
// that its address refuses connections at once. A target that lives takes
// them, and one that is cut off is silent.
#include "sparbend/services/crash_watch.h"

#include <array>

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

// The second look is for a target that closed its listening socket last.
constexpr std::array kLooks = {Millis(5), Millis(150)};
constexpr size_t kMostNamed = 8;  // fingerprints in a line of the log

}  // namespace

void CrashWatch::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  metrics_ = kernel_->Find<Metrics>("metrics");
}

void CrashWatch::OnBroken(RequestContext* exchange,
                          const Slot& slot,
                          const Connection& connection) {
  // A planned end proves nothing.
  if (scheduler_->node().IsTargetLeaving(slot.id))
    return;
  if (!exchange->fingerprint)
    exchange->fingerprint = FingerprintOf(*exchange);
  const InterruptedAttempt run = {*exchange->fingerprint, exchange->stamp,
                                  connection.made_at, connection.sent_at};
  Log(LogLevel::kInfo, "run-broken",
      {{"request", exchange->request_id},
       {"caller_id", exchange->caller_id},
       {"target", slot.target},
       {"fingerprint", ToString(run.request)},
       {"ran_ms", (kernel_->Now() - run.began).count()}});
  if (runs_.Add(slot.id, run, kernel_->Now()))
    NoteEnded(slot, {run});
  else if (looking_.insert(slot.id).second)
    kernel_->Spawn("crash-look", Look(slot));
}

void CrashWatch::OnRefused(const Slot& slot) {
  const std::vector<InterruptedAttempt> runs =
      runs_.OnEnded(slot.id, kernel_->Now());
  if (!runs.empty())
    NoteEnded(slot, runs);
}

void CrashWatch::OnAnswered(const Slot& slot, Millis began) {
  const std::vector<InterruptedAttempt> runs = runs_.OnAnswered(slot.id, began);
  if (runs.empty())
    return;
  Log(LogLevel::kInfo, "target-lives",
      {{"target", slot.target}, {"runs", runs.size()}});
  for (const InterruptedAttempt& run : runs)
    scheduler_->node().quarantine().ClearSuspicion(run.request, run.stamp,
                                                   kernel_->Now());
}

auto CrashWatch::Look(Slot slot) -> asio::awaitable<void> {
  for (const Millis pause : kLooks) {
    co_await Sleep(pause);
    if (co_await TryConnect(slot.address, connect_time_) !=
        asio::error::connection_refused)
      continue;
    OnRefused(slot);
    break;
  }
  looking_.erase(slot.id);
}

void CrashWatch::NoteEnded(const Slot& slot,
                           const std::vector<InterruptedAttempt>& runs) {
  Json fingerprints = Json::array();
  for (const InterruptedAttempt& run : runs) {
    if (fingerprints.size() < kMostNamed)
      fingerprints.push_back(ToString(run.request));
  }
  metrics_->runs_ended_with_target.Increment(static_cast<double>(runs.size()));
  Log(LogLevel::kWarning, "target-ended",
      {{"target", slot.target},
       {"runs", runs.size()},
       {"fingerprints", fingerprints}});
  for (const InterruptedAttempt& run : runs)
    scheduler_->OnTargetExit(run.request, run.stamp);
}

}  // namespace sparbend
