// The policy kShared in one box.
#include "sparbend/core/ingress_scheduler.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr TargetId kFirst = 101;

TEST_GROUP(SharedPolicy) {
  ServiceCounters ledger{1};
  IngressScheduler entry{&ledger, Policy::kShared, QueueLimits(), "h"};
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

// A workspace got 0.48 of what another was served in six seconds while it asked
// for four times as much: most of its requests were refused by a box behind its
// work, which told nobody that they had been asked. What such a box refuses is
// told like any other refusal, by what the request would have cost.
TEST(SharedPolicy, WhatABoxBehindItsWorkRefusesCountsAsAsked) {
  const Millis now(1'000);
  const Flow flow = {PoolIdOf("engines"), 1};
  WorkFacts work;
  work.prompt_tokens = 4'000;
  work.output_tokens = 100;
  for (int i = 0; i < 3; ++i)
    entry.Deny(flow, work, now);
  const auto told = entry.fair_parts().OwnDenied(10, now);
  LONGS_EQUAL(1, told.size());
  CHECK(told.front().flow == flow);
  LONGS_EQUAL(3 * 4'200, told.front().value);
}

}  // namespace
}  // namespace sparbend
