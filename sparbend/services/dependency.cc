#include "sparbend/services/dependency.h"

#include <algorithm>

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

// A refused call costs as much as another; half of the two seconds in which a
// change must be in force after an outage.
constexpr int64_t kFirstPauseMs = 125;
constexpr int64_t kLongestPauseMs = 1'000;
constexpr int kDoublings = 3;

}  // namespace

void Dependency::OnGood(Millis now) {
  last_good_ = now;
  bad_in_a_row_ = 0;
  if (!lost_)
    return;
  lost_ = false;
  Log(LogLevel::kInfo, "dependency-regained",
      {{"dependency", name_}, {"away_ms", (now - lost_since_).count()}});
}

void Dependency::OnBad(const std::string& why, Millis now) {
  ++bad_in_a_row_;
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
  return Millis(std::min(kLongestPauseMs,
                         kFirstPauseMs << std::min(bad_in_a_row_, kDoublings)));
}

}  // namespace sparbend
