// When a process exits, the kernel closes all its sockets, including the
// listening one. From then on its address refuses connections immediately. A
// target that still runs accepts them, and one that is cut off does not
// respond.
#include "sparbend/services/crash_watch.h"

#include <array>

#include "sparbend/core/digest.h"
#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

// Waits before each probe after an interruption. The second probe is for a
// target whose listening socket was closed last.
constexpr std::array kProbeDelays = {Millis(5), Millis(150)};
constexpr size_t kMaxLoggedFingerprints = 8;  // in one log event

// The parts of the prompt that other requests may share, in hexadecimal.
auto SharedParts(const RequestContext& context) -> Json {
  Json parts = Json::array();
  for (const PromptPrefix& prefix : context.work.prefixes)
    parts.push_back(ToHex(prefix.part));
  return parts;
}

}  // namespace

void CrashWatch::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  metrics_ = kernel_->Find<Metrics>("metrics");
}

void CrashWatch::OnInterrupted(RequestContext* context,
                               const Slot& slot,
                               const Connection& connection) {
  // A planned exit does not make its requests suspect.
  if (scheduler_->node().IsTargetLeaving(slot.id))
    return;
  if (!context->fingerprint) {
    context->fingerprint = FingerprintOf(*context);
    context->sent.insert(context->sent.begin(),
                         {*context->fingerprint, SuspicionVersion()});
  }
  const InterruptedAttempt attempt = {context->sent, connection.connected_at,
                                      connection.sent_at};
  Log(LogLevel::kInfo, "run-broken",
      {{"request", context->request_id},
       {"caller_id", context->caller_id},
       {"target", slot.target},
       {"fingerprint", ToString(*context->fingerprint)},
       {"parts", SharedParts(*context)},
       {"ran_ms", (kernel_->Now() - attempt.began).count()}});
  if (interrupted_attempts_.Add(slot.id, attempt, kernel_->Now()))
    ReportExit(slot, {attempt});
  else if (probed_targets_.insert(slot.id).second)
    kernel_->Spawn("crash-look", ProbeForExit(slot));
}

void CrashWatch::OnConnectionRefused(const Slot& slot) {
  const std::vector<InterruptedAttempt> attempts =
      interrupted_attempts_.OnEnded(slot.id, kernel_->Now());
  if (!attempts.empty())
    ReportExit(slot, attempts);
}

void CrashWatch::OnAnswered(const Slot& slot, Millis sent_at) {
  const std::vector<InterruptedAttempt> attempts =
      interrupted_attempts_.OnAnswered(slot.id, sent_at);
  if (attempts.empty())
    return;
  Log(LogLevel::kInfo, "target-lives",
      {{"target", slot.target}, {"runs", attempts.size()}});
  Quarantine& quarantine = scheduler_->node().quarantine();
  for (const InterruptedAttempt& attempt : attempts) {
    for (const SentSuspect& sent : attempt.suspects)
      quarantine.ClearSuspicion(sent.suspect, sent.version, kernel_->Now());
  }
}

auto CrashWatch::ProbeForExit(Slot slot) -> asio::awaitable<void> {
  for (const Millis delay : kProbeDelays) {
    co_await Sleep(delay);
    if (co_await TryConnect(slot.address, connect_time_) !=
        asio::error::connection_refused)
      continue;
    OnConnectionRefused(slot);
    break;
  }
  probed_targets_.erase(slot.id);
}

void CrashWatch::ReportExit(const Slot& slot,
                            const std::vector<InterruptedAttempt>& attempts) {
  Json fingerprints = Json::array();
  for (const InterruptedAttempt& attempt : attempts) {
    if (fingerprints.size() < kMaxLoggedFingerprints)
      fingerprints.push_back(ToString(attempt.suspects.front().suspect));
  }
  metrics_->runs_ended_with_target.Increment(
      static_cast<double>(attempts.size()));
  Log(LogLevel::kWarning, "target-ended",
      {{"target", slot.target},
       {"runs", attempts.size()},
       {"fingerprints", fingerprints}});
  for (const InterruptedAttempt& attempt : attempts)
    scheduler_->OnTargetExit(attempt.suspects);
}

}  // namespace sparbend
