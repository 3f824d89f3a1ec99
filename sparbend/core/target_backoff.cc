// Slow start, as in TCP congestion control: the limit on unanswered requests
// grows by one with each answer that starts, so it doubles each time the target
// has started to answer all its requests. Requests whose answer has started no
// longer count against the limit.
//
// The time that a target asked for is always observed to its end: a later
// rejection with a shorter span does not shorten it.
//
// Invariant: State::unanswered is the number of entries of unanswered_ for its
// target, and each target in unanswered_ has a State.
//
// Boxes that were rejected at the same time would return at the same time, so
// each extends the span by a fraction of its own.
#include "sparbend/core/target_backoff.h"

#include <algorithm>

#include "sparbend/core/candidates.h"

namespace sparbend {
namespace {

// A target that has started to answer this many requests since its backoff is
// no longer limited.
constexpr int kAnswersUntilUnlimited = 16;
// Upper limit of the extension of a span, in percent of it.
constexpr uint64_t kMaxSpreadPercent = 10;
// The state of a target is dropped this long after the end of its backoff,
// though it is still limited.
constexpr Millis kRetention = Millis(30'000);

}  // namespace

void TargetBackoff::OnRetryAfter(TargetId target, Millis span, Millis now) {
  if (span <= Millis(0))
    return;
  const uint64_t spread =
      HashPair(seed_, target) %
      (static_cast<uint64_t>(span.count()) * kMaxSpreadPercent / 100 + 1);
  State& state = states_[target];
  if (now >= state.until) {
    state.first_rejected_at = now;
    state.rejections = 0;
  }
  state.until =
      std::max(state.until, now + span + Millis(static_cast<int64_t>(spread)));
  state.last_rejected_at = now;
  ++state.rejections;
  state.end_taken = false;
  state.max_unanswered = 1;
}

void TargetBackoff::OnSent(TargetId target, RequestId request, Millis now) {
  const auto found = states_.find(target);
  if (found == states_.end() || now < found->second.until)
    return;
  if (unanswered_.try_emplace(request, target).second)
    ++found->second.unanswered;
}

void TargetBackoff::OnEnded(RequestId request) {
  const auto found = unanswered_.find(request);
  if (found == unanswered_.end())
    return;
  --states_.at(found->second).unanswered;
  unanswered_.erase(found);
}

void TargetBackoff::OnAnswerStart(RequestId request) {
  const auto found = unanswered_.find(request);
  if (found == unanswered_.end())
    return;
  ++states_.at(found->second).max_unanswered;
  OnEnded(request);
}

auto TargetBackoff::MaySend(TargetId target, Millis now) const -> bool {
  const auto found = states_.find(target);
  if (found == states_.end())
    return true;
  const State& state = found->second;
  return now >= state.until && (state.max_unanswered > kAnswersUntilUnlimited ||
                                state.unanswered < state.max_unanswered);
}

auto TargetBackoff::Left(TargetId target, Millis now) const -> Millis {
  const auto found = states_.find(target);
  return found == states_.end()
             ? Millis(0)
             : std::max(Millis(0), found->second.until - now);
}

auto TargetBackoff::TakeEndedBackoffs(Millis now) -> std::vector<Ended> {
  std::vector<Ended> ended;
  for (auto& [target, state] : states_) {
    if (state.end_taken || now < state.until)
      continue;
    state.end_taken = true;
    ended.push_back({target, state.until - state.first_rejected_at,
                     state.rejections,
                     state.last_rejected_at - state.first_rejected_at});
  }
  const auto is_dropped = [&](const State& state) {
    return state.end_taken && (state.max_unanswered > kAnswersUntilUnlimited ||
                               now - state.until >= kRetention);
  };
  std::erase_if(unanswered_, [&](const auto& entry) {
    return is_dropped(states_.at(entry.second));
  });
  std::erase_if(states_,
                [&](const auto& entry) { return is_dropped(entry.second); });
  return ended;
}

}  // namespace sparbend
