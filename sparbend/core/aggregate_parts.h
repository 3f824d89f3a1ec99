// Cuts a sum over boxes into datagrams of a bounded size, and puts it together
// again from them.
//
//   for (const Datagram& part : SplitAggregate(sum)) Send(part);
//   AggregateAssembler assembly;
//   if (const auto sum = assembly.Take(part)) Use(*sum);
#ifndef SPARBEND_CORE_AGGREGATE_PARTS_H_
#define SPARBEND_CORE_AGGREGATE_PARTS_H_

#include <map>
#include <optional>
#include <vector>

#include "sparbend/core/messages.h"

namespace sparbend {

// The parts of `sum`, each within kMaxDatagramBytes; at most kMostParts, the
// rest of what it names is left out.
auto SplitAggregate(const Datagram& sum) -> std::vector<Datagram>;

// Keeps the newest unfinished sum of each kind of each sender.
class AggregateAssembler {
 public:
  // The whole sum once its last part is there. Parts of older sums than the
  // newest begun of that sender and kind are dropped, and repeated ones.
  auto Take(const Datagram& part) -> std::optional<Datagram>;
  // `sender` started anew: its sequence begins again.
  void Forget(BoxId sender);

 private:
  struct Unfinished {
    Datagram sum;  // of the parts that came
    std::vector<bool> came;
    size_t missing = 0;
  };

  static auto Begin(const Datagram& part) -> Unfinished;

  std::map<std::pair<BoxId, DatagramKind>, Unfinished> unfinished_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_AGGREGATE_PARTS_H_
