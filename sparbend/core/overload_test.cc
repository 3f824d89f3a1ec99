#include "sparbend/core/overload.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr int64_t kTickMs = 50;

TEST_GROUP(Overload) {
  Overload overload;
  int64_t now = 0;

  // Ticks for `span` ms, each with a delay of `behind` ms.
  void Run(int64_t behind, int64_t span, int64_t tick = kTickMs) {
    for (const int64_t end = now + span; now < end;) {
      now += tick;
      overload.OnTick(Millis(behind), Millis(now));
    }
  }
};

TEST(Overload, FollowsTheDelay) {
  struct Case {
    const char* what;
    int64_t behind_ms;
    int64_t span_ms;
    bool busy;
    bool flooded;
  };
  const Case cases[] = {
      {"reads at once", 1, 2'000, false, false},
      {"one long step", 400, 50, false, false},
      {"reads a little late", 20, 2'000, false, false},
      {"reads later than every tick", 60, 2'000, true, false},
      {"reads far too late", 300, 4'000, true, true},
      {"one step of a minute", 60'000, 1, false, false},
  };
  for (const Case& row : cases) {
    overload = Overload();
    now = 0;
    Run(row.behind_ms, row.span_ms);
    CHECK_EQUAL_TEXT(row.busy, overload.busy(), row.what);
    CHECK_EQUAL_TEXT(row.flooded, overload.flooded(), row.what);
  }
}

// A box without work ticks seldom.
TEST(Overload, EndsAsSoonHoweverRarelyItIsTold) {
  for (const int64_t tick : {50, 100, 500}) {
    overload = Overload();
    Run(300, 4'000);
    CHECK(overload.flooded());
    Run(0, 1'000, tick);
    CHECK(!overload.flooded());
    Run(0, 2'000, tick);
    CHECK(!overload.busy());
  }
}

TEST(Overload, EndsOnceItHasReadInTimeForAWhile) {
  Run(120, 2'000);
  CHECK(overload.busy());
  Run(0, 500);
  CHECK(overload.busy());
  Run(0, 2'000);
  CHECK(!overload.busy());
}

}  // namespace
}  // namespace sparbend
