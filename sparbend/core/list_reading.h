// Whether a box reads the list of targets from the store now, or goes by what
// its peers have.
#ifndef SPARBEND_CORE_LIST_READING_H_
#define SPARBEND_CORE_LIST_READING_H_

#include "sparbend/core/millis.h"

namespace sparbend {

// What came of looking at the peers' lists instead of the store.
enum class PeerListCheck {
  kSpared,   // ours is as young as a fresh one
  kNothing,  // no peer has a fresh one
  kFailed,   // a peer has another one, and did not hand it over
};

struct ListReading {
  bool known = false;  // a list was read at all
  bool duty = false;   // this box reads for its hall
  bool lost = false;   // it did not reach the store when it last tried
  PeerListCheck look = PeerListCheck::kNothing;
  Millis since_read;      // since this box last read, or tried
  bool look_due = false;  // it is this box's turn (PollTimer)
};

auto ReadNow(const ListReading& reading) -> bool;

}  // namespace sparbend

#endif  // SPARBEND_CORE_LIST_READING_H_
