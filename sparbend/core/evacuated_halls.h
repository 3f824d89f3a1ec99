// The halls that operators have evacuated: no new work is sent to their targets
// until the evacuation ends. Built from the records of a log, which may be read
// here or reported by other boxes, in any order.
//
//   halls.Put("hall-b", offset); halls.Drop("hall-b", later_offset);
//   halls.Retain(all_evacuated, end);  // a full list
//   for (const std::string& hall : halls.halls()) ...
//
// Does no I/O.
#ifndef SPARBEND_CORE_EVACUATED_HALLS_H_
#define SPARBEND_CORE_EVACUATED_HALLS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace sparbend {

class EvacuatedHalls {
 public:
  // The record at log offset `offset` evacuates the hall. True if this changed
  // the state of the hall.
  auto Put(const std::string& hall, int64_t offset) -> bool;
  // The record at `offset` ends the evacuation. True if this changed the state
  // of the hall.
  auto Drop(const std::string& hall, int64_t offset) -> bool;
  // `halls` are all halls evacuated by the records before offset `end`. Ends
  // the evacuation of all others, except those evacuated by a record at or
  // after `end`; true if there were any. Adds no halls.
  auto Retain(const std::set<std::string>& halls, int64_t end) -> bool;

  auto halls() const -> std::set<std::string>;

 private:
  struct State {
    bool evacuated = false;
    int64_t offset = 0;  // of the record that decided it
  };

  auto Set(const std::string& hall, bool evacuated, int64_t offset) -> bool;

  std::map<std::string, State> states_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_EVACUATED_HALLS_H_
