// The record with the higher position wins. A report from a box that has read
// less of the log must not undo later records: it must neither restart an
// evacuation that a later record ended, nor end one that a later record
// started. Therefore a hall stays in the map, with its position, after
// its evacuation has ended: the map grows with the number of different halls
// ever named, up to kMaxHalls.
#include "sparbend/core/evacuated_halls.h"

namespace sparbend {
namespace {

// Far more halls than any fleet has. Records of further halls are ignored.
constexpr size_t kMaxHalls = 1'024;

}  // namespace

auto EvacuatedHalls::Set(const std::string& hall,
                         bool evacuated,
                         LogPosition position) -> bool {
  if (states_.size() >= kMaxHalls && !states_.contains(hall))
    return false;
  const auto [found, added] = states_.try_emplace(hall);
  State& state = found->second;
  if (!added && position < state.position)
    return false;
  const bool changed = state.evacuated != evacuated;
  state = State{evacuated, position};
  return changed;
}

auto EvacuatedHalls::Put(const std::string& hall, LogPosition position)
    -> bool {
  return Set(hall, true, position);
}

auto EvacuatedHalls::Drop(const std::string& hall, LogPosition position)
    -> bool {
  return Set(hall, false, position);
}

auto EvacuatedHalls::AddUnknown(const std::set<std::string>& halls,
                                LogPosition end) -> bool {
  bool changed = false;
  for (const std::string& hall : halls) {
    if (!states_.contains(hall))
      changed = Put(hall, end.Previous()) || changed;
  }
  return changed;
}

auto EvacuatedHalls::Retain(const std::set<std::string>& halls, LogPosition end)
    -> bool {
  bool changed = false;
  for (auto& [hall, state] : states_) {
    if (!state.evacuated || halls.contains(hall) || state.position >= end)
      continue;
    // A record before `end` ended the evacuation, but its position is not
    // known. The one before `end` is the highest that it can be, so no older
    // record of the hall restarts the evacuation.
    state = State{false, end.Previous()};
    changed = true;
  }
  return changed;
}

auto EvacuatedHalls::halls() const -> std::set<std::string> {
  std::set<std::string> halls;
  for (const auto& [hall, state] : states_) {
    if (state.evacuated)
      halls.insert(hall);
  }
  return halls;
}

}  // namespace sparbend
