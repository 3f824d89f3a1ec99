// If a peer has a newer list but this box can't get it, the box reads the store
// as often as the reader of its hall does. Waiting for its poll timer would
// take seconds in a large fleet, and a leaving target must get no new work
// after two or three seconds.
#include "sparbend/core/list_reading.h"

namespace sparbend {
namespace {

// Half of the two seconds after which a leaving target must get no new work,
// less the time that the call to the store and a request to the target take.
constexpr Millis kReadInterval = Millis(850);
// Least time between a read for a newer list and the read before. In the
// largest fleet, of 300 boxes, these reads stay below the 2,000 calls per
// second that the store allows.
constexpr Millis kNewerListReadInterval = Millis(250);

}  // namespace

auto ShouldReadStore(const ListReading& state) -> bool {
  if (!state.has_list)
    return true;
  if (state.newer_needed && state.since_read >= kNewerListReadInterval)
    return true;
  // A box that lost the store has given its reader role to another box, whose
  // list keeps it up to date. Without this rule it would never call the store
  // again and so never notice that it can reach it.
  if (state.lost_store && state.poll_due && state.since_read >= kReadInterval)
    return true;
  if (state.peer_check == PeerListCheck::kUpToDate)
    return false;
  const bool reads_at_interval =
      state.is_hall_reader || state.peer_check == PeerListCheck::kFailed;
  return reads_at_interval ? state.since_read >= kReadInterval : state.poll_due;
}

}  // namespace sparbend
