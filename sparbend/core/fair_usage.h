// Tracks how many tokens each flow was served recently, over the whole fleet.
// Amounts decay exponentially, so that an idle flow banks no credit, and a flow
// that used much is treated like the others again after some seconds.
//
//   usage.Charge(flow, tokens, now);          // served by this box
//   usage.UpdateFromPeer(peer, values, now);  // a peer's own amounts
//   usage.ValueOf(flow, now)                  // least-served flows go first
#ifndef SPARBEND_CORE_FAIR_USAGE_H_
#define SPARBEND_CORE_FAIR_USAGE_H_

#include <map>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/messages.h"
#include "sparbend/core/millis.h"

namespace sparbend {

class FairUsage {
 public:
  // Adds `amount` to the own amount of `flow`, in tokens divided by its share;
  // a negative amount takes back an earlier charge.
  void Charge(Flow flow, int64_t amount, Millis now);
  // Replaces the amounts of box `from` by its full report. Flows that are not
  // in `values` are zero there.
  void UpdateFromPeer(BoxId from,
                      const std::vector<FlowValue>& values,
                      Millis now);
  // Returns what remains of `service` after `age`.
  static auto DecayedAfter(int64_t service, Millis age) -> int64_t;
  // Drops the reports of all peers.
  void ClearPeerReports();
  // The sum of all peer reports per flow, without the own amounts. Leaves out
  // amounts that have decayed to less than a token.
  auto PeerValues(Millis now) const -> std::vector<FlowValue>;
  // This box's own amount of `flow`. O(log flows).
  auto OwnValueOf(Flow flow, Millis now) const -> int64_t;
  // Own amount and peer reports of `flow` together. O(log flows).
  auto ValueOf(Flow flow, Millis now) const -> int64_t;
  // The amounts of all flows of `pool`, in the order of their workspaces.
  auto Amounts(PoolId pool, Millis now) const -> std::vector<FlowValue>;
  // Own amounts of at least a token, at most `max_flows`, the largest first.
  auto OwnValues(size_t max_flows, Millis now) const -> std::vector<FlowValue>;
  // The same for a report, which peers use at an age of `mean_age` on average:
  // a flow that goes on at its recent rate has decayed to its present amount
  // there by then.
  auto ValuesToReport(size_t max_flows, Millis mean_age, Millis now) const
      -> std::vector<FlowValue>;

 private:
  // A decaying amount: the normalised service was `service` at `at`.
  struct Amount {
    double service = 0;
    Millis at;
  };

  // The last report of one box.
  struct PeerReport {
    std::vector<FlowValue> values;
    Millis at;
  };

  static void Add(double service, Millis now, Amount* sum);
  // The amount of `flow` in `amounts` at `now`; zero if there is none.
  static auto AmountAt(const std::map<Flow, Amount>& amounts,
                       Flow flow,
                       Millis now) -> double;

  std::map<Flow, Amount> own_;
  std::map<Flow, Amount> own_recent_;  // decays faster, for the rate
  std::map<BoxId, PeerReport> peer_reports_;
  // The sum of peer_reports_ per flow.
  std::map<Flow, Amount> peer_totals_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_FAIR_USAGE_H_
