// A hall aggregate is built from load reports only, never from another
// aggregate, and a fleet aggregate from one aggregate per hall. So nothing is
// counted twice, whichever way aggregates travel. Reports and aggregates state
// current values: the next one makes up for a lost one.
//
// A fleet aggregate names the heartbeats of the load reports of its own hall
// that it includes, so a box that receives it can subtract exactly its own
// contribution.
#include "sparbend/core/hall_aggregates.h"

#include <algorithm>

namespace sparbend {
namespace {

// Reports older than this are not aggregated; the same limit as in LoadTable.
constexpr Millis kMaxReportAge = Millis(2'000);
// An aggregate that covers fewer boxes than the accepted one replaces it only
// after this time without an accepted one: about two intervals of aggregates.
constexpr Millis kFewerBoxesDelay = Millis(1'000);
// How long a prefix location is included in aggregates: about three of them.
constexpr Millis kPrefixLocationRetention = Millis(1'200);
// Prefix locations in one aggregate, newest first: as many as fit into one
// datagram. More than that arise only while a fleet starts; then the boxes
// agree on prefix locations by hash.
constexpr size_t kMaxPrefixLocations = 120;

template <class T>
auto Concatenate(std::vector<T> values, const std::vector<T>& more)
    -> std::vector<T> {
  values.insert(values.end(), more.begin(), more.end());
  return values;
}

auto SumFlowValues(const std::vector<FlowValue>& left,
                   const std::vector<FlowValue>& right)
    -> std::vector<FlowValue> {
  std::map<Flow, int64_t> totals;
  for (const FlowValue& value : Concatenate(left, right))
    totals[value.flow] += value.value;
  std::vector<FlowValue> values;
  for (const auto& [flow, value] : totals)
    values.push_back({flow, value});
  return values;
}

auto SumLoads(const std::vector<TargetLoad>& left,
              const std::vector<TargetLoad>& right) -> std::vector<TargetLoad> {
  std::map<TargetId, TargetLoad> totals;
  for (const TargetLoad& row : Concatenate(left, right)) {
    TargetLoad& total = totals[row.target];
    total.target = row.target;
    total.running += row.running;
    total.waiting_tokens += row.waiting_tokens;
    total.memory_tokens += row.memory_tokens;
  }
  std::vector<TargetLoad> loads;
  for (const auto& [target, load] : totals)
    loads.push_back(load);
  return loads;
}

}  // namespace

void HallAggregates::ValuesBySource::UpdateFromPeer(BoxId source,
                                                    const Datagram& datagram,
                                                    Millis now) {
  loads.UpdateFromPeer(source, datagram.loads, now);
  served.UpdateFromPeer(source, datagram.services, now);
  denied.UpdateFromPeer(source, datagram.denials, now);
}

void HallAggregates::RecordPrefixLocations(
    const std::vector<PrefixLocation>& locations,
    bool local,
    Millis now) {
  for (const PrefixLocation& location : locations) {
    if (known_prefix_locations_.insert(location).second)
      prefix_locations_.push_back({location, now, local});
  }
}

void HallAggregates::OnLoadReport(const Datagram& report, Millis now) {
  local_.UpdateFromPeer(report.sender, report, now);
  boxes_[report.sender] = {
      {report.sender, report.incarnation, report.heartbeat, report.leaving},
      now};
  RecordPrefixLocations(report.prefix_locations, true, now);
}

void HallAggregates::OnHallAggregate(const std::string& hall,
                                     const Datagram& aggregate,
                                     Millis now) {
  RecordPrefixLocations(aggregate.prefix_locations, false, now);
  RemoteAggregate& known = remote_halls_[hall];
  const bool accepted = aggregate.sender == known.sender ||
                        aggregate.aggregate_header.boxes >= known.box_count ||
                        now - known.received_at >= kFewerBoxesDelay;
  if (!accepted)
    return;
  known = {aggregate.sender, aggregate.aggregate_header.boxes, now};
  remote_.UpdateFromPeer(BoxIdOf(hall), aggregate, now);
}

void HallAggregates::Expire(Millis now) {
  local_.loads.Expire(now);
  remote_.loads.Expire(now);
  std::erase_if(boxes_, [&](const auto& entry) {
    return now - entry.second.received_at >= kMaxReportAge;
  });
  std::erase_if(remote_halls_, [&](const auto& entry) {
    return now - entry.second.received_at >= kMaxReportAge;
  });
  while (!prefix_locations_.empty() &&
         now - prefix_locations_.front().received_at >=
             kPrefixLocationRetention) {
    known_prefix_locations_.erase(prefix_locations_.front().location);
    prefix_locations_.pop_front();
  }
}

auto HallAggregates::ReportedBoxes() const -> std::vector<MemberUpdate> {
  std::vector<MemberUpdate> members;
  for (const auto& [box, reported] : boxes_)
    members.push_back(reported.update);
  return members;
}

auto HallAggregates::RecentPrefixLocations(bool local_only) const
    -> std::vector<PrefixLocation> {
  std::vector<PrefixLocation> locations;
  for (auto location = prefix_locations_.rbegin();
       location != prefix_locations_.rend() &&
       locations.size() < kMaxPrefixLocations;
       ++location) {
    if (location->local || !local_only)
      locations.push_back(location->location);
  }
  return locations;
}

auto HallAggregates::MakeHallAggregate(Millis now) -> Datagram {
  Expire(now);
  Datagram aggregate;
  aggregate.kind = DatagramKind::kHallAggregate;
  aggregate.aggregate_header.boxes = static_cast<uint32_t>(boxes_.size());
  aggregate.members = ReportedBoxes();
  aggregate.loads = local_.loads.PeerRows();
  aggregate.services = local_.served.PeerValues(now);
  aggregate.denials = local_.denied.PeerValues(now);
  aggregate.prefix_locations = RecentPrefixLocations(true);
  return aggregate;
}

auto HallAggregates::MakeFleetAggregate(Millis now) -> Datagram {
  Datagram aggregate = MakeHallAggregate(now);
  aggregate.kind = DatagramKind::kFleetAggregate;
  for (const auto& [hall, known] : remote_halls_)
    aggregate.aggregate_header.boxes += known.box_count;
  aggregate.loads = SumLoads(aggregate.loads, remote_.loads.PeerRows());
  aggregate.services =
      SumFlowValues(aggregate.services, remote_.served.PeerValues(now));
  aggregate.denials =
      SumFlowValues(aggregate.denials, remote_.denied.PeerValues(now));
  aggregate.prefix_locations = RecentPrefixLocations(false);
  return aggregate;
}

}  // namespace sparbend
