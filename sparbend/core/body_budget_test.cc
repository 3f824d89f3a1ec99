// Tests the bound on the memory for large request bodies.
#include "sparbend/core/body_budget.h"

#include <vector>

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr size_t kMb = 1024 * 1024;

TEST_GROUP(BodyBudget){};

TEST(BodyBudget, IsHalfOfWhatTheProcessDoesNotNeed) {
  struct Row {
    int64_t memory_mb;
    size_t total;
  };
  const Row rows[] = {
      {0, 1024 * kMb},  {30, 16 * kMb},   {160, 56 * kMb},
      {260, 106 * kMb}, {512, 232 * kMb},
  };
  for (const Row& row : rows)
    UNSIGNED_LONGS_EQUAL(row.total, BodyBudget::TotalWithin(row.memory_mb));
}

TEST(BodyBudget, SmallBodiesAreAlwaysAdmitted) {
  BodyBudget budget(0);
  size_t held = 0;
  CHECK(budget.Grow(&held, 64 * 1024));
  CHECK(!budget.Grow(&held, 64 * 1024 + 1));
  UNSIGNED_LONGS_EQUAL(0, held);
}

// Oracle: what is reserved is the sum over the requests, and never above the
// total.
TEST(BodyBudget, CountsWhatRequestsHold) {
  testing::CheckHolds("the sum of what is held", [] {
    BodyBudget budget(10 * kMb);
    std::vector<size_t> held(5, 0);
    const auto steps =
        *rc::gen::container<std::vector<std::pair<size_t, size_t>>>(
            rc::gen::pair(rc::gen::inRange<size_t>(0, 5),
                          rc::gen::inRange<size_t>(0, 4 * kMb)));
    for (const auto& [request, bytes] : steps) {
      const size_t before = budget.used();
      if (bytes < kMb / 4)
        budget.Release(&held[request]);
      else if (bytes < kMb / 2)
        budget.Shrink(&held[request], bytes);
      else if (!budget.Grow(&held[request], bytes))
        RC_ASSERT(before + bytes - held[request] > budget.total());
      size_t sum = 0;
      for (const size_t one : held)
        sum += one;
      RC_ASSERT(sum == budget.used());
      RC_ASSERT(sum <= budget.total());
    }
  });
}

}  // namespace
}  // namespace sparbend
