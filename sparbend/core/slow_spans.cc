// An engine delays all of its streams together, so two streams with a late
// event each are evidence. A box may have a single stream at an engine; there,
// late events in a row that took long enough together are evidence. A single
// late event is none: an engine pauses its streams while it reads a prompt that
// this box does not know of yet.
//
// Each event is compared with the engine's usual ratio, so that an engine which
// is always slow, or whose expected pace is wrong by any constant factor, does
// not count as slow. Late events do not enter the usual ratio, except that a
// period of more than kMaxSpan becomes the usual pace.
//
// Invariant: slow_ holds exactly the keys of states_ with `slow` set.
#include "sparbend/core/slow_spans.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sparbend {
namespace {

// An event counts as slow from this slowness on. Periods of slowness are at 2.5
// times the usual gap; a change of the number of running requests by half stays
// below it.
constexpr double kSlowRatio = 1.6;
// A period ends when the measured slowness falls below this.
constexpr double kEndRatio = 1.3;
// Bounds the effect of one event and of a wrong measurement.
constexpr double kMaxFactor = 4;
// Weight of the newest event in the measured slowness. Two events at the usual
// pace end a period of 2.5.
constexpr double kFactorWeight = 0.6;
// An engine is judged only after this many events at its usual pace.
constexpr int kMinUsualEvents = 8;
// Weight of the newest event in the usual ratio once there are 20 or more.
constexpr int kMaxUsualEvents = 20;
// Bounds of the usual ratio; they hold an expected pace that is wrong by 3
// together with an engine that differs by as much.
constexpr double kMinUsualRatio = 0.05;
constexpr double kMaxUsualRatio = 20;
// Late events of one stream are evidence from this time on. It is below a
// quarter of an objective of 800 ms, and longer than reading a long prompt
// pauses a stream at once.
constexpr Millis kMinSlowTime = Millis(200);
// Late events further apart than this do not belong together.
constexpr Millis kMaxEvidenceAge = Millis(400);
// A period ends this long after the last slow event, so that an engine without
// streams of this box is used again within a second.
constexpr Millis kMaxSilence = Millis(500);
// A longer period is taken for the engine's usual pace.
constexpr Millis kMaxSpan = Millis(2'000);
// Expected length of a period, and the least remaining time that is expected of
// a period that goes on.
constexpr Millis kUsualSpan = Millis(600);
constexpr Millis kMinRemaining = Millis(200);
// If more than half of at least this many engines with recent events seem slow,
// this box reads late.
constexpr size_t kMinActiveForOwnDelay = 4;
// An event this old is not recent.
constexpr Millis kMaxActiveAge = Millis(1'000);
constexpr Millis kCountInterval = Millis(100);
// The log takes fewer changes than this between two reads.
constexpr size_t kMaxChanges = 128;

}  // namespace

void SlowSpans::OnEvent(const Event& event, Millis now) {
  if (!std::isfinite(event.ratio) || event.ratio < 0)
    return;
  State& state = states_[event.target];
  state.last_event_at = now;
  CountActive(now);
  const double ratio =
      std::clamp(event.ratio, kMinUsualRatio, kMaxFactor * kMaxUsualRatio);
  const double slowness = std::min(ratio / state.usual_ratio, kMaxFactor);
  const bool judged = state.usual_events >= kMinUsualEvents;
  if (!judged || slowness < kSlowRatio) {
    state.usual_events = std::min(state.usual_events + 1, kMaxUsualEvents);
    state.usual_ratio += (ratio - state.usual_ratio) / state.usual_events;
    state.usual_ratio =
        std::clamp(state.usual_ratio, kMinUsualRatio, kMaxUsualRatio);
  }
  if (!judged)
    return;
  CollectEvidence(event, slowness, now, &state);
  if (state.slow)
    UpdateSlow(event.target, slowness, now, &state);
}

void SlowSpans::CollectEvidence(const Event& event,
                                double slowness,
                                Millis now,
                                State* state) {
  if (slowness < kEndRatio || now - state->last_slow_at > kMaxEvidenceAge)
    state->slow_events = 0;
  if (slowness < kSlowRatio)
    return;
  state->last_slow_at = now;
  if (state->slow_events == 0) {
    state->first_slow_stream = event.stream;
    state->several_streams = false;
    state->slow_time = Millis(0);
    if (!state->slow)
      state->factor = slowness;
  }
  ++state->slow_events;
  state->slow_time = state->slow_time + event.gap;
  state->several_streams |= event.stream != state->first_slow_stream;
  if (state->slow || state->slow_events < 2)
    return;
  state->factor += kFactorWeight * (slowness - state->factor);
  if (state->several_streams || state->slow_time >= kMinSlowTime)
    Begin(event.target, now, state);
}

void SlowSpans::UpdateSlow(TargetId target,
                           double slowness,
                           Millis now,
                           State* state) {
  state->factor += kFactorWeight * (slowness - state->factor);
  if (now - state->slow_since > kMaxSpan) {
    state->usual_ratio =
        std::clamp(state->usual_ratio * std::max(1.0, state->factor),
                   kMinUsualRatio, kMaxUsualRatio);
    End(target, now, state);
  } else if (state->factor < kEndRatio) {
    End(target, now, state);
  }
}

void SlowSpans::Begin(TargetId target, Millis now, State* state) {
  state->slow = true;
  state->slow_since = now;
  slow_.insert(target);
  Record({target, true, state->factor, Millis(0)});
}

void SlowSpans::End(TargetId target, Millis now, State* state) {
  Record({target, false, state->factor, now - state->slow_since});
  state->slow = false;
  state->slow_events = 0;
  state->factor = 1;
  slow_.erase(target);
}

void SlowSpans::Record(const Change& change) {
  if (changes_.size() < kMaxChanges)
    changes_.push_back(change);
}

auto SlowSpans::TakeChanges() -> std::vector<Change> {
  return std::exchange(changes_, {});
}

auto SlowSpans::IsExpired(const State& state, Millis now) -> bool {
  return now - state.last_slow_at > kMaxSilence ||
         now - state.slow_since > kMaxSpan;
}

void SlowSpans::Expire(Millis now) {
  const std::set<TargetId> slow = slow_;
  for (const TargetId target : slow) {
    State& state = states_.at(target);
    if (IsExpired(state, now))
      End(target, now, &state);
  }
}

void SlowSpans::Retain(const std::set<TargetId>& targets) {
  const auto is_gone = [&](TargetId target) {
    return !targets.contains(target);
  };
  std::erase_if(slow_, is_gone);
  std::erase_if(states_,
                [&](const auto& state) { return is_gone(state.first); });
}

void SlowSpans::CountActive(Millis now) {
  if (now - active_counted_at_ < kCountInterval)
    return;
  active_counted_at_ = now;
  active_ = static_cast<size_t>(
      std::ranges::count_if(states_, [&](const auto& entry) {
        return now - entry.second.last_event_at <= kMaxActiveAge;
      }));
}

auto SlowSpans::IsOwnDelay() const -> bool {
  return active_ >= kMinActiveForOwnDelay && slow_.size() * 2 > active_;
}

auto SlowSpans::FactorOf(TargetId target, Millis now) const -> double {
  if (slow_.empty())
    return 1;
  const auto found = states_.find(target);
  if (found == states_.end() || !found->second.slow ||
      IsExpired(found->second, now) || IsOwnDelay())
    return 1;
  return std::clamp(found->second.factor, 1.0, kMaxFactor);
}

// Only the remaining part of the period is slow. Within it, the engine does
// 1 / factor of its usual work.
auto SlowSpans::Stretch(TargetId target, double usual_ms, Millis now) const
    -> double {
  const double factor = FactorOf(target, now);
  if (factor <= 1)
    return usual_ms;
  const Millis elapsed = now - states_.at(target).slow_since;
  const auto remaining_ms = static_cast<double>(
      std::max(kUsualSpan - elapsed, kMinRemaining).count());
  return std::min(usual_ms * factor,
                  usual_ms + remaining_ms * (1 - 1 / factor));
}

}  // namespace sparbend
