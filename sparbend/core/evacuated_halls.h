// The halls that operators have evacuated: no new work is sent to their targets
// until the evacuation ends. Built from the records of a log, which may be read
// here or reported by other boxes, in any order.
//
//   halls.Put("hall-b", position); halls.Drop("hall-b", later_position);
//   halls.Retain(all_evacuated, end);  // a full list
//   for (const std::string& hall : halls.halls()) ...
//
// Does no I/O.
#ifndef SPARBEND_CORE_EVACUATED_HALLS_H_
#define SPARBEND_CORE_EVACUATED_HALLS_H_

#include <map>
#include <set>
#include <string>

#include "sparbend/core/log_position.h"

namespace sparbend {

class EvacuatedHalls {
 public:
  // The record at `position` evacuates the hall. True if this changed the state
  // of the hall.
  auto Put(const std::string& hall, LogPosition position) -> bool;
  // The record at `position` ends the evacuation. True if this changed the
  // state of the hall.
  auto Drop(const std::string& hall, LogPosition position) -> bool;
  // `halls` are all halls evacuated by the records before `end`. Ends the
  // evacuation of all others, except those evacuated by a record at or after
  // `end`; true if there were any. Adds no halls.
  auto Retain(const std::set<std::string>& halls, LogPosition end) -> bool;
  // The same for a log that has just come back from an older copy, in which the
  // latest orders may be missing: changes nothing about halls of which a record
  // is known.
  auto AddUnknown(const std::set<std::string>& halls, LogPosition end) -> bool;

  auto halls() const -> std::set<std::string>;

 private:
  struct State {
    bool evacuated = false;
    LogPosition position;  // of the record that decided it
  };

  auto Set(const std::string& hall, bool evacuated, LogPosition position)
      -> bool;

  std::map<std::string, State> states_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_EVACUATED_HALLS_H_
