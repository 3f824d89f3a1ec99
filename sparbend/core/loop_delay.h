// Measures how long bytes that arrive at this box wait until it reads them. The
// box sends a short datagram, a probe, to itself and takes the time until it
// reads that probe, which passes the same queues as the bytes of clients.
// Timers can't measure this: an event loop runs them first and on time while
// connections wait for seconds. Neither can the time that the loop has run
// without a pause, since a kernel that assigns processor time in slices makes a
// busy process wait just like an idle one.
//
//   if (const auto probe = delay.Next(now)) SendToSelf(*probe);
//   delay.OnReturn(probe, now);  // when it is read
//   overload.OnTick(delay.Latest(now), now);
#ifndef SPARBEND_CORE_LOOP_DELAY_H_
#define SPARBEND_CORE_LOOP_DELAY_H_

#include <cstdint>
#include <optional>

#include "sparbend/core/millis.h"

namespace sparbend {

class LoopDelay {
 public:
  // Probes are numbered from `first_number` + 1. It should be hard to guess, so
  // that other hosts can't forge a probe.
  explicit LoopDelay(uint64_t first_number) : last_probe_(first_number) {}

  // Number of the probe to send now; nothing if one is in flight. A probe that
  // has not returned after a second is taken for lost.
  auto Next(Millis now) -> std::optional<uint64_t>;
  // Records that `probe` was read. False if it wasn't the probe in flight.
  auto OnReturn(uint64_t probe, Millis now) -> bool;
  // Delay of the last probe that returned, or the time since the probe in
  // flight was sent if that is longer.
  auto Latest(Millis now) const -> Millis;

 private:
  uint64_t last_probe_;
  bool in_flight_ = false;
  Millis sent_at_;
  Millis last_delay_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_LOOP_DELAY_H_
