// Detects periods in which an engine is slow: the events of its streams come
// much later than that engine's own events did before. An engine in such a
// period stays in use; the times expected of it are scaled.
//
//   spans.OnEvent({target, stream, ratio, gap}, now);
//   if (spans.FactorOf(target, now) > 1) ...
//   expected_ms = spans.Stretch(target, expected_ms, now);
//
// Performs no I/O and reads no clock. OnEvent, FactorOf and Stretch are O(1);
// several times a second, OnEvent takes time in proportion to the targets.
#ifndef SPARBEND_CORE_SLOW_SPANS_H_
#define SPARBEND_CORE_SLOW_SPANS_H_

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"

namespace sparbend {

class SlowSpans {
 public:
  // An event of a stream, not its first one.
  struct Event {
    TargetId target = 0;
    uint64_t stream = 0;
    // The time since the stream's previous event, in multiples of what the pool
    // usually shows at that load.
    double ratio = 1;
    Millis gap;

    auto operator==(const Event&) const -> bool = default;
  };
  // The begin or end of a period of slowness.
  struct Change {
    TargetId target = 0;
    bool slow = false;
    double factor = 1;  // the measured slowness
    Millis duration;    // of the period; zero at its begin

    auto operator==(const Change&) const -> bool = default;
  };

  void OnEvent(const Event& event, Millis now);
  // Forgets targets that are not in `targets`.
  void Retain(const std::set<TargetId>& targets);

  // How many times slower than usual `target` is now; 1 if it is not slow.
  auto FactorOf(TargetId target, Millis now) const -> double;
  // The time in which `target` does what takes it `usual_ms` at its usual
  // speed.
  auto Stretch(TargetId target, double usual_ms, Millis now) const -> double;

  // Ends periods without recent evidence. O(number of slow targets).
  void Expire(Millis now);
  // The number of slow targets, as of the last Expire.
  auto count() const -> size_t { return slow_.size(); }
  // Returns the changes since the last call; under a flood of changes, the
  // oldest of them only.
  auto TakeChanges() -> std::vector<Change>;

 private:
  struct State {
    double usual_ratio = 1;  // moving average over events that are not slow
    int usual_events = 0;    // events in it, up to a bound
    Millis last_event_at;
    // Evidence: slow events of any stream since the last event at the usual
    // pace.
    int slow_events = 0;
    uint64_t first_slow_stream = 0;
    bool several_streams = false;
    Millis slow_time;  // sum of their gaps
    Millis last_slow_at;
    // Valid while the target is slow.
    bool slow = false;
    double factor = 1;
    Millis slow_since;
  };

  void CollectEvidence(const Event& event,
                       double slowness,
                       Millis now,
                       State* state);
  void UpdateSlow(TargetId target, double slowness, Millis now, State* state);
  void Begin(TargetId target, Millis now, State* state);
  void End(TargetId target, Millis now, State* state);
  void Record(const Change& change);
  static auto IsExpired(const State& state, Millis now) -> bool;
  // Updates `active_`, unless that was done a moment ago.
  void CountActive(Millis now);
  // Whether so many targets seem slow that this box is the cause.
  auto IsOwnDelay() const -> bool;

  std::unordered_map<TargetId, State> states_;
  std::set<TargetId> slow_;
  size_t active_ = 0;  // targets with recent events
  Millis active_counted_at_;
  std::vector<Change> changes_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_SLOW_SPANS_H_
