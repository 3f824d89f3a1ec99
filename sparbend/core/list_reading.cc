// A list known to be out of date that a peer does not hand over is read from
// the store as if reading were this box's duty: waiting for its turn would take
// seconds in a large fleet, and a target that leaves must get no new work
// within two or three.
#include "sparbend/core/list_reading.h"

namespace sparbend {
namespace {

// Half of the two seconds after which a leaving target must get no new work,
// less what the call and a request on its way take.
constexpr Millis kRefresh = Millis(850);

}  // namespace

auto ReadNow(const ListReading& reading) -> bool {
  if (!reading.known)
    return true;
  // Else one whose duty went to another box would never find the store again.
  if (reading.lost && reading.look_due && reading.since_read >= kRefresh)
    return true;
  if (reading.look == PeerListCheck::kSpared)
    return false;
  const bool by_refresh =
      reading.duty || reading.look == PeerListCheck::kFailed;
  return by_refresh ? reading.since_read >= kRefresh : reading.look_due;
}

}  // namespace sparbend
