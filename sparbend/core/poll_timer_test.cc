#include "sparbend/core/poll_timer.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

TEST_GROUP(PollTimer){};

// Simulates the boxes of a fleet for 60 s. In the last 30 s, bounds the longest
// time without a poll of any box and the number of polls of all boxes.
TEST(PollTimer, GapsAndTotalRateAreBoundedForAnyFleetSize) {
  struct Case {
    size_t boxes;
    int64_t
        max_gap_ms;  // half of the time within which a change must be applied
    int64_t max_polls;  // of all boxes, in 30 s
  };
  const Case cases[] = {
      {3, 750, 350},
      {9, 1'000, 350},
      {58, 1'000, 350},
      {300, 1'000, 500},
  };
  for (const Case& row : cases) {
    std::vector<PollTimer> timers;
    for (size_t box = 0; box < row.boxes; ++box)
      timers.emplace_back(box);
    std::vector<int64_t> polls_ms;
    for (int64_t now_ms = 0; now_ms < 60'000; ++now_ms) {
      for (PollTimer& timer : timers) {
        if (!timer.Due(Millis(now_ms)))
          continue;
        timer.MarkPolled(row.boxes, Millis(now_ms));
        if (now_ms >= 30'000)
          polls_ms.push_back(now_ms);
      }
    }
    int64_t gap_ms = 0;
    for (size_t i = 1; i < polls_ms.size(); ++i)
      gap_ms = std::max(gap_ms, polls_ms[i] - polls_ms[i - 1]);
    CHECK_TRUE(gap_ms <= row.max_gap_ms);
    CHECK_TRUE(static_cast<int64_t>(polls_ms.size()) <= row.max_polls);
  }
}

}  // namespace
}  // namespace sparbend
