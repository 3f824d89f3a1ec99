// Which targets hold which prompt prefixes in their cache: remembered from
// what this box sent and what the others told. Bounded; the prefixes unused
// longest are forgotten first, as the targets themselves do.
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
  // `target` was sent `prefix`; true if it was not known to hold it.
  auto Note(PrefixId prefix, TargetId target, Millis now) -> bool;
  // A peer's word; not passed on.
  void UpdateFromPeer(const PrefixLocation& home, Millis now);
  auto Holds(PrefixId prefix, TargetId target, Millis now) const -> bool;
  struct Holder {
    TargetId target = 0;
    Millis since;  // first sent the prefix, as far as is known
    Millis used;   // last sent it

    auto operator==(const Holder&) const -> bool = default;
  };
  // All that hold `prefix`, in no order.
  auto HoldersOf(PrefixId prefix, Millis now) const -> std::vector<Holder>;
  // Homes that this box made lately, to be told to peers; told again a few
  // times, since words get lost.
  auto Recent(Millis now) const -> std::vector<PrefixLocation>;

 private:
  struct Holders {
    std::vector<Holder> targets;  // few: one or two mostly
    std::list<PrefixId>::iterator place;
  };

  void Touch(PrefixId prefix, TargetId target, Millis now);

  std::unordered_map<PrefixId, Holders> holders_;
  std::list<PrefixId> by_use_;  // the newest first
  std::deque<std::pair<Millis, PrefixLocation>> recent_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_PREFIX_LOCATIONS_H_
