// How long what arrives at this box waits until it is read. The box sends a
// short datagram to itself and sees when it comes to read it: it passes the
// same queues as callers' bytes. Timers would not do: a loop fires those first
// and in time while connections wait for seconds; nor would the time without
// rest, since a system that hands out processor time in slices makes a busy
// process wait as an idle one does.
//
//   if (const auto probe = delay.Next(now)) SendToSelf(*probe);
//   delay.OnReturn(probe, now);
//   overload.OnTick(delay.Latest(now), now);
#ifndef SPARBEND_CORE_LOOP_DELAY_H_
#define SPARBEND_CORE_LOOP_DELAY_H_

#include <cstdint>
#include <optional>

#include "sparbend/core/millis.h"

namespace sparbend {

class LoopDelay {
 public:
  // Probes are numbered from `first`, which strangers should not guess.
  explicit LoopDelay(uint64_t first) : next_(first) {}

  // The probe to send now, if none is under way. One that has not come back
  // for a second is taken for lost.
  auto Next(Millis now) -> std::optional<uint64_t>;
  // True if that probe was the one under way.
  auto OnReturn(uint64_t probe, Millis now) -> bool;
  // What the last probe took, or has taken so far if that is more.
  auto Latest(Millis now) const -> Millis;

 private:
  uint64_t next_;
  bool under_way_ = false;
  Millis sent_;
  Millis took_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_LOOP_DELAY_H_
