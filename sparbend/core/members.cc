// Liveness is a heartbeat count that rises; it counts whichever way the news
// came, so a cut between two boxes alone makes neither dead to the other.
// A dead box needs no verdict of its own: it is simply not heard of. This is
// gossip-style failure detection without a suspicion state; a false alarm
// moves an allocator's duty, which costs queueing at one target for as long
// as views differ, and no promise rests on it.
#include "sparbend/core/members.h"

#include <algorithm>
#include <functional>

namespace sparbend {
namespace {

constexpr const char* kSumDuty = "sums";

auto RendezvousWeight(BoxId box, TargetId target) -> uint64_t {
  // splitmix64's finaliser over both ids: cheap, and even enough (the test
  // checks the spread).
  uint64_t mixed = (uint64_t{box} << 32 | target) + 0x9e3779b97f4a7c15;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  return mixed ^ (mixed >> 31);
}

}  // namespace

auto IdOf(const TargetEntry& target) -> TargetId {
  return target.started_at_ms == 0
             ? TargetIdOf(target.name)
             : TargetIdOf(target.name + "@" +
                          std::to_string(target.started_at_ms));
}

Members::Members(std::string self, uint32_t incarnation)
    : self_name_(std::move(self)),
      self_(BoxIdOf(self_name_)),
      incarnation_(incarnation) {}

auto Members::SetList(const MemberList& list, Millis now) -> bool {
  if (list.version <= list_.version)
    return false;
  list_ = list;
  boxes_.clear();
  by_hall_.clear();
  ranked_.clear();
  for (const BoxEntry& box : list.boxes) {
    const BoxId id = BoxIdOf(box.name);
    boxes_[id] = box;
    listed_at_.try_emplace(id, now);
    if (id != self_)
      by_hall_[box.hall].push_back(id);
  }
  std::erase_if(listed_at_, [&](const auto& entry) {
    return !boxes_.contains(entry.first);
  });
  std::erase_if(states_, [&](const auto& state) {
    return !boxes_.contains(state.first);
  });
  return true;
}

void Members::OnMemberNews(const MemberNews& news, Millis now) {
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

auto Members::Ranked(const std::string& hall, const std::string& duty) const
    -> const std::vector<BoxId>& {
  const auto [found, missing] = ranked_.try_emplace({hall, duty});
  if (!missing)
    return found->second;
  std::vector<std::tuple<int, uint64_t, BoxId>> ranks;
  for (const auto& [id, box] : boxes_) {
    if (box.hall == hall)
      ranks.emplace_back(box.processor, StableHash(box.name + duty), id);
  }
  std::ranges::sort(ranks, std::greater());
  for (const auto& [processor, hash, id] : ranks)
    found->second.push_back(id);
  return found->second;
}

auto Members::MayLive(BoxId box, Millis now) const -> bool {
  if (IsLive(box, now))
    return true;
  const auto listed = listed_at_.find(box);
  return box != self_ && !states_.contains(box) && listed != listed_at_.end() &&
         now - listed->second < kSilence;
}

auto Members::AnyLive(const std::string& hall, Millis now) const -> bool {
  return std::ranges::any_of(BoxesOf(hall),
                             [&](BoxId box) { return IsLive(box, now); });
}

auto Members::BoxesOf(const std::string& hall) const
    -> const std::vector<BoxId>& {
  static const std::vector<BoxId> none;
  const auto found = by_hall_.find(hall);
  return found == by_hall_.end() ? none : found->second;
}

auto Members::Halls() const -> std::vector<std::string> {
  std::vector<std::string> halls;
  for (const auto& [hall, boxes] : by_hall_)
    halls.push_back(hall);
  return halls;
}

auto Members::Aggregators(const std::string& hall,
                          size_t count,
                          Millis now) const -> std::vector<BoxId> {
  const std::vector<BoxId>& ranked = Ranked(hall, kSumDuty);
  std::vector<BoxId> boxes;
  for (const BoxId box : ranked) {
    const bool lives = box == self_ ? !leaving_ : MayLive(box, now);
    if (lives && boxes.size() < count)
      boxes.push_back(box);
  }
  if (!boxes.empty())
    return boxes;
  boxes = ranked;
  boxes.resize(std::min(count, boxes.size()));
  return boxes;
}

auto Members::HasRole(const std::string& duty,
                      size_t count,
                      Millis now,
                      const IsAble& able) const -> bool {
  const BoxEntry* self = Find(self_);
  if (self == nullptr || leaving_)
    return false;
  size_t before = 0;
  for (const BoxId box : Ranked(self->hall, duty)) {
    if (box == self_)
      return true;
    if (IsLive(box, now) && (!able || able(box)))
      ++before;
    if (before >= count)
      return false;
  }
  return false;
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
