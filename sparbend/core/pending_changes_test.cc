#include "sparbend/core/pending_changes.h"

#include <vector>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

namespace sparbend {
namespace {

TEST_GROUP(PendingChanges){};

// Guards against an age that grows for as long as changes come faster than they
// are put in use, though each is in use soon after it was reported.
TEST(PendingChanges, AgeInAStormOfChangesIsThatOfTheOldestUnusedOne) {
  PendingChanges pending;
  constexpr int kChanges = 500;
  constexpr Millis kInterval(20);
  constexpr int kBehind = 15;
  for (int change = 1; change <= kChanges; ++change) {
    const Millis now(change * kInterval.count());
    pending.OnReported({0, change}, now);
    pending.OnUsed({0, change - kBehind});
    LONGS_EQUAL((std::min(change, kBehind) - 1) * kInterval.count(),
                pending.OldestAge(now).count());
  }
}

TEST(PendingChanges, AgreesWithAListOfAllChanges) {
  CHECK(rc::check([] {
    PendingChanges pending;
    std::vector<Millis> reported_at;  // by change
    int64_t used = 0;
    Millis now(1);
    for (int step = 0; step < 200; ++step) {
      now = now + Millis(*rc::gen::inRange(0, 100));
      const auto offset = *rc::gen::inRange<int64_t>(0, 60);
      if (*rc::gen::arbitrary<bool>()) {
        pending.OnReported({0, offset}, now);
        while (static_cast<int64_t>(reported_at.size()) < offset)
          reported_at.push_back(now);
      } else {
        pending.OnUsed({0, offset});
        used = std::max(used, offset);
        while (static_cast<int64_t>(reported_at.size()) < used)
          reported_at.push_back(now);
      }
      const bool behind = used < static_cast<int64_t>(reported_at.size());
      const Millis expected =
          behind ? now - reported_at[static_cast<size_t>(used)] : Millis(0);
      RC_ASSERT(pending.OldestAge(now) == expected);
    }
  }));
}

TEST(PendingChanges, TracksABoundedNumberOfOffsets) {
  PendingChanges pending;
  constexpr int64_t kMany = 10'000;
  for (int64_t offset = 1; offset <= kMany; ++offset)
    pending.OnReported({0, offset}, Millis(offset));
  const Millis now(kMany);
  LONGS_EQUAL(kMany - 1, pending.OldestAge(now).count());
  const auto tracked = static_cast<int64_t>(PendingChanges::kMaxTracked);
  pending.OnUsed({0, tracked});
  LONGS_EQUAL(kMany - tracked, pending.OldestAge(now).count());
  pending.OnUsed({0, kMany});
  LONGS_EQUAL(0, pending.OldestAge(now).count());
}

}  // namespace
}  // namespace sparbend
