// A probe that has not returned for long may be lost or only late, so it stays
// in flight beside its successors until one of them returns. Dropping it after
// a time limit would cap the delay that can be measured.
#include "sparbend/core/loop_delay.h"

#include <algorithm>

namespace sparbend {
namespace {

// Another probe is sent after this time without a return. It is far above the
// delay at which an overloaded box refuses new requests (kSaturatedDelayMs in
// overload.cc).
constexpr Millis kProbeTimeout = Millis(1'000);
// Bounds the memory. One probe is sent per second while none returns, so delays
// of up to a minute are measured.
constexpr size_t kMaxInFlight = 60;

}  // namespace

auto LoopDelay::Next(Millis now) -> std::optional<uint64_t> {
  if (!in_flight_.empty() && now - in_flight_.back().sent_at < kProbeTimeout)
    return std::nullopt;
  OnSent(last_probe_ + 1, now);
  return last_probe_;
}

void LoopDelay::OnSent(uint64_t probe, Millis now) {
  last_probe_ = probe;
  if (in_flight_.size() < kMaxInFlight)
    in_flight_.push_back({probe, now});
  else
    in_flight_.back() = {probe, now};
}

auto LoopDelay::OnReturn(uint64_t probe, Millis now) -> bool {
  const auto returned = std::ranges::find(in_flight_, probe, &Probe::number);
  if (returned == in_flight_.end())
    return false;
  last_delay_ = now - returned->sent_at;
  in_flight_.erase(in_flight_.begin(), returned + 1);
  return true;
}

auto LoopDelay::Latest(Millis now) const -> Millis {
  return in_flight_.empty()
             ? last_delay_
             : std::max(last_delay_, now - in_flight_.front().sent_at);
}

}  // namespace sparbend
