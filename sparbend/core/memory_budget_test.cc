#include "sparbend/core/memory_budget.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr size_t kMb = 1024 * 1024;

TEST_GROUP(MemoryBudget){};

TEST(MemoryBudget, KeepsRoomForSmallRequestsAndOwnCalls) {
  using Use = MemoryBudget::Use;
  constexpr size_t kLimit = 100 * kMb;
  struct Row {
    size_t allocated;
    size_t bytes;
    bool large_body;
    bool request;
    bool own_call;
    bool scarce;
  };
  const Row rows[] = {
      {0, 0, true, true, true, false},
      {70 * kMb, 4 * kMb, true, true, true, false},
      {70 * kMb, 6 * kMb, false, true, true, false},
      {80 * kMb, 0, false, true, true, false},
      {90 * kMb, 4 * kMb, false, true, true, true},
      {96 * kMb, 1 * kMb, false, false, true, true},
      {96 * kMb, 5 * kMb, false, false, false, true},
      {200 * kMb, 0, false, false, false, true},
      {0, SIZE_MAX, false, false, false, false},
  };
  for (const Row& row : rows) {
    const MemoryBudget memory(kLimit, [&] { return row.allocated; });
    CHECK_EQUAL(row.large_body, memory.HasRoom(Use::kLargeBody, row.bytes));
    CHECK_EQUAL(row.request, memory.HasRoom(Use::kRequest, row.bytes));
    CHECK_EQUAL(row.own_call, memory.HasRoom(Use::kOwnCall, row.bytes));
    CHECK_EQUAL(row.scarce, memory.IsScarce());
  }
}

TEST(MemoryBudget, StaysBelowTheMemoryOfTheProcess) {
  for (const int64_t memory_mb : {1, 12, 32, 80, 120, 260, 512, 1'000'000}) {
    const size_t limit = MemoryBudget::LimitWithin(memory_mb);
    CHECK(limit > 0);
    CHECK(limit < static_cast<size_t>(memory_mb) * kMb);
  }
}

TEST(MemoryBudget, HasNoLimitWhereNoneIsSpecified) {
  CHECK(MemoryBudget().HasRoom(MemoryBudget::Use::kLargeBody, 1'000 * kMb));
  CHECK_FALSE(MemoryBudget().IsScarce());
  UNSIGNED_LONGS_EQUAL(SIZE_MAX, MemoryBudget::LimitWithin(0));
}

}  // namespace
}  // namespace sparbend
