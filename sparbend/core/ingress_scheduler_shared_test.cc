// Tests of the policy kShared in one box.
#include "sparbend/core/ingress_scheduler.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr TargetId kTarget = 101;

TEST_GROUP(IngressSchedulerShared) {
  ServiceCounters service_counters{1};
  IngressScheduler scheduler{&service_counters, Policy::kShared, QueueLimits(),
                             "h"};
  uint64_t next_id = 1;
  uint64_t next_return_key = 1;  // of requests that are recognised

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
    scheduler.SetCatalog(std::make_shared<Catalog>(pools, workspaces));
    scheduler.SetTargets(
        {{{kTarget, "t", "anywhere", PoolIdOf("engines"), 64, false}, {}}});
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

TEST(IngressSchedulerShared, OverloadGetsSpareCapacityAndOtherFlowsGoFirst) {
  // The overload fills the engine while no other flow sends requests.
  Millis now(1'000);
  for (uint32_t workspace = 2; workspace <= 4; ++workspace)
    CHECK(scheduler.TryStart(Request(workspace, 500, now), now).has_value());
  int started = 0;
  while (scheduler.TryStart(Request(1, 4'000, now), now)) {
    ++started;
    now = now + Millis(30);  // fair shares are recomputed every 20 ms
  }
  CHECK(started >= 1 && started <= 4);  // at most 150 ms of work
  const QueuedRequest waiting = Request(1, 4'000, now);
  CHECK(!scheduler.Enqueue(waiting));
  // A light flow still finds room in time, ahead of the queued request.
  const QueuedRequest light = Request(2, 500, now);
  CHECK(!scheduler.Enqueue(light));
  CHECK(scheduler.TakeShed(now + Millis(20)).empty());
  const auto dispatches = scheduler.Schedule(now + Millis(30));
  LONGS_EQUAL(1, dispatches.size());
  LONGS_EQUAL(light.id, dispatches[0].request);
  // The overload's request is refused after 5% of its objective of 800 ms.
  CHECK(scheduler.TakeShed(now + Millis(39)).empty());
  const auto shed = scheduler.TakeShed(now + Millis(40));
  LONGS_EQUAL(1, shed.size());
  LONGS_EQUAL(waiting.id, shed[0].first);
  LONGS_EQUAL(429, shed[0].second.status);
  CHECK(shed[0].second.verdict == Verdict::kNotRun);
  CHECK(shed[0].second.retry_after > Millis(0));
}

TEST(IngressSchedulerShared, OverloadWithQueuedRequestsIsRefusedImmediately) {
  const Millis now(1'000);
  for (uint32_t workspace = 2; workspace <= 4; ++workspace)
    CHECK(scheduler.TryStart(Request(workspace, 500, now), now).has_value());
  while (scheduler.TryStart(Request(1, 4'000, now), now)) {
  }
  const Millis retry_time(1'050);  // fair shares are recomputed
  int waiting = 0;
  std::optional<Refusal> refusal;
  while (!refusal && waiting < 100) {
    refusal = scheduler.Enqueue(Request(1, 4'000, retry_time));
    waiting += refusal ? 0 : 1;
  }
  LONGS_EQUAL(8, waiting);
  LONGS_EQUAL(429, refusal->status);
  CHECK(refusal->verdict == Verdict::kNotRun);
  CHECK(refusal->retry_after > Millis(0));
  // Requests of other flows are still queued.
  CHECK(!scheduler.Enqueue(Request(2, 500, retry_time)));
}

// A retry that arrives too late to be answered in time does not take the place
// of a request that still can be. Late requests of other flows may wait for
// capacity.
TEST(IngressSchedulerShared, LateRetriesOfAnOverloadAreRefusedImmediately) {
  const Millis now(1'000);
  for (uint32_t workspace = 2; workspace <= 4; ++workspace)
    CHECK(scheduler.TryStart(Request(workspace, 500, now), now).has_value());
  while (scheduler.TryStart(Request(1, 4'000, now), now)) {
  }
  const Millis retry_time(1'050);  // fair shares are recomputed
  struct Case {
    const char* what;
    uint32_t workspace;
    Millis due;
    bool refused;
  };
  const Case cases[] = {
      {"first attempt of the overload is queued", 1, Millis(1'850), false},
      {"its retry at the due time is refused", 1, Millis(1'050), true},
      {"its retry long after the due time is refused", 1, Millis(1), true},
      {"late retry of a light flow is queued", 2, Millis(1), false},
  };
  for (const Case& row : cases) {
    QueuedRequest request = Request(row.workspace, 4'000, retry_time);
    request.work.first_byte_due = row.due;
    const std::optional<Refusal> refusal = scheduler.Enqueue(request);
    CHECK_EQUAL_TEXT(row.refused, refusal.has_value(), row.what);
    if (refusal)
      CHECK(refusal->verdict == Verdict::kNotRun);
  }
}

// Guards against clients that gain by ignoring the time they were told, and
// against clients that keep it and are refused like newcomers.
TEST(IngressSchedulerShared, AClientThatKeepsItsTimeGoesBeforeNewcomers) {
  const Millis now(1'000);
  for (uint32_t workspace = 2; workspace <= 4; ++workspace)
    CHECK(scheduler.TryStart(Request(workspace, 500, now), now).has_value());
  while (scheduler.TryStart(Request(1, 4'000, now), now)) {
  }
  const Millis retry_time(1'050);  // fair shares are recomputed
  const auto request_of = [&](uint64_t key, Millis at) {
    QueuedRequest request = Request(1, 4'000, at);
    request.work.return_key = key;
    request.work.client_remaining = Millis(12'000);
    return request;
  };
  std::optional<Refusal> told;
  while (!told)
    told = scheduler.Enqueue(request_of(next_return_key++, retry_time));
  const uint64_t refused_key = next_return_key - 1;
  CHECK(told->retry_after >= ReturnSchedule::kMinDelay);
  STRCMP_CONTAINS("; return in ", told->reason.c_str());
  // Early: refused with the rest of its time, and not started either.
  const Millis early = retry_time + Millis(told->retry_after.count() / 2);
  CHECK(!scheduler.TryStart(request_of(refused_key, early), early));
  const auto again = scheduler.Enqueue(request_of(refused_key, early));
  CHECK(again.has_value());
  CHECK(early + again->retry_after == retry_time + told->retry_after);
  // At its time it is queued, in front, where a newcomer is refused; once.
  const Millis at = retry_time + told->retry_after;
  CHECK(scheduler.Enqueue(request_of(next_return_key++, at)).has_value());
  const QueuedRequest kept = request_of(refused_key, at);
  CHECK(!scheduler.Enqueue(kept));
  LONGS_EQUAL(kept.id, scheduler.queues().Front(kept.flow)->id);
  CHECK(scheduler.Enqueue(request_of(refused_key, at)).has_value());
}

// Guards against unfairness that arises when most requests of a workspace are
// refused by a saturated box that does not report them to peers as requested.
// Refusals of such a box are reported like any other, by the estimated cost of
// the request.
TEST(IngressSchedulerShared, RefusalsOfASaturatedBoxCountAsRequested) {
  const Millis now(1'000);
  const Flow flow = {PoolIdOf("engines"), 1};
  WorkFacts work;
  work.prompt_tokens = 4'000;
  work.output_tokens = 100;
  for (int i = 0; i < 3; ++i)
    scheduler.RecordRefusal(flow, work, now);
  const auto denied =
      scheduler.fair_shares().UnservedToReport(10, Millis(0), now);
  LONGS_EQUAL(1, denied.size());
  CHECK(denied.front().flow == flow);
  LONGS_EQUAL(3 * 4'200, denied.front().value);
}

}  // namespace
}  // namespace sparbend
