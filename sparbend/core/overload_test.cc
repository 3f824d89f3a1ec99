#include "sparbend/core/overload.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr int64_t kTickMs = 50;

TEST_GROUP(Overload) {
  Overload overload;
  int64_t now = 0;

  // Timers that all fire `late` ms late, for `span` ms.
  void Run(int64_t late, int64_t span) {
    for (const int64_t end = now + span; now < end;) {
      const int64_t planned = now + kTickMs;
      now = planned + late;
      overload.OnTimer(Millis(planned), Millis(now));
    }
  }
};

TEST(Overload, FollowsHowLateTimersFire) {
  struct Case {
    const char* what;
    int64_t late_ms;
    int64_t span_ms;
    bool busy;
    bool flooded;
  };
  const Case cases[] = {
      {"on time", 1, 2'000, false, false},
      {"one long pause", 400, 100, false, false},
      {"a little late all the time", 40, 2'000, false, false},
      {"late all the time", 90, 2'000, true, false},
      {"very late all the time", 300, 4'000, true, true},
      {"one pause of a minute", 60'000, 1, false, false},
  };
  for (const Case& row : cases) {
    overload = Overload();
    now = 0;
    Run(row.late_ms, row.span_ms);
    CHECK_EQUAL_TEXT(row.busy, overload.busy(), row.what);
    CHECK_EQUAL_TEXT(row.flooded, overload.flooded(), row.what);
  }
}

TEST(Overload, EndsOnceTimersFireInTimeForAWhile) {
  Run(120, 2'000);
  CHECK(overload.busy());
  Run(0, 500);
  CHECK(overload.busy());
  Run(0, 2'000);
  CHECK(!overload.busy());
}

}  // namespace
}  // namespace sparbend
