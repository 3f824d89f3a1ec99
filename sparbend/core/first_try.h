// How long the caller of a try has been asking already. Callers come back
// after a refusal with a new id; what gives them away is the time that they
// say they will still wait, which shrinks from try to try. So a route's usual
// full time is learned from its tries, and what a try lacks of it has passed.
//
//   FirstTries tries;
//   due = now - tries.Elapsed(route, left) + objective;
//
// Pure. A caller that states less time than others on its route is taken for
// one that came back, and what it states counts against itself alone.
#ifndef SPARBEND_CORE_FIRST_TRY_H_
#define SPARBEND_CORE_FIRST_TRY_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "sparbend/core/millis.h"

namespace sparbend {

class FirstTries {
 public:
  // Counts a try on `route` whose caller will wait for `left`, and tells how
  // long it has been asking; zero while the route's usual time is not known.
  // O(kRemembered).
  auto Elapsed(const std::string& route, Millis left) -> Millis;

 private:
  using Stated = std::deque<Millis>;  // the newest last

  static auto UsualOf(const Stated& stated) -> Millis;

  std::unordered_map<std::string, Stated> routes_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_FIRST_TRY_H_
