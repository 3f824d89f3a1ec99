// Measures how long bytes that arrive at this box wait. The box sends a short
// datagram, a probe, to itself and takes the time until that probe returns.
// Timers can't measure this: an event loop runs them first and on time while
// connections wait for seconds. Neither can the time that the loop has run
// without a pause, since a kernel that assigns processor time in slices makes a
// busy process wait just like an idle one.
//
//   if (const auto probe = delay.Next(now)) SendToSelf(*probe);
//   delay.OnReturn(probe, now);  // when it is read
//   overload.OnTick(delay.Latest(now), now);
//
// One probe can measure two delays: until it is read, and until a task that is
// queued then runs.
//
//   read_delay.OnSent(*probe, now);
//   if (read_delay.OnReturn(probe, now)) Queue([&] { delay.OnReturn(...); });
#ifndef SPARBEND_CORE_LOOP_DELAY_H_
#define SPARBEND_CORE_LOOP_DELAY_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "sparbend/core/millis.h"

namespace sparbend {

class LoopDelay {
 public:
  // Probes are numbered from `first_number` + 1. It should be hard to guess, so
  // that other hosts can't forge a probe.
  explicit LoopDelay(uint64_t first_number = 0) : last_probe_(first_number) {}

  // Number of the probe to send now; nothing if one was sent less than a second
  // ago and has not returned.
  auto Next(Millis now) -> std::optional<uint64_t>;
  // Records that `probe`, which another LoopDelay numbered, was sent.
  void OnSent(uint64_t probe, Millis now);
  // Records that `probe` returned. False if it isn't in flight. Probes return
  // in order, so those sent before it are lost.
  auto OnReturn(uint64_t probe, Millis now) -> bool;
  // Delay of the last probe that returned, or the time since the oldest probe
  // in flight was sent if that is longer.
  auto Latest(Millis now) const -> Millis;

 private:
  struct Probe {
    uint64_t number = 0;
    Millis sent_at;
  };

  uint64_t last_probe_;
  std::deque<Probe> in_flight_;  // oldest first
  Millis last_delay_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_LOOP_DELAY_H_
