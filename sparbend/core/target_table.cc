// Offsets decide what is newer: a list may be read from a copy that is behind,
// and must neither bring back what was dropped since nor end what came since.
//
// A target's own count of its signs of life goes before offsets: one that was
// delayed on its way may be written after a later one, and would make a target
// that leaves look ready again. The time of its birth goes before that count,
// which starts anew with each life.
#include "sparbend/core/target_table.h"

#include <algorithm>
#include <tuple>

namespace sparbend {
namespace {

// Drops that are remembered; a list that far behind is not to be expected.
constexpr size_t kMostDropped = 4'096;
// A target is cold for seconds after its start; one that says it stays so for
// longer is believed for so long, and may say it again.
constexpr Millis kLongestCold = Millis(60'000);
// Signs of life are read up to a second late, by turns: the end of a cold time
// that moves by less is no news.
constexpr Millis kColdJitter = Millis(1'000);

}  // namespace

auto TargetTable::IsOld(const TargetEntry& entry, int64_t offset) const
    -> bool {
  const auto sign = std::tie(entry.started_at_ms, entry.beat);
  const auto dropped = dropped_.find(entry.name);
  if (dropped != dropped_.end()) {
    const Dropped& drop = dropped->second;
    // Where no count is told, the offset alone decides.
    const bool counted =
        entry.beat > 0 || entry.started_at_ms != drop.started_at_ms;
    if (offset <= drop.offset ||
        (counted && sign <= std::tie(drop.started_at_ms, drop.beat)))
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
  if (IsOld(entry, offset))
    return false;
  const auto [found, added] = known_.try_emplace(entry.name);
  Known& known = found->second;
  const Millis cold_until = now + std::min(entry.cold_left, kLongestCold);
  const bool colder =
      cold_until > std::max(now, known.cold_until) + kColdJitter;
  const bool changed = added || colder || !(known.entry == entry);
  known = Known{entry, offset, false, cold_until};
  return changed;
}

auto TargetTable::Refute(const std::string& name, int64_t offset) -> bool {
  const auto found = known_.find(name);
  if (found == known_.end() || offset < found->second.offset)
    return false;
  RememberGone(found->second, offset + 1);
  known_.erase(found);
  return true;
}

auto TargetTable::Lapse(std::map<std::string, Known>::iterator known,
                        Removal removal) -> bool {
  if (removal == Removal::kDoubtful) {
    known->second.lapsed = true;
    return false;
  }
  known_.erase(known);
  return true;
}

auto TargetTable::Drop(const std::string& name, int64_t offset, Removal removal)
    -> bool {
  if (dropped_.size() >= kMostDropped)
    dropped_.clear();
  const auto found = known_.find(name);
  Dropped& dropped = dropped_[name];
  dropped.offset = std::max(dropped.offset, offset);
  if (found == known_.end() || offset < found->second.offset)
    return false;
  dropped.started_at_ms = found->second.entry.started_at_ms;
  dropped.beat = found->second.entry.beat;
  return Lapse(found, removal);
}

// A box that was cut off may tell of it later still, as it knew it.
void TargetTable::RememberGone(const Known& known, int64_t end) {
  if (dropped_.size() >= kMostDropped)
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
    RememberGone(current->second, end);
    changed = Lapse(current, removal) || changed;
  }
  return changed;
}

auto TargetTable::RetainTold(const std::set<std::string>& names, int64_t end)
    -> bool {
  return std::erase_if(known_, [&](const auto& known) {
           const bool gone =
               !names.contains(known.first) && known.second.offset < end;
           if (gone)
             RememberGone(known.second, end);
           return gone;
         }) > 0;
}

void TargetTable::SetLapsed(const std::string& name, int64_t offset) {
  const auto found = known_.find(name);
  if (found != known_.end() && found->second.offset == offset)
    found->second.lapsed = true;
}

auto TargetTable::EndLapsed() -> bool {
  return std::erase_if(known_, [this](const auto& known) {
           if (known.second.lapsed)
             RememberGone(known.second, known.second.offset + 1);
           return known.second.lapsed;
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
