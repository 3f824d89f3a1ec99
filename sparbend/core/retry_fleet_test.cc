#include "sparbend/core/retry.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

TEST_GROUP(FleetRetryBudget){};

TEST(FleetRetryBudget, TotalOfAllBoxesStaysWithinTheFleetLimit) {
  constexpr int kBoxes = 9;
  const FleetRetryBudget::Limits limits{0.2, 58, Millis(10'000)};
  int retries = 0;
  int requests = 0;
  for (int box = 0; box < kBoxes; ++box) {
    FleetRetryBudget budget(limits, Millis(0) - limits.window);
    for (int i = 0; i < 10 * (box + 1); ++i, ++requests)
      budget.OnFirstAttempt(kBoxes, Millis(i));
    while (budget.Take(kBoxes, Millis(500))) {
      budget.OnRetrySent(Millis(500));
      ++retries;
    }
    CHECK(budget.Take(kBoxes, Millis(11'000)));  // the window has passed
  }
  CHECK(retries > 20);
  CHECK(retries <= 0.2 * requests + 58);
}

TEST(FleetRetryBudget, CountsARetryFromWhenItIsSent) {
  FleetRetryBudget budget({0, 2, Millis(10'000)}, Millis(0));  // one retry
  CHECK(budget.Take(1, Millis(20'000)));
  CHECK_FALSE(budget.Take(1, Millis(40'000)));
  budget.OnRetrySent(Millis(40'000));
  CHECK_FALSE(budget.Take(1, Millis(49'999)));
  CHECK(budget.Take(1, Millis(50'000)));
  budget.ReturnRetry();
  CHECK(budget.Take(1, Millis(50'000)));
}

}  // namespace
}  // namespace sparbend
