// Guards against requests that are queued until they miss their deadline, while
// all targets are backing off (Retry-After). Such requests must be refused
// immediately.
#include <CppUTest/TestHarness.h>

#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

using testing::EngineCatalog;
using testing::EngineTargets;
using testing::SharedNodes;

const Flow kFlow = {PoolIdOf("engines"), 1};

auto Request(RequestId id, Millis due, Millis now) -> QueuedRequest {
  QueuedRequest request;
  request.id = id;
  request.flow = kFlow;
  request.arrived = now;
  request.expires = now + Millis(10'000);
  request.work.prompt_tokens = 100;
  request.work.objective = due;
  request.work.first_byte_due = now + due;
  return request;
}

auto BackOff(Node* node, int target, Millis span, Millis now) {
  node->ingress_scheduler().placement().OnRetryAfter(
      TargetIdOf("target-" + std::to_string(target)), span, now);
}

// Result of a request that arrives when each target has asked for one of
// `spans`: refused, or sent after a time; neither if it is still queued when it
// is due.
struct RequestResult {
  std::optional<Refusal> refused;
  std::optional<Millis> sent_after;
};

auto ResultOf(const std::vector<Millis>& spans, Millis due) -> RequestResult {
  SharedNodes nodes(1, EngineTargets(static_cast<int>(spans.size()), 4));
  Node& node = nodes.at(0);
  node.SetCatalog(EngineCatalog());
  const Millis start = nodes.now();
  for (size_t i = 0; i < spans.size(); ++i)
    BackOff(&node, static_cast<int>(i), spans[i], start);
  const QueuedRequest request = Request(1, due, start);
  if (node.ingress_scheduler().TryStart(request, start))
    return {std::nullopt, Millis(0)};
  if (auto refused = node.Enqueue(request))
    return {refused, std::nullopt};
  for (Millis now = start; now < start + due; now = now + Millis(10)) {
    const Effects effects = node.Run(now);
    if (!effects.refusals.empty())
      return {effects.refusals.front().second, std::nullopt};
    if (!effects.dispatches.empty())
      return {std::nullopt, now - start};
  }
  return {};
}

TEST_GROUP(AllTargetsBackOff){};

TEST(AllTargetsBackOff, RefusesImmediatelyWhatWouldBeLate) {
  struct Case {
    const char* what;
    std::vector<Millis> spans;
    Millis due;
    bool refused;
    int64_t min_ms;  // bounds of Retry-After, or of the time in the queue
    int64_t max_ms;
  };
  const Case cases[] = {
      {"one target ready",
       {Millis(3'000), Millis(0)},
       Millis(500),
       false,
       0,
       0},
      {"too late",
       {Millis(3'000), Millis(2'000)},
       Millis(500),
       true,
       2'000,
       2'200},
      {"soon enough",
       {Millis(3'000), Millis(300)},
       Millis(900),
       false,
       300,
       360},
  };
  for (const Case& row : cases) {
    const RequestResult result = ResultOf(row.spans, row.due);
    CHECK_EQUAL_TEXT(row.refused, result.refused.has_value(), row.what);
    const Millis span =
        row.refused ? result.refused->retry_after : result.sent_after.value();
    CHECK_TEXT(span >= Millis(row.min_ms) && span <= Millis(row.max_ms),
               row.what);
    if (row.refused)
      LONGS_EQUAL_TEXT(503, result.refused->status, row.what);
  }
}

TEST(AllTargetsBackOff, RefusesQueuedRequestsThatWouldBeLate) {
  SharedNodes nodes(1, EngineTargets(1, 4));
  Node& node = nodes.at(0);
  node.SetCatalog(EngineCatalog());
  BackOff(&node, 0, Millis(300), nodes.now());
  CHECK(!node.Enqueue(Request(1, Millis(900), nodes.now())).has_value());
  CHECK(!node.Enqueue(Request(2, Millis(5'000), nodes.now())).has_value());
  CHECK(node.Run(nodes.now()).refusals.empty());
  BackOff(&node, 0, Millis(2'000), nodes.now());
  const Effects effects = node.Run(nodes.now());
  LONGS_EQUAL(1, effects.refusals.size());
  LONGS_EQUAL(1, effects.refusals.front().first);
}

TEST(AllTargetsBackOff, BackoffSurvivesANewListAndConfiguration) {
  SharedNodes nodes(1, EngineTargets(1, 4));
  Node& node = nodes.at(0);
  const Millis now = nodes.now();
  BackOff(&node, 0, Millis(2'000), now);
  const MemberList listed = node.members().list();
  MemberList without = listed;
  without.version = 2;
  without.targets.clear();
  node.SetList(without, now);
  MemberList moved = listed;
  moved.version = 3;
  moved.targets.front().address = "127.0.0.1:9";
  node.SetList(moved, now);
  node.SetCatalog(EngineCatalog());
  CHECK(!node.ingress_scheduler()
             .TryStart(Request(1, Millis(500), now), now)
             .has_value());
  const Millis after = now + Millis(2'300);
  CHECK(node.ingress_scheduler()
            .TryStart(Request(1, Millis(500), after), after)
            .has_value());
}

}  // namespace
}  // namespace sparbend
