// A position in a log of the platform's store. The store may come back from a
// copy that is some seconds old; it then counts a new era and gives out the
// offsets beyond that copy again. An offset says nothing without its era, so
// positions are compared as a whole: every position of a later era is higher
// than all of an earlier one.
//
//   const LogPosition next{page.era, page.next};
//   if (peer_position > next)
//     ...  // the peer has read records that this box has not
#ifndef SPARBEND_CORE_LOG_POSITION_H_
#define SPARBEND_CORE_LOG_POSITION_H_

#include <compare>
#include <cstdint>

namespace sparbend {

struct LogPosition {
  int64_t era = 0;
  int64_t offset = 0;

  // The positions of the records before and after this one.
  auto Previous() const -> LogPosition { return {era, offset - 1}; }
  auto Next() const -> LogPosition { return {era, offset + 1}; }

  auto operator<=>(const LogPosition&) const = default;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_LOG_POSITION_H_
