#include "sparbend/core/config_reading.h"

namespace sparbend {
namespace {

// Minimum time between two reads of the store by a box that is not its hall's
// reader: a fifth of the time within which a change must be active, so that not
// every change of a quick succession is read.
constexpr Millis kMinCatchUpInterval = Millis(400);
// A box that reads its peers' datagrams later than this can't learn of a change
// from them within the two seconds in which it must be active.
constexpr Millis kMaxReadDelay = Millis(500);

}  // namespace

auto ShouldReadConfig(const ConfigReading& state) -> bool {
  if (state.is_hall_reader || state.poll_due)
    return true;
  const bool may_be_behind =
      state.peer_is_ahead || state.is_turn || state.read_delay > kMaxReadDelay;
  return may_be_behind && state.since_read >= kMinCatchUpInterval;
}

}  // namespace sparbend
