// Tests of small classes without I/O: retries, routes, the usage meter, queues,
// service counters and members.
#include "sparbend/core/members.h"
#include "sparbend/core/queue.h"
#include "sparbend/core/retry.h"
#include "sparbend/core/route.h"
#include "sparbend/core/service_counters.h"
#include "sparbend/core/usage_meter.h"
#include "testing/properties.h"

namespace sparbend {
namespace {

TEST_GROUP(Retry){};

TEST(Retry, FollowsVerdictKindAndDeadline) {
  struct Case {
    FailedAttempt attempt;
    bool may_retry;
  };
  const Millis now(100);
  const Millis later(200);
  const Case cases[] = {
      {{Verdict::kNotRun, false, false, 1, 1, 4, now, later}, true},
      {{Verdict::kNotRun, true, false, 1, 1, 4, now, later}, true},
      {{Verdict::kMayHaveRun, false, false, 1, 1, 4, now, later}, false},
      {{Verdict::kMayHaveRun, true, false, 1, 1, 4, now, later}, true},
      {{Verdict::kMayHaveRun, true, true, 1, 1, 4, now, later}, false},
      {{Verdict::kNotRun, true, false, 4, 0, 4, now, later}, true},
      {{Verdict::kNotRun, true, false, 6, 0, 4, now, later}, false},
      {{Verdict::kMayHaveRun, true, false, 4, 4, 4, now, later}, false},
      {{Verdict::kMayHaveRun, true, false, 1, 1, 1, now, later}, false},
      {{Verdict::kNotRun, true, false, 1, 1, 4, later, later}, false},
  };
  for (const Case& row : cases)
    CHECK(MayRetry(row.attempt) == row.may_retry);
}

TEST(Retry, BackoffGrowsWithinBounds) {
  testing::CheckHolds("between half of 10 ms and 500 ms", [] {
    const int attempts = *rc::gen::inRange(1, 20);
    const Millis wait = Backoff(attempts, *rc::gen::arbitrary<uint64_t>());
    RC_ASSERT(wait >= Millis(5));
    RC_ASSERT(wait <= Millis(500));
  });
}

TEST(Retry, BudgetIsAFractionOfRequests) {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1'000; ++i) {
    budget.OnFirstAttempt();
    while (budget.Take())
      ++retries;
  }
  CHECK(retries >= 200);
  CHECK(retries <= 215);
}

auto MakeCatalog() -> Catalog {
  Pool engines;
  engines.name = "engines";
  engines.models = {"m"};
  Pool api;
  api.name = "api";
  api.kind = PoolKind::kService;
  api.path_prefix = "/api";
  Workspace workspace;
  workspace.number = 1;
  workspace.name = "w";
  workspace.pools = {"engines", "api"};
  workspace.once = {{"POST", "/api/vend", ""}};
  Workspace api_only = workspace;
  api_only.number = 2;
  api_only.name = "narrow";
  api_only.pools = {"api"};
  return Catalog({{"engines", engines}, {"api", api}},
                 {{"w", workspace}, {"narrow", api_only}});
}

TEST_GROUP(Route){};

TEST(Route, FindsThePoolOrReturnsARefusal) {
  const Catalog catalog = MakeCatalog();
  struct Case {
    const char* workspace;
    RouteInput input;
    int status;  // 0: a route
    const char* pool;
    bool once;
  };
  const Case cases[] = {
      {"w",
       {"POST", "/v1/completions", R"({"model":"m"})", ""},
       0,
       "engines",
       false},
      {"w",
       {"POST", "/v1/completions", R"({"model":"m"})", "true"},
       0,
       "engines",
       true},
      {"w",
       {"POST", "/v1/chat/completions?x=1", R"({"model":"m"})", ""},
       0,
       "engines",
       false},
      {"w",
       {"POST", "/v1/completions", R"({"model":"x"})", ""},
       404,
       "",
       false},
      {"w", {"POST", "/v1/completions", R"({"model":7})", ""}, 400, "", false},
      {"w", {"POST", "/v1/completions", "[1", ""}, 400, "", false},
      {"w", {"GET", "/v1/completions", "", ""}, 405, "", false},
      {"narrow",
       {"POST", "/v1/completions", R"({"model":"m"})", ""},
       403,
       "",
       false},
      {"w", {"GET", "/api/prices", "", ""}, 0, "api", false},
      {"w", {"POST", "/api/vend/7", "", ""}, 0, "api", true},
      {"w", {"GET", "/api/vend/7", "", ""}, 0, "api", false},
      {"w", {"GET", "/other", "", ""}, 404, "", false},
  };
  for (const Case& row : cases) {
    const auto found =
        FindRoute(catalog, *catalog.FindWorkspace(row.workspace), row.input);
    if (row.status != 0) {
      LONGS_EQUAL(row.status, std::get<Refusal>(found).status);
      CHECK(std::get<Refusal>(found).verdict == Verdict::kNotRun);
      continue;
    }
    STRCMP_EQUAL(row.pool, std::get<Route>(found).pool.c_str());
    CHECK(std::get<Route>(found).once == row.once);
  }
}

TEST_GROUP(UsageMeter){};

TEST(UsageMeter, CountsCompleteEventsForAnySplitOfTheBytes) {
  const std::string stream =
      "id: 0\ndata: {\"x\":1}\n\nid: 1\r\ndata: {}\r\n\r\n: a comment\n\n"
      "id: 2\ndata: {\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2}}"
      "\n\ndata: [DONE]\n\n";
  testing::CheckHolds("counts do not depend on the split", [&] {
    UsageMeter meter;
    std::string_view rest = stream;
    while (!rest.empty()) {
      const auto size = *rc::gen::inRange<size_t>(1, rest.size() + 1);
      meter.Feed(rest.substr(0, size));
      rest.remove_prefix(size);
    }
    RC_ASSERT(meter.events() == 4);
    RC_ASSERT(meter.done());
    RC_ASSERT(meter.last_event_id() == "2");
    RC_ASSERT(meter.whole_bytes() == static_cast<int64_t>(stream.size()));
    RC_ASSERT(meter.FinalUsage().prompt == 4);
    RC_ASSERT(meter.FinalUsage().completion == 2);
  });
}

TEST(UsageMeter, IncompleteEventIsNotCounted) {
  UsageMeter meter;
  meter.Feed("id: 0\ndata: {}\n\nid: 1\ndata: {");
  LONGS_EQUAL(1, meter.events());
  STRCMP_EQUAL("0", meter.last_event_id().c_str());
  LONGS_EQUAL(16, meter.whole_bytes());
  CHECK(!meter.done());
}

TEST(UsageMeter, KnowsWhereTheStreamStands) {
  using Position = StreamPosition;
  struct Case {
    const char* stream;
    Position position;
  };
  const Case cases[] = {
      {"", Position::kNoEvent},
      {": a comment\n", Position::kNoEvent},
      {"i", Position::kInsideEvent},
      {"id: 0\n", Position::kInsideEvent},
      {"id: 0\ndata: x", Position::kInsideEvent},
      {"id: 0\ndata: x\n", Position::kInsideEvent},
      {"id: 0\r\ndata: x\r\n", Position::kInsideEvent},
      {"id: 0\ndata: x\n\n", Position::kAfterEvent},
      {"id: 0\r\ndata: x\r\n\r\n", Position::kAfterEvent},
      {"id: 0\rdata: x\r", Position::kInsideEvent},
      {"id: 0\rdata: x\r\r", Position::kAfterEvent},
      {"data: x\n\n: a comment\n", Position::kAfterEvent},
      {"data: x\n\nid: 1\n\n", Position::kAfterEvent},
      {"data: x\n\nretry", Position::kInsideEvent},
      {"data: x\n\ndata: [DONE]\n", Position::kInsideEvent},
      {"data: x\n\ndata: [DONE]\n\n", Position::kAfterClosingEvent},
  };
  for (const Case& row : cases) {
    UsageMeter meter;
    meter.Feed(row.stream);
    CHECK_TEXT(meter.position() == row.position, row.stream);
  }
}

// Guards against an event id or a closing event that is not recognised.
TEST(UsageMeter, ASpaceAfterAFieldsColonIsOptional) {
  for (const char* stream : {"id: 7\ndata: x\n\ndata: [DONE]\n\n",
                             "id:7\ndata:x\n\ndata:[DONE]\n\n"}) {
    UsageMeter meter;
    meter.Feed(stream);
    LONGS_EQUAL_TEXT(2, meter.events(), stream);
    STRCMP_EQUAL_TEXT("7", meter.last_event_id().c_str(), stream);
    CHECK_TEXT(meter.done(), stream);
  }
}

// Guards against events that are held back until the end of their stream.
TEST(UsageMeter, AnyLineEndEndsALine) {
  struct Case {
    const char* what;
    std::string_view end;
  };
  const Case cases[] = {{"LF", "\n"}, {"CR", "\r"}, {"CRLF", "\r\n"}};
  for (const Case& row : cases) {
    std::string stream;
    for (const char* line : {"id: 0", "data: x", "", "id: 1", "data: y", ""})
      stream += line + std::string(row.end);
    for (size_t cut = 0; cut <= stream.size(); ++cut) {
      UsageMeter meter;
      meter.Feed(stream.substr(0, cut));
      meter.Feed(stream.substr(cut));
      LONGS_EQUAL_TEXT(2, meter.events(), row.what);
      STRCMP_EQUAL_TEXT("1", meter.last_event_id().c_str(), row.what);
      LONGS_EQUAL_TEXT(stream.size(), meter.whole_bytes(), row.what);
      CHECK_TEXT(meter.position() == StreamPosition::kAfterEvent, row.what);
    }
  }
}

TEST_GROUP(FlowQueues){};

// The model is a list of waiting requests.
TEST(FlowQueues, MatchAListModelUnderRandomUse) {
  testing::CheckHolds("queue equals its model", [] {
    Workspace workspace;
    workspace.number = 1;
    workspace.queue_requests = 10;
    workspace.queue_bytes = 1'000;
    FlowQueues queues({20, 5'000});
    std::vector<QueuedRequest> model;
    RequestId next = 1;
    const int steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
      const int action = *rc::gen::inRange(0, 4);
      if (action <= 1) {
        QueuedRequest request;
        request.id = next++;
        request.flow = {*rc::gen::inRange<PoolId>(1, 3), 1};
        request.bytes = *rc::gen::inRange<int64_t>(1, 300);
        request.expires = Millis(*rc::gen::inRange<int64_t>(1, 50));
        int64_t bytes = 0;
        for (const QueuedRequest& queued : model)
          bytes += queued.bytes;
        const bool fits = model.size() < 10 && bytes + request.bytes <= 1'000;
        RC_ASSERT(!queues.Push(request, workspace).has_value() == fits);
        if (fits)
          model.push_back(request);
      } else if (action == 2 && !model.empty()) {
        const auto at = *rc::gen::inRange<size_t>(0, model.size());
        RC_ASSERT(queues.Remove(model[at].id).has_value());
        RC_ASSERT(!queues.Remove(model[at].id).has_value());
        model.erase(model.begin() + static_cast<std::ptrdiff_t>(at));
      } else {
        const Millis now(*rc::gen::inRange<int64_t>(0, 30));
        const size_t expired = queues.TakeExpired(now).size();
        const auto removed = std::erase_if(
            model, [&](const auto& queued) { return queued.expires <= now; });
        RC_ASSERT(expired == removed);
      }
      RC_ASSERT(queues.total() == model.size());
      for (const PoolId pool : {PoolId{1}, PoolId{2}}) {
        const auto first = std::ranges::find(
            model, pool, [](const auto& queued) { return queued.flow.pool; });
        const QueuedRequest* front = queues.Front({pool, 1});
        RC_ASSERT((front == nullptr) == (first == model.end()));
        RC_ASSERT((front == nullptr || front->id == first->id));
      }
    }
  });
}

TEST_GROUP(ServiceCounters){};

TEST(ServiceCounters, ServiceSumsAllBoxesAndSurvivesARestart) {
  const Flow flow = {1, 1};
  ServiceCounters counters(10);
  counters.Charge(flow, 100);
  counters.UpdateFromPeer(20, flow, 50);
  counters.UpdateFromPeer(20, flow, 70);  // replaces 50
  LONGS_EQUAL(170, counters.Service(flow));
  counters.RaiseServiceOffset(flow, 30);
  counters.RaiseServiceOffset(flow, 20);  // lower: ignored
  LONGS_EQUAL(200, counters.Service(flow));
  ServiceCounters restarted(10);
  CHECK(restarted.Import(counters.Export()));
  LONGS_EQUAL(200, restarted.Service(flow));
  restarted.Charge(flow, 5);
  LONGS_EQUAL(105, restarted.own().at(flow));
  CHECK(!restarted.Import(Json::array()));
  CHECK(!restarted.Import({{"registers", {1}}, {"lifts", Json::array()}}));
}

TEST(ServiceCounters, CursorReportsEveryFlow) {
  testing::CheckHolds(
      "each flow is reported within as many reports as there are flows", [] {
        ServiceCounters::ServiceByFlow current;
        const int flows = *rc::gen::inRange(1, 30);
        for (int i = 0; i < flows; ++i)
          current[{1, static_cast<WorkspaceId>(i)}] =
              *rc::gen::inRange<int64_t>(1, 1'000);
        ServiceReportCursor cursor;
        ServiceCounters::ServiceByFlow reported;
        for (int round = 0; round < flows; ++round) {
          for (const auto& [flow, value] : cursor.Next(current, 4, 1))
            reported[flow] = value;
        }
        RC_ASSERT(reported == current);
      });
}

TEST_GROUP(Members){
    auto MakeMemberList(int64_t version, int boxes)->MemberList{MemberList list;
list.version = version;
for (int i = 0; i < boxes; ++i)
  list.boxes.push_back({"box-" + std::to_string(i), "h", "", "", false});
return list;
}  // namespace
};  // namespace sparbend

TEST(Members, BoxIsLiveWhileItsHeartbeatIncreases) {
  Members members("box-0", 1);
  CHECK(members.SetList(MakeMemberList(1, 3), Millis(0)));
  CHECK(!members.SetList(MakeMemberList(1, 2), Millis(0)));
  const BoxId other = BoxIdOf("box-1");
  CHECK(!members.IsLive(other, Millis(0)));
  members.OnMemberUpdate({other, 5, 1, false}, Millis(100));
  CHECK(members.IsLive(other, Millis(2'099)));
  CHECK(!members.IsLive(other, Millis(2'100)));
  members.OnMemberUpdate({other, 5, 1, false},
                         Millis(3'000));  // heartbeat already received
  CHECK(!members.IsLive(other, Millis(3'000)));
  members.OnMemberUpdate({other, 5, 2, false}, Millis(3'000));
  CHECK(members.IsLive(other, Millis(3'000)));
}

TEST(Members, LeavingIsPermanentForAnIncarnation) {
  Members members("box-0", 1);
  members.SetList(MakeMemberList(1, 2), Millis(0));
  const BoxId other = BoxIdOf("box-1");
  members.OnMemberUpdate({other, 5, 1, true}, Millis(0));
  CHECK(!members.IsLive(other, Millis(0)));
  members.OnMemberUpdate({other, 5, 2, false}, Millis(10));
  CHECK(!members.IsLive(other, Millis(10)));
  members.OnMemberUpdate({other, 4, 9, false}, Millis(20));
  CHECK(!members.IsLive(other, Millis(20)));
  members.OnMemberUpdate({other, 6, 1, false}, Millis(30));
  CHECK(members.IsLive(other, Millis(30)));
}

TEST(Members, TargetsAreSpreadEvenlyAndOnlyThoseOfALeavingBoxMove) {
  constexpr int kBoxes = 10;
  constexpr int kTargets = 2'000;
  Members members("box-0", 1);
  members.SetList(MakeMemberList(1, kBoxes), Millis(0));
  for (int i = 1; i < kBoxes; ++i)
    members.OnMemberUpdate({BoxIdOf("box-" + std::to_string(i)), 1, 1, false},
                           Millis(0));
  std::map<BoxId, int> assigned_targets;
  std::map<TargetId, BoxId> allocators_before;
  for (int i = 0; i < kTargets; ++i) {
    const TargetId target = TargetIdOf("target-" + std::to_string(i));
    allocators_before[target] = *members.AllocatorOf(target, "h", Millis(0));
    ++assigned_targets[allocators_before[target]];
  }
  for (const auto& [box, count] : assigned_targets)
    CHECK(count > kTargets / kBoxes / 2 && count < kTargets / kBoxes * 2);
  const BoxId leaving_box = BoxIdOf("box-3");
  members.OnMemberUpdate({leaving_box, 1, 2, true}, Millis(0));
  for (const auto& [target, box] : allocators_before) {
    const BoxId now = *members.AllocatorOf(target, "h", Millis(0));
    CHECK(now == box || box == leaving_box);
  }
}

}  // namespace
}  // namespace sparbend
