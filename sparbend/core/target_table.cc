// A record or list may arrive late, so it is compared with what is known:
//
// - Offsets: a list may be read from a replica that is behind. It must neither
//   bring back targets that were removed since nor remove those added since.
// - Heartbeats, which a target counts itself, precede offsets: a delayed record
//   may be written to the log after a later one, and would make a leaving
//   target look ready again. So of one incarnation a record is stale if its
//   offset or its heartbeat is lower than the known one.
// - Start times precede both, since the heartbeat count starts again with each
//   incarnation. A record of an earlier incarnation is always stale.
//
// After a removal, a record must be newer in both ways: a higher offset than
// the removal's and, if the target counts heartbeats or was restarted, a later
// start time or a higher heartbeat.
#include "sparbend/core/target_table.h"

#include <algorithm>
#include <tuple>

namespace sparbend {
namespace {

// Removals that are remembered. A list that is behind by this many removals is
// not expected.
constexpr size_t kMaxDropped = 4'096;
// A target is cold for seconds after its start. A longer time in a record is
// cut to this; a later record may extend it.
constexpr Millis kMaxColdTime = Millis(60'000);
// Heartbeats are read with a delay that varies by up to a second, so a cold
// time that ends later by no more than this is not a change.
constexpr Millis kColdTimeJitter = Millis(1'000);

}  // namespace

auto TargetTable::IsStale(const TargetEntry& entry, int64_t offset) const
    -> bool {
  const auto version = std::tie(entry.started_at_ms, entry.beat);
  const auto dropped = dropped_.find(entry.name);
  if (dropped != dropped_.end()) {
    const Dropped& drop = dropped->second;
    // Without a heartbeat, the offset alone decides.
    const bool has_version =
        entry.beat > 0 || entry.started_at_ms != drop.started_at_ms;
    if (offset <= drop.offset ||
        (has_version && version <= std::tie(drop.started_at_ms, drop.beat)))
      return true;
  }
  const auto found = known_.find(entry.name);
  if (found == known_.end())
    return false;
  const Known& known = found->second;
  if (entry.started_at_ms != known.entry.started_at_ms)
    return entry.started_at_ms < known.entry.started_at_ms;
  return offset < known.offset || entry.beat < known.entry.beat;
}

auto TargetTable::Put(const TargetEntry& entry, int64_t offset, Millis now)
    -> bool {
  if (IsStale(entry, offset))
    return false;
  const auto [found, added] = known_.try_emplace(entry.name);
  Known& known = found->second;
  const Millis cold_until = now + std::min(entry.cold_left, kMaxColdTime);
  const bool cold_for_longer =
      cold_until > std::max(now, known.cold_until) + kColdTimeJitter;
  const bool changed = added || cold_for_longer || !(known.entry == entry);
  known = Known{entry, offset, false, cold_until};
  return changed;
}

auto TargetTable::RejectRecord(const std::string& name, int64_t offset)
    -> bool {
  const auto found = known_.find(name);
  if (found == known_.end() || offset < found->second.offset)
    return false;
  RecordRemoval(found->second, offset + 1);
  known_.erase(found);
  return true;
}

auto TargetTable::ApplyRemoval(std::map<std::string, Known>::iterator known,
                               Removal removal) -> bool {
  if (removal == Removal::kUnconfirmed) {
    known->second.record_expired = true;
    return false;
  }
  known_.erase(known);
  return true;
}

auto TargetTable::Drop(const std::string& name, int64_t offset, Removal removal)
    -> bool {
  if (dropped_.size() >= kMaxDropped)
    dropped_.clear();
  const auto found = known_.find(name);
  Dropped& dropped = dropped_[name];
  dropped.offset = std::max(dropped.offset, offset);
  if (found == known_.end() || offset < found->second.offset)
    return false;
  dropped.started_at_ms = found->second.entry.started_at_ms;
  dropped.beat = found->second.entry.beat;
  return ApplyRemoval(found, removal);
}

// A box that was cut off may still report the target later, as it last knew it.
// Put ignores that report by the entry made here.
void TargetTable::RecordRemoval(const Known& known, int64_t end) {
  if (dropped_.size() >= kMaxDropped)
    dropped_.clear();
  Dropped& dropped = dropped_[known.entry.name];
  dropped = {std::max(dropped.offset, end - 1), known.entry.started_at_ms,
             known.entry.beat};
}

auto TargetTable::Retain(const std::set<std::string>& names,
                         int64_t end,
                         Removal removal) -> bool {
  bool changed = false;
  for (auto next = known_.begin(); next != known_.end();) {
    const auto current = next++;
    if (names.contains(current->first) || current->second.offset >= end)
      continue;
    RecordRemoval(current->second, end);
    changed = ApplyRemoval(current, removal) || changed;
  }
  return changed;
}

auto TargetTable::RetainFromPeer(const std::set<std::string>& names,
                                 int64_t end) -> bool {
  return std::erase_if(known_, [&](const auto& known) {
           const bool removed =
               !names.contains(known.first) && known.second.offset < end;
           if (removed)
             RecordRemoval(known.second, end);
           return removed;
         }) > 0;
}

void TargetTable::SetRecordExpired(const std::string& name, int64_t offset) {
  const auto found = known_.find(name);
  if (found != known_.end() && found->second.offset == offset)
    found->second.record_expired = true;
}

auto TargetTable::RemoveExpiredTargets() -> bool {
  return std::erase_if(known_, [this](const auto& known) {
           if (known.second.record_expired)
             RecordRemoval(known.second, known.second.offset + 1);
           return known.second.record_expired;
         }) > 0;
}

auto TargetTable::entries(Millis now) const -> std::vector<TargetEntry> {
  std::vector<TargetEntry> entries;
  entries.reserve(known_.size());
  for (const auto& [name, known] : known_) {
    entries.push_back(known.entry);
    entries.back().cold_left = std::max(Millis(0), known.cold_until - now);
  }
  return entries;
}

}  // namespace sparbend
