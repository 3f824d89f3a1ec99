#include "sparbend/core/target_health.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr TargetId kTarget = 101;

TEST_GROUP(TargetHealth) {
  TargetHealth health;
  // Records `count` equal outcomes; true if one of them ejected the target.
  auto Record(TargetOutcome outcome, int count, Millis now) -> bool {
    bool ejected = false;
    for (int i = 0; i < count; ++i)
      ejected = health.OnOutcome(kTarget, outcome, now) || ejected;
    return ejected;
  }
};

TEST(TargetHealth, EjectsAFailingTarget) {
  struct Case {
    const char* what;
    TargetOutcome outcome;
    int count;
    bool ejected;
  };
  const Case cases[] = {
      {"unreachable once", TargetOutcome::kUnreachable, 1, false},
      {"unreachable twice", TargetOutcome::kUnreachable, 2, true},
      {"connecting timed out once", TargetOutcome::kNoConnection, 1, true},
      {"failed twice", TargetOutcome::kFailed, 2, false},
      {"fails each request", TargetOutcome::kFailed, 6, true},
      {"healthy", TargetOutcome::kGood, 50, false},
  };
  for (const Case& row : cases) {
    health = TargetHealth();
    CHECK_EQUAL_TEXT(row.ejected, Record(row.outcome, row.count, Millis(100)),
                     row.what);
    CHECK_EQUAL_TEXT(!row.ejected, health.Usable(kTarget, Millis(101)),
                     row.what);
    CHECK_TEXT(health.Usable(kTarget, Millis(10'000)), row.what);
  }
}

TEST(TargetHealth, EjectionsLengthenUntilTheTargetIsHealthy) {
  CHECK(Record(TargetOutcome::kUnreachable, 2, Millis(0)));
  CHECK(health.Usable(kTarget, Millis(500)));
  CHECK(Record(TargetOutcome::kUnreachable, 1, Millis(500)));
  CHECK(!health.Usable(kTarget, Millis(1'200)));
  Record(TargetOutcome::kGood, 30, Millis(2'000));
  CHECK(Record(TargetOutcome::kUnreachable, 2, Millis(3'000)));
  CHECK(health.Usable(kTarget, Millis(3'500)));
}

TEST(TargetHealth, OnReachableEndsOnlyAnEjectionByConnectTimeout) {
  CHECK(Record(TargetOutcome::kNoConnection, 1, Millis(0)));
  CHECK(!Record(TargetOutcome::kNoConnection, 3,
                Millis(100)));  // already ejected
  CHECK(!health.Usable(kTarget, Millis(4'000)));
  health.OnReachable(kTarget, Millis(4'000));
  CHECK(health.Usable(kTarget, Millis(4'000)));
  // A successful connection does not end an ejection by failed requests.
  CHECK(Record(TargetOutcome::kFailed, 6, Millis(5'000)));
  health.OnReachable(kTarget, Millis(5'001));
  CHECK(!health.Usable(kTarget, Millis(5'001)));
}

}  // namespace
}  // namespace sparbend
