// Judges a soak by what callers and targets saw, and nothing else.
//
//   const std::vector<std::string> broken = Judge(asked, runs, boxes);
#ifndef TESTING_SOAK_PROMISES_H_
#define TESTING_SOAK_PROMISES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sparbend/core/millis.h"

namespace sparbend::testing {

// The routes of a soak, by what may be done with their requests.
enum class SoakRoute { kOnce, kAgain, kStream, kResumed };

// One try of a caller, and what it got.
struct Asked {
  std::string id;
  SoakRoute route = SoakRoute::kOnce;
  int box = 0;
  int key = 0;  // number of the key it carried
  // Of a soak with many routes and keys: the route's path, and the key's text.
  std::string path;
  std::string token;
  Millis sent;
  Millis ended;
  int status = 0;        // 0: the connection ended without an answer
  bool gave_up = false;  // the caller ended it, after its own patience
  bool whole = false;    // the answer reached its proper end
  bool signed_by_target = false;
  std::string body;
  // Of a stream that the caller resumes: the request that brought its first
  // event (empty: it resumes none), and the events that the caller has.
  std::string resumes;
  std::string begun;
};

// One arrival of a request at a target.
struct Arrival {
  std::string id;
  std::string target;
  Millis at;
  bool ran = true;        // else the target said that it did not run it
  std::string service{};  // of the target
};

// A span after which a box is another process, or in which it stood still.
struct BoxOutage {
  int box = 0;
  Millis from;
  Millis to;
  bool loses = true;          // it may drop what it held: killed, not stopped
  bool same_process = false;  // after it
};

struct BudgetLimits {
  double ratio = 0;
  int slack = 0;
  Millis window;

  auto operator==(const BudgetLimits&) const -> bool = default;
};

// The body of a whole answer to `id`, without the versions in its events.
auto ExpectedBody(const std::string& id, SoakRoute route) -> std::string;

// A line for each broken promise, with the request's id. `limits`: of all
// services together; none: not judged here.
auto Judge(const std::vector<Asked>& asked,
           const std::vector<Arrival>& arrivals,
           const std::vector<BoxOutage>& outages,
           const std::optional<BudgetLimits>& limits)
    -> std::vector<std::string>;

}  // namespace sparbend::testing

#endif  // TESTING_SOAK_PROMISES_H_
