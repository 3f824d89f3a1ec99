// Which targets probably have which prompt prefixes in their KV cache, from the
// requests that this box sent and the locations that other boxes reported.
// Bounded: the least recently used prefixes are dropped first, as in the
// targets' own caches.
//
//   locations.Record(prefix, target, now);       // a request was sent
//   locations.UpdateFromPeer(location, now);     // a peer reported one
//   locations.HoldersOf(prefix, now)
#ifndef SPARBEND_CORE_PREFIX_LOCATIONS_H_
#define SPARBEND_CORE_PREFIX_LOCATIONS_H_

#include <deque>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"
#include "sparbend/core/work.h"

namespace sparbend {

class PrefixLocations {
 public:
  // Records that `target` was sent `prefix`. Returns true if it was not yet
  // known to hold it.
  auto Record(PrefixId prefix, TargetId target, Millis now) -> bool;
  // Records a location that a peer reported. It is not sent on to other peers.
  void UpdateFromPeer(const PrefixLocation& location, Millis now);
  auto Holds(PrefixId prefix, TargetId target, Millis now) const -> bool;
  // A target that was sent a prefix and probably still has it in its cache.
  struct Holder {
    TargetId target = 0;
    Millis first_sent;  // when it was first sent the prefix, as far as is known
    Millis last_sent;   // when it was last sent the prefix

    auto operator==(const Holder&) const -> bool = default;
  };
  // All targets that hold `prefix`, in no particular order.
  auto HoldersOf(PrefixId prefix, Millis now) const -> std::vector<Holder>;
  // Locations that this box recorded lately, to be sent to peers. Each is
  // returned for several reports, since datagrams get lost.
  auto Recent(Millis now) const -> std::vector<PrefixLocation>;

 private:
  struct Holders {
    std::vector<Holder> targets;  // mostly one or two
    std::list<PrefixId>::iterator lru_position;
  };

  // Adds `target` to the holders of `prefix` or updates when it was last sent
  // it, and makes the prefix the most recently used one.
  void MarkUsed(PrefixId prefix, TargetId target, Millis now);

  std::unordered_map<PrefixId, Holders> holders_;
  std::list<PrefixId> lru_;  // the most recently used first
  // New locations with the time at which this box recorded them.
  std::deque<std::pair<Millis, PrefixLocation>> recent_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_PREFIX_LOCATIONS_H_
