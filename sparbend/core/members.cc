// Gossip-style failure detection without a suspicion state. A box is live while
// its heartbeat count rises. The count may arrive directly or by gossip, so a
// network cut between two boxes alone makes neither dead to the other. A box is
// never declared dead; its heartbeat just times out. A false positive moves the
// allocator role of a target to another box, which costs queueing at that
// target while the views of the boxes differ; no guarantee depends on it.
#include "sparbend/core/members.h"

#include <algorithm>
#include <functional>

namespace sparbend {
namespace {

// Input of the hash that ranks boxes, so it must be the same on all boxes.
constexpr const char* kAggregatorRole = "sums";

auto RendezvousWeight(BoxId box, TargetId target) -> uint64_t {
  // The finaliser of splitmix64 over both ids: cheap, and it spreads targets
  // evenly enough over boxes, which a test checks.
  uint64_t hash = (uint64_t{box} << 32 | target) + 0x9e3779b97f4a7c15;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb;
  return hash ^ (hash >> 31);
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
  IndexBoxes(now);
  return true;
}

void Members::PutBox(const BoxEntry& box, Millis now) {
  const auto entry = std::ranges::find(list_.boxes, box.name, &BoxEntry::name);
  if (entry == list_.boxes.end())
    list_.boxes.push_back(box);
  else
    *entry = box;
  IndexBoxes(now);
}

void Members::IndexBoxes(Millis now) {
  boxes_.clear();
  by_hall_.clear();
  ranked_boxes_.clear();
  for (const BoxEntry& box : list_.boxes) {
    const BoxId id = BoxIdOf(box.name);
    boxes_[id] = box;
    first_listed_at_.try_emplace(id, now);
    if (id != self_)
      by_hall_[box.hall].push_back(id);
  }
  std::erase_if(first_listed_at_, [&](const auto& entry) {
    return !boxes_.contains(entry.first);
  });
  std::erase_if(states_, [&](const auto& state) {
    return !boxes_.contains(state.first);
  });
}

void Members::OnMemberUpdate(const MemberUpdate& update, Millis now) {
  if (update.box == self_ || !boxes_.contains(update.box))
    return;
  State& state = states_[update.box];
  if (update.incarnation < state.incarnation)
    return;
  if (update.incarnation > state.incarnation) {
    state = State{update.incarnation, update.heartbeat, update.leaving, now};
    return;
  }
  state.leaving = state.leaving || update.leaving;
  if (update.heartbeat <= state.heartbeat)
    return;
  state.heartbeat = update.heartbeat;
  state.last_seen = now;
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
         now - state->second.last_seen < kMemberTimeout;
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

auto Members::RankedBoxes(const std::string& hall,
                          const std::string& role) const
    -> const std::vector<BoxId>& {
  const auto [found, missing] = ranked_boxes_.try_emplace({hall, role});
  if (!missing)
    return found->second;
  std::vector<std::tuple<int, uint64_t, BoxId>> ranks;
  for (const auto& [id, box] : boxes_) {
    if (box.hall == hall)
      ranks.emplace_back(box.processor, StableHash(box.name + role), id);
  }
  std::ranges::sort(ranks, std::greater());
  for (const auto& [processor, hash, id] : ranks)
    found->second.push_back(id);
  return found->second;
}

auto Members::MayBeLive(BoxId box, Millis now) const -> bool {
  if (IsLive(box, now))
    return true;
  const auto listed = first_listed_at_.find(box);
  return box != self_ && !states_.contains(box) &&
         listed != first_listed_at_.end() &&
         now - listed->second < kMemberTimeout;
}

auto Members::AnyOtherLive(const std::string& hall, Millis now) const -> bool {
  return std::ranges::any_of(OtherBoxesOf(hall),
                             [&](BoxId box) { return IsLive(box, now); });
}

auto Members::OtherBoxesOf(const std::string& hall) const
    -> const std::vector<BoxId>& {
  static const std::vector<BoxId> no_boxes;
  const auto found = by_hall_.find(hall);
  return found == by_hall_.end() ? no_boxes : found->second;
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
  const std::vector<BoxId>& ranked = RankedBoxes(hall, kAggregatorRole);
  std::vector<BoxId> boxes;
  for (const BoxId box : ranked) {
    const bool may_be_live = box == self_ ? !leaving_ : MayBeLive(box, now);
    if (may_be_live && boxes.size() < count)
      boxes.push_back(box);
  }
  if (!boxes.empty())
    return boxes;
  boxes = ranked;
  boxes.resize(std::min(count, boxes.size()));
  return boxes;
}

auto Members::RoleRank(const std::string& role,
                       Millis now,
                       const IsEligible& eligible) const
    -> std::optional<size_t> {
  const BoxEntry* self = Find(self_);
  if (self == nullptr || leaving_)
    return std::nullopt;
  size_t rank = 0;
  for (const BoxId box : RankedBoxes(self->hall, role)) {
    if (box == self_)
      break;
    if (IsLive(box, now) && (!eligible || eligible(box)))
      ++rank;
  }
  return rank;
}

auto Members::HasRole(const std::string& role,
                      size_t count,
                      Millis now,
                      const IsEligible& eligible) const -> bool {
  const std::optional<size_t> rank = RoleRank(role, now, eligible);
  return rank && *rank < count;
}

auto Members::NextUpdates(size_t max_count) -> std::vector<MemberUpdate> {
  std::vector<MemberUpdate> updates;
  const size_t count = std::min(max_count, states_.size());
  for (size_t i = 0; i < count; ++i) {
    auto after = states_.upper_bound(last_gossiped_);
    if (after == states_.end())
      after = states_.begin();
    last_gossiped_ = after->first;
    const State& state = after->second;
    updates.push_back(
        {after->first, state.incarnation, state.heartbeat, state.leaving});
  }
  return updates;
}

}  // namespace sparbend
