// Plays a soak of a deployment: real boxes as processes of their own in real
// time, stand-ins of the store and of targets, callers that keep their
// connections, an operator who changes the configuration all the time, and a
// plan of faults. Ends every process it started.
//
//   const DeploymentReport report = RunDeployment(seed, Deployment());
#ifndef TESTING_SOAK_DEPLOYMENT_RUN_H_
#define TESTING_SOAK_DEPLOYMENT_RUN_H_

#include <string>
#include <vector>

#include "testing/soak/deployment.h"
#include "testing/soak/deployment_plan.h"

namespace sparbend::testing {

struct DeploymentReport {
  uint64_t seed = 0;
  size_t asked = 0;
  size_t answered = 0;              // with 200, whole
  size_t versions = 0;              // of the configuration
  size_t taken_up = 0;              // streams by their callers, once broken off
  size_t went_on = 0;               // of those, with a further event
  std::vector<std::string> broken;  // promises, a line each
  std::string folder;               // the boxes' logs
  DeploymentPlan plan;
};

auto RunDeployment(uint64_t seed, const Deployment& deployment)
    -> DeploymentReport;

// The report, with the plan and the first lines if a promise was broken.
void PrintDeployment(const DeploymentReport& report);

}  // namespace sparbend::testing

#endif  // TESTING_SOAK_DEPLOYMENT_RUN_H_
