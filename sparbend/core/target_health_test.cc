#include "sparbend/core/target_health.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr TargetId kFirst = 101;

TEST_GROUP(TargetHealth) {
  TargetHealth health;
  auto Feed(TargetOutcome outcome, int count, Millis at) -> bool {
    bool ejected = false;
    for (int i = 0; i < count; ++i)
      ejected = health.OnOutcome(kFirst, outcome, at) || ejected;
    return ejected;
  }
};

TEST(TargetHealth, LeavesOutWhatFails) {
  struct Case {
    const char* what;
    TargetOutcome outcome;
    int count;
    bool ejected;
  };
  const Case cases[] = {
      {"one that can't be reached once", TargetOutcome::kUnreachable, 1, false},
      {"one that can't be reached twice", TargetOutcome::kUnreachable, 2, true},
      {"no connection once", TargetOutcome::kNoConnection, 1, true},
      {"one that failed twice", TargetOutcome::kFailed, 2, false},
      {"one that fails always", TargetOutcome::kFailed, 6, true},
      {"one that is well", TargetOutcome::kGood, 50, false},
  };
  for (const Case& row : cases) {
    health = TargetHealth();
    CHECK_EQUAL_TEXT(row.ejected, Feed(row.outcome, row.count, Millis(100)),
                     row.what);
    CHECK_EQUAL_TEXT(!row.ejected, health.Usable(kFirst, Millis(101)),
                     row.what);
    CHECK_TEXT(health.Usable(kFirst, Millis(10'000)), row.what);
  }
}

TEST(TargetHealth, StaysOutLongerEachTimeUntilItIsWell) {
  CHECK(Feed(TargetOutcome::kUnreachable, 2, Millis(0)));
  CHECK(health.Usable(kFirst, Millis(500)));
  CHECK(Feed(TargetOutcome::kUnreachable, 1, Millis(500)));
  CHECK(!health.Usable(kFirst, Millis(1'200)));
  Feed(TargetOutcome::kGood, 30, Millis(2'000));
  CHECK(Feed(TargetOutcome::kUnreachable, 2, Millis(3'000)));
  CHECK(health.Usable(kFirst, Millis(3'500)));
}

TEST(TargetHealth, WithoutConnectionsItStaysOutUntilOneCouldBeMade) {
  CHECK(Feed(TargetOutcome::kNoConnection, 1, Millis(0)));
  CHECK(!Feed(TargetOutcome::kNoConnection, 3, Millis(100)));  // out already
  CHECK(!health.Usable(kFirst, Millis(4'000)));
  health.OnReachable(kFirst, Millis(4'000));
  CHECK(health.Usable(kFirst, Millis(4'000)));
  // A connection proves nothing of a target that fails what it is asked.
  CHECK(Feed(TargetOutcome::kFailed, 6, Millis(5'000)));
  health.OnReachable(kFirst, Millis(5'001));
  CHECK(!health.Usable(kFirst, Millis(5'001)));
}

}  // namespace
}  // namespace sparbend
