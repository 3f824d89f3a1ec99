// Decides whether a box reads the records of operators from the platform's
// store now. Usually one box of each hall waits there for new ones, and the
// others read them when a peer reports that there are any, or when no box is
// known to have read the store recently.
//
//   ConfigReading state;
//   state.since_read = now - read_at;  // and the other fields
//   if (ShouldReadConfig(state))
//     ...  // read the store
#ifndef SPARBEND_CORE_CONFIG_READING_H_
#define SPARBEND_CORE_CONFIG_READING_H_

#include "sparbend/core/millis.h"

namespace sparbend {

// What the decision depends on.
struct ConfigReading {
  bool is_hall_reader = false;  // this box reads the store for its hall
  bool peer_is_ahead = false;   // a peer has newer records
  // No box is known to have read the store in time, and it is this box's turn
  // (Node::IsConfigReadDue).
  bool is_turn = false;
  // How long datagrams of peers wait until this box reads them.
  Millis read_delay;
  Millis since_read;      // time since this box last called the store for them
  bool poll_due = false;  // the box's PollTimer is due

  auto operator==(const ConfigReading&) const -> bool = default;
};

auto ShouldReadConfig(const ConfigReading& state) -> bool;

}  // namespace sparbend

#endif  // SPARBEND_CORE_CONFIG_READING_H_
