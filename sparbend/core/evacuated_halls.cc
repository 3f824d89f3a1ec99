// Offsets decide what is newer: a box may be told by one that is behind, and
// must neither close a hall again that was taken back since, nor open one that
// was emptied since. A hall that was taken back is remembered with the offset
// at which it was; there are as many of these as halls were ever named.
#include "sparbend/core/evacuated_halls.h"

namespace sparbend {
namespace {

// Far more halls than any fleet has; records of others are of no use.
constexpr size_t kMostHalls = 1'024;

}  // namespace

auto EvacuatedHalls::Set(const std::string& hall, bool empty, int64_t offset)
    -> bool {
  if (states_.size() >= kMostHalls && !states_.contains(hall))
    return false;
  const auto [found, added] = states_.try_emplace(hall);
  State& state = found->second;
  if (!added && offset < state.offset)
    return false;
  const bool news = state.empty != empty;
  state = State{empty, offset};
  return news;
}

auto EvacuatedHalls::Put(const std::string& hall, int64_t offset) -> bool {
  return Set(hall, true, offset);
}

auto EvacuatedHalls::Drop(const std::string& hall, int64_t offset) -> bool {
  return Set(hall, false, offset);
}

auto EvacuatedHalls::Retain(const std::set<std::string>& halls, int64_t end)
    -> bool {
  bool news = false;
  for (auto& [hall, state] : states_) {
    if (!state.empty || halls.contains(hall) || state.offset >= end)
      continue;
    state = State{false, end - 1};
    news = true;
  }
  return news;
}

auto EvacuatedHalls::halls() const -> std::set<std::string> {
  std::set<std::string> halls;
  for (const auto& [hall, state] : states_) {
    if (state.empty)
      halls.insert(hall);
  }
  return halls;
}

}  // namespace sparbend
