// A hall's sum is built from words alone and never from another sum, so nothing
// is counted twice however sums travel; and a fleet's sum from one sum a hall.
// Words and sums are levels: the next one makes a lost one good.
//
// Each fleet's sum names the heartbeats of the words of its own hall, so a box
// that hears it can take out what it told itself, and no more.
#include "sparbend/core/hall_aggregates.h"

#include <algorithm>

namespace sparbend {
namespace {

// As old as loads may be that count (LoadTable).
constexpr Millis kTrusted = Millis(2'000);
// A sum that counts fewer boxes than another one is believed after so long
// without the other: two intervals of sums.
constexpr Millis kFewerAfter = Millis(1'000);
// A home is told on for so long, some three sums.
constexpr Millis kHomeTold = Millis(1'200);
// Homes in one sum, the newest: one datagram's worth. More are made only while
// a fleet starts, when the boxes agree on homes by hash.
constexpr size_t kMostHomes = 120;

template <class T>
auto ToList(std::vector<T> first, const std::vector<T>& second)
    -> std::vector<T> {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

auto AddValues(const std::vector<FlowValue>& one,
               const std::vector<FlowValue>& other) -> std::vector<FlowValue> {
  std::map<Flow, int64_t> sums;
  for (const FlowValue& value : ToList(one, other))
    sums[value.flow] += value.value;
  std::vector<FlowValue> values;
  for (const auto& [flow, value] : sums)
    values.push_back({flow, value});
  return values;
}

auto AddLoads(const std::vector<TargetLoad>& one,
              const std::vector<TargetLoad>& other) -> std::vector<TargetLoad> {
  std::map<TargetId, TargetLoad> sums;
  for (const TargetLoad& row : ToList(one, other)) {
    TargetLoad& sum = sums[row.target];
    sum.target = row.target;
    sum.running += row.running;
    sum.waiting_tokens += row.waiting_tokens;
    sum.memory_tokens += row.memory_tokens;
  }
  std::vector<TargetLoad> loads;
  for (const auto& [target, load] : sums)
    loads.push_back(load);
  return loads;
}

}  // namespace

void HallAggregates::Books::UpdateFromPeer(BoxId source,
                                           const Datagram& datagram,
                                           Millis now) {
  loads.UpdateFromPeer(source, datagram.loads, now);
  served.UpdateFromPeer(source, datagram.services, now);
  denied.UpdateFromPeer(source, datagram.denials, now);
}

void HallAggregates::NoteHomes(const std::vector<PrefixLocation>& homes,
                               bool near,
                               Millis now) {
  for (const PrefixLocation& home : homes) {
    if (homes_known_.insert(home).second)
      homes_.push_back({home, now, near});
  }
}

void HallAggregates::TakeWord(const Datagram& word, Millis now) {
  near_.UpdateFromPeer(word.sender, word, now);
  boxes_[word.sender] = {
      {word.sender, word.incarnation, word.heartbeat, word.leaving}, now};
  NoteHomes(word.homes, true, now);
}

void HallAggregates::TakeHallSum(const std::string& hall,
                                 const Datagram& sum,
                                 Millis now) {
  NoteHomes(sum.homes, false, now);
  FarSum& known = halls_[hall];
  const bool better = sum.sender == known.from ||
                      sum.sum.boxes >= known.boxes ||
                      now - known.at >= kFewerAfter;
  if (!better)
    return;
  known = {sum.sender, sum.sum.boxes, now};
  far_.UpdateFromPeer(BoxIdOf(hall), sum, now);
}

void HallAggregates::Expire(Millis now) {
  near_.loads.Expire(now);
  far_.loads.Expire(now);
  std::erase_if(boxes_, [&](const auto& entry) {
    return now - entry.second.at >= kTrusted;
  });
  std::erase_if(halls_, [&](const auto& entry) {
    return now - entry.second.at >= kTrusted;
  });
  while (!homes_.empty() && now - homes_.front().at >= kHomeTold) {
    homes_known_.erase(homes_.front().home);
    homes_.pop_front();
  }
}

auto HallAggregates::Members() const -> std::vector<MemberNews> {
  std::vector<MemberNews> members;
  for (const auto& [box, included] : boxes_)
    members.push_back(included.news);
  return members;
}

auto HallAggregates::Homes(bool near_only) const
    -> std::vector<PrefixLocation> {
  std::vector<PrefixLocation> homes;
  for (auto home = homes_.rbegin();
       home != homes_.rend() && homes.size() < kMostHomes; ++home) {
    if (home->near || !near_only)
      homes.push_back(home->home);
  }
  return homes;
}

auto HallAggregates::HallSum(Millis now) -> Datagram {
  Expire(now);
  Datagram sum;
  sum.kind = DatagramKind::kHallAggregate;
  sum.sum.boxes = static_cast<uint32_t>(boxes_.size());
  sum.members = Members();
  sum.loads = near_.loads.ToldRows();
  sum.services = near_.served.PeerValues(now);
  sum.denials = near_.denied.PeerValues(now);
  sum.homes = Homes(true);
  return sum;
}

auto HallAggregates::FleetSum(Millis now) -> Datagram {
  Datagram sum = HallSum(now);
  sum.kind = DatagramKind::kFleetAggregate;
  for (const auto& [hall, known] : halls_)
    sum.sum.boxes += known.boxes;
  sum.loads = AddLoads(sum.loads, far_.loads.ToldRows());
  sum.services = AddValues(sum.services, far_.served.PeerValues(now));
  sum.denials = AddValues(sum.denials, far_.denied.PeerValues(now));
  sum.homes = Homes(false);
  return sum;
}

}  // namespace sparbend
