#include "sparbend/core/fair_shares.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr PoolId kPool = 1;
constexpr Flow kOverload{kPool, 1};
constexpr Flow kLight{kPool, 2};
constexpr BoxId kPeer = 7;
constexpr Millis kTestTime(1'000);

// Makes the pool one that has been in use for seconds, by refusals of requests
// without cost.
void UseBefore(Millis now, FairShares* shares) {
  constexpr Flow kBackground{kPool, 99};
  for (Millis at = now - Millis(6'000); at <= now; at = at + Millis(1'000))
    shares->RecordDenied(kBackground, 0, at);
}

TEST_GROUP(FairShares){};

// Two flows in a pool with `capacity` tokens per second; whether kOverload must
// yield.
TEST(FairShares, FlowFarAheadOfAnUnderservedFlowMustYield) {
  struct Case {
    const char* what;
    int64_t capacity;
    int64_t overload_served;
    int64_t light_served;
    int64_t light_denied;
    bool yields;
  };
  const Case cases[] = {
      {"no flow was served", 500'000, 0, 0, 0, false},
      {"same service", 500'000, 500'000, 500'000, 0, false},
      {"four times the other, which requests no more", 900'000, 1'200'000,
       300'000, 0, false},
      {"the same, at twice its entitlement", 450'000, 1'200'000, 300'000, 0,
       true},
      {"many refusals of the other flow", 500'000, 1'200'000, 300'000, 800'000,
       true},
      {"the same, capacity not declared", 0, 1'200'000, 300'000, 800'000, true},
      {"entitlement above its service", 5'000'000, 1'200'000, 300'000, 800'000,
       false},
      {"few refusals of the other flow", 900'000, 1'200'000, 300'000, 120'000,
       false},
      {"refusals below the minimum", 100'000, 120'000, 30'000, 90'000, false},
      {"similar service, one refused", 500'000, 500'000, 400'000, 900'000,
       false},
  };
  for (const Case& row : cases) {
    FairShares shares;
    shares.SetCapacity(kPool, row.capacity);
    UseBefore(kTestTime, &shares);
    shares.RecordServed(kOverload, row.overload_served, kTestTime);
    shares.RecordServed(kLight, row.light_served, kTestTime);
    shares.RecordDenied(kLight, row.light_denied, kTestTime);
    CHECK_EQUAL_TEXT(
        row.yields,
        shares.RatioToFairShare(kOverload, kTestTime) == FairShares::kMustYield,
        row.what);
    CHECK_TEXT(shares.RatioToFairShare(kLight, kTestTime) < 1, row.what);
  }
}

TEST(FairShares, OnlyUnderservedFlowIsBoundedByItsEntitlement) {
  FairShares shares;
  shares.SetCapacity(kPool, 500'000);
  UseBefore(kTestTime, &shares);
  shares.RecordServed(kOverload, 1'100'000, kTestTime);
  shares.RecordDenied(kOverload, 4'000'000, kTestTime);
  shares.RecordServed(kLight, 300'000, kTestTime);
  CHECK(shares.RatioToFairShare(kOverload, kTestTime) ==
        FairShares::kMustYield);
  LONGS_EQUAL(700'000, shares.StateOf(kOverload, kTestTime).entitled);
  LONGS_EQUAL(1'050'000, shares.StateOf(kOverload, kTestTime).ceiling);
}

TEST(FairShares, UnderservedFlowBelowItsEntitlementLowersTheCeiling) {
  FairShares shares;
  shares.SetCapacity(kPool, 500'000);
  UseBefore(kTestTime, &shares);
  shares.RecordServed(kOverload, 600'000, kTestTime);
  shares.RecordServed(kLight, 200'000, kTestTime);
  // Each is entitled to 500,000 of the million tokens of the two seconds that
  // decayed amounts stand for.
  shares.RecordDenied(kLight, 2'000'000, kTestTime);
  LONGS_EQUAL(500'000, shares.StateOf(kOverload, kTestTime).entitled);
  CHECK(shares.RatioToFairShare(kOverload, kTestTime) ==
        FairShares::kMustYield);
  // When the light flow is near its entitlement, the ceiling rises again.
  shares.RecordServed(kLight, 280'000, kTestTime);
  const Millis later = kTestTime + Millis(20);  // levels are recomputed
  CHECK(shares.RatioToFairShare(kOverload, later) < FairShares::kMustYield);
}

TEST(FairShares, OnlyFlowsOfAContendedPoolAreBelowTheirEntitlement) {
  const struct {
    const char* what;
    int64_t light_served;
    int64_t light_denied;
    bool below_entitlement;
  } cases[] = {
      {"enough for all requests", 200'000, 0, false},
      {"half of its entitlement", 250'000, 2'000'000, true},
      {"nearly its entitlement", 480'000, 2'000'000, false},
  };
  for (const auto& row : cases) {
    FairShares shares;
    shares.SetCapacity(kPool, 500'000);
    UseBefore(kTestTime, &shares);
    shares.RecordServed(kOverload, 600'000, kTestTime);
    shares.RecordServed(kLight, row.light_served, kTestTime);
    shares.RecordDenied(kLight, row.light_denied, kTestTime);
    CHECK_EQUAL_TEXT(
        row.below_entitlement,
        shares.ShareForPlacement(kLight, kTestTime).below_entitlement,
        row.what);
    CHECK_FALSE_TEXT(
        shares.ShareForPlacement(kOverload, kTestTime).below_entitlement,
        row.what);
  }
}

// Nobody is entitled to the work of seconds that are still to come.
TEST(FairShares, PoolThatHasJustBegunHasLessCapacity) {
  FairShares shares;
  shares.SetCapacity(kPool, 500'000);
  shares.RecordServed(kOverload, 300'000, kTestTime);
  LONGS_EQUAL(250'000, shares.StateOf(kOverload, kTestTime).entitled);
  UseBefore(kTestTime, &shares);
  const Millis later = kTestTime + Millis(20);
  shares.RecordServed(kOverload, 900'000, later);
  LONGS_EQUAL(1'000'000, shares.StateOf(kOverload, later).entitled);
}

TEST(FairShares, FlowThatBeginsWaitsBeyondItsAdvanceUntilOthersAreKnown) {
  constexpr int64_t kCapacity = 800'000;
  const Millis report_delay(200);
  struct Case {
    const char* what;
    int boxes;
    int64_t served;
    Millis later;
    bool yields;
    // Of the flow, in a peer's report just before.
    std::optional<int64_t> reported = std::nullopt;
  };
  for (const Case& row : {
           Case{"no more than its advance", 8, 50'000, Millis(0), false},
           Case{"more", 8, 51'000, Millis(0), true},
           Case{"the same, of a fleet of one box", 1, 51'000, Millis(0), false},
           Case{"a part of the capacity is added", 8, 51'000, Millis(50),
                false},
           Case{"far more", 8, 90'000, Millis(199), true},
           Case{"the same, with reports of the others", 8, 90'000, report_delay,
                false},
           Case{"a report that is too early", 8, 90'000, Millis(99), true, 0},
           Case{"a later one, without the flow", 8, 90'000, Millis(199), false,
                0},
           Case{"a later one, with the flow", 8, 90'000, Millis(199), true,
                400'000},
       }) {
    FairShares shares;
    shares.SetCapacity(kPool, kCapacity);
    shares.SetReporting(row.boxes, report_delay);
    shares.RecordServed(kOverload, row.served, kTestTime);
    const Millis now = kTestTime + row.later;
    if (row.reported)
      shares.UpdateFromPeer(
          kPeer, {{kLight, 10'000}, {kOverload, *row.reported}}, {}, now);
    CHECK_EQUAL_TEXT(row.yields,
                     shares.ShareForPlacement(kOverload, now).ratio ==
                         FairShares::kMustYield,
                     row.what);
    CHECK_TEXT(shares.RatioToFairShare(kOverload, now) < 1, row.what);
  }
}

TEST(FairShares, PeerReportsCountAndDecay) {
  FairShares shares;
  shares.RecordServed(kOverload, 1'200'000, kTestTime);
  shares.UpdateFromPeer(kPeer, {{kLight, 300'000}}, {{kLight, 800'000}},
                        kTestTime);
  CHECK(shares.RatioToFairShare(kOverload, kTestTime) ==
        FairShares::kMustYield);
  // After ten seconds the amounts have decayed.
  const Millis later = kTestTime + Millis(10'000);
  CHECK(shares.RatioToFairShare(kOverload, later) < FairShares::kMustYield);
  // A flow with far more service than the others has had its fair share, also
  // if no flow is underserved.
  FairShares pool_of_many;
  for (WorkspaceId workspace = 3; workspace < 20; ++workspace)
    pool_of_many.RecordServed({kPool, workspace}, 10'000, kTestTime);
  pool_of_many.RecordServed(kOverload, 400'000, kTestTime);
  CHECK(pool_of_many.RatioToFairShare(kOverload, kTestTime) > 1);
}

TEST_GROUP(FlowThatMoves){};

// A flow that other boxes have reported for seconds begins at this one.
TEST(FlowThatMoves, IsNotTakenToArriveThroughAllBoxes) {
  constexpr int64_t kCapacity = 1'000'000;
  constexpr int64_t kServedElsewhere = 400'000;
  const Millis report_delay(1'300);
  struct Case {
    const char* what;
    Millis before;  // when its first request arrived here, before `now`
  };
  for (const Case& row : {
           Case{"just now", Millis(0)},
           Case{"half a second ago", Millis(500)},
           Case{"just within the delay of reports", Millis(1'250)},
       }) {
    FairShares shares;
    shares.SetCapacity(kPool, kCapacity);
    shares.SetReporting(295, report_delay);
    UseBefore(kTestTime, &shares);
    const Millis now = kTestTime + Millis(4'000);
    for (Millis at = kTestTime; at <= now; at = at + Millis(50)) {
      if (now - at <= row.before) {
        shares.RecordServed(kOverload, 4'000, at);
        shares.RecordDenied(kOverload, 200'000, at);
      }
      shares.UpdateFromPeer(kPeer, {{kOverload, kServedElsewhere}},
                            {{kOverload, 2 * kServedElsewhere}}, at);
    }
    const FairShares::FlowState state = shares.StateOf(kOverload, now);
    CHECK_TEXT(state.served < 600'000, row.what);
    CHECK_TEXT(state.estimated <= 2 * state.served, row.what);
  }
}

}  // namespace
}  // namespace sparbend
