#include "sparbend/services/dependency.h"

#include <algorithm>

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

// A refused call costs as much as any other, so calls are spaced out during an
// outage. The longest delay is half of the two seconds within which a change
// must be active after an outage.
constexpr int64_t kInitialRetryDelayMs = 125;
constexpr int64_t kMaxRetryDelayMs = 1'000;
constexpr int kMaxDoublings = 3;

}  // namespace

void Dependency::RecordSuccess(Millis now) {
  last_good_ = now;
  consecutive_failures_ = 0;
  if (!lost_)
    return;
  lost_ = false;
  Log(LogLevel::kInfo, "dependency-regained",
      {{"dependency", name_}, {"away_ms", (now - lost_since_).count()}});
}

void Dependency::RecordFailure(const std::string& why, Millis now) {
  ++consecutive_failures_;
  if (lost_)
    return;
  lost_ = true;
  lost_since_ = now;
  Log(LogLevel::kWarning, "dependency-lost",
      {{"dependency", name_},
       {"why", why},
       {"last_good_ms_ago",
        last_good_ == Millis(0) ? -1 : (now - last_good_).count()}});
}

auto Dependency::pause() const -> Millis {
  return Millis(std::min(
      kMaxRetryDelayMs,
      kInitialRetryDelayMs << std::min(consecutive_failures_, kMaxDoublings)));
}

}  // namespace sparbend
