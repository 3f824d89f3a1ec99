// The parts of the policy kShared: loads, prefix homes, health, fair usage,
// and the choice made of them.
#include "sparbend/core/placement.h"

#include "sparbend/core/fair_usage.h"
#include "sparbend/core/node.h"
#include "sparbend/core/retry.h"
#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr PoolId kEngines = 1;
constexpr PoolId kServices = 2;
constexpr TargetId kFirst = 101;
constexpr TargetId kSecond = 102;

auto Load(TargetId target, uint32_t waiting) -> TargetLoad {
  return {target, 1, waiting, 10};
}

TEST_GROUP(LoadBook) {
  LoadBook book;
};

TEST(LoadBook, CountsARequestFromItsSendingToItsEnd) {
  book.Start(1, Load(kFirst, 500), Millis(10));
  book.Start(2, Load(kFirst, 700), Millis(20));
  LONGS_EQUAL(1'200, book.Own(kFirst).waiting_tokens);
  LONGS_EQUAL(90, book.FirstByte(1, Millis(100))->count());
  CHECK(!book.FirstByte(1, Millis(200)));
  LONGS_EQUAL(700, book.Own(kFirst).waiting_tokens);
  LONGS_EQUAL(2, book.Own(kFirst).running);
  book.Finish(1);
  book.Finish(2);
  book.Finish(2);
  CHECK(book.OwnRows().empty());
}

TEST(LoadBook, PeersWordsReplaceEachOtherAndAge) {
  book.Learn(7, {Load(kFirst, 100), Load(kSecond, 50)}, Millis(1'000));
  book.Learn(8, {Load(kFirst, 10)}, Millis(1'000));
  LONGS_EQUAL(110, book.Total(kFirst).waiting_tokens);
  book.Learn(7, {Load(kSecond, 60)}, Millis(1'100));
  LONGS_EQUAL(10, book.Total(kFirst).waiting_tokens);
  LONGS_EQUAL(60, book.Total(kSecond).waiting_tokens);
  // Box 8 was not heard for two seconds, box 7 was.
  book.Expire(Millis(3'050));
  LONGS_EQUAL(0, book.Total(kFirst).waiting_tokens);
  LONGS_EQUAL(60, book.Total(kSecond).waiting_tokens);
}

TEST(LoadBook, OwnLoadIsTheSumOfWhatRuns) {
  testing::CheckHolds("sum of what runs", [] {
    LoadBook book;
    std::map<uint64_t, std::pair<TargetLoad, bool>> running;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 3)));
    for (const auto& [id, what] : steps) {
      const auto request = static_cast<uint64_t>(id);
      if (what == 0 && !running.contains(request)) {
        const TargetLoad load = Load(id % 2 == 0 ? kFirst : kSecond, 5);
        book.Start(request, load, Millis(0));
        running[request] = {load, false};
      } else if (what == 1) {
        book.FirstByte(request, Millis(0));
        if (running.contains(request))
          running[request].second = true;
      } else if (what == 2) {
        book.Finish(request);
        running.erase(request);
      }
    }
    for (const TargetId target : {kFirst, kSecond}) {
      TargetLoad sum{target, 0, 0, 0};
      for (const auto& [request, state] : running) {
        if (state.first.target != target)
          continue;
        sum.running += 1;
        sum.waiting_tokens += state.second ? 0 : state.first.waiting_tokens;
        sum.memory_tokens += state.first.memory_tokens;
      }
      RC_ASSERT(book.Own(target) == sum);
    }
  });
}

TEST_GROUP(PrefixHomes) {
  PrefixHomes homes;
};

TEST(PrefixHomes, RemembersTellsAndForgets) {
  CHECK(homes.Note(1, kFirst, Millis(0)));
  CHECK(!homes.Note(1, kFirst, Millis(10)));
  homes.Learn({1, kSecond}, Millis(10));
  CHECK(homes.Holds(1, kFirst, Millis(20)));
  CHECK(homes.Holds(1, kSecond, Millis(20)));
  CHECK(!homes.Holds(2, kFirst, Millis(20)));
  // Only what this box made itself is told on, and only for a while.
  LONGS_EQUAL(1, homes.Recent(Millis(20)).size());
  LONGS_EQUAL(0, homes.Recent(Millis(2'000)).size());
  CHECK(!homes.Holds(1, kFirst, Millis(60'000)));
}

TEST(PrefixHomes, StaysWithinItsBound) {
  for (PrefixId prefix = 0; prefix < 30'000; ++prefix)
    homes.Note(prefix, kFirst, Millis(0));
  CHECK(!homes.Holds(0, kFirst, Millis(1)));
  CHECK(homes.Holds(29'999, kFirst, Millis(1)));
}

TEST_GROUP(TargetHealth) {
  TargetHealth health;
  auto Feed(TargetOutcome outcome, int count, Millis at) -> bool {
    bool ejected = false;
    for (int i = 0; i < count; ++i)
      ejected = health.OnOutcome(kFirst, outcome, at) || ejected;
    return ejected;
  }
};

TEST(TargetHealth, LeavesOutWhatFails) {
  struct Case {
    const char* what;
    TargetOutcome outcome;
    int count;
    bool ejected;
  };
  const Case cases[] = {
      {"one that can't be reached once", TargetOutcome::kUnreachable, 1, false},
      {"one that can't be reached twice", TargetOutcome::kUnreachable, 2, true},
      {"no connection once", TargetOutcome::kNoConnection, 1, true},
      {"one that failed twice", TargetOutcome::kFailed, 2, false},
      {"one that fails always", TargetOutcome::kFailed, 6, true},
      {"one that is well", TargetOutcome::kGood, 50, false},
  };
  for (const Case& row : cases) {
    health = TargetHealth();
    CHECK_EQUAL_TEXT(row.ejected, Feed(row.outcome, row.count, Millis(100)),
                     row.what);
    CHECK_EQUAL_TEXT(!row.ejected, health.Usable(kFirst, Millis(101)),
                     row.what);
    CHECK_TEXT(health.Usable(kFirst, Millis(10'000)), row.what);
  }
}

TEST(TargetHealth, StaysOutLongerEachTimeUntilItIsWell) {
  CHECK(Feed(TargetOutcome::kUnreachable, 2, Millis(0)));
  CHECK(health.Usable(kFirst, Millis(500)));
  CHECK(Feed(TargetOutcome::kUnreachable, 1, Millis(500)));
  CHECK(!health.Usable(kFirst, Millis(1'200)));
  Feed(TargetOutcome::kGood, 30, Millis(2'000));
  CHECK(Feed(TargetOutcome::kUnreachable, 2, Millis(3'000)));
  CHECK(health.Usable(kFirst, Millis(3'500)));
}

TEST(TargetHealth, WithoutConnectionsItStaysOutUntilOneCouldBeMade) {
  CHECK(Feed(TargetOutcome::kNoConnection, 1, Millis(0)));
  CHECK(!Feed(TargetOutcome::kNoConnection, 3, Millis(100)));  // out already
  CHECK(!health.Usable(kFirst, Millis(4'000)));
  health.OnReachable(kFirst, Millis(4'000));
  CHECK(health.Usable(kFirst, Millis(4'000)));
  // A connection proves nothing of a target that fails what it is asked.
  CHECK(Feed(TargetOutcome::kFailed, 6, Millis(5'000)));
  health.OnReachable(kFirst, Millis(5'001));
  CHECK(!health.Usable(kFirst, Millis(5'001)));
}

TEST_GROUP(FairUsage) {
  FairUsage usage;
  static constexpr Flow kA{kEngines, 1};
  static constexpr Flow kB{kEngines, 2};
};

TEST(FairUsage, SumsOwnAndToldAndFades) {
  usage.Charge(kA, 1'000, Millis(0));
  usage.Learn(7, {{kA, 500}, {kB, 300}}, Millis(0));
  LONGS_EQUAL(1'500, usage.Of(kA, Millis(0)));
  int64_t sum = 0;
  const auto amounts = usage.Amounts(kEngines, Millis(0));
  for (const FlowValue& amount : amounts)
    sum += amount.value;
  LONGS_EQUAL(900, sum / static_cast<int64_t>(amounts.size()));
  CHECK(usage.Amounts(kServices, Millis(0)).empty());
  CHECK(usage.Of(kA, Millis(2'000)) < 600);
  usage.Learn(7, {}, Millis(0));
  LONGS_EQUAL(0, usage.Of(kB, Millis(0)));
  usage.Charge(kA, -5'000, Millis(0));
  LONGS_EQUAL(0, usage.Of(kA, Millis(0)));
}

TEST(FairUsage, TellsTheLargestFirst) {
  usage.Charge(kA, 10, Millis(0));
  usage.Charge(kB, 20, Millis(0));
  const std::vector<FlowValue> values = usage.OwnValues(1, Millis(0));
  LONGS_EQUAL(1, values.size());
  CHECK(values[0].flow == kB);
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
      placement.Learn(7, {}, {{prefix, kFirst}}, *row.sent);
    placement.Learn(8, {Load(kFirst, row.first_queue)}, {}, row.asked);
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
    placement.Learn(7, {}, {{prefix, other}}, Millis(0));
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
    placement.Learn(7,
                    {Load(home, row.home_queue), Load(other, row.other_queue)},
                    {}, Millis(0));
    const auto choice = Choose(request, row.excess);
    CHECK_EQUAL_TEXT(row.waits, !choice.has_value(), row.what);
    if (choice)
      CHECK_EQUAL_TEXT(row.away ? other : home, choice->target, row.what);
    placement.Learn(7, {}, {}, Millis(0));
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
    placement.Learn(7, {Load(kFirst, row.queue), Load(kSecond, row.queue)}, {},
                    Millis(0));
    CHECK_EQUAL(row.taken, Choose(Engine(0, row.own), 1).has_value());
    CHECK(Choose(Engine(0, row.own), 0).has_value());
  }
}

TEST(Placement, ARequestThatIsLateAnywayFillsAGap) {
  QueuedRequest request = Engine(0, 60'000);  // reading takes over a second
  const auto choice = Choose(request);
  CHECK(choice && !choice->in_time);
  placement.Learn(7, {Load(kFirst, 20'000), Load(kSecond, 20'000)}, {},
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
  LONGS_EQUAL(201, Send(Service()));
  LONGS_EQUAL(202, Send(Service()));
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

TEST_GROUP(SharedPolicy) {
  Ledger ledger{1};
  Entry entry{&ledger, Policy::kShared, QueueLimits(), "h"};
  uint64_t next_id = 1;

  void setup() override {
    Catalog::Pools pools;
    pools["engines"].name = "engines";
    Catalog::Workspaces workspaces;
    for (uint32_t number = 1; number <= 4; ++number) {
      Workspace& workspace = workspaces["w" + std::to_string(number)];
      workspace.number = number;
      workspace.name = "w" + std::to_string(number);
      workspace.pools = {"engines"};
      workspace.queue_requests = 100;
      workspace.queue_bytes = 1'000'000;
    }
    entry.SetCatalog(std::make_shared<Catalog>(pools, workspaces));
    entry.SetTargets(
        {{{kFirst, "t", "anywhere", PoolIdOf("engines"), 64, false}, {}}});
  }

  auto Request(WorkspaceId workspace, int64_t tokens, Millis now)
      -> QueuedRequest {
    QueuedRequest request;
    request.id = next_id++;
    request.flow = {PoolIdOf("engines"), workspace};
    request.arrived = now;
    request.expires = now + Millis(5'000);
    request.work.prompt_tokens = tokens;
    request.work.objective = Millis(800);
    request.work.first_byte_due = now + Millis(800);
    return request;
  }
};

TEST(SharedPolicy, AFloodGetsWhatIsToSpareAndOthersGoFirst) {
  // The flood fills the engine while nobody else asks.
  Millis now(1'000);
  for (uint32_t workspace = 2; workspace <= 4; ++workspace)
    CHECK(entry.TryStart(Request(workspace, 500, now), now).has_value());
  int started = 0;
  while (entry.TryStart(Request(1, 4'000, now), now)) {
    ++started;
    now = now + Millis(30);  // boxes do not judge flows at every instant
  }
  CHECK(started >= 1 && started <= 4);  // a queue of 150 ms and no more
  const QueuedRequest waiting = Request(1, 4'000, now);
  CHECK(!entry.Enqueue(waiting));
  // A light flow still finds room in time, past the one that waits.
  const QueuedRequest light = Request(2, 500, now);
  CHECK(!entry.Enqueue(light));
  CHECK(entry.TakeShed(now + Millis(20)).empty());
  const auto dispatches = entry.Schedule(now + Millis(30));
  LONGS_EQUAL(1, dispatches.size());
  LONGS_EQUAL(light.id, dispatches[0].request);
  // The flood's request is refused after a twentieth of its objective.
  CHECK(entry.TakeShed(now + Millis(39)).empty());
  const auto shed = entry.TakeShed(now + Millis(40));
  LONGS_EQUAL(1, shed.size());
  LONGS_EQUAL(waiting.id, shed[0].first);
  LONGS_EQUAL(429, shed[0].second.status);
  CHECK(shed[0].second.verdict == Verdict::kNotRun);
  CHECK(shed[0].second.retry_after > Millis(0));
}

TEST(SharedPolicy, AFloodThatWaitsAlreadyIsRefusedAtOnce) {
  const Millis now(1'000);
  for (uint32_t workspace = 2; workspace <= 4; ++workspace)
    CHECK(entry.TryStart(Request(workspace, 500, now), now).has_value());
  while (entry.TryStart(Request(1, 4'000, now), now)) {
  }
  const Millis later(1'050);  // fair parts are judged anew
  int waiting = 0;
  std::optional<Refusal> refusal;
  while (!refusal && waiting < 100) {
    refusal = entry.Enqueue(Request(1, 4'000, later));
    waiting += refusal ? 0 : 1;
  }
  LONGS_EQUAL(8, waiting);
  LONGS_EQUAL(429, refusal->status);
  CHECK(refusal->verdict == Verdict::kNotRun);
  CHECK(refusal->retry_after > Millis(0));
  // Others still wait for their turn.
  CHECK(!entry.Enqueue(Request(2, 500, later)));
}

// A caller that came back too late to be answered in time does not take the
// place of one that still can be; another flow's caller may wait for a gap.
TEST(SharedPolicy, LateReturnsOfAFloodAreRefusedAtOnce) {
  const Millis now(1'000);
  for (uint32_t workspace = 2; workspace <= 4; ++workspace)
    CHECK(entry.TryStart(Request(workspace, 500, now), now).has_value());
  while (entry.TryStart(Request(1, 4'000, now), now)) {
  }
  const Millis later(1'050);  // fair parts are judged anew
  struct Case {
    const char* what;
    uint32_t workspace;
    Millis due;
    bool refused;
  };
  const Case cases[] = {
      {"a flood's first try waits a little", 1, Millis(1'850), false},
      {"its late return does not", 1, Millis(1'050), true},
      {"nor one that was due long ago", 1, Millis(1), true},
      {"a light flow's late return waits", 2, Millis(1), false},
  };
  for (const Case& row : cases) {
    QueuedRequest request = Request(row.workspace, 4'000, later);
    request.work.first_byte_due = row.due;
    const std::optional<Refusal> refusal = entry.Enqueue(request);
    CHECK_EQUAL_TEXT(row.refused, refusal.has_value(), row.what);
    if (refusal)
      CHECK(refusal->verdict == Verdict::kNotRun);
  }
}

// A box that sends to more targets than a datagram can name.
TEST(SharedPolicy, WhatABoxTellsFitsADatagramHoweverManyTargetsItUses) {
  constexpr int kTargets = 300;
  MemberList list;
  list.version = 1;
  for (const char* name : {"a", "b"})
    list.boxes.push_back({name, "h", "127.0.0.1:1", "127.0.0.1:2"});
  for (int i = 0; i < kTargets; ++i) {
    TargetEntry target;
    target.name = "target-" + std::to_string(i);
    target.hall = "h";
    target.pool = "engines";
    target.slots = 64;
    list.targets.push_back(target);
  }
  Catalog::Pools pools;
  pools["engines"].name = "engines";
  Catalog::Workspaces workspaces;
  Workspace& workspace = workspaces["w"];
  workspace.number = 1;
  workspace.name = "w";
  workspace.pools = {"engines"};
  workspace.queue_requests = 10'000;
  workspace.queue_bytes = 100'000'000;
  const auto catalog = std::make_shared<Catalog>(pools, workspaces);
  const Millis now(10'000);
  const auto make = [&](const std::string& name) {
    NodeOptions options;
    options.name = name;
    options.hall = "h";
    options.peer_key = "key";
    options.policy = Policy::kShared;
    auto node = std::make_unique<Node>(options);
    node->SetCatalog(catalog);
    node->SetList(list, now);
    return node;
  };
  const auto sender = make("a");
  const auto receiver = make("b");
  for (int i = 0; i < 2 * kTargets; ++i) {
    QueuedRequest request;
    request.id = static_cast<uint64_t>(i) + 1;
    request.flow = {PoolIdOf("engines"), 1};
    request.arrived = now;
    request.work.prompt_tokens = 20'000;
    request.work.prefixes = {{static_cast<PrefixId>(i) + 1'000'000, 15'000}};
    request.work.first_byte_due = now + Millis(800);
    sender->entry().TryStart(request, now);
  }
  const Effects effects = sender->Run(now);
  LONGS_EQUAL(1, effects.datagrams.size());
  CHECK(effects.datagrams[0].bytes.size() <= kMaxDatagramBytes);
  CHECK(!receiver->OnDatagram(effects.datagrams[0].bytes, now));
  CHECK(receiver->members().IsLive(BoxIdOf("a"), now));
}

TEST(SharedPolicy, TheFirstToHaveAVersionTellsItAtOnce) {
  MemberList list;
  list.version = 1;
  for (const char* name : {"a", "b"})
    list.boxes.push_back({name, "h", "127.0.0.1:1", "127.0.0.1:2"});
  NodeOptions options;
  options.hall = "h";
  options.peer_key = "key";
  options.policy = Policy::kShared;
  options.name = "a";
  Node first(options);
  options.name = "b";
  Node second(options);
  first.SetList(list, Millis(0));
  second.SetList(list, Millis(0));
  first.Run(Millis(1'000));
  second.Run(Millis(1'000));
  first.SetConfigOffset(7);
  const Effects told = first.Run(Millis(1'001));
  LONGS_EQUAL(1, told.datagrams.size());
  CHECK(!second.OnDatagram(told.datagrams[0].bytes, Millis(1'002)));
  LONGS_EQUAL(7, second.HighestOffset().first);
  // Who heard it from somebody has nothing to tell at once.
  second.SetConfigOffset(7);
  CHECK(second.Run(Millis(1'003)).datagrams.empty());
}

// All begin to speak at the same moment, as after news that all tell on.
TEST(SharedPolicy, WordsOfBoxesInStepComeApart) {
  constexpr int kBoxes = 20;
  constexpr int64_t kStepMs = 10;
  constexpr int64_t kSlotMs = 50;
  MemberList list;
  list.version = 1;
  for (int i = 0; i < kBoxes; ++i)
    list.boxes.push_back(
        {"box-" + std::to_string(i), "h", "127.0.0.1:1", "127.0.0.1:2"});
  std::vector<std::unique_ptr<Node>> nodes;
  for (const BoxEntry& box : list.boxes) {
    NodeOptions options;
    options.name = box.name;
    options.hall = "h";
    options.peer_key = "key";
    options.policy = Policy::kShared;
    nodes.push_back(std::make_unique<Node>(options));
    nodes.back()->SetList(list, Millis(10'000));
  }
  std::map<int64_t, int> speaking;  // boxes, by slot of the last two seconds
  for (int64_t now = 10'000; now < 20'000; now += kStepMs) {
    for (const auto& node : nodes) {
      const bool spoke = !node->Run(Millis(now)).datagrams.empty();
      if (spoke && now >= 18'000)
        ++speaking[now / kSlotMs];
    }
  }
  int most = 0;
  for (const auto& [slot, boxes] : speaking)
    most = std::max(most, boxes);
  CHECK(most > 0);
  CHECK(most <= kBoxes / 2);
}

TEST_GROUP(FleetRetryBudget){};

TEST(FleetRetryBudget, TheSumOverBoxesStaysWithinTheFleetsLimit) {
  constexpr int kBoxes = 9;
  const FleetRetryBudget::Limits limits{0.2, 58, Millis(10'000)};
  int repeats = 0;
  int fresh = 0;
  for (int box = 0; box < kBoxes; ++box) {
    FleetRetryBudget budget(limits);
    for (int i = 0; i < 10 * (box + 1); ++i, ++fresh)
      budget.OnFresh(Millis(i));
    while (budget.Take(kBoxes, Millis(500)))
      ++repeats;
    CHECK(budget.Take(kBoxes, Millis(11'000)));  // the window has passed
  }
  CHECK(repeats > 20);
  CHECK(repeats <= 0.2 * fresh + 58);
}

}  // namespace
}  // namespace sparbend
