// The choice for short queues is a hash of flow and round, so that it holds
// still while the same requests wait and moves on with the next ones.
#include "sparbend/core/demand.h"

#include <algorithm>
#include <string>

namespace sparbend {
namespace {

constexpr size_t kAllocatorsPerRequest = 2;
// More need not be known to keep an allocator granting until the next word.
constexpr uint32_t kMostTold = 32;

auto FirstChoice(Flow flow, uint32_t round, size_t count) -> size_t {
  return StableHash(std::to_string(flow.pool) + ":" +
                    std::to_string(flow.workspace) + ":" +
                    std::to_string(round)) %
         count;
}

}  // namespace

auto DemandTeller::Told::remaining() const -> uint32_t {
  return told - std::min(told, granted);
}

void DemandTeller::Update(const Levels& levels) {
  std::map<Flow, bool> waited;
  for (auto& [allocator, flows] : told_) {
    for (auto& [flow, told] : flows) {
      waited[flow] = waited[flow] || told.wanted.queued > 0;
      told.wanted.queued = 0;
    }
  }
  for (const auto& [flow, level] : levels) {
    const size_t count = level.allocators.size();
    if (count == 0)
      continue;
    if (!waited[flow])
      ++rounds_[flow];
    const size_t chosen =
        std::min<size_t>(count, kAllocatorsPerRequest * level.demand.queued);
    const size_t first = FirstChoice(flow, rounds_[flow], count);
    for (size_t i = 0; i < chosen; ++i) {
      Demand& wanted =
          told_[level.allocators[(first + i) % count]][flow].wanted;
      wanted = level.demand;
      wanted.queued = std::min(wanted.queued, kMostTold);
    }
  }
}

void DemandTeller::OnGranted(BoxId allocator, Flow flow, int count) {
  told_[allocator][flow].granted += static_cast<uint32_t>(count);
}

void DemandTeller::Reset(BoxId allocator) {
  for (auto& [flow, told] : told_[allocator])
    told.told = 0;
}

auto DemandTeller::Next(BoxId allocator, bool all) -> std::vector<Demand> {
  std::vector<Demand> demands;
  const auto found = told_.find(allocator);
  if (found == told_.end())
    return demands;
  for (auto& [flow, told] : found->second) {
    const bool news = told.remaining() != told.wanted.queued;
    if (!news && !(all && told.wanted.queued > 0))
      continue;
    demands.push_back(told.wanted);
    demands.back().flow = flow;
    told.told = told.wanted.queued;
    told.granted = 0;
  }
  std::erase_if(found->second, [](const auto& entry) {
    return entry.second.told == 0 && entry.second.wanted.queued == 0;
  });
  return demands;
}

auto DemandTeller::Urgent(BoxId allocator) const -> bool {
  const auto found = told_.find(allocator);
  if (found == told_.end())
    return false;
  return std::ranges::any_of(found->second, [](const auto& entry) {
    return entry.second.wanted.queued > 0 && entry.second.remaining() == 0;
  });
}

}  // namespace sparbend
