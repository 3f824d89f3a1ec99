// Splits an aggregate that is too long for one datagram into parts of a bounded
// size, and reassembles the parts.
//
//   for (const Datagram& part : SplitAggregate(aggregate)) Send(part);
//
//   AggregateAssembler assembler;
//   if (const auto aggregate = assembler.Take(part)) Use(*aggregate);
#ifndef SPARBEND_CORE_AGGREGATE_PARTS_H_
#define SPARBEND_CORE_AGGREGATE_PARTS_H_

#include <map>
#include <optional>
#include <vector>

#include "sparbend/core/messages.h"

namespace sparbend {

// The parts of `aggregate`, which may also be a load report. Each part encodes
// to at most kMaxDatagramBytes. There are at most kMaxParts; entries that would
// need more are dropped.
auto SplitAggregate(const Datagram& aggregate) -> std::vector<Datagram>;

// Holds the newest incomplete aggregate for each sender and kind.
class AggregateAssembler {
 public:
  // Returns the complete aggregate when `part` is its last missing part.
  // Ignores repeated parts, and parts of an aggregate that is older than the
  // newest one seen from that sender and of that kind.
  auto Take(const Datagram& part) -> std::optional<Datagram>;
  // Call when `sender` has restarted, since its sequence numbers start again.
  void Forget(BoxId sender);

 private:
  struct Unfinished {
    Datagram aggregate;          // merged from the parts received so far
    std::vector<bool> received;  // by part number
    size_t missing = 0;          // parts
  };

  static auto Begin(const Datagram& part) -> Unfinished;

  std::map<std::pair<BoxId, DatagramKind>, Unfinished> unfinished_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_AGGREGATE_PARTS_H_
