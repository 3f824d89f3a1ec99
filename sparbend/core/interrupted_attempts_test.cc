#include "sparbend/core/interrupted_attempts.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr TargetId kTarget = 7;
constexpr TargetId kOther = 8;

auto RunOf(uint32_t body, Millis began) -> InterruptedAttempt {
  return {{1, 2, body}, SuspicionVersion(), began, began};
}

TEST_GROUP(InterruptedAttempts){};

TEST(InterruptedAttempts, AreHandedOutOnceTheirTargetIsKnownToHaveEnded) {
  InterruptedAttempts runs;
  const Millis now(1'000);
  CHECK_FALSE(runs.Add(kTarget, RunOf(1, now), now));
  CHECK_FALSE(runs.Add(kTarget, RunOf(2, now), now));
  CHECK_FALSE(runs.Add(kOther, RunOf(3, now), now));
  const auto ended = runs.OnEnded(kTarget, now + Millis(5));
  LONGS_EQUAL(2, ended.size());
  CHECK(ended[0] == RunOf(1, now));
  CHECK(runs.OnEnded(kTarget, now + Millis(6)).empty());
}

// When a run began, when its connection broke, and whether it then counts as
// ended with a target whose end was known at 1,000.
TEST(InterruptedAttempts, ThatAreReadAfterTheEndIsKnownCountIfTheyBeganBefore) {
  struct Case {
    int64_t began;
    int64_t broke;
    bool ended;
  };
  const Case cases[] = {
      {900, 1'010, true},    {1'000, 1'500, true},
      {1'001, 1'010, false}, {900, 10'999, true},  // remembered for ten seconds
      {900, 11'000, false},
  };
  for (const Case& row : cases) {
    InterruptedAttempts runs;
    runs.OnEnded(kTarget, Millis(1'000));
    CHECK(runs.Add(kTarget, RunOf(1, Millis(row.began)), Millis(row.broke)) ==
          row.ended);
  }
}

// When a run's connection was made, and whether the run is blamed for an end
// after the one that was known at 1,000; it began after that.
TEST(InterruptedAttempts, OnConnectionsOfBeforeAKnownEndReachNobody) {
  struct Case {
    int64_t connected;
    size_t blamed;
  };
  const Case cases[] = {{900, 0}, {1'000, 0}, {1'001, 1}};
  for (const Case& row : cases) {
    InterruptedAttempts runs;
    runs.OnEnded(kTarget, Millis(1'000));
    CHECK_FALSE(runs.Add(
        kTarget,
        {{1, 2, 3}, SuspicionVersion(), Millis(row.connected), Millis(1'100)},
        Millis(1'200)));
    LONGS_EQUAL(row.blamed, runs.OnEnded(kTarget, Millis(1'210)).size());
  }
}

// When the answered run was sent, and how many runs are taken back.
TEST(InterruptedAttempts, AreTakenBackOnceTheirTargetAnswersALaterRequest) {
  struct Case {
    int64_t sent;
    size_t taken_back;
  };
  const Case cases[] = {{900, 0}, {1'000, 0}, {1'001, 2}};
  for (const Case& row : cases) {
    InterruptedAttempts runs;
    runs.Add(kTarget, RunOf(1, Millis(800)), Millis(990));
    runs.OnEnded(kTarget, Millis(1'000));
    CHECK(runs.Add(kTarget, RunOf(2, Millis(800)), Millis(1'010)));
    LONGS_EQUAL(row.taken_back,
                runs.OnAnswered(kTarget, Millis(row.sent)).size());
    CHECK(runs.OnAnswered(kOther, Millis(2'000)).empty());
  }
}

TEST(InterruptedAttempts, ThatBrokeLongBeforeAreForgotten) {
  InterruptedAttempts runs;
  runs.Add(kTarget, RunOf(1, Millis(0)), Millis(0));
  CHECK(runs.OnEnded(kTarget, Millis(10'000)).empty());
}

TEST(InterruptedAttempts, OfOneTargetAreBounded) {
  InterruptedAttempts runs;
  for (uint32_t i = 0; i < 1'000; ++i)
    runs.Add(kTarget, RunOf(i, Millis(1)), Millis(1));
  LONGS_EQUAL(256, runs.OnEnded(kTarget, Millis(2)).size());
}

TEST_GROUP(Fingerprints){};

TEST(Fingerprints, DifferInWorkspaceMethodPathAndBodyAlone) {
  const Fingerprint base = FingerprintOf(1, "POST", "/a/b?c", "body");
  CHECK(base == FingerprintOf(1, "POST", "/a/b?c", "body"));
  CHECK(base != FingerprintOf(2, "POST", "/a/b?c", "body"));
  CHECK(base != FingerprintOf(1, "PUT", "/a/b?c", "body"));
  CHECK(base != FingerprintOf(1, "POST", "/a/b?d", "body"));
  CHECK(base != FingerprintOf(1, "POST", "/a/b?c", "bodz"));
  LONGS_EQUAL(PathDigest("POST", "/a/b?c"), base.path);
}

TEST(Fingerprints, AreShownAsThreeNumbers) {
  STRCMP_EQUAL("1.ff.0", ToString(Fingerprint{1, 255, 0}).c_str());
}

}  // namespace
}  // namespace sparbend
