// Judges by which configuration boxes handled requests, from what callers and
// targets saw.
//
//   const std::vector<std::string> broken = JudgeConfig(seen, versions,
//   bounds);
#ifndef TESTING_SOAK_JUDGE_CONFIG_H_
#define TESTING_SOAK_JUDGE_CONFIG_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "testing/soak/deployment.h"
#include "testing/soak/promises.h"

namespace sparbend::testing {

// A configuration as an operator wrote it.
struct ConfigVersion {
  Millis sent;
  Millis acked;
  // By the route's path: those that its requests may go to.
  std::map<std::string, std::set<std::string>> pools;
  std::set<std::string> tokens;  // keys of all workspaces
};

struct SoakSpan {
  Millis from;
  Millis to;

  auto operator==(const SoakSpan&) const -> bool = default;
};

// What was seen in a soak.
struct SoakRecord {
  std::vector<Asked> asked;
  std::vector<Arrival> arrivals;
  std::vector<BoxOutage> outages;
  std::vector<SoakSpan> store_trouble;
  std::vector<ConfigVersion> versions;  // in the order in which they were sent
};

// A line for each request that a box handled as only an older version allows,
// or as none does.
auto JudgeConfig(const SoakRecord& record, const ConfigBounds& bounds)
    -> std::vector<std::string>;

// A line for each pool whose targets got more repeats than it may.
auto JudgePoolBudgets(const SoakRecord& record, const BudgetLimits& limits)
    -> std::vector<std::string>;

}  // namespace sparbend::testing

#endif  // TESTING_SOAK_JUDGE_CONFIG_H_
