// The prompt parts of which targets have answered requests completely. Such a
// part is less likely to be the one that crashes a target than a part that has
// never been answered. Each box records what its own requests observed.
//
//   answered.Add(part);               // a complete answer came
//   if (answered.Contains(part)) ...
//
// Bounded: the parts that were answered least recently are dropped.
#ifndef SPARBEND_CORE_ANSWERED_PARTS_H_
#define SPARBEND_CORE_ANSWERED_PARTS_H_

#include <list>
#include <map>

#include "sparbend/core/fingerprint.h"

namespace sparbend {

class AnsweredParts {
 public:
  // O(log n), as is Contains.
  void Add(const Fingerprint& part);
  auto Contains(const Fingerprint& part) const -> bool {
    return positions_.contains(part);
  }
  auto size() const -> size_t { return positions_.size(); }

 private:
  std::list<Fingerprint> by_time_;  // answered most recently first
  std::map<Fingerprint, std::list<Fingerprint>::iterator> positions_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_ANSWERED_PARTS_H_
