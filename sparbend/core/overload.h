// Whether this box falls behind its own work, judged by how long what arrives
// waits until it is read (LoopDelay). All its work is done by one thread in
// turn.
//
//   overload.OnTick(loop_delay, now);   // every 50 ms or so
//   if (overload.busy()) ...          // ask the balancer for less
//   if (overload.flooded()) ...       // take nothing new
#ifndef SPARBEND_CORE_OVERLOAD_H_
#define SPARBEND_CORE_OVERLOAD_H_

#include "sparbend/core/millis.h"

namespace sparbend {

class Overload {
 public:
  // It is `now`, and what arrived lately waited for `loop_delay`.
  void OnTick(Millis loop_delay, Millis now);

  // New callers had better go to other boxes. Stays so for a while.
  auto busy() const -> bool { return busy_; }
  // What is taken now is answered too late to be of use.
  auto flooded() const -> bool;
  // Mean of the delays.
  auto lag() const -> Millis { return Millis(static_cast<int64_t>(lag_ms_)); }

 private:
  double lag_ms_ = 0;
  bool busy_ = false;
  Millis well_since_;
  Millis ticked_at_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_OVERLOAD_H_
