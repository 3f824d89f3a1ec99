// The possible origins of streams, which a box persists in its own record in
// the store, so that they survive a restart of all boxes at the same time.
//
//   record["stream_origins"] = PastOriginsToJson(past, now, wall_now);
//   node.AddPastOrigins(PastOriginsFrom(record, now, wall_now));
//
// Pure functions. Times are stored as Unix times, since only the wall clock
// continues over a restart of the box.
#ifndef SPARBEND_CORE_PAST_ORIGINS_RECORD_H_
#define SPARBEND_CORE_PAST_ORIGINS_RECORD_H_

#include "sparbend/core/json.h"
#include "sparbend/core/possible_origins.h"

namespace sparbend {

// Most origins in one record. PastOriginsToJson leaves out the ones that have
// been impossible for longest.
inline constexpr size_t kMaxPersistedOrigins = 64;

// `wall_now` is the Unix time at `now`.
auto PastOriginsToJson(const PastOrigins& past, Millis now, Millis wall_now)
    -> Json;
// Reads the origins from a box's `record`, which may be any JSON: malformed
// ones are skipped, as are those beyond kMaxPersistedOrigins. A list with
// anything but objects counts as empty.
auto PastOriginsFrom(const Json& record, Millis now, Millis wall_now)
    -> PastOrigins;

}  // namespace sparbend

#endif  // SPARBEND_CORE_PAST_ORIGINS_RECORD_H_
