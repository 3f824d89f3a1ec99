// The shape of a deployment that a soak plays: how many boxes, data halls,
// targets, workspaces and routes, how often the configuration changes, and the
// bounds by which it is judged. A site file of the platform has these values.
//
//   const Result<Deployment> shape = ReadDeployment("site.toml", {24, 32});
#ifndef TESTING_SOAK_DEPLOYMENT_H_
#define TESTING_SOAK_DEPLOYMENT_H_

#include <string>
#include <vector>

#include "sparbend/core/errors.h"
#include "sparbend/core/millis.h"
#include "testing/soak/promises.h"

namespace sparbend::testing {

// A pool of targets. Routes move between pools of the same kind.
struct SoakPool {
  std::string name;
  bool streams = false;  // its targets are engines, which answer with streams
  int targets = 2;

  auto operator==(const SoakPool&) const -> bool = default;
};

struct ConfigBounds {
  Millis in_force = Millis(2'000);  // after the operator's write
  Millis contact = Millis(3'000);   // without trouble, until they hold again
  Millis rollback = Millis(250);    // until an older version counts as back

  auto operator==(const ConfigBounds&) const -> bool = default;
};

struct Deployment {
  int boxes = 9;
  int halls = 3;
  std::vector<SoakPool> pools = {{"plain-0", false, 2},
                                 {"plain-1", false, 2},
                                 {"engines-0", true, 3},
                                 {"engines-1", true, 3}};
  int workspaces = 8;
  int routes = 12;
  int versions = 2;                      // of the engines' software
  Millis change_interval = Millis(500);  // between configurations
  Millis heartbeat = Millis(1'200);      // of a target
  ConfigBounds bounds;
  BudgetLimits budget = {0.2, 30, Millis(10'000)};
  int callers_per_box = 3;
  int pairs = 4;                  // of faults that overlap
  Millis span = Millis(10'000);   // in which they begin
  Millis watch = Millis(10'000);  // without faults, after them
  std::string program;            // of the boxes; empty: this build's
  bool processes = false;         // engines run as processes of their own
  std::vector<std::string> acts;  // names of those to draw from; empty: all
  double scale = 1;               // of the site's boxes, in this soak

  auto operator==(const Deployment&) const -> bool = default;
};

struct DeploymentLimits {
  int boxes = 24;
  int targets = 32;
};

// A site with more boxes or targets than `limits` is scaled down to them.
auto ReadDeployment(const std::string& file, const DeploymentLimits& limits)
    -> Result<Deployment>;

// A line that states its numbers.
auto ToString(const Deployment& deployment) -> std::string;

}  // namespace sparbend::testing

#endif  // TESTING_SOAK_DEPLOYMENT_H_
