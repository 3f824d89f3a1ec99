// The soak in CI: every seed that ever failed, with its cause, and a few
// others.
#include <CppUTest/TestHarness.h>

#include "testing/soak/run.h"

namespace sparbend::testing {
namespace {

TEST_GROUP(Soak){};

TEST(Soak, PromisesHoldUnderRandomFaults) {
  struct Case {
    uint64_t seed;
    int deadly;
    bool refusing;
    bool upgrades;
    const char* cause;  // why it failed once
  };
  const Case cases[] = {
      {1, 0, false, false, "never failed"},
      {16, 0, false, false, "a second SIGTERM cut a planned stop short"},
      {28, 0, false, false, "the same, while the box drained"},
      {29, 2, false, false, "never failed"},
      {30, 0, true, false, "never failed"},
      {601, 0, false, true, "a restart of all boxes forgot past versions"},
  };
  for (const Case& row : cases) {
    SoakShape shape;
    shape.deadly = row.deadly;
    shape.refusing = row.refusing;
    shape.upgrades = row.upgrades;
    const SoakReport report = RunSoak(row.seed, shape);
    PrintSoak(report, MakePlan(row.seed, shape));
    CHECK_TEXT(report.broken.empty(), row.cause);
  }
}

}  // namespace
}  // namespace sparbend::testing
