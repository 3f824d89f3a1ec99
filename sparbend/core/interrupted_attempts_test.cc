#include "sparbend/core/interrupted_attempts.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr TargetId kTarget = 7;
constexpr TargetId kOtherTarget = 8;

auto AttemptOf(uint32_t body, Millis sent_at) -> InterruptedAttempt {
  return {{1, 2, body}, SuspicionVersion(), sent_at, sent_at};
}

TEST_GROUP(InterruptedAttempts){};

TEST(InterruptedAttempts, AreReturnedOnceWhenTheirTargetExits) {
  InterruptedAttempts attempts;
  const Millis now(1'000);
  CHECK_FALSE(attempts.Add(kTarget, AttemptOf(1, now), now));
  CHECK_FALSE(attempts.Add(kTarget, AttemptOf(2, now), now));
  CHECK_FALSE(attempts.Add(kOtherTarget, AttemptOf(3, now), now));
  const auto interrupted = attempts.OnEnded(kTarget, now + Millis(5));
  LONGS_EQUAL(2, interrupted.size());
  CHECK(interrupted[0] == AttemptOf(1, now));
  CHECK(attempts.OnEnded(kTarget, now + Millis(6)).empty());
}

// When an attempt was sent, when its connection broke, and whether it was then
// interrupted by the exit of its target, which was recorded at 1,000 ms.
TEST(InterruptedAttempts, AddedAfterTheExitCountIfSentBeforeIt) {
  struct Case {
    int64_t sent_at;
    int64_t broken_at;
    bool exited;
  };
  const Case cases[] = {
      {900, 1'010, true},    {1'000, 1'500, true},
      {1'001, 1'010, false}, {900, 10'999, true},  // exits are kept for 10 s
      {900, 11'000, false},
  };
  for (const Case& row : cases) {
    InterruptedAttempts attempts;
    attempts.OnEnded(kTarget, Millis(1'000));
    CHECK(attempts.Add(kTarget, AttemptOf(1, Millis(row.sent_at)),
                       Millis(row.broken_at)) == row.exited);
  }
}

// When the connection of an attempt was made, and how many attempts a second
// exit interrupts. The attempt is sent after a first exit at 1,000 ms.
TEST(InterruptedAttempts, SentAfterAnExitOnAnOlderConnectionAreDropped) {
  struct Case {
    int64_t connected_at;
    size_t interrupted;
  };
  const Case cases[] = {{900, 0}, {1'000, 0}, {1'001, 1}};
  for (const Case& row : cases) {
    InterruptedAttempts attempts;
    attempts.OnEnded(kTarget, Millis(1'000));
    CHECK_FALSE(attempts.Add(kTarget,
                             {{1, 2, 3},
                              SuspicionVersion(),
                              Millis(row.connected_at),
                              Millis(1'100)},
                             Millis(1'200)));
    LONGS_EQUAL(row.interrupted,
                attempts.OnEnded(kTarget, Millis(1'210)).size());
  }
}

// When the answered attempt was sent, and how many attempts are returned to be
// cleared, after an exit recorded at 1,000 ms.
TEST(InterruptedAttempts, AreClearedWhenTheirTargetAnswersALaterAttempt) {
  struct Case {
    int64_t sent_at;
    size_t cleared;
  };
  const Case cases[] = {{900, 0}, {1'000, 0}, {1'001, 2}};
  for (const Case& row : cases) {
    InterruptedAttempts attempts;
    attempts.Add(kTarget, AttemptOf(1, Millis(800)), Millis(990));
    attempts.OnEnded(kTarget, Millis(1'000));
    CHECK(attempts.Add(kTarget, AttemptOf(2, Millis(800)), Millis(1'010)));
    LONGS_EQUAL(row.cleared,
                attempts.OnAnswered(kTarget, Millis(row.sent_at)).size());
    CHECK(attempts.OnAnswered(kOtherTarget, Millis(2'000)).empty());
  }
}

TEST(InterruptedAttempts, ExpireAfterTheRetention) {
  InterruptedAttempts attempts;
  attempts.Add(kTarget, AttemptOf(1, Millis(0)), Millis(0));
  CHECK(attempts.OnEnded(kTarget, Millis(10'000)).empty());
}

TEST(InterruptedAttempts, AreBoundedPerTarget) {
  InterruptedAttempts attempts;
  for (uint32_t i = 0; i < 1'000; ++i)
    attempts.Add(kTarget, AttemptOf(i, Millis(1)), Millis(1));
  LONGS_EQUAL(256, attempts.OnEnded(kTarget, Millis(2)).size());
}

TEST_GROUP(Fingerprints){};

TEST(Fingerprints, DependOnWorkspaceMethodPathAndBody) {
  const Fingerprint base = FingerprintOf(1, "POST", "/a/b?c", "body");
  CHECK(base == FingerprintOf(1, "POST", "/a/b?c", "body"));
  CHECK(base != FingerprintOf(2, "POST", "/a/b?c", "body"));
  CHECK(base != FingerprintOf(1, "PUT", "/a/b?c", "body"));
  CHECK(base != FingerprintOf(1, "POST", "/a/b?d", "body"));
  CHECK(base != FingerprintOf(1, "POST", "/a/b?c", "bodz"));
  LONGS_EQUAL(PathDigest("POST", "/a/b?c"), base.path);
}

TEST(Fingerprints, AreWrittenAsThreeHexadecimalNumbers) {
  STRCMP_EQUAL("1.ff.0", ToString(Fingerprint{1, 255, 0}).c_str());
}

}  // namespace
}  // namespace sparbend
