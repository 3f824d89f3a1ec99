// Who had more than its fair part of a pool lately, over the whole fleet:
// from what flows were served, and what was refused to them.
//
//   parts.Served(flow, tokens, now);  parts.Denied(flow, tokens, now);
//   parts.Learn(peer, served, denied, now);
//   parts.Excess(flow, now)           // 1 and more: had its part
//
// Pure. Amounts are tokens over the flow's share (FairUsage).
#ifndef SPARBEND_CORE_FAIR_SHARES_H_
#define SPARBEND_CORE_FAIR_SHARES_H_

#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "sparbend/core/fair_usage.h"

namespace sparbend {

class FairShares {
 public:
  // The excess of a flow that gets nothing more while another that was served
  // much less is refused requests.
  static constexpr double kMustYield = std::numeric_limits<double>::infinity();

  // What a pool's targets together serve, tokens a second, as it is declared;
  // zero: not known.
  void SetCapacity(PoolId pool, int64_t tokens_per_second) {
    capacity_[pool] = tokens_per_second;
  }
  void Served(Flow flow, int64_t amount, Millis now);
  // A request of `flow` was refused for want of room.
  void Denied(Flow flow, int64_t amount, Millis now);
  // The whole word of box `from`.
  void UpdateFromPeer(BoxId from,
                      const std::vector<FlowValue>& served,
                      const std::vector<FlowValue>& denied,
                      Millis now);

  // Drops what boxes told.
  void ClearPeerReports() {
    served_.ClearPeerReports();
    denied_.ClearPeerReports();
  }

  auto ServedLately(Flow flow, Millis now) const -> int64_t {
    return served_.Of(flow, now);
  }
  // How many times `flow` had its fair part; from 1 on it may only take what
  // nobody else wants, and nothing at kMustYield.
  auto Excess(Flow flow, Millis now) const -> double;

  // Where a flow stands, for the log: tokens it was served as peers told, is
  // judged to have been served, may be served before it yields, and is owed;
  // the last two -1 if there is no bound.
  struct Standing {
    int64_t served = 0;
    int64_t judged = 0;  // what is compared with the ceiling
    int64_t ceiling = -1;
    int64_t owed = -1;
  };
  auto StandingOf(Flow flow, Millis now) const -> Standing;

  // For peers: own amounts, the largest first.
  auto OwnServed(size_t most, Millis now) const -> std::vector<FlowValue> {
    return served_.OwnValues(most, now);
  }
  auto OwnDenied(size_t most, Millis now) const -> std::vector<FlowValue> {
    return denied_.OwnValues(most, now);
  }

 private:
  // What the flows of a pool are measured by.
  struct Levels {
    int64_t mean = 0;               // served to a flow
    std::optional<int64_t> hungry;  // served to the least served hungry flow
    int64_t owed = 0;               // most that a flow is owed; 0: not known
    Millis at;
  };

  // Sizes of requests, weighted by themselves: small corrections of what was
  // charged count for little.
  struct Sizes {
    double squares = 0;
    double sum = 0;

    void Add(double amount);
  };

  // What a flow is taken to have been served, over the fleet.
  auto Judged(Flow flow, double ceiling, Millis now) const -> double;
  // Size of a flow's requests; zero: not known.
  auto UsualRequest(Flow flow) const -> double;
  // What a flow may be served before it yields.
  static auto CeilingOf(const Levels& levels) -> double;
  auto LevelsOf(PoolId pool, Millis now) const -> const Levels&;
  auto FindLevels(PoolId pool, Millis now) const -> Levels;
  auto OwedLevel(PoolId pool, std::vector<int64_t> asked) const -> int64_t;

  FairUsage served_;
  FairUsage denied_;
  std::map<Flow, Sizes> sizes_;
  std::map<PoolId, int64_t> capacity_;
  mutable std::map<PoolId, Levels> levels_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_FAIR_SHARES_H_
