// All boxes of a hall rank its boxes in the same order (Members), so they agree
// on the first two without communication, apart from differing views of which
// boxes are live. A box that dies still counts as live for two seconds.
// Aggregates arrive about every half second, so a box that sends none is
// skipped much sooner, whatever the cause: killed, frozen, cut off in one
// direction or overloaded. It is selected again when an aggregate of it
// arrives.
#include "sparbend/core/aggregators.h"

#include <algorithm>

namespace sparbend {
namespace {

// Within the time that it takes to replace an aggregator, at most two are lost.
constexpr size_t kAggregatorsPerHall = 2;
// Two intervals of aggregates, so that one may be lost.
constexpr Millis kAggregateTimeout = Millis(1'000);
// A box that timed out is selected again this long after its first selection:
// it may not have known that it is an aggregator.
constexpr Millis kRetryInterval = Millis(5'000);
// Boxes to probe in addition, round robin, in a hall without a live box.
constexpr size_t kMaxProbes = 2;

}  // namespace

auto Aggregators::TimedOut(BoxId box, Millis now) const -> bool {
  if (box == members_->self())
    return false;
  const auto chosen = chosen_at_.find(box);
  if (chosen == chosen_at_.end())
    return false;
  const auto last_aggregate = last_aggregate_at_.find(box);
  const Millis since = last_aggregate == last_aggregate_at_.end()
                           ? chosen->second
                           : std::max(chosen->second, last_aggregate->second);
  return now - since >= kAggregateTimeout;
}

auto Aggregators::LocalAggregators(Millis now) -> std::vector<BoxId> {
  std::erase_if(chosen_at_, [&](const auto& entry) {
    return TimedOut(entry.first, now) && now - entry.second >= kRetryInterval;
  });
  size_t timed_out = 0;
  for (const auto& [box, chosen] : chosen_at_)
    timed_out += TimedOut(box, now) ? 1 : 0;
  std::vector<BoxId> boxes =
      members_->Aggregators(hall_, kAggregatorsPerHall + timed_out, now);
  std::erase_if(boxes, [&](BoxId box) { return TimedOut(box, now); });
  if (boxes.size() > kAggregatorsPerHall)
    boxes.resize(kAggregatorsPerHall);
  for (const BoxId box : boxes)
    chosen_at_.try_emplace(box, now);
  return boxes;
}

// Returns the boxes of `hall` whose aggregates arrive; if there are too few,
// also those that should be its aggregators in the view of this box. If no box
// of the hall is live, also probes its boxes one after the other: after a
// network cut, each side must find an aggregator on the other side.
auto Aggregators::RemoteAggregatorsOf(const std::string& hall, Millis now)
    -> std::vector<BoxId> {
  std::vector<BoxId> boxes;
  for (const BoxId box : members_->OtherBoxesOf(hall)) {
    const auto last_aggregate = last_aggregate_at_.find(box);
    if (last_aggregate != last_aggregate_at_.end() &&
        now - last_aggregate->second < kAggregateTimeout)
      boxes.push_back(box);
  }
  if (boxes.size() >= kAggregatorsPerHall)
    return boxes;
  for (const BoxId box :
       members_->Aggregators(hall, kAggregatorsPerHall, now)) {
    if (std::ranges::find(boxes, box) == boxes.end())
      boxes.push_back(box);
  }
  if (members_->AnyOtherLive(hall, now))
    return boxes;
  const std::vector<BoxId>& listed = members_->OtherBoxesOf(hall);
  size_t& next = next_probe_[hall];
  for (size_t i = 0; i < std::min(kMaxProbes, listed.size()); ++i)
    boxes.push_back(listed[next++ % listed.size()]);
  return boxes;
}

auto Aggregators::RemoteAggregators(Millis now) -> std::vector<BoxId> {
  std::vector<BoxId> boxes;
  for (const std::string& hall : members_->Halls()) {
    if (hall == hall_)
      continue;
    const std::vector<BoxId> remote = RemoteAggregatorsOf(hall, now);
    boxes.insert(boxes.end(), remote.begin(), remote.end());
  }
  return boxes;
}

}  // namespace sparbend
