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
    const char* cause;  // why it failed once
  };
  const Case cases[] = {
      {1, 0, "never failed"},
      {16, 0, "a second SIGTERM cut a planned stop short"},
      {28, 0, "the same, while the box drained"},
      {29, 2, "never failed"},
  };
  for (const Case& row : cases) {
    SoakShape shape;
    shape.deadly = row.deadly;
    const SoakReport report = RunSoak(row.seed, shape);
    PrintSoak(report, MakePlan(row.seed, shape));
    CHECK_TEXT(report.broken.empty(), row.cause);
  }
}

}  // namespace
}  // namespace sparbend::testing
