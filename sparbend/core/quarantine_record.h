// The rows of the quarantine that a box persists in its own record in the
// store, so that they survive a restart of all boxes at the same time, after
// which no box could report them to the others.
//
//   record["quarantine"] = QuarantineToJson(quarantine.Kept(now), wall_now);
//   quarantine.Restore(QuarantineFrom(record, wall_now), now);
//
// Pure functions. A row's age is stored as the Unix time of its last change,
// since only the wall clock continues over a restart of the box.
#ifndef SPARBEND_CORE_QUARANTINE_RECORD_H_
#define SPARBEND_CORE_QUARANTINE_RECORD_H_

#include <vector>

#include "sparbend/core/json.h"
#include "sparbend/core/messages.h"
#include "sparbend/core/millis.h"

namespace sparbend {

// Most rows in one record. QuarantineToJson writes the first ones.
inline constexpr size_t kMaxPersistedRows = 64;

// `wall_now` is the Unix time.
auto QuarantineToJson(const std::vector<Suspicion>& rows, Millis wall_now)
    -> Json;
// Reads the rows from a box's `record`, which may be any JSON: malformed rows
// are skipped, as are those beyond kMaxPersistedRows.
auto QuarantineFrom(const Json& record, Millis wall_now)
    -> std::vector<Suspicion>;

}  // namespace sparbend

#endif  // SPARBEND_CORE_QUARANTINE_RECORD_H_
