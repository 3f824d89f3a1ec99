#include "sparbend/core/loop_delay.h"

#include <algorithm>

namespace sparbend {
namespace {

// Far beyond the delay at which a box takes nothing new.
constexpr Millis kLostAfter = Millis(1'000);

}  // namespace

auto LoopDelay::Next(Millis now) -> std::optional<uint64_t> {
  if (under_way_ && now - sent_ < kLostAfter)
    return std::nullopt;
  under_way_ = true;
  sent_ = now;
  return ++next_;
}

auto LoopDelay::OnReturn(uint64_t probe, Millis now) -> bool {
  if (!under_way_ || probe != next_)
    return false;
  under_way_ = false;
  took_ = now - sent_;
  return true;
}

auto LoopDelay::Latest(Millis now) const -> Millis {
  return under_way_ ? std::max(took_, now - sent_) : took_;
}

}  // namespace sparbend
