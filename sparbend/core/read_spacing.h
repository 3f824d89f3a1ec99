// Decides how long the box waits between two reads of a stream.
//
// Load: a box with a tenth of a core relays hundreds of streams, and each event
// costs a read and a write. While the box can't keep up, reads are spaced, so
// that events that arrive close together leave in one write. A client notices
// no pause that is short against the pause its route allows.
#ifndef SPARBEND_CORE_READ_SPACING_H_
#define SPARBEND_CORE_READ_SPACING_H_

#include "sparbend/core/millis.h"

namespace sparbend {

// `busy`: whether the box can't keep up with its work. `pause_objective`: the
// longest pause between events of a stream that is still in time; zero: not
// stated. Zero: events are read as they arrive.
auto ReadSpacing(bool busy, Millis pause_objective) -> Millis;

// The time from `now` until the next instant at which streams with this spacing
// are read. All streams share these instants, so that one wake-up serves many.
// At most `spacing`, which must not be zero.
auto TimeToNextRead(Millis now, Millis spacing) -> Millis;

}  // namespace sparbend

#endif  // SPARBEND_CORE_READ_SPACING_H_
