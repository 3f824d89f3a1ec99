// State of a box that aggregates for its hall: the newest load reports of the
// hall's boxes, the newest aggregates of the other halls, and the aggregates
// over them.
//
//   aggregates.OnLoadReport(report, now);
//   aggregates.OnHallAggregate("hall-b", aggregate, now);
//   aggregates.MakeHallAggregate(now);
//   aggregates.MakeFleetAggregate(now);
//
// Does no I/O and reads no clock.
#ifndef SPARBEND_CORE_HALL_AGGREGATES_H_
#define SPARBEND_CORE_HALL_AGGREGATES_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sparbend/core/fair_usage.h"
#include "sparbend/core/load_table.h"
#include "sparbend/core/messages.h"

namespace sparbend {

class HallAggregates {
 public:
  // Applies the load report of a box of this hall, which may be this box. Its
  // loads, service and denials replace those of the previous report of that
  // box; its prefix locations are added to the known ones.
  void OnLoadReport(const Datagram& report, Millis now);
  // Applies the aggregate of another hall, sent by one of its two aggregators.
  // An aggregate from the other aggregator replaces the accepted one if it
  // covers at least as many boxes, or if none was accepted for
  // kFewerBoxesDelay. Prefix locations are added from all aggregates, accepted
  // or not.
  void OnHallAggregate(const std::string& hall,
                       const Datagram& aggregate,
                       Millis now);

  // A datagram with only the sections of an aggregate filled in, over the boxes
  // of this hall that have a recent load report.
  auto MakeHallAggregate(Millis now) -> Datagram;
  // An aggregate over this hall and all other halls with a recent aggregate.
  // Its `members` are those of this hall only; its prefix locations are those
  // of all halls.
  auto MakeFleetAggregate(Millis now) -> Datagram;

 private:
  // Loads, service and denials by source: a box of this hall, or another hall,
  // whose id is BoxIdOf of its name.
  struct ValuesBySource {
    LoadTable loads;
    FairUsage served;
    FairUsage denied;

    void UpdateFromPeer(BoxId source, const Datagram& datagram, Millis now);
  };
  struct ReportedBox {
    MemberUpdate update;
    Millis received_at;
  };
  // The accepted aggregate of another hall.
  struct RemoteAggregate {
    BoxId sender = 0;
    uint32_t box_count = 0;
    Millis received_at;
  };
  struct RecentLocation {
    PrefixLocation location;
    Millis received_at;
    bool local = false;  // first reported by a box of this hall
  };

  void Expire(Millis now);
  void RecordPrefixLocations(const std::vector<PrefixLocation>& locations,
                             bool local,
                             Millis now);
  auto RecentPrefixLocations(bool local_only) const
      -> std::vector<PrefixLocation>;
  auto ReportedBoxes() const -> std::vector<MemberUpdate>;

  ValuesBySource local_;
  ValuesBySource remote_;
  std::map<BoxId, ReportedBox> boxes_;
  std::map<std::string, RemoteAggregate> remote_halls_;
  std::deque<RecentLocation> prefix_locations_;  // oldest first
  // The locations in prefix_locations_, for lookup.
  std::set<PrefixLocation> known_prefix_locations_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_HALL_AGGREGATES_H_
