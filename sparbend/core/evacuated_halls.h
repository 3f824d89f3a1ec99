// The halls that operators had emptied, as their records come, go and are told
// by other boxes: no new work starts at targets there until the hall is taken
// back.
//
//   halls.Put("hall-b", offset); halls.Drop("hall-b", later);
//   halls.Retain(all, end);        // a whole list
//   for (const std::string& hall : halls.halls()) ...
//
// Pure.
#ifndef SPARBEND_CORE_EVACUATED_HALLS_H_
#define SPARBEND_CORE_EVACUATED_HALLS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace sparbend {

class EvacuatedHalls {
 public:
  // The hall is to be empty, by the record at `offset`; true if that is news.
  auto Put(const std::string& hall, int64_t offset) -> bool;
  // The hall was taken back at `offset`; true if that is news.
  auto Drop(const std::string& hall, int64_t offset) -> bool;
  // Of all records before `end`, these halls' stand; true if that is news.
  auto Retain(const std::set<std::string>& halls, int64_t end) -> bool;

  auto halls() const -> std::set<std::string>;

 private:
  struct State {
    bool empty = false;
    int64_t offset = 0;  // of the record that says so
  };

  auto Set(const std::string& hall, bool empty, int64_t offset) -> bool;

  std::map<std::string, State> states_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_EVACUATED_HALLS_H_
