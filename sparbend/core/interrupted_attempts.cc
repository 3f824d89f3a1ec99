// All connections of a target that ends break at about the same time, but a
// box reads them one after the other: the end may be known before the last of
// them was read, so it is remembered for as long as the runs are.
//
// What is sent on a connection from before an end that is known reaches
// nobody. It comes to that where a cut resets connections as they are used.
//
// A full target may refuse connections and live: one that answers what was sent
// to it after its end had not ended.
#include "sparbend/core/interrupted_attempts.h"

#include <utility>

namespace sparbend {
namespace {

// After that a target that ended has ended for another reason. Well over the
// time in which a list tells of an end that no connection told.
constexpr Millis kKept = Millis(10'000);
// More than a target runs for one box.
constexpr size_t kMostRuns = 256;
constexpr size_t kMostTargets = 1'024;

}  // namespace

void InterruptedAttempts::Expire(Millis now) {
  std::erase_if(targets_, [&](const auto& entry) {
    return now - entry.second.changed >= kKept;
  });
}

void InterruptedAttempts::Keep(const InterruptedAttempt& run,
                               std::vector<InterruptedAttempt>* runs) {
  if (runs->size() < kMostRuns)
    runs->push_back(run);
}

auto InterruptedAttempts::Add(TargetId target,
                              const InterruptedAttempt& run,
                              Millis now) -> bool {
  Expire(now);
  if (!targets_.contains(target) && targets_.size() >= kMostTargets)
    return false;
  State& state = targets_[target];
  state.changed = now;
  const bool ended = state.ended && run.began <= state.ended_at;
  // Sent on a connection that was dead already.
  if (state.ended && !ended && run.connected <= state.ended_at)
    return false;
  Keep(run, ended ? &state.handed_out : &state.runs);
  return ended;
}

auto InterruptedAttempts::OnEnded(TargetId target, Millis now)
    -> std::vector<InterruptedAttempt> {
  Expire(now);
  if (!targets_.contains(target) && targets_.size() >= kMostTargets)
    return {};
  State& state = targets_[target];
  state.changed = now;
  state.ended = true;
  state.ended_at = now;
  for (const InterruptedAttempt& run : state.runs)
    Keep(run, &state.handed_out);
  return std::exchange(state.runs, {});
}

auto InterruptedAttempts::OnAnswered(TargetId target, Millis began)
    -> std::vector<InterruptedAttempt> {
  const auto found = targets_.find(target);
  if (found == targets_.end())
    return {};
  State& state = found->second;
  if (!state.ended || began <= state.ended_at)
    return {};
  state.ended = false;
  return std::exchange(state.handed_out, {});
}

}  // namespace sparbend
