#include "sparbend/services/dependency.h"

#include "sparbend/kernel/log.h"

namespace sparbend {

void Dependency::OnGood(Millis now) {
  last_good_ = now;
  if (!lost_)
    return;
  lost_ = false;
  Log(LogLevel::kInfo, "dependency-regained",
      {{"dependency", name_}, {"away_ms", (now - lost_since_).count()}});
}

void Dependency::OnBad(const std::string& why, Millis now) {
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

}  // namespace sparbend
