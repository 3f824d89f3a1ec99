#include "sparbend/core/poll_timer.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

TEST_GROUP(PollTimer){};

// Boxes of a fleet look for half a minute; how long nobody looked at most, and
// how often all did.
TEST(PollTimer, SomeBoxLooksSoonAndTheFleetNoOftenerWhateverItsSize) {
  struct Case {
    size_t boxes;
    int64_t longest_gap_ms;  // a half of the bound on taking a change
    int64_t most_looks;      // of the fleet, in 30 s
  };
  const Case cases[] = {
      {3, 750, 350},
      {9, 1'000, 350},
      {58, 1'000, 350},
      {300, 1'000, 500},
  };
  for (const Case& row : cases) {
    std::vector<PollTimer> clocks;
    for (size_t box = 0; box < row.boxes; ++box)
      clocks.emplace_back(box);
    std::vector<int64_t> looks;
    for (int64_t now = 0; now < 60'000; ++now) {
      for (PollTimer& clock : clocks) {
        if (!clock.Due(Millis(now)))
          continue;
        clock.MarkPolled(row.boxes, Millis(now));
        if (now >= 30'000)
          looks.push_back(now);
      }
    }
    int64_t gap = 0;
    for (size_t i = 1; i < looks.size(); ++i)
      gap = std::max(gap, looks[i] - looks[i - 1]);
    CHECK_TRUE(gap <= row.longest_gap_ms);
    CHECK_TRUE(static_cast<int64_t>(looks.size()) <= row.most_looks);
  }
}

}  // namespace
}  // namespace sparbend
