#include "sparbend/core/loop_delay.h"

#include <algorithm>

namespace sparbend {
namespace {

// A probe is taken for lost after this time. It is far above the delay at which
// an overloaded box refuses new requests (kSaturatedDelayMs in overload.cc).
constexpr Millis kProbeTimeout = Millis(1'000);

}  // namespace

auto LoopDelay::Next(Millis now) -> std::optional<uint64_t> {
  if (in_flight_ && now - sent_at_ < kProbeTimeout)
    return std::nullopt;
  in_flight_ = true;
  sent_at_ = now;
  return ++last_probe_;
}

auto LoopDelay::OnReturn(uint64_t probe, Millis now) -> bool {
  if (!in_flight_ || probe != last_probe_)
    return false;
  in_flight_ = false;
  last_delay_ = now - sent_at_;
  return true;
}

auto LoopDelay::Latest(Millis now) const -> Millis {
  return in_flight_ ? std::max(last_delay_, now - sent_at_) : last_delay_;
}

}  // namespace sparbend
