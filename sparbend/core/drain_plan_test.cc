// Tests which requests a box that stops still sends.
#include "sparbend/core/drain_plan.h"

#include <algorithm>

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr PoolId kPool = 1;
constexpr RouteId kRoute = 7;
constexpr Millis kBegin(50'000);
constexpr Millis kEnd(57'500);

auto NoRetries(RequestId) -> bool {
  return false;
}

// Queues of so many requests, one flow each. Ids count from 1 in the order in
// which flows that are served in turn get to them.
auto QueuesOf(const std::vector<size_t>& lengths) -> FlowQueues {
  FlowQueues queues{QueueLimits()};
  Workspace workspace;
  workspace.queue_requests = 100'000;
  workspace.queue_bytes = 1'000'000'000;
  RequestId id = 0;
  for (size_t turn = 0; turn < std::ranges::max(lengths); ++turn) {
    for (size_t flow = 0; flow < lengths.size(); ++flow) {
      if (turn >= lengths[flow])
        continue;
      QueuedRequest request;
      request.id = ++id;
      request.flow = {kPool, static_cast<WorkspaceId>(flow + 1)};
      request.route = kRoute;
      request.expires = kEnd + kEnd;
      workspace.number = request.flow.workspace;
      queues.Push(request, workspace);
    }
  }
  return queues;
}

// `running` requests that each take `took`.
auto TimesOf(size_t running, Millis took) -> AnswerTimes {
  AnswerTimes times;
  times.OnSent({kPool, kRoute}, 1'000'000, kBegin - took);
  times.OnEnded({kPool, kRoute}, 1'000'000, /*complete=*/true, kBegin);
  for (size_t i = 0; i < running; ++i)
    times.OnSent({kPool, kRoute}, 2'000'000 + i, kBegin);
  return times;
}

struct Row {
  const char* name;
  std::vector<size_t> queues;
  size_t running;
  Millis took;
  Millis at;  // since the drain began
  size_t kept;
};

const Row kRows[] = {
    {"room for all", {20}, 36, Millis(300), Millis(0), 20},
    {"those that a slot becomes free for before half of the drain",
     {1'000},
     10,
     Millis(1'000),
     Millis(0),
     38},
    {"fewer later", {1'000}, 10, Millis(1'000), Millis(2'750), 10},
    {"none after half of the drain", {10}, 10, Millis(10), Millis(3'750), 0},
    {"answers that end before the drain does",
     {1'000},
     36,
     Millis(6'300),
     Millis(0),
     6},
    {"answers that can't", {10}, 36, Millis(7'200), Millis(0), 0},
    {"nothing runs, so nothing is known", {10}, 0, Millis(10), Millis(0), 10},
    {"flows in turn", {1'000, 3, 1'000}, 10, Millis(1'000), Millis(0), 38},
};

TEST_GROUP(DrainPlan){};

TEST(DrainPlan, KeepsWhatCanBeCompleted) {
  const DrainPlan plan(kBegin, kEnd);
  for (const Row& row : kRows) {
    const FlowQueues queues = QueuesOf(row.queues);
    const std::vector<RequestId> refused = plan.FindUnservable(
        queues, TimesOf(row.running, row.took), NoRetries, kBegin + row.at);
    CHECK_EQUAL_TEXT(row.kept, queues.total() - refused.size(), row.name);
    // The last ones are refused.
    if (!refused.empty())
      CHECK_TEXT(std::ranges::min(refused) == row.kept + 1, row.name);
  }
}

TEST(DrainPlan, RetriesWaitUntilTheLastRefusals) {
  const DrainPlan plan(kBegin, kEnd);
  const FlowQueues queues = QueuesOf({10});
  const auto all = [](RequestId) { return true; };
  const AnswerTimes times = TimesOf(36, Millis(7'200));
  CHECK(plan.FindUnservable(queues, times, all, plan.last_send() - Millis(1))
            .empty());
  CHECK_EQUAL(10U,
              plan.FindUnservable(queues, times, all, plan.last_send()).size());
}

// Oracle: as many slots as run become free at the end of each answer.
TEST(DrainPlan, KeepsNoMoreThanASimulationCompletes) {
  testing::CheckHolds("what is kept is completed", [] {
    const auto slots = *rc::gen::inRange<size_t>(1, 65);
    const Millis took(*rc::gen::inRange<int64_t>(1, 9'000));
    const std::vector<size_t> lengths =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<size_t>>(
            rc::gen::inRange<size_t>(1, 300)));
    const DrainPlan plan(kBegin, kEnd);
    const FlowQueues queues = QueuesOf(lengths);
    const size_t kept =
        queues.total() -
        plan.FindUnservable(queues, TimesOf(slots, took), NoRetries, kBegin)
            .size();
    size_t completed = 0;
    const double between = static_cast<double>(took.count()) /
                           static_cast<double>(slots);  // slots become free
    for (double wait = 0; completed < queues.total(); wait += between) {
      const Millis at = kBegin + Millis(static_cast<int64_t>(wait));
      if (at >= plan.last_start() || at + took >= plan.last_send())
        break;
      ++completed;
    }
    RC_ASSERT(kept <= completed + 1 && completed <= kept + 1);
  });
}

}  // namespace
}  // namespace sparbend
