#include "sparbend/core/fair_shares.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr PoolId kPool = 1;
constexpr Flow kFlood{kPool, 1};
constexpr Flow kLight{kPool, 2};
constexpr BoxId kPeer = 7;
constexpr Millis kNow(1'000);

TEST_GROUP(FairShares){};

// Two flows of a pool of so many tokens a second; what `kFlood` may still take.
TEST(FairShares, WhoIsFarAheadOfAHungryFlowYields) {
  struct Case {
    const char* what;
    int64_t capacity;
    int64_t flood_served;
    int64_t light_served;
    int64_t light_denied;
    bool yields;
  };
  const Case cases[] = {
      {"nobody was served", 500'000, 0, 0, 0, false},
      {"both alike", 500'000, 500'000, 500'000, 0, false},
      {"four times the other, which asks no more", 900'000, 1'200'000, 300'000,
       0, false},
      {"the same, twice what it is owed", 450'000, 1'200'000, 300'000, 0, true},
      {"the other is refused much", 500'000, 1'200'000, 300'000, 800'000, true},
      {"the same, capacity not declared", 0, 1'200'000, 300'000, 800'000, true},
      {"it is owed more than that", 5'000'000, 1'200'000, 300'000, 800'000,
       false},
      {"the other is refused little", 900'000, 1'200'000, 300'000, 120'000,
       false},
      {"a few requests refused", 100'000, 120'000, 30'000, 90'000, false},
      {"both alike, one refused", 500'000, 500'000, 400'000, 900'000, false},
  };
  for (const Case& row : cases) {
    FairShares parts;
    parts.SetCapacity(kPool, row.capacity);
    parts.Served(kFlood, row.flood_served, kNow);
    parts.Served(kLight, row.light_served, kNow);
    parts.Denied(kLight, row.light_denied, kNow);
    CHECK_EQUAL_TEXT(row.yields,
                     parts.Excess(kFlood, kNow) == FairShares::kMustYield,
                     row.what);
    CHECK_TEXT(parts.Excess(kLight, kNow) < 1, row.what);
  }
}

TEST(FairShares, AFloodThatIsTheOnlyHungryFlowIsBoundedToo) {
  FairShares parts;
  parts.SetCapacity(kPool, 500'000);
  parts.Served(kFlood, 1'100'000, kNow);
  parts.Denied(kFlood, 4'000'000, kNow);
  parts.Served(kLight, 300'000, kNow);
  CHECK(parts.Excess(kFlood, kNow) == FairShares::kMustYield);
  LONGS_EQUAL(700'000, parts.StandingOf(kFlood, kNow).owed);
  LONGS_EQUAL(1'050'000, parts.StandingOf(kFlood, kNow).ceiling);
}

TEST(FairShares, WhoIsOwedMoreAndRefusedTightensTheBound) {
  FairShares parts;
  parts.SetCapacity(kPool, 500'000);
  parts.Served(kFlood, 600'000, kNow);
  parts.Served(kLight, 200'000, kNow);
  // Both are owed 500,000 of the million of two seconds.
  parts.Denied(kLight, 2'000'000, kNow);
  LONGS_EQUAL(500'000, parts.StandingOf(kFlood, kNow).owed);
  CHECK(parts.Excess(kFlood, kNow) == FairShares::kMustYield);
  // Once it has nearly that, the other may have more again.
  parts.Served(kLight, 280'000, kNow);
  const Millis later = kNow + Millis(20);  // levels are worked out anew
  CHECK(parts.Excess(kFlood, later) < FairShares::kMustYield);
}

TEST(FairShares, WhatPeersSawCountsAndFades) {
  FairShares parts;
  parts.Served(kFlood, 1'200'000, kNow);
  parts.UpdateFromPeer(kPeer, {{kLight, 300'000}}, {{kLight, 800'000}}, kNow);
  CHECK(parts.Excess(kFlood, kNow) == FairShares::kMustYield);
  // Ten seconds on nobody remembers.
  const Millis later = kNow + Millis(10'000);
  CHECK(parts.Excess(kFlood, later) < FairShares::kMustYield);
  // A flow with very much more than the others is limited all the same.
  FairShares many;
  for (WorkspaceId workspace = 3; workspace < 20; ++workspace)
    many.Served({kPool, workspace}, 10'000, kNow);
  many.Served(kFlood, 400'000, kNow);
  CHECK(many.Excess(kFlood, kNow) > 1);
}

}  // namespace
}  // namespace sparbend
