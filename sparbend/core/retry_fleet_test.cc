#include "sparbend/core/retry.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

TEST_GROUP(FleetRetryBudget){};

TEST(FleetRetryBudget, TheSumOverBoxesStaysWithinTheFleetsLimit) {
  constexpr int kBoxes = 9;
  const FleetRetryBudget::Limits limits{0.2, 58, Millis(10'000)};
  int repeats = 0;
  int fresh = 0;
  for (int box = 0; box < kBoxes; ++box) {
    FleetRetryBudget budget(limits);
    for (int i = 0; i < 10 * (box + 1); ++i, ++fresh)
      budget.OnFresh(Millis(i));
    while (budget.Take(kBoxes, Millis(500)))
      ++repeats;
    CHECK(budget.Take(kBoxes, Millis(11'000)));  // the window has passed
  }
  CHECK(repeats > 20);
  CHECK(repeats <= 0.2 * fresh + 58);
}

}  // namespace
}  // namespace sparbend
