// Slow start, as in congestion control: the limit on requests without an answer
// grows by one with each that is taken, which doubles it each time that the
// target answers all it has. Answers that run on don't count against it.
//
// A refusal is the target's own word and binds to its end: a later one with a
// shorter span takes nothing back.
//
// Invariant: State::waiting counts the entries of waiting_ for its target, and
// none of these is of a target without a state.
//
// Boxes that were turned away together would come back together, so each adds a
// part of the span of its own.
#include "sparbend/core/target_backoff.h"

#include <algorithm>

#include "sparbend/core/candidates.h"

namespace sparbend {
namespace {

// A target that has answered so many is as good as any other.
constexpr int kTrustedAfter = 16;
// Boxes return within this part of the span, in percent.
constexpr uint64_t kSpreadPercent = 10;
// A target without requests since its time ended is forgotten after so long.
constexpr Millis kForgottenAfter = Millis(30'000);

}  // namespace

void TargetBackoff::OnRetryAfter(TargetId target, Millis span, Millis now) {
  if (span <= Millis(0))
    return;
  const uint64_t spread =
      HashPair(seed_, target) %
      (static_cast<uint64_t>(span.count()) * kSpreadPercent / 100 + 1);
  State& state = states_[target];
  if (now >= state.until) {
    state.began = now;
    state.refusals = 0;
  }
  state.until =
      std::max(state.until, now + span + Millis(static_cast<int64_t>(spread)));
  state.last_refusal = now;
  ++state.refusals;
  state.told = false;
  state.most_waiting = 1;
}

void TargetBackoff::OnSent(TargetId target, RequestId request, Millis now) {
  const auto found = states_.find(target);
  if (found == states_.end() || now < found->second.until)
    return;
  if (waiting_.try_emplace(request, target).second)
    ++found->second.waiting;
}

void TargetBackoff::OnEnded(RequestId request) {
  const auto found = waiting_.find(request);
  if (found == waiting_.end())
    return;
  --states_.at(found->second).waiting;
  waiting_.erase(found);
}

void TargetBackoff::OnTaken(RequestId request) {
  const auto found = waiting_.find(request);
  if (found == waiting_.end())
    return;
  ++states_.at(found->second).most_waiting;
  OnEnded(request);
}

auto TargetBackoff::MaySend(TargetId target, Millis now) const -> bool {
  const auto found = states_.find(target);
  if (found == states_.end())
    return true;
  const State& state = found->second;
  return now >= state.until && (state.most_waiting > kTrustedAfter ||
                                state.waiting < state.most_waiting);
}

auto TargetBackoff::Left(TargetId target, Millis now) const -> Millis {
  const auto found = states_.find(target);
  return found == states_.end()
             ? Millis(0)
             : std::max(Millis(0), found->second.until - now);
}

auto TargetBackoff::TakeEnded(Millis now) -> std::vector<Ended> {
  std::vector<Ended> ended;
  for (auto& [target, state] : states_) {
    if (state.told || now < state.until)
      continue;
    state.told = true;
    ended.push_back({target, state.until - state.began, state.refusals,
                     state.last_refusal - state.began});
  }
  const auto forgotten = [&](const State& state) {
    return state.told && (state.most_waiting > kTrustedAfter ||
                          now - state.until >= kForgottenAfter);
  };
  std::erase_if(waiting_, [&](const auto& entry) {
    return forgotten(states_.at(entry.second));
  });
  std::erase_if(states_,
                [&](const auto& entry) { return forgotten(entry.second); });
  return ended;
}

}  // namespace sparbend
