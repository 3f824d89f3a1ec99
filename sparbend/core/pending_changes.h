// The changes of the configuration that other boxes use and this box does not
// use yet, and since when they are known.
//
//   PendingChanges pending;
//   pending.OnReported(position, now);  // another box uses all up to there
//   pending.OnUsed(position);           // this box does
//   pending.OldestAge(now);
//
// Does no I/O and reads no clock. Holds at most kMaxTracked positions.
#ifndef SPARBEND_CORE_PENDING_CHANGES_H_
#define SPARBEND_CORE_PENDING_CHANGES_H_

#include <cstddef>
#include <map>

#include "sparbend/core/log_position.h"
#include "sparbend/core/millis.h"

namespace sparbend {

class PendingChanges {
 public:
  static constexpr size_t kMaxTracked = 64;

  // Another box uses the changes before `position`, as was known at `now`.
  // Positions may be reported in any order, and again.
  void OnReported(LogPosition position, Millis now);
  // This box uses the changes before `position`.
  void OnUsed(LogPosition position);
  // Time since the oldest change that is not in use was first reported; zero if
  // none is known. With more than kMaxTracked positions pending, the newest
  // ones count as reported with the one before them.
  auto OldestAge(Millis now) const -> Millis;

 private:
  LogPosition used_;
  // By position, when one as high was first reported; the times rise with the
  // positions.
  std::map<LogPosition, Millis> reported_at_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_PENDING_CHANGES_H_
