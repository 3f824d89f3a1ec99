// Tells which flows have had more than their fair share of a pool recently,
// over the whole fleet. Inputs are the service that flows received, the
// requests that were refused to them, and those that wait, on this box and as
// reported by peers.
//
//   shares.AddWaiting(flow, tokens);   // it is queued
//   shares.AddWaiting(flow, -tokens);  // it is no longer
//   shares.RecordServed(flow, tokens, now);
//   shares.RecordDenied(flow, tokens, now);
//   shares.UpdateFromPeer(peer, served, unserved, now);
//   shares.RatioToFairShare(flow, now)  // 1 or more: has had its fair share
//
// No I/O and no clock: the caller passes the time. Amounts are tokens divided
// by the flow's share, and decay with time (see FairUsage).
#ifndef SPARBEND_CORE_FAIR_SHARES_H_
#define SPARBEND_CORE_FAIR_SHARES_H_

#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "sparbend/core/fair_usage.h"
#include "sparbend/core/flow_share.h"
#include "sparbend/core/value_history.h"

namespace sparbend {

class FairShares {
 public:
  // The ratio of a flow that gets nothing more while another flow, which was
  // served much less, is being refused.
  static constexpr double kMustYield = std::numeric_limits<double>::infinity();

  // Sets the declared capacity of all targets of `pool` together, in tokens per
  // second; zero: not known.
  void SetCapacity(PoolId pool, int64_t tokens_per_second) {
    capacity_[pool] = tokens_per_second;
  }
  // Sets how to find out that targets of a pool have been idle for some time,
  // whatever its declared capacity. Then all flows are entitled to what they
  // request.
  using HasAmpleRoom = std::function<bool(PoolId, Millis now)>;
  void SetHasAmpleRoom(HasAmpleRoom has_ample_room) {
    has_ample_room_ = std::move(has_ample_room);
  }
  // Sets the number of boxes, and the longest time until a change at one of
  // them is reported to this box.
  void SetReporting(int boxes, Millis report_delay) {
    boxes_ = boxes;
    report_delay_ = report_delay;
  }
  // Adds `amount` to the service of `flow`; a negative amount corrects an
  // earlier one.
  void RecordServed(Flow flow, int64_t amount, Millis now);
  // Records that a request of `flow` was refused because there was no capacity.
  void RecordDenied(Flow flow, int64_t amount, Millis now);
  // Adds `amount` to what waits of `flow` at this box; negative once it waits
  // no longer, however that ended.
  void AddWaiting(Flow flow, int64_t amount);
  // Replaces what is known of box `from` by its full report: its
  // ServedToReport() and UnservedToReport().
  void UpdateFromPeer(BoxId from,
                      const std::vector<FlowValue>& served,
                      const std::vector<FlowValue>& unserved,
                      Millis now);

  // Drops the reports of all peers.
  void ClearPeerReports() {
    reported_at_.reset();
    served_.ClearPeerReports();
    denied_.ClearPeerReports();
  }

  // Decayed service of `flow` over the whole fleet.
  auto RecentService(Flow flow, Millis now) const -> int64_t {
    return served_.ValueOf(flow, now);
  }
  // Service of `flow` divided by its fair share. From 1 on the flow may only
  // use spare capacity, and at kMustYield it gets nothing.
  auto RatioToFairShare(Flow flow, Millis now) const -> double;
  // The same for choosing a target. A flow that has begun must yield beyond
  // half a second of the fleet's capacity until it is known what else is
  // requested. It isn't over its share by that, so its requests wait.
  auto ShareForPlacement(Flow flow, Millis now) const -> FlowShare;

  // Where a flow stands relative to its fair share, for error messages. Amounts
  // are in decayed tokens over the share; `ceiling` and `entitled` are -1 if
  // there is no bound.
  struct FlowState {
    int64_t served = 0;     // from own records and the peers' reports
    int64_t requested = 0;  // served or not, from the same sources
    int64_t estimated = 0;  // current service, compared with the ceiling
    int64_t ceiling = -1;   // service above which the flow must yield
    int64_t entitled = -1;  // fair share of the declared capacity
  };
  auto StateOf(Flow flow, Millis now) const -> FlowState;
  // This box's fraction of what `flow` requests in the fleet, between 0 and 1;
  // 1 if nothing is known.
  auto FractionHere(Flow flow, Millis now) const -> double;

  // This box's own amounts: at most `max_flows`, the largest first.
  auto OwnServed(size_t max_flows, Millis now) const -> std::vector<FlowValue> {
    return served_.OwnValues(max_flows, now);
  }
  // The same for a report to peers, which is `mean_age` old on average when
  // they use it.
  auto ServedToReport(size_t max_flows, Millis mean_age, Millis now) const
      -> std::vector<FlowValue> {
    return served_.ValuesToReport(max_flows, mean_age, now);
  }
  // What was refused, and twice what waits: a request that is refused is
  // retried about once, and so counts twice.
  auto UnservedToReport(size_t max_flows, Millis mean_age, Millis now) const
      -> std::vector<FlowValue>;

 private:
  // Amounts of a pool with which its flows are compared.
  struct PoolLevels {
    int64_t mean = 0;  // service per flow that was served
    // Least service of an underserved flow, if any flow is underserved.
    std::optional<int64_t> least_underserved;
    int64_t entitled = 0;  // largest max-min fair share; 0: capacity not known
    Millis at;             // when they were computed
  };

  // When a flow was active, at this box or by reports.
  struct Activity {
    Millis since;  // it began, or began again after a pause
    Millis last;
    // When this box had served its part of what a flow may have in advance.
    std::optional<Millis> advance_used_at;
    ValueHistory requested_here;
  };

  // Decaying sums over request sizes. Each size is weighted by itself, so that
  // small corrections of earlier charges hardly count.
  struct RequestSizes {
    double squares = 0;
    double sum = 0;

    void Add(double amount);
  };

  // Whether the flow gets less than it is entitled to of a pool that can't
  // serve all that is requested.
  auto IsBelowEntitlement(Flow flow, Millis now) const -> bool;
  // Estimated current service of the flow over the fleet, including what peers
  // have not reported yet. `ceiling` bounds the assumed overshoot of other
  // boxes.
  auto EstimatedService(Flow flow, double ceiling, Millis now) const -> double;
  // The number of boxes that the flow arrives through, if it arrived evenly.
  auto EffectiveBoxes(Flow flow, Millis now) const -> double;
  // What this box requested when the reports that it has now were made.
  auto ReportedHere(Flow flow, Millis now) const -> double;
  // Recent requests of a flow, served or not, in tokens over its share.
  struct Requested {
    double here = 0;
    double in_fleet = 0;
  };
  auto RequestedOf(Flow flow, Millis now) const -> Requested;
  void RecordActivity(Flow flow, Millis now);
  // The number of boxes that a flow which has just begun may arrive through, if
  // evenly: all of them until there are reports that would show it.
  auto PossibleBoxes(Flow flow, Millis now) const -> double;
  // Whether the flow was served more than it may have `elapsed` after it has
  // used its advance, if all boxes that it may arrive through serve it alike.
  auto IsBeyondAdvance(Flow flow, Millis elapsed, Millis now) const -> bool;
  // What waits of `flow` at this box.
  auto WaitingOf(Flow flow) const -> int64_t;
  // Recent requests that were not served in the fleet, by flow of `pool`.
  auto UnservedByFlow(PoolId pool, Millis now) const -> std::map<Flow, int64_t>;
  // Weighted mean size of the flow's requests; zero: not known.
  auto TypicalRequestTokens(Flow flow) const -> double;
  // Service above which a flow must yield.
  static auto CeilingOf(const PoolLevels& levels) -> double;
  // The levels of `pool`, at most kLevelInterval old.
  auto LevelsOf(PoolId pool, Millis now) const -> const PoolLevels&;
  auto ComputeLevels(PoolId pool, Millis now) const -> PoolLevels;
  // What `amount` of a flow comes to if the flow goes on at the same rate.
  auto SteadyAmount(Flow flow, int64_t amount, Millis now) const -> int64_t;
  // What the pool can have served recently, in decayed tokens; 0: not known.
  auto CapacityOf(PoolId pool, Millis now) const -> int64_t;
  // The largest max-min fair share of `capacity` among flows that requested
  // these amounts; 0: capacity not known.
  static auto EntitledLevel(int64_t capacity, std::vector<int64_t> requested)
      -> int64_t;

  FairUsage served_;
  FairUsage denied_;  // of peers, also what waits there
  std::map<Flow, int64_t> waiting_;
  std::map<Flow, RequestSizes> sizes_;
  std::map<Flow, Activity> activity_;
  int boxes_ = 1;
  Millis report_delay_;
  std::optional<Millis> reported_at_;  // when the last report arrived
  std::map<PoolId, int64_t> capacity_;
  HasAmpleRoom has_ample_room_;
  mutable std::map<PoolId, PoolLevels> levels_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_FAIR_SHARES_H_
