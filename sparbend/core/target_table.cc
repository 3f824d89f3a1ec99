// A record or list may arrive late, so it is compared with what is known:
//
// - Positions: a list may be read from a replica that is behind. It must
//   neither bring back targets that were removed since nor remove those added
//   since.
// - Heartbeats, which a target counts itself, precede positions: a delayed
//   record may be written to the log after a later one, and would make a
//   leaving target look ready again. So of one incarnation a record is stale if
//   its position or its heartbeat is lower than the known one.
// - Start times precede both, since the heartbeat count starts again with each
//   incarnation. A record of an earlier incarnation is always stale.
//
// A target writes one record after the other, so records that rise in position
// and heartbeat, without one of the known incarnation among them, are not
// delayed ones: what is known was written by another.
//
// After a removal, a record must be newer in both ways: a higher position than
// the removal's and, if the target counts heartbeats or was restarted, a later
// start time or a higher heartbeat.
//
// Changes for another box are found by the position at which this table learned
// of them, which is never lower than that of their record: a box that has that
// position has the change. A change that is reported twice does no harm.
#include "sparbend/core/target_table.h"

#include <algorithm>
#include <tuple>

namespace sparbend {
namespace {

// Removals that are remembered. A list that is behind by this many removals is
// not expected.
constexpr size_t kMaxDropped = 4'096;
// A target that ends leaves fewer calls than this at the store that are
// executed late. Heartbeats come more than once a second.
constexpr int kMinContradictions = 3;
// A target is cold for seconds after its start. A longer time in a record is
// cut to this; a later record may extend it.
constexpr Millis kMaxColdTime = Millis(60'000);
// Heartbeats are read with a delay that varies by up to a second, so a cold
// time that ends later by no more than this is not a change.
constexpr Millis kColdTimeJitter = Millis(1'000);

}  // namespace

auto TargetTable::IsStale(const TargetEntry& entry, LogPosition position) const
    -> bool {
  const auto version = std::tie(entry.started_at_ms, entry.beat);
  const auto dropped = dropped_.find(entry.name);
  if (dropped != dropped_.end()) {
    const Dropped& drop = dropped->second;
    // Without a heartbeat, the position alone decides.
    const bool has_version =
        entry.beat > 0 || entry.started_at_ms != drop.started_at_ms;
    if (position <= drop.position ||
        (has_version && version <= std::tie(drop.started_at_ms, drop.beat)))
      return true;
  }
  const auto found = known_.find(entry.name);
  if (found == known_.end())
    return false;
  const Known& known = found->second;
  if (entry.started_at_ms != known.entry.started_at_ms)
    return entry.started_at_ms < known.entry.started_at_ms;
  return position < known.position || entry.beat < known.entry.beat;
}

auto TargetTable::IsRefuted(const TargetEntry& entry, LogPosition position)
    -> bool {
  const auto dropped = dropped_.find(entry.name);
  const auto known = known_.find(entry.name);
  if ((dropped != dropped_.end() && position <= dropped->second.position) ||
      (known != known_.end() && position <= known->second.position))
    return false;
  if (contradictions_.size() >= kMaxDropped)
    contradictions_.clear();
  Contradiction& last = contradictions_[entry.name];
  if (position <= last.position)
    return false;
  const bool follows =
      entry.started_at_ms == last.started_at_ms && entry.beat > last.beat;
  last = {position, entry.started_at_ms, entry.beat,
          follows ? last.count + 1 : 1};
  if (last.count < kMinContradictions)
    return false;
  if (dropped != dropped_.end())
    dropped->second.started_at_ms = dropped->second.beat = 0;
  return true;
}

auto TargetTable::Put(const TargetEntry& entry,
                      LogPosition position,
                      Millis now) -> bool {
  if (IsStale(entry, position) && !IsRefuted(entry, position))
    return false;
  contradictions_.erase(entry.name);
  const auto [found, added] = known_.try_emplace(entry.name);
  Known& known = found->second;
  const Millis cold_until = now + std::min(entry.cold_left, kMaxColdTime);
  const bool cold_for_longer =
      cold_until > std::max(now, known.cold_until) + kColdTimeJitter;
  const bool changed = added || cold_for_longer || !(known.entry == entry);
  const bool cold_differs =
      (entry.cold_left > Millis(0)) != (known.entry.cold_left > Millis(0));
  highest_position_ = std::max(highest_position_, position);
  const LogPosition changed_at = changed || cold_differs || known.record_expired
                                     ? highest_position_
                                     : known.changed_at;
  known = Known{entry, position, false, cold_until, changed_at};
  return changed;
}

auto TargetTable::PutFromPeer(const TargetEntry& entry,
                              LogPosition position,
                              Millis now) -> bool {
  const bool changed = Put(entry, position, now);
  const auto found = known_.find(entry.name);
  if (found != known_.end())
    found->second.changed_at = highest_position_;
  return changed;
}

auto TargetTable::DroppedEntry(const std::string& name) -> Dropped& {
  if (dropped_.size() >= kMaxDropped) {
    dropped_.clear();
    removals_known_from_ = highest_position_.Next();
  }
  Dropped& dropped = dropped_[name];
  dropped.learned_at = highest_position_;
  return dropped;
}

void TargetTable::SetComplete(LogPosition end) {
  highest_position_ = std::max(highest_position_, end.Previous());
  if (!removals_known_from_)
    removals_known_from_ = end;
}

auto TargetTable::RejectRecord(const std::string& name, LogPosition position)
    -> bool {
  const auto found = known_.find(name);
  if (found == known_.end() || position < found->second.position)
    return false;
  RecordRemoval(found->second, position.Next());
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

auto TargetTable::Drop(const std::string& name,
                       LogPosition position,
                       Removal removal) -> bool {
  highest_position_ = std::max(highest_position_, position);
  const auto found = known_.find(name);
  Dropped& dropped = DroppedEntry(name);
  dropped.position = std::max(dropped.position, position);
  if (found == known_.end() || position < found->second.position)
    return false;
  dropped.started_at_ms = found->second.entry.started_at_ms;
  dropped.beat = found->second.entry.beat;
  return ApplyRemoval(found, removal);
}

// A box that was cut off may still report the target later, as it last knew it.
// Put ignores that report by the entry made here.
void TargetTable::RecordRemoval(const Known& known, LogPosition end) {
  Dropped& dropped = DroppedEntry(known.entry.name);
  dropped.position = std::max(dropped.position, end.Previous());
  dropped.started_at_ms = known.entry.started_at_ms;
  dropped.beat = known.entry.beat;
}

auto TargetTable::Retain(const std::set<std::string>& names,
                         LogPosition end,
                         Removal removal) -> bool {
  SetComplete(end);
  bool changed = false;
  for (auto next = known_.begin(); next != known_.end();) {
    const auto current = next++;
    if (names.contains(current->first) || current->second.position >= end)
      continue;
    RecordRemoval(current->second, end);
    changed = ApplyRemoval(current, removal) || changed;
  }
  return changed;
}

auto TargetTable::RetainFromPeer(const std::set<std::string>& names,
                                 LogPosition end,
                                 Removal earlier_era) -> bool {
  SetComplete(end);
  bool changed = false;
  for (auto next = known_.begin(); next != known_.end();) {
    const auto current = next++;
    const LogPosition position = current->second.position;
    if (names.contains(current->first) || position >= end)
      continue;
    RecordRemoval(current->second, end);
    const Removal removal =
        position.era < end.era ? earlier_era : Removal::kConfirmed;
    changed = ApplyRemoval(current, removal) || changed;
  }
  return changed;
}

auto TargetTable::DropFromPeer(const std::string& name,
                               LogPosition position,
                               Removal earlier_era) -> bool {
  const auto found = known_.find(name);
  const bool is_earlier =
      found != known_.end() && found->second.position.era < position.era;
  return Drop(name, position, is_earlier ? earlier_era : Removal::kConfirmed);
}

void TargetTable::SetRecordExpired(const std::string& name,
                                   LogPosition position) {
  const auto found = known_.find(name);
  if (found != known_.end() && found->second.position == position)
    found->second.record_expired = true;
}

void TargetTable::RetainExpired(const std::set<std::string>& names) {
  for (auto& [name, known] : known_)
    known.record_expired = known.record_expired && names.contains(name);
}

auto TargetTable::ChangesSince(LogPosition from) const
    -> std::optional<Changes> {
  if (from == LogPosition() || !removals_known_from_ ||
      from < *removals_known_from_)
    return std::nullopt;
  Changes changes;
  for (const auto& [name, known] : known_) {
    if (known.changed_at >= from || known.record_expired)
      changes.targets.push_back(&known);
  }
  for (const auto& [name, dropped] : dropped_) {
    if (dropped.learned_at >= from && !known_.contains(name))
      changes.removed.push_back(name);
  }
  return changes;
}

auto TargetTable::RemoveExpiredTargets() -> bool {
  return std::erase_if(known_, [this](const auto& known) {
           if (known.second.record_expired)
             RecordRemoval(known.second, known.second.position.Next());
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
