// Invariant: expiries_ has one pair for each entry.
#include "sparbend/core/stream_origin_table.h"

namespace sparbend {

void StreamOriginTable::Erase(StreamKey stream) {
  const auto found = entries_.find(stream);
  if (found == entries_.end())
    return;
  expiries_.erase({found->second.expires, stream});
  entries_.erase(found);
}

void StreamOriginTable::Record(StreamKey stream,
                               const Entry& entry,
                               Millis now) {
  Erase(stream);
  entries_[stream] = entry;
  expiries_.emplace(entry.expires, stream);
  while (!expiries_.empty() &&
         (expiries_.begin()->first <= now || entries_.size() > max_entries_))
    Erase(expiries_.begin()->second);
}

auto StreamOriginTable::Find(StreamKey stream, Millis now) const
    -> const Entry* {
  const auto found = entries_.find(stream);
  return found == entries_.end() || found->second.expires <= now
             ? nullptr
             : &found->second;
}

auto StreamOriginTable::TakeUnpersisted(RouteId route, Millis now)
    -> std::vector<Row> {
  std::vector<Row> rows;
  for (auto& [stream, entry] : entries_) {
    if (entry.persisted || entry.route != route || entry.expires <= now)
      continue;
    entry.persisted = true;
    rows.emplace_back(stream, entry);
  }
  return rows;
}

}  // namespace sparbend
