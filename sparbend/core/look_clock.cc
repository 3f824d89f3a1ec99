// The wait is drawn evenly from half to one and a half times its mean, which
// grows with the number of boxes: those that started together drift apart, and
// the fleet's rate stays the same.
//
// Invariant: a box waits no longer than one and a half times kMostMeanMs, so
// that a few boxes cut off from all others see a change within that time.
#include "sparbend/core/look_clock.h"

#include <algorithm>

namespace sparbend {
namespace {

// The mean wait for each box in the fleet. Nine boxes then look every second,
// half of the bound within which the smallest deployment takes a change.
constexpr int64_t kMeanMsPerBox = 110;
// A single look may take as long as that from the store; looking again sooner
// would only add calls.
constexpr int64_t kLeastMs = 300;
constexpr int64_t kMostMeanMs = 20'000;

}  // namespace

void LookClock::Looked(size_t boxes, Millis now) {
  const int64_t mean = std::clamp(kMeanMsPerBox * static_cast<int64_t>(boxes),
                                  kLeastMs, kMostMeanMs);
  std::uniform_int_distribution<int64_t> spread(mean / 2, mean * 3 / 2);
  due_ = now + Millis(spread(random_));
}

}  // namespace sparbend
