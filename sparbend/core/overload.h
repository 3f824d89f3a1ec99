// Detects that this box can't keep up with its work, from the time that bytes
// wait until they are read (LoopDelay). One thread does all work of a box, so
// if bytes wait long, all its work is late.
//
//   overload.OnTick(loop_delay, now);  // about every 50 ms
//   if (overload.busy()) ...           // new clients should go to other boxes
//   if (overload.saturated()) ...      // refuse new requests
#ifndef SPARBEND_CORE_OVERLOAD_H_
#define SPARBEND_CORE_OVERLOAD_H_

#include "sparbend/core/millis.h"

namespace sparbend {

class Overload {
 public:
  // Updates the moving average of the delays with `loop_delay`, the latest one
  // at time `now`.
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
  Millis last_above_recovered_delay_at_;
  Millis last_tick_at_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_OVERLOAD_H_
