// Which attempts are taken for first attempts, given the waits that clients
// state.
#include "sparbend/core/client_wait_estimator.h"

#include "testing/properties.h"

namespace sparbend {
namespace {

TEST_GROUP(ClientWaitEstimator) {
  ClientWaitEstimator estimator;
  void Record(const std::vector<int64_t>& stated_waits, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      for (const int64_t remaining : stated_waits)
        estimator.Elapsed("r", Millis(remaining));
    }
  }
};

TEST(ClientWaitEstimator, ElapsedIsTheUsualWaitMinusTheStatedWait) {
  struct Case {
    const char* what;
    std::vector<int64_t> stated_waits;  // recorded before, in several rounds
    int64_t remaining;
    int64_t elapsed;
  };
  const Case cases[] = {
      {"a first attempt", {15'000}, 15'000, 0},
      {"a retry", {15'000}, 14'400, 600},
      {"network delay is no retry", {15'000, 14'985}, 14'980, 0},
      {"half are retries", {15'000, 14'500}, 14'500, 500},
      {"most are retries", {15'000, 14'700, 14'500, 14'000}, 14'000, 1'000},
      {"a few clients with long timeouts",
       {15'000, 15'000, 15'000, 15'000, 15'000, 15'000, 60'000},
       15'000,
       0},
      {"each states a different wait",
       {1'000, 2'000, 3'000, 4'000, 5'000, 6'000, 7'000, 8'000, 9'000, 10'000},
       2'000,
       0},
  };
  for (const Case& row : cases) {
    estimator = ClientWaitEstimator();
    Record(row.stated_waits, 12);
    LONGS_EQUAL_TEXT(row.elapsed,
                     estimator.Elapsed("r", Millis(row.remaining)).count(),
                     row.what);
  }
}

TEST(ClientWaitEstimator, ElapsedIsZeroForARouteWithoutHistory) {
  Record({15'000}, 3);
  LONGS_EQUAL(0, estimator.Elapsed("r", Millis(1'000)).count());
  LONGS_EQUAL(0, estimator.Elapsed("other", Millis(1'000)).count());
}

TEST(ClientWaitEstimator, UsualWaitFollowsAChange) {
  Record({15'000}, 64);
  Record({3'000}, 64);
  LONGS_EQUAL(0, estimator.Elapsed("r", Millis(3'000)).count());
  LONGS_EQUAL(500, estimator.Elapsed("r", Millis(2'500)).count());
}

// For random waits, the elapsed time is not negative and at most the difference
// to the longest wait that was stated.
TEST(ClientWaitEstimator, ElapsedIsBoundedForRandomWaits) {
  testing::CheckHolds("elapsed time is bounded", [] {
    ClientWaitEstimator random_estimator;
    const auto stated_waits = *rc::gen::container<std::vector<int64_t>>(
        rc::gen::inRange<int64_t>(0, 100'000'000));
    int64_t max_wait = 0;
    for (const int64_t remaining : stated_waits) {
      max_wait = std::max(max_wait, remaining);
      const int64_t elapsed =
          random_estimator.Elapsed("r", Millis(remaining)).count();
      RC_ASSERT(elapsed >= 0);
      RC_ASSERT(elapsed + remaining <= std::max(max_wait, remaining));
    }
  });
}

}  // namespace
}  // namespace sparbend
