// Guards against a cost per choice that grows with the pool. A box with an
// eighth of a core could not keep up with eight requests a second in a fleet of
// 320 engines, because each choice compared all engines and each waiting
// request chose again every few milliseconds.
//
// The tests compare samples with the full set of targets.
#include "sparbend/core/candidates.h"

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr PoolId kPool = 1;
constexpr TargetId kFirstTarget = 1'000;

TEST_GROUP(Candidates) {
  Candidates candidates{"h0"};
  std::map<TargetId, double> queues;
  std::set<TargetId> unusable;
  std::set<TargetId> excluded;

  void SetUp(int targets, int halls) {
    std::vector<PlacementTarget> all;
    for (int i = 0; i < targets; ++i)
      all.push_back({kFirstTarget + static_cast<TargetId>(i), kPool,
                     "h" + std::to_string(i % halls), 8, false});
    candidates.SetSeed(77);
    candidates.SetTargets(all);
  }

  void Refresh(Millis now) {
    candidates.Refresh(
        {[&](TargetId target) { return !unusable.contains(target); },
         [&](const PlacementTarget& target) {
           return excluded.contains(target.id);
         },
         [&](const PlacementTarget& target) { return queues[target.id]; },
         [](const PlacementTarget&) { return true; }},
        now);
  }

  auto Sample(uint64_t request, int round = 0,
              std::vector<TargetId> always_include = {}) -> std::set<TargetId> {
    Candidates::Query query;
    query.request = request;
    query.round = round;
    query.always_include = std::move(always_include);
    std::set<TargetId> ids;
    for (const PlacementTarget* target : candidates.Sample(
             kPool, query, [](const PlacementTarget&) { return true; }))
      ids.insert(target->id);
    return ids;
  }
};

TEST(Candidates, SampleIsAllOfASmallPoolAndBoundedForALargeOne) {
  struct Case {
    int targets;
    size_t min_size;
    size_t max_size;
  };
  const Case cases[] = {
      {9, 9, 9}, {60, 60, 60}, {320, 16, 30}, {10'000, 16, 30}};
  for (const Case& row : cases) {
    SetUp(row.targets, 5);
    Refresh(Millis(0));
    const size_t size = Sample(1).size();
    CHECK(size >= row.min_size);
    CHECK(size <= row.max_size);
  }
}

TEST(Candidates, SampleHasTargetsToIncludeAndNoUnusableOnes) {
  SetUp(320, 5);
  unusable = {kFirstTarget + 5, kFirstTarget + 6};
  Refresh(Millis(0));
  for (uint64_t request = 0; request < 200; ++request) {
    const auto sample =
        Sample(request, 0, {kFirstTarget + 5, kFirstTarget + 9});
    CHECK(sample.contains(kFirstTarget + 9));
    CHECK(!sample.contains(kFirstTarget + 5));
    CHECK(!sample.contains(kFirstTarget + 6));
  }
}

// If all targets fail, the request is still attempted.
TEST(Candidates, SampleIsAllTargetsWhenNoneIsUsable) {
  SetUp(320, 5);
  for (int i = 0; i < 320; ++i)
    unusable.insert(kFirstTarget + static_cast<TargetId>(i));
  Refresh(Millis(0));
  LONGS_EQUAL(320, Sample(1).size());
}

// A waiting request soon samples the one target that has room.
TEST(Candidates, NearlyEveryTargetIsSampledWithinSomeRounds) {
  constexpr int kTargets = 320;
  constexpr int kRounds = 150;  // three seconds at one round per 20 ms
  SetUp(kTargets, 5);
  Refresh(Millis(0));
  std::set<TargetId> sampled;
  for (int round = 0; round < kRounds; ++round)
    sampled.merge(Sample(9, round));
  CHECK(sampled.size() >= kTargets - 5);
}

TEST(Candidates, BestOfASampleIsNearlyTheBestOfAll) {
  constexpr int kTargets = 320;
  constexpr int kRequests = 2'000;
  SetUp(kTargets, 5);
  uint64_t random = 1;
  for (int i = 0; i < kTargets; ++i) {
    random = random * 6364136223846793005 + 1442695040888963407;
    queues[kFirstTarget + static_cast<TargetId>(i)] =
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
    for (const TargetId target : Sample(request))
      best = std::min(best, queues[target]);
    in_first_tenth += best <= sorted[kTargets / 10] ? 1 : 0;
  }
  CHECK(in_first_tenth >= kRequests * 85 / 100);
}

// Most targets in a box's samples stay the same from request to request, and
// are in its own hall, so that connections are reused. Other boxes sample other
// targets.
TEST(Candidates, SamplesOfABoxAreMostlyTheSameAndFromItsHall) {
  SetUp(320, 5);
  Refresh(Millis(0));
  const auto first_sample = Sample(1);
  const auto second_sample = Sample(2);
  std::vector<TargetId> common;
  std::ranges::set_intersection(first_sample, second_sample,
                                std::back_inserter(common));
  CHECK(common.size() >= 10);
  for (const TargetId target : common)
    LONGS_EQUAL(0, (target - kFirstTarget) % 5);
  candidates.SetSeed(78);
  Refresh(Millis(0));
  const auto other_box_sample = Sample(1);
  common.clear();
  std::ranges::set_intersection(first_sample, other_box_sample,
                                std::back_inserter(common));
  CHECK(common.size() < 16);
}

// Unusable targets are tried when there is no other; excluded ones never are.
TEST(Candidates, ExcludedTargetIsNotUsedAsLastResort) {
  SetUp(3, 1);
  unusable = {kFirstTarget + 1};
  excluded = {kFirstTarget, kFirstTarget + 2};
  Refresh(Millis(0));
  const auto sample =
      Sample(1, 0, {kFirstTarget, kFirstTarget + 1, kFirstTarget + 2});
  LONGS_EQUAL(1, sample.size());
  CHECK(sample.contains(kFirstTarget + 1));
  excluded.insert(kFirstTarget + 1);
  candidates.Invalidate();
  Refresh(Millis(0));
  LONGS_EQUAL(0, Sample(1, 0, {kFirstTarget, kFirstTarget + 1}).size());
}

TEST(Candidates, StateIsRefreshedAfterTheIntervalAndOnInvalidate) {
  SetUp(3, 1);
  queues = {{kFirstTarget, 30}, {kFirstTarget + 1, 20}, {kFirstTarget + 2, 40}};
  Refresh(Millis(0));
  DOUBLES_EQUAL(20, *candidates.MinQueueMs(kPool), 0.01);
  queues[kFirstTarget] = 10;
  Refresh(Millis(5));
  DOUBLES_EQUAL(20, *candidates.MinQueueMs(kPool), 0.01);
  candidates.Invalidate();
  Refresh(Millis(5));
  DOUBLES_EQUAL(10, *candidates.MinQueueMs(kPool), 0.01);
  queues[kFirstTarget + 2] = 5;
  Refresh(Millis(500));
  DOUBLES_EQUAL(5, *candidates.MinQueueMs(kPool), 0.01);
  CHECK(!candidates.MinQueueMs(kPool + 1).has_value());
}

}  // namespace
}  // namespace sparbend
