// Detects that this box can't keep up with its work, from the time that bytes
// wait until they are read (LoopDelay). One thread does all work of a box, so a
// long wait there means that everything is late.
//
//   overload.OnTick(loop_delay, now);  // about every 50 ms
//   if (overload.busy()) ...           // ask the load balancer for less
//   if (overload.saturated()) ...      // refuse new requests
#ifndef SPARBEND_CORE_OVERLOAD_H_
#define SPARBEND_CORE_OVERLOAD_H_

#include "sparbend/core/millis.h"

namespace sparbend {

class Overload {
 public:
  // Updates the mean with the latest `loop_delay`.
  void OnTick(Millis loop_delay, Millis now);

  // Whether new clients should be sent to other boxes. Remains true for at
  // least a second after the delay has recovered.
  auto busy() const -> bool { return busy_; }
  // Whether this box is saturated: a request accepted now would be answered too
  // late to be useful.
  auto saturated() const -> bool;
  // Moving average of the delays.
  auto mean_delay() const -> Millis {
    return Millis(static_cast<int64_t>(mean_delay_ms_));
  }

 private:
  double mean_delay_ms_ = 0;
  bool busy_ = false;
  Millis last_above_recovery_;
  Millis last_tick_at_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_OVERLOAD_H_
