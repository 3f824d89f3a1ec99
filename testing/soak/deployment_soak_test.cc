// The soak of a deployment in CI: short, with fixed seeds, in small numbers. A
// group of its own for what KNOWN-RED.txt lists.
#include <CppUTest/TestHarness.h>

#include "testing/soak/deployment_run.h"

namespace sparbend::testing {
namespace {

void CheckSeeds(const std::vector<uint64_t>& seeds,
                const std::vector<std::string>& acts) {
  for (const uint64_t seed : seeds) {
    Deployment shape;
    shape.acts = acts;
    const DeploymentReport report = RunDeployment(seed, shape);
    PrintDeployment(report);
    CHECK_TEXT(report.broken.empty(), std::to_string(seed).c_str());
  }
}

TEST_GROUP(DeploymentSoak){};

TEST(DeploymentSoak, PromisesHoldWhileTheStoreReturnsFromCopies) {
  CheckSeeds({1, 2}, {"return-store", "pause-box", "kill-box"});
}

TEST(DeploymentSoak, PromisesHoldWhileBoxesLagAndRecordsAndHeadsAreBroken) {
  CheckSeeds({301}, {"join-target", "cut-heads", "odd-record", "pause-box",
                     "slow-box", "cut-off-box", "return-store"});
}

TEST_GROUP(DeploymentSoakRestarts){};

TEST(DeploymentSoakRestarts, StreamsKeepTheirVersionWhenTargetsChangeTheirs) {
  CheckSeeds({1}, {"restart-target", "return-store"});
}

TEST_GROUP(DeploymentSoakProcesses){};

TEST(DeploymentSoakProcesses, StreamsKeepTheirOrderWhenEnginesAreKilled) {
  Deployment shape;
  shape.processes = true;
  shape.pairs = 12;
  shape.span = Millis(7'000);
  shape.watch = Millis(2'000);
  shape.acts = {"kill-engine", "kill-engine", "pause-engine", "drain-box",
                "restart-target"};
  const DeploymentReport report = RunDeployment(97101, shape);
  PrintDeployment(report);
  CHECK(report.broken.empty());
}

}  // namespace
}  // namespace sparbend::testing
