// When a box looks for itself at something that usually one box of each hall
// watches and tells the others about. All boxes look so rarely that together
// they look equally often whatever the size of the fleet, and often enough
// that one of them soon finds what the watchers missed.
//
//   PollTimer clock(seed);
//   if (clock.Due(now)) { clock.Looked(boxes, now); ... }
#ifndef SPARBEND_CORE_POLL_TIMER_H_
#define SPARBEND_CORE_POLL_TIMER_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "sparbend/core/millis.h"

namespace sparbend {

// How often the boxes of a fleet look.
struct LookRate {
  // The mean wait of one box, for each box in the fleet.
  int64_t mean_ms_per_box = 110;
  // The longest mean wait.
  int64_t most_mean_ms = 20'000;

  auto operator==(const LookRate&) const -> bool = default;
};

class PollTimer {
 public:
  // Boxes with different seeds look at different times.
  explicit PollTimer(uint64_t seed, LookRate rate = {})
      : random_(seed), rate_(rate) {}

  auto Due(Millis now) const -> bool { return now >= due_; }
  // The box looks now, as one of `boxes` that do; or need not, since it heard
  // of one that looked.
  void MarkPolled(size_t boxes, Millis now);

 private:
  std::mt19937_64 random_;
  LookRate rate_;
  Millis due_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_POLL_TIMER_H_
