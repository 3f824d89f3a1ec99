#include "sparbend/core/interrupted_attempts.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr TargetId kTarget = 7;
constexpr TargetId kOtherTarget = 8;

auto AttemptOf(uint32_t body_digest, Millis sent_at) -> InterruptedAttempt {
  const Fingerprint request = {/*workspace=*/1, /*path=*/2, body_digest};
  return {{{request, SuspicionVersion()}}, /*connected_at=*/sent_at, sent_at};
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

// An exit of the target is recorded at 1,000 ms. Each case is an attempt that
// is added after that, and whether Add() says that the exit interrupted it.
TEST(InterruptedAttempts, AddedAfterTheExitCountIfSentBeforeIt) {
  struct Case {
    int64_t sent_at_ms;
    int64_t broken_at_ms;
    bool interrupted_by_exit;
  };
  const Case cases[] = {
      {900, 1'010, true},    {1'000, 1'500, true},
      {1'001, 1'010, false}, {900, 10'999, true},  // exits are kept for 10 s
      {900, 11'000, false},
  };
  for (const Case& row : cases) {
    InterruptedAttempts attempts;
    attempts.OnEnded(kTarget, Millis(1'000));
    CHECK(attempts.Add(kTarget, AttemptOf(1, Millis(row.sent_at_ms)),
                       Millis(row.broken_at_ms)) == row.interrupted_by_exit);
  }
}

// An attempt is sent at 1,100 ms, after an exit at 1,000 ms. A second exit
// interrupts it only if its connection was made after the first exit.
TEST(InterruptedAttempts, SentAfterAnExitOnAnOlderConnectionAreDropped) {
  struct Case {
    int64_t connected_at_ms;
    size_t interrupted;  // attempts that the second exit interrupts
  };
  const Case cases[] = {{900, 0}, {1'000, 0}, {1'001, 1}};
  for (const Case& row : cases) {
    InterruptedAttempts attempts;
    attempts.OnEnded(kTarget, Millis(1'000));
    CHECK_FALSE(attempts.Add(kTarget,
                             {{{{1, 2, 3}, SuspicionVersion()}},
                              Millis(row.connected_at_ms),
                              Millis(1'100)},
                             Millis(1'200)));
    LONGS_EQUAL(row.interrupted,
                attempts.OnEnded(kTarget, Millis(1'210)).size());
  }
}

// An exit is recorded at 1,000 ms, and two attempts are reported for it. The
// answer to another attempt clears both only if that attempt was sent after the
// exit.
TEST(InterruptedAttempts, AreClearedWhenTheirTargetAnswersALaterAttempt) {
  struct Case {
    int64_t sent_at_ms;  // of the answered attempt
    size_t cleared;
  };
  const Case cases[] = {{900, 0}, {1'000, 0}, {1'001, 2}};
  for (const Case& row : cases) {
    InterruptedAttempts attempts;
    attempts.Add(kTarget, AttemptOf(1, Millis(800)), Millis(990));
    attempts.OnEnded(kTarget, Millis(1'000));
    CHECK(attempts.Add(kTarget, AttemptOf(2, Millis(800)), Millis(1'010)));
    LONGS_EQUAL(row.cleared,
                attempts.OnAnswered(kTarget, Millis(row.sent_at_ms)).size());
    CHECK(attempts.OnAnswered(kOtherTarget, Millis(2'000)).empty());
  }
}

TEST(InterruptedAttempts, ExpireAfterTheRetention) {
  InterruptedAttempts attempts;
  attempts.Add(kTarget, AttemptOf(1, Millis(0)), Millis(0));
  // Attempts are kept for 10 s.
  CHECK(attempts.OnEnded(kTarget, Millis(10'000)).empty());
}

TEST(InterruptedAttempts, AreBoundedPerTarget) {
  InterruptedAttempts attempts;
  for (uint32_t i = 0; i < 1'000; ++i)
    attempts.Add(kTarget, AttemptOf(i, Millis(1)), Millis(1));
  // At most 256 attempts are kept per target (kMaxAttempts).
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

TEST(Fingerprints, OfPartsDependOnWorkspaceAndPartAndAreNoRequests) {
  const Fingerprint part = PartFingerprint(1, 2);
  CHECK(part == PartFingerprint(1, 2));
  CHECK(part != PartFingerprint(2, 2));
  CHECK(part != PartFingerprint(1, 3));
  CHECK(IsPart(part));
  CHECK_FALSE(IsPart(FingerprintOf(1, "POST", "/", "")));
}

TEST(Fingerprints, AreWrittenAsThreeHexadecimalNumbers) {
  STRCMP_EQUAL("1.ff.0", ToString(Fingerprint{1, 255, 0}).c_str());
}

}  // namespace
}  // namespace sparbend
