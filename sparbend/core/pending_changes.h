// The changes of the configuration that other boxes use and this box does not
// use yet, and since when they are known.
//
//   PendingChanges pending;
//   pending.OnReported(offset, now);  // another box uses all up to `offset`
//   pending.OnUsed(offset);           // this box does
//   pending.OldestAge(now);
//
// Does no I/O and reads no clock. Holds at most kMaxTracked offsets.
#ifndef SPARBEND_CORE_PENDING_CHANGES_H_
#define SPARBEND_CORE_PENDING_CHANGES_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "sparbend/core/millis.h"

namespace sparbend {

class PendingChanges {
 public:
  static constexpr size_t kMaxTracked = 64;

  // Another box uses the changes below `offset`, as was known at `now`. Offsets
  // may be reported in any order, and again.
  void OnReported(int64_t offset, Millis now);
  // This box uses the changes below `offset`.
  void OnUsed(int64_t offset);
  // Time since the oldest change that is not in use was first reported; zero if
  // none is known. With more than kMaxTracked offsets pending, the newest ones
  // count as reported with the one before them.
  auto OldestAge(Millis now) const -> Millis;

 private:
  int64_t used_ = 0;
  // By offset, when one as high was first reported; the times rise with the
  // offsets.
  std::map<int64_t, Millis> reported_at_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_PENDING_CHANGES_H_
