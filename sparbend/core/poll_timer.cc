// The wait is uniformly distributed between 0.5 and 1.5 times its mean. The
// randomness lets boxes that started together drift apart. The mean grows with
// the number of boxes, which keeps the rate of the whole fleet constant.
//
// Invariant: a box waits at most 1.5 times the largest mean, max_mean_ms, so
// that a few boxes that are cut off from all others see a change within that
// time.
#include "sparbend/core/poll_timer.h"

#include <algorithm>

namespace sparbend {
namespace {

// One poll of the store may take this long; polling again sooner would only add
// calls.
constexpr int64_t kMinMeanMs = 300;

}  // namespace

void PollTimer::MarkPolled(size_t boxes, Millis now) {
  const int64_t mean_ms =
      std::clamp(rate_.mean_ms_per_box * static_cast<int64_t>(boxes),
                 kMinMeanMs, rate_.max_mean_ms);
  std::uniform_int_distribution<int64_t> wait_ms(mean_ms / 2, mean_ms * 3 / 2);
  due_ = now + Millis(wait_ms(random_));
}

}  // namespace sparbend
