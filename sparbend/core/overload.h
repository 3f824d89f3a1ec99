// Whether this box falls behind its own work, judged by how late its timers
// fire. All its work is done by one thread in turn, so a late timer means that
// everything else waits as long.
//
//   overload.OnTimer(planned, now);   // at each tick
//   if (overload.busy()) ...          // ask the balancer for less
//   if (overload.flooded()) ...       // take nothing new
#ifndef SPARBEND_CORE_OVERLOAD_H_
#define SPARBEND_CORE_OVERLOAD_H_

#include "sparbend/core/millis.h"

namespace sparbend {

class Overload {
 public:
  // A timer that was due at `planned` fired at `now`.
  void OnTimer(Millis planned, Millis now);

  // New callers had better go to other boxes. Stays so for a while.
  auto busy() const -> bool { return busy_; }
  // What is taken now is answered too late to be of use.
  auto flooded() const -> bool;
  // Mean lateness of late timers.
  auto lag() const -> Millis { return Millis(static_cast<int64_t>(lag_ms_)); }

 private:
  double lag_ms_ = 0;
  bool busy_ = false;
  Millis well_since_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_OVERLOAD_H_
