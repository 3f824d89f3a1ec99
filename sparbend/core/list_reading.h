// Decides whether a box reads the list of targets from the platform's store
// now. Usually one box of each hall reads it, and the others copy a fresh list
// from a peer; they read the store themselves when that fails.
//
//   ListReading state;
//   state.since_read = now - read_at;  // and the other fields
//   if (ShouldReadStore(state))
//     ...  // read the store
#ifndef SPARBEND_CORE_LIST_READING_H_
#define SPARBEND_CORE_LIST_READING_H_

#include "sparbend/core/millis.h"

namespace sparbend {

// Result of a check of the peers' lists.
enum class PeerListCheck {
  kUpToDate,  // this box has a list as fresh as any, perhaps just copied
  kNothing,   // no peer has a fresh list
  kFailed,    // a peer has a newer list, and this box did not get it
};

// What the decision depends on.
struct ListReading {
  bool has_list = false;        // this box has some list, however old
  bool is_hall_reader = false;  // this box reads the store for its hall
  bool lost_store = false;      // its last call to the store failed
  // kFailed also if this box's list is about to be out of date (Node).
  PeerListCheck peer_check = PeerListCheck::kNothing;
  Millis since_read;  // time since this box last called the store for the list
  bool poll_due = false;  // the box's PollTimer is due
  // A list is needed that was read later than any so far.
  bool newer_needed = false;
};

auto ShouldReadStore(const ListReading& state) -> bool;

}  // namespace sparbend

#endif  // SPARBEND_CORE_LIST_READING_H_
