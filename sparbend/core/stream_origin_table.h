// The origins of streams that this box began or keeps for other boxes, until
// their clients can't come back any more. Bounded: the streams that expire
// first are dropped first.
//
//   table.Record(stream, {origin, route, expires}, now);
//   if (const auto* entry = table.Find(stream, now)) Use(entry->origin);
//
// Does no I/O and reads no clock.
#ifndef SPARBEND_CORE_STREAM_ORIGIN_TABLE_H_
#define SPARBEND_CORE_STREAM_ORIGIN_TABLE_H_

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sparbend/core/millis.h"
#include "sparbend/core/stream_origin.h"

namespace sparbend {

class StreamOriginTable {
 public:
  struct Entry {
    StreamOrigin origin;
    RouteId route = 0;
    Millis expires;
    // Whether it was passed on to be persisted, or another box began it.
    bool persisted = false;

    auto operator==(const Entry&) const -> bool = default;
  };
  using Row = std::pair<StreamKey, Entry>;

  explicit StreamOriginTable(size_t max_entries) : max_entries_(max_entries) {}

  // Adds or replaces the entry of `stream`. O(log entries), as Find.
  void Record(StreamKey stream, const Entry& entry, Millis now);
  // Null if the stream is unknown or has expired. Valid until the next change.
  auto Find(StreamKey stream, Millis now) const -> const Entry*;
  // Marks the streams of `route` that are not persisted as persisted, and
  // returns them. O(entries).
  auto TakeUnpersisted(RouteId route, Millis now) -> std::vector<Row>;

  auto size() const -> size_t { return entries_.size(); }

 private:
  void Erase(StreamKey stream);

  size_t max_entries_;
  std::unordered_map<StreamKey, Entry> entries_;
  std::set<std::pair<Millis, StreamKey>> expiries_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_STREAM_ORIGIN_TABLE_H_
