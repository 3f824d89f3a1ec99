// The wait is drawn evenly from half to one and a half times its mean, which
// grows with the number of boxes: those that started together drift apart, and
// the fleet's rate stays the same.
//
// Invariant: a box waits no longer than one and a half times the longest mean,
// so that a few boxes cut off from all others see a change within that time.
#include "sparbend/core/poll_timer.h"

#include <algorithm>

namespace sparbend {
namespace {

// A single look may take as long as that from the store; looking again sooner
// would only add calls.
constexpr int64_t kLeastMs = 300;

}  // namespace

void PollTimer::MarkPolled(size_t boxes, Millis now) {
  const int64_t mean =
      std::clamp(rate_.mean_ms_per_box * static_cast<int64_t>(boxes), kLeastMs,
                 rate_.most_mean_ms);
  std::uniform_int_distribution<int64_t> spread(mean / 2, mean * 3 / 2);
  due_ = now + Millis(spread(random_));
}

}  // namespace sparbend
