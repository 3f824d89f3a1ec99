// Liveness is a heartbeat count that rises; it counts whichever way the news
// came, so a cut between two boxes alone makes neither dead to the other.
// A dead box needs no verdict of its own: it is simply not heard of. This is
// gossip-style failure detection without a suspicion state; a false alarm
// moves an allocator's duty, which costs queueing at one target for as long
// as views differ, and no promise rests on it.
#include "sparbend/core/members.h"

#include <algorithm>

namespace sparbend {
namespace {

auto RendezvousWeight(BoxId box, TargetId target) -> uint64_t {
  // splitmix64's finaliser over both ids: cheap, and even enough (the test
  // checks the spread).
  uint64_t mixed = (uint64_t{box} << 32 | target) + 0x9e3779b97f4a7c15;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  return mixed ^ (mixed >> 31);
}

}  // namespace

Members::Members(std::string self, uint32_t incarnation)
    : self_name_(std::move(self)),
      self_(BoxIdOf(self_name_)),
      incarnation_(incarnation) {}

auto Members::SetList(const MemberList& list) -> bool {
  if (list.version <= list_.version)
    return false;
  list_ = list;
  boxes_.clear();
  for (const BoxEntry& box : list.boxes)
    boxes_[BoxIdOf(box.name)] = box;
  std::erase_if(states_, [&](const auto& state) {
    return !boxes_.contains(state.first);
  });
  return true;
}

void Members::Heard(const MemberNews& news, Millis now) {
  if (news.box == self_ || !boxes_.contains(news.box))
    return;
  State& state = states_[news.box];
  if (news.incarnation < state.incarnation)
    return;
  if (news.incarnation > state.incarnation) {
    state = State{news.incarnation, news.heartbeat, news.leaving, now};
    return;
  }
  state.leaving = state.leaving || news.leaving;
  if (news.heartbeat <= state.heartbeat)
    return;
  state.heartbeat = news.heartbeat;
  state.heard = now;
}

auto Members::Find(BoxId box) const -> const BoxEntry* {
  const auto found = boxes_.find(box);
  return found == boxes_.end() ? nullptr : &found->second;
}

auto Members::IsLive(BoxId box, Millis now) const -> bool {
  if (box == self_)
    return !leaving_;
  const auto state = states_.find(box);
  return state != states_.end() && !state->second.leaving &&
         now - state->second.heard < kSilence;
}

auto Members::LiveBoxes(Millis now) const -> std::vector<BoxId> {
  std::vector<BoxId> live;
  for (const auto& [box, entry] : boxes_) {
    if (IsLive(box, now))
      live.push_back(box);
  }
  return live;
}

auto Members::AllocatorOf(TargetId target,
                          const std::string& hall,
                          Millis now) const -> std::optional<BoxId> {
  std::optional<BoxId> best;
  for (const auto& [box, entry] : boxes_) {
    if (entry.hall != hall || !IsLive(box, now))
      continue;
    if (!best ||
        RendezvousWeight(box, target) > RendezvousWeight(*best, target))
      best = box;
  }
  return best;
}

auto Members::HasDuty(const std::string& duty, size_t count, Millis now) const
    -> bool {
  const BoxEntry* self = Find(self_);
  if (self == nullptr)
    return false;
  const uint64_t own = StableHash(self->name + duty);
  size_t before = 0;
  for (const auto& [id, box] : boxes_) {
    if (id != self_ && box.hall == self->hall && IsLive(id, now) &&
        StableHash(box.name + duty) < own)
      ++before;
  }
  return before < count && !leaving_;
}

auto Members::NextNews(size_t most) -> std::vector<MemberNews> {
  std::vector<MemberNews> news;
  const size_t count = std::min(most, states_.size());
  for (size_t i = 0; i < count; ++i) {
    auto after = states_.upper_bound(passed_on_);
    if (after == states_.end())
      after = states_.begin();
    passed_on_ = after->first;
    const State& state = after->second;
    news.push_back(
        {after->first, state.incarnation, state.heartbeat, state.leaving});
  }
  return news;
}

}  // namespace sparbend
