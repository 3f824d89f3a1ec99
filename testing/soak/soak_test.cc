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
    bool partitions;
    const char* cause;  // why it failed once
  };
  const Case cases[] = {
      {1, 0, false, false, false, "never failed"},
      {16, 0, false, false, false, "a second SIGTERM cut a planned stop short"},
      {28, 0, false, false, false, "the same, while the box drained"},
      {29, 2, false, false, false, "never failed"},
      {30, 0, true, false, false, "never failed"},
      {601, 0, false, true, false,
       "a restart of all boxes forgot past versions"},
      {701, 0, false, false, true, "requests arrived after they were given up"},
  };
  for (const Case& row : cases) {
    SoakShape shape;
    shape.deadly = row.deadly;
    shape.refusing = row.refusing;
    shape.upgrades = row.upgrades;
    shape.partitions = row.partitions;
    const SoakReport report = RunSoak(row.seed, shape);
    PrintSoak(report, MakePlan(row.seed, shape));
    CHECK_TEXT(report.broken.empty(), row.cause);
  }
}

}  // namespace
}  // namespace sparbend::testing
