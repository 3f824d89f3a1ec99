// How much each flow was served lately, over the whole fleet: amounts fade
// with time, so that a flow which idles banks no credit and one which took
// much is forgiven within seconds.
//
//   usage.Charge(flow, tokens, now);     // this box served it
//   usage.Learn(peer, values, now);      // a peer's own amounts
//   usage.Of(flow, now)                  // order of service: least first
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
  // Adds `amount` (tokens over share; negative takes back) to `flow`.
  void Charge(Flow flow, int64_t amount, Millis now);
  // The whole word of box `from`; flows it does not name are zero there.
  void UpdateFromPeer(BoxId from,
                      const std::vector<FlowValue>& values,
                      Millis now);
  // What is left of `value` after `age`.
  static auto FadedAfter(int64_t value, Millis age) -> int64_t;
  // Drops all words.
  void ClearPeerReports();
  // What all words come to, without the own amounts; those that matter.
  auto ToldValues(Millis now) const -> std::vector<FlowValue>;
  // This box's own part of it. O(log flows).
  auto OwnOf(Flow flow, Millis now) const -> int64_t;
  // O(log flows).
  auto Of(Flow flow, Millis now) const -> int64_t;
  // The amounts of all flows of `pool`, in the order of their workspaces.
  auto Amounts(PoolId pool, Millis now) const -> std::vector<FlowValue>;
  // Own amounts that matter, at most `most`, the largest first.
  auto OwnValues(size_t most, Millis now) const -> std::vector<FlowValue>;

 private:
  struct Amount {
    double value = 0;
    Millis at;
  };

  // The last word of one box.
  struct Word {
    std::vector<FlowValue> values;
    Millis at;
  };

  static void Add(double amount, Millis now, Amount* sum);
  static auto In(const std::map<Flow, Amount>& amounts, Flow flow, Millis now)
      -> double;

  std::map<Flow, Amount> own_;
  std::map<BoxId, Word> words_;
  std::map<Flow, Amount> told_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_FAIR_USAGE_H_
