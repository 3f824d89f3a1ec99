// Which tries are taken for first ones, from the times that callers state.
#include "sparbend/core/first_try.h"

#include "testing/properties.h"

namespace sparbend {
namespace {

TEST_GROUP(FirstTries) {
  FirstTries tries;
  void Feed(const std::vector<int64_t>& stated, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      for (const int64_t left : stated)
        tries.Elapsed("r", Millis(left));
    }
  }
};

TEST(FirstTries, WhatATryLacksOfTheUsualTimeHasPassed) {
  struct Case {
    const char* what;
    std::vector<int64_t> stated;  // over and over before
    int64_t left;
    int64_t elapsed;
  };
  const Case cases[] = {
      {"a first try", {15'000}, 15'000, 0},
      {"one that came back", {15'000}, 14'400, 600},
      {"the way here is no wait", {15'000, 14'985}, 14'980, 0},
      {"half come back", {15'000, 14'500}, 14'500, 500},
      {"most come back", {15'000, 14'700, 14'500, 14'000}, 14'000, 1'000},
      {"a few patient callers",
       {15'000, 15'000, 15'000, 15'000, 15'000, 15'000, 60'000},
       15'000,
       0},
      {"each states another time",
       {1'000, 2'000, 3'000, 4'000, 5'000, 6'000, 7'000, 8'000, 9'000, 10'000},
       2'000,
       0},
  };
  for (const Case& row : cases) {
    tries = FirstTries();
    Feed(row.stated, 12);
    LONGS_EQUAL_TEXT(row.elapsed, tries.Elapsed("r", Millis(row.left)).count(),
                     row.what);
  }
}

TEST(FirstTries, NothingIsToldOfARouteWithoutHistory) {
  Feed({15'000}, 3);
  LONGS_EQUAL(0, tries.Elapsed("r", Millis(1'000)).count());
  LONGS_EQUAL(0, tries.Elapsed("other", Millis(1'000)).count());
}

TEST(FirstTries, AnewUsualTimeIsLearned) {
  Feed({15'000}, 64);
  Feed({3'000}, 64);
  LONGS_EQUAL(0, tries.Elapsed("r", Millis(3'000)).count());
  LONGS_EQUAL(500, tries.Elapsed("r", Millis(2'500)).count());
}

// Whatever is stated, the answer lies between zero and what others stated.
TEST(FirstTries, AnyTimesAreBounded) {
  testing::CheckHolds("bounded", [] {
    FirstTries any;
    const auto stated = *rc::gen::container<std::vector<int64_t>>(
        rc::gen::inRange<int64_t>(0, 100'000'000));
    int64_t most = 0;
    for (const int64_t left : stated) {
      most = std::max(most, left);
      const int64_t elapsed = any.Elapsed("r", Millis(left)).count();
      RC_ASSERT(elapsed >= 0);
      RC_ASSERT(elapsed + left <= std::max(most, left));
    }
  });
}

}  // namespace
}  // namespace sparbend
