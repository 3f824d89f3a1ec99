#include "sparbend/core/overload.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr int64_t kTickMs = 50;

TEST_GROUP(Overload) {
  Overload overload;
  int64_t now_ms = 0;

  // Ticks for `duration_ms`, each time with a delay of `delay_ms`.
  void RunTicks(int64_t delay_ms, int64_t duration_ms,
                int64_t tick_ms = kTickMs) {
    for (const int64_t end_ms = now_ms + duration_ms; now_ms < end_ms;) {
      now_ms += tick_ms;
      overload.OnTick(Millis(delay_ms), Millis(now_ms));
    }
  }
};

TEST(Overload, StateFollowsTheDelay) {
  struct Case {
    const char* what;
    int64_t delay_ms;
    int64_t duration_ms;
    bool busy;
    bool saturated;
  };
  const Case cases[] = {
      {"no delay", 1, 2'000, false, false},
      {"one long step", 400, 50, false, false},
      {"short delay", 20, 2'000, false, false},
      {"delay longer than a tick", 60, 2'000, true, false},
      {"very long delay", 300, 4'000, true, true},
      {"one step of a minute", 60'000, 1, false, false},
  };
  for (const Case& row : cases) {
    overload = Overload();
    now_ms = 0;
    RunTicks(row.delay_ms, row.duration_ms);
    CHECK_EQUAL_TEXT(row.busy, overload.busy(), row.what);
    CHECK_EQUAL_TEXT(row.saturated, overload.saturated(), row.what);
  }
}

// An idle box ticks only twice a second.
TEST(Overload, EndsAsFastWhenTicksAreRare) {
  for (const int64_t tick_ms : {50, 100, 500}) {
    overload = Overload();
    RunTicks(300, 4'000);
    CHECK(overload.saturated());
    RunTicks(0, 1'000, tick_ms);
    CHECK(!overload.saturated());
    RunTicks(0, 2'000, tick_ms);
    CHECK(!overload.busy());
  }
}

TEST(Overload, BusyEndsAfterTheRecoveryTime) {
  RunTicks(120, 2'000);
  CHECK(overload.busy());
  RunTicks(0, 500);
  CHECK(overload.busy());
  RunTicks(0, 2'000);
  CHECK(!overload.busy());
}

}  // namespace
}  // namespace sparbend
