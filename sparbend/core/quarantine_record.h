// What a box keeps of the quarantine in its own record in the store, for the
// day on which all boxes start again and none is left to tell the others.
//
//   record["quarantine"] = QuarantineToJson(kept, wall_now);
//   quarantine.Learn(QuarantineFrom(record, wall_now), now);
//
// Pure. Ages become times of day there, since no other clock outlasts a box.
#ifndef SPARBEND_CORE_QUARANTINE_RECORD_H_
#define SPARBEND_CORE_QUARANTINE_RECORD_H_

#include <vector>

#include "sparbend/core/json.h"
#include "sparbend/core/messages.h"
#include "sparbend/core/millis.h"

namespace sparbend {

// Rows in one record at most; the first ones are written.
inline constexpr size_t kMostKept = 64;

// `wall_now` is the time of day since 1970.
auto QuarantineToJson(const std::vector<Suspicion>& rows, Millis wall_now)
    -> Json;
// Any record is safe to pass; rows that do not decode are left out.
auto QuarantineFrom(const Json& record, Millis wall_now)
    -> std::vector<Suspicion>;

}  // namespace sparbend

#endif  // SPARBEND_CORE_QUARANTINE_RECORD_H_
