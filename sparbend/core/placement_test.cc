#include "sparbend/core/placement.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr PoolId kEngines = 1;
constexpr PoolId kServices = 2;
constexpr TargetId kFirst = 101;
constexpr TargetId kSecond = 102;

auto Load(TargetId target, uint32_t waiting) -> TargetLoad {
  return {target, 1, waiting, 10};
}

TEST_GROUP(Placement) {
  Placement placement{"h"};
  uint64_t next_id = 1;

  void setup() override {
    placement.SetTargets({{kFirst, kEngines, "h", 8, false},
                          {kSecond, kEngines, "h", 8, false},
                          {201, kServices, "h", 2, false},
                          {202, kServices, "far", 2, false}});
    placement.SetPools({{kEngines, {100'000, 0}}, {kServices, {0, 0}}});
  }

  auto Engine(int64_t shared, int64_t own, PrefixId prefix = 1)
      -> QueuedRequest {
    QueuedRequest request;
    request.id = next_id++;
    request.flow = {kEngines, 1};
    request.work.prompt_tokens = shared + own;
    request.work.output_tokens = 10;
    request.work.first_byte_due = Millis(800);
    if (shared > 0)
      request.work.prefixes = {{prefix, shared}};
    return request;
  }

  auto Service() -> QueuedRequest {
    QueuedRequest request;
    request.id = next_id++;
    request.flow = {kServices, 1};
    return request;
  }

  auto Choose(const QueuedRequest& request, double excess = 0)
      -> std::optional<Choice> {
    return placement.Choose(
        request, [](const std::string&) { return true; }, excess, Millis(0));
  }

  auto Send(const QueuedRequest& request) -> TargetId {
    const std::optional<Choice> choice = Choose(request);
    if (!choice)
      return 0;
    placement.Start(request, *choice, Millis(0));
    return choice->target;
  }
};

TEST(Placement, RequestsWithOnePrefixGoToOneEngine) {
  std::set<TargetId> used;
  for (int i = 0; i < 5; ++i)
    used.insert(Send(Engine(10'000, 100)));
  LONGS_EQUAL(1, used.size());
}

TEST(Placement, BoxesThatNeverTalkedChooseTheSameHome) {
  for (PrefixId prefix = 1; prefix < 50; ++prefix) {
    Placement other("elsewhere");
    other.SetTargets({{kSecond, kEngines, "h", 8, false},
                      {kFirst, kEngines, "h", 8, false}});
    const QueuedRequest request = Engine(10'000, 100, prefix);
    const auto there = other.Choose(
        request, [](const std::string&) { return true; }, 0, Millis(0));
    CHECK(there && Choose(request));
    LONGS_EQUAL(there->target, Choose(request)->target);
  }
}

// Engines that hand over cached prefixes: a holder first, then any engine in
// time with the prefix from a holder that has read it.
TEST(Placement, APrefixIsHandedOverWhereNoHolderIsInTime) {
  placement.SetPools({{kEngines, {100'000, 0, 1'000.0}}});
  struct Case {
    const char* what;
    std::optional<Millis> sent;  // to kFirst; none: nobody holds the prefix
    uint32_t first_queue;        // tokens
    Millis asked;
    std::optional<TargetId> target;  // none: the home, whichever that is
    TargetId fetch_from;
  };
  const Case cases[] = {
      {"nobody holds it", std::nullopt, 0, Millis(1'000), std::nullopt, 0},
      {"the holder is in time", Millis(0), 5'000, Millis(1'000), kFirst, 0},
      {"the holder is not", Millis(0), 60'000, Millis(1'000), kSecond, kFirst},
      {"it is still reading", Millis(900), 60'000, Millis(1'000), kSecond, 0},
      {"long forgotten", Millis(0), 60'000, Millis(60'000), kSecond, 0},
  };
  PrefixId prefix = 1;
  for (const Case& row : cases) {
    ++prefix;
    if (row.sent)
      placement.UpdateFromPeer(7, {}, {{prefix, kFirst}}, *row.sent);
    placement.UpdateFromPeer(8, {Load(kFirst, row.first_queue)}, {}, row.asked);
    QueuedRequest request = Engine(10'000, 100, prefix);
    request.work.first_byte_due = row.asked + Millis(800);
    const auto choice = placement.Choose(
        request, [](const std::string&) { return true; }, 0, row.asked);
    CHECK_TEXT(choice.has_value(), row.what);
    if (row.target)
      LONGS_EQUAL_TEXT(*row.target, choice->target, row.what);
    LONGS_EQUAL_TEXT(row.fetch_from, choice->fetch_from, row.what);
  }
}

// Known holders go before the home that boxes would take without a word.
TEST(Placement, APrefixReadElsewhereIsNotReadAgainAtItsHome) {
  for (PrefixId prefix = 1; prefix < 20; ++prefix) {
    const QueuedRequest request = Engine(10'000, 100, prefix);
    const TargetId home = Choose(request)->target;
    const TargetId other = home == kFirst ? kSecond : kFirst;
    placement.UpdateFromPeer(7, {}, {{prefix, other}}, Millis(0));
    LONGS_EQUAL(other, Choose(request)->target);
  }
}

TEST(Placement, ALongPrefixIsReadAgainOnlyElsewhereIdleAndInTime) {
  struct Case {
    const char* what;
    uint32_t home_queue;  // tokens
    uint32_t other_queue;
    int64_t shared;
    double excess;
    bool away;  // goes to the other engine
    bool waits;
  };
  const Case cases[] = {
      {"home idle", 0, 0, 10'000, 0, false, false},
      {"home busy, still in time", 20'000, 0, 10'000, 0, false, false},
      {"home too busy, other idle", 60'000, 0, 10'000, 0, true, false},
      {"home too busy, other not idle", 60'000, 5'000, 10'000, 0, false, true},
      {"home too busy, prefix short", 60'000, 5'000, 900, 0, true, false},
      {"a flow over its part does not read again", 60'000, 0, 10'000, 1, false,
       true},
      {"nor wait behind others", 15'000, 0, 10'000, 1, false, true},
      {"but takes what is to spare", 5'000, 0, 10'000, 1, false, false},
      {"of which a larger excess gets less", 5'000, 0, 10'000, 3, false, true},
  };
  for (const Case& row : cases) {
    const QueuedRequest request = Engine(row.shared, 100);
    const TargetId home = Choose(request)->target;
    const TargetId other = home == kFirst ? kSecond : kFirst;
    placement.UpdateFromPeer(
        7, {Load(home, row.home_queue), Load(other, row.other_queue)}, {},
        Millis(0));
    const auto choice = Choose(request, row.excess);
    CHECK_EQUAL_TEXT(row.waits, !choice.has_value(), row.what);
    if (choice)
      CHECK_EQUAL_TEXT(row.away ? other : home, choice->target, row.what);
    placement.UpdateFromPeer(7, {}, {}, Millis(0));
  }
}

// What a flow over its part may take is bounded with its own reading, so that
// of its requests the small ones are served rather than the large.
TEST(Placement, WhatIsToSpareHoldsTheRequestItself) {
  struct Case {
    uint32_t queue;  // tokens at each engine
    int64_t own;
    bool taken;
  };
  const Case cases[] = {
      {0, 10'000, true},     {0, 14'000, false},  {5'000, 5'000, true},
      {5'000, 9'000, false}, {11'000, 500, true}, {12'500, 500, false},
  };
  for (const Case& row : cases) {
    placement.UpdateFromPeer(
        7, {Load(kFirst, row.queue), Load(kSecond, row.queue)}, {}, Millis(0));
    CHECK_EQUAL(row.taken, Choose(Engine(0, row.own), 1).has_value());
    CHECK(Choose(Engine(0, row.own), 0).has_value());
  }
}

TEST(Placement, ARequestThatIsLateAnywayFillsAGap) {
  QueuedRequest request = Engine(0, 60'000);  // reading takes over a second
  const auto choice = Choose(request);
  CHECK(choice && !choice->in_time);
  placement.UpdateFromPeer(7, {Load(kFirst, 20'000), Load(kSecond, 20'000)}, {},
                           Millis(0));
  CHECK(!Choose(request));
}

TEST(Placement, FullTargetsAndFullMemoryMakeRequestsWait) {
  for (int i = 0; i < 16; ++i)
    CHECK(Send(Engine(0, 100)) != 0);
  LONGS_EQUAL(0, Send(Engine(0, 100)));
  placement.SetPools({{kEngines, {2'000, 0}}});
  placement.Finish(1);
  LONGS_EQUAL(0, Send(Engine(0, 2'000)));
  CHECK(Send(Engine(0, 10)) != 0);
}

TEST(Placement, ConnectionsAreSharedOverTheBoxes) {
  placement.SetPools({{kServices, {0, 10}}});
  placement.SetBoxCount(8);  // 10 * 0.8 / 8: one to each target
  CHECK(Send(Service()) != 0);
  CHECK(Send(Service()) != 0);
  LONGS_EQUAL(0, Send(Service()));
}

TEST(Placement, ServicesGoWhereMostIsFreeAndNear) {
  // Of requests one after the other, at targets of equal size.
  struct Case {
    const char* what;
    uint32_t near_load;  // told, all the while
    uint32_t far_load;
    double least_near;  // part of the requests that go near
    double most_near;
  };
  const Case cases[] = {
      {"both free", 0, 0, 0.6, 0.9},
      {"near full", 2, 0, 0.1, 0.4},
      {"far full", 0, 2, 0.9, 1.0},
  };
  constexpr int kRequests = 500;
  constexpr int kWords = 40;
  Millis now;
  for (const Case& row : cases) {
    for (int word = 0; word < kWords; ++word) {
      now = now + Millis(500);
      placement.UpdateFromPeer(
          7, {{201, row.near_load, 0, 0}, {202, row.far_load, 0, 0}}, {}, now);
    }
    int near = 0;
    for (int i = 0; i < kRequests; ++i) {
      near += Send(Service()) == 201 ? 1 : 0;
      placement.Finish(next_id - 1);
    }
    CHECK_TEXT(near >= row.least_near * kRequests, row.what);
    CHECK_TEXT(near <= row.most_near * kRequests, row.what);
  }
  placement.UpdateFromPeer(7, {}, {}, now);
  placement.OnOutcome(201, TargetOutcome::kUnreachable, Millis(0));
  placement.OnOutcome(201, TargetOutcome::kUnreachable, Millis(0));
  LONGS_EQUAL(202, Send(Service()));
}

TEST(Placement, WhenAllTargetsFailTheyAreUsedAllTheSame) {
  for (const TargetId target : {201, 202}) {
    placement.OnOutcome(target, TargetOutcome::kUnreachable, Millis(0));
    placement.OnOutcome(target, TargetOutcome::kUnreachable, Millis(0));
  }
  CHECK(Send(Service()) != 0);
}

TEST(Placement, LearnsThatAnEngineIsSlow) {
  const QueuedRequest probe = Engine(0, 5'000);
  const Millis before = Choose(probe)->first_byte;
  for (int i = 0; i < 20; ++i) {
    for (const TargetId target : {kFirst, kSecond}) {
      QueuedRequest request = Engine(0, 5'000);
      const Choice choice{target, Millis(150), 5'000, true, 0};
      placement.Start(request, choice, Millis(0));
      placement.OnBytes(request.id, Millis(600));
      placement.Finish(request.id);
    }
  }
  CHECK(Choose(probe)->first_byte > before + before);
}

}  // namespace
}  // namespace sparbend
