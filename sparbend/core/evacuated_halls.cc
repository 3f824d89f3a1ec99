// The record with the higher offset wins. A report from a box that has read
// less of the log must not undo later records: it must neither restart an
// evacuation that a later record ended, nor end one that a later record
// started. Therefore a hall stays in the map, with its offset, after its
// evacuation has ended: the map grows with the number of different halls ever
// named, up to kMaxHalls.
#include "sparbend/core/evacuated_halls.h"

namespace sparbend {
namespace {

// Far more halls than any fleet has. Records of further halls are ignored.
constexpr size_t kMaxHalls = 1'024;

}  // namespace

auto EvacuatedHalls::Set(const std::string& hall,
                         bool evacuated,
                         int64_t offset) -> bool {
  if (states_.size() >= kMaxHalls && !states_.contains(hall))
    return false;
  const auto [found, added] = states_.try_emplace(hall);
  State& state = found->second;
  if (!added && offset < state.offset)
    return false;
  const bool changed = state.evacuated != evacuated;
  state = State{evacuated, offset};
  return changed;
}

auto EvacuatedHalls::Put(const std::string& hall, int64_t offset) -> bool {
  return Set(hall, true, offset);
}

auto EvacuatedHalls::Drop(const std::string& hall, int64_t offset) -> bool {
  return Set(hall, false, offset);
}

auto EvacuatedHalls::Retain(const std::set<std::string>& halls, int64_t end)
    -> bool {
  bool changed = false;
  for (auto& [hall, state] : states_) {
    if (!state.evacuated || halls.contains(hall) || state.offset >= end)
      continue;
    // A record before `end` ended the evacuation, but its offset is not known.
    // `end - 1` is the highest that it can be, so no older record of the hall
    // restarts the evacuation.
    state = State{false, end - 1};
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
