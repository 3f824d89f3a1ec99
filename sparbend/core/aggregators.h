// Selects the boxes that build the aggregates of each hall ("aggregators"), in
// the view of this box: by which boxes are live and from which of them
// aggregates arrive.
//
//   aggregators.OnAggregate(box, now);
//   aggregators.LocalAggregators(now)   // receive this box's load reports
//   aggregators.RemoteAggregators(now)  // receive this hall's aggregate
//
// Pure: no I/O and no clock.
#ifndef SPARBEND_CORE_AGGREGATORS_H_
#define SPARBEND_CORE_AGGREGATORS_H_

#include <map>
#include <string>
#include <vector>

#include "sparbend/core/members.h"

namespace sparbend {

class Aggregators {
 public:
  // `members` must outlive this.
  Aggregators(std::string hall, const Members* members)
      : hall_(std::move(hall)), members_(members) {}

  // Records that a complete aggregate of `box` was received.
  void OnAggregate(BoxId box, Millis now) { last_aggregate_at_[box] = now; }

  // Two boxes of this hall, possibly including this one; fewer if the hall has
  // fewer.
  auto LocalAggregators(Millis now) -> std::vector<BoxId>;
  // The aggregators of all other halls: usually two of each, more while it is
  // uncertain which boxes of a hall are live.
  auto RemoteAggregators(Millis now) -> std::vector<BoxId>;

 private:
  auto RemoteAggregatorsOf(const std::string& hall, Millis now)
      -> std::vector<BoxId>;
  // Whether `box` was selected and has sent no aggregate for too long.
  auto TimedOut(BoxId box, Millis now) const -> bool;

  std::string hall_;
  const Members* members_;
  std::map<BoxId, Millis> last_aggregate_at_;
  // When this box first selected each local aggregator, and so first expected
  // aggregates from it.
  std::map<BoxId, Millis> chosen_at_;
  // By hall: index of the next box to probe.
  std::map<std::string, size_t> next_probe_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_AGGREGATORS_H_
