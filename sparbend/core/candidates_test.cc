// Symptom. A box of an eighth of a core falls behind at eight requests a second
// in a fleet of 320 engines: each choice looks at all engines, and each request
// that waits chooses again every few milliseconds.
//
// The oracle weighs all targets.
#include "sparbend/core/candidates.h"

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr PoolId kPool = 1;
constexpr TargetId kFirst = 1'000;

TEST_GROUP(Candidates) {
  Candidates candidates{"h0"};
  std::map<TargetId, double> queues;
  std::set<TargetId> unusable;
  std::set<TargetId> barred;

  void SetUp(int targets, int halls) {
    std::vector<PlacementTarget> all;
    for (int i = 0; i < targets; ++i)
      all.push_back({kFirst + static_cast<TargetId>(i), kPool,
                     "h" + std::to_string(i % halls), 8, false});
    candidates.SetSeed(77);
    candidates.SetTargets(all);
  }

  void Refresh(Millis now) {
    candidates.Refresh(
        {[&](TargetId target) { return !unusable.contains(target); },
         [&](const PlacementTarget& target) {
           return barred.contains(target.id);
         },
         [&](const PlacementTarget& target) { return queues[target.id]; },
         [](const PlacementTarget&) { return true; }},
        now);
  }

  auto Few(uint64_t request, int turn = 0, std::vector<TargetId> named = {})
      -> std::set<TargetId> {
    Candidates::Ask ask;
    ask.request = request;
    ask.turn = turn;
    ask.named = std::move(named);
    std::set<TargetId> ids;
    for (const PlacementTarget* target :
         candidates.Few(kPool, ask, [](const std::string&) { return true; }))
      ids.insert(target->id);
    return ids;
  }
};

TEST(Candidates, AreAllOfASmallPoolAndABoundedFewOfALargeOne) {
  struct Case {
    int targets;
    size_t least;
    size_t most;
  };
  const Case cases[] = {
      {9, 9, 9}, {60, 60, 60}, {320, 16, 30}, {10'000, 16, 30}};
  for (const Case& row : cases) {
    SetUp(row.targets, 5);
    Refresh(Millis(0));
    const size_t count = Few(1).size();
    CHECK(count >= row.least);
    CHECK(count <= row.most);
  }
}

TEST(Candidates, HoldTheNamedOnesAndNoneThatFail) {
  SetUp(320, 5);
  unusable = {kFirst + 5, kFirst + 6};
  Refresh(Millis(0));
  for (uint64_t request = 0; request < 200; ++request) {
    const auto few = Few(request, 0, {kFirst + 5, kFirst + 9});
    CHECK(few.contains(kFirst + 9));
    CHECK(!few.contains(kFirst + 5));
    CHECK(!few.contains(kFirst + 6));
  }
}

// All fail: the request is worth a try all the same.
TEST(Candidates, AreAllTheSameWhenNoneIsUsable) {
  SetUp(320, 5);
  for (int i = 0; i < 320; ++i)
    unusable.insert(kFirst + static_cast<TargetId>(i));
  Refresh(Millis(0));
  LONGS_EQUAL(320, Few(1).size());
}

// A request that waits finds the one target with room before long.
TEST(Candidates, ReachEveryTargetWithinSomeTurns) {
  constexpr int kTargets = 320;
  constexpr int kTurns = 150;  // three seconds
  SetUp(kTargets, 5);
  Refresh(Millis(0));
  std::set<TargetId> seen;
  for (int turn = 0; turn < kTurns; ++turn)
    seen.merge(Few(9, turn));
  CHECK(seen.size() >= kTargets - 5);
}

TEST(Candidates, TheBestOfAFewIsNearlyTheBestOfAll) {
  constexpr int kTargets = 320;
  constexpr int kRequests = 2'000;
  SetUp(kTargets, 5);
  uint64_t random = 1;
  for (int i = 0; i < kTargets; ++i) {
    random = random * 6364136223846793005 + 1442695040888963407;
    queues[kFirst + static_cast<TargetId>(i)] =
        static_cast<double>((random >> 33) % 1'000);
  }
  Refresh(Millis(0));
  std::vector<double> sorted;
  for (const auto& [target, queue] : queues)
    sorted.push_back(queue);
  std::ranges::sort(sorted);
  int in_first_tenth = 0;
  for (uint64_t request = 0; request < kRequests; ++request) {
    double best = 1e9;
    for (const TargetId target : Few(request))
      best = std::min(best, queues[target]);
    in_first_tenth += best <= sorted[kTargets / 10] ? 1 : 0;
  }
  CHECK(in_first_tenth >= kRequests * 85 / 100);
}

// So that connections are used again: most of what a box weighs is the same
// from request to request, and of its own hall; other boxes weigh others.
TEST(Candidates, OfABoxAreMostlyTheSameAndOfItsHall) {
  SetUp(320, 5);
  Refresh(Millis(0));
  const auto one = Few(1);
  const auto other = Few(2);
  std::vector<TargetId> both;
  std::ranges::set_intersection(one, other, std::back_inserter(both));
  CHECK(both.size() >= 10);
  for (const TargetId target : both)
    LONGS_EQUAL(0, (target - kFirst) % 5);
  candidates.SetSeed(78);
  Refresh(Millis(0));
  const auto elsewhere = Few(1);
  both.clear();
  std::ranges::set_intersection(one, elsewhere, std::back_inserter(both));
  CHECK(both.size() < 16);
}

// Those that are unusable are tried when there is no other, barred ones never.
TEST(Candidates, ABarredTargetIsNoLastResort) {
  SetUp(3, 1);
  unusable = {kFirst + 1};
  barred = {kFirst, kFirst + 2};
  Refresh(Millis(0));
  const auto few = Few(1, 0, {kFirst, kFirst + 1, kFirst + 2});
  LONGS_EQUAL(1, few.size());
  CHECK(few.contains(kFirst + 1));
  barred.insert(kFirst + 1);
  candidates.Invalidate();
  Refresh(Millis(0));
  LONGS_EQUAL(0, Few(1, 0, {kFirst, kFirst + 1}).size());
}

TEST(Candidates, ViewsAreRefreshedAfterAWhileAndOnNews) {
  SetUp(3, 1);
  queues = {{kFirst, 30}, {kFirst + 1, 20}, {kFirst + 2, 40}};
  Refresh(Millis(0));
  DOUBLES_EQUAL(20, *candidates.LeastQueueMs(kPool), 0.01);
  queues[kFirst] = 10;
  Refresh(Millis(5));
  DOUBLES_EQUAL(20, *candidates.LeastQueueMs(kPool), 0.01);
  candidates.Invalidate();
  Refresh(Millis(5));
  DOUBLES_EQUAL(10, *candidates.LeastQueueMs(kPool), 0.01);
  queues[kFirst + 2] = 5;
  Refresh(Millis(500));
  DOUBLES_EQUAL(5, *candidates.LeastQueueMs(kPool), 0.01);
  CHECK(!candidates.LeastQueueMs(kPool + 1).has_value());
}

}  // namespace
}  // namespace sparbend
