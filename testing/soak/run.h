// Plays a soak: real boxes as processes of their own, stand-ins of the
// platform and of targets, a proxy before each target, callers that keep
// their connections, and a plan of faults. Ends every process it started.
#ifndef TESTING_SOAK_RUN_H_
#define TESTING_SOAK_RUN_H_

#include <string>
#include <vector>

#include "testing/soak/plan.h"

namespace sparbend::testing {

struct SoakReport {
  uint64_t seed = 0;
  size_t asked = 0;
  size_t answered = 0;              // with 200, whole
  size_t resumed = 0;               // requests for the rest of a stream
  size_t continued = 0;             // of these, answered with 200
  std::vector<std::string> broken;  // promises, a line each
  std::string folder;               // the boxes' logs
};

auto RunSoak(uint64_t seed, const SoakShape& shape) -> SoakReport;

// The report, with the plan if a promise was broken.
void PrintSoak(const SoakReport& report, const SoakPlan& plan);

}  // namespace sparbend::testing

#endif  // TESTING_SOAK_RUN_H_
