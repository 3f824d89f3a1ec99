// When a box polls by itself a source that usually one box of each hall watches
// and reports to the others. Each box polls so rarely that all boxes together
// poll at about the same rate whatever the size of the fleet, and often enough
// that one of them soon finds a change that the watching boxes missed.
//
//   PollTimer timer(seed);
//   if (timer.Due(now)) {
//     timer.MarkPolled(boxes, now);
//     ...  // poll
//   }
#ifndef SPARBEND_CORE_POLL_TIMER_H_
#define SPARBEND_CORE_POLL_TIMER_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "sparbend/core/millis.h"

namespace sparbend {

// How often the boxes of a fleet poll.
struct PollRate {
  // The mean wait of one box between polls, per box in the fleet.
  int64_t mean_ms_per_box = 110;
  // The upper limit of the mean wait of one box.
  int64_t max_mean_ms = 20'000;

  auto operator==(const PollRate&) const -> bool = default;
};

class PollTimer {
 public:
  // Boxes must have different seeds, so that they poll at different times. The
  // first poll is due at once.
  explicit PollTimer(uint64_t seed, PollRate rate = {})
      : random_(seed), rate_(rate) {}

  auto Due(Millis now) const -> bool { return now >= due_; }
  // Sets the next poll time. Called when this box polls, as one of `boxes`
  // boxes that do, or when it may skip a poll because another box has just
  // polled.
  void MarkPolled(size_t boxes, Millis now);

 private:
  std::mt19937_64 random_;
  PollRate rate_;
  Millis due_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_POLL_TIMER_H_
