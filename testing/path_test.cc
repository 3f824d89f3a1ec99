// The whole path with real processes: a small fleet of two halls, bad input,
// faults of targets and of the network between. What ran is asked of the
// stand-ins' records.
#include <signal.h>

#include <thread>

#include <CppUTest/TestHarness.h>

#include "sparbend/core/digest.h"
#include "testing/load.h"
#include "testing/scenario.h"

namespace sparbend::testing {
namespace {

constexpr Millis kPatience = Millis(30'000);

// Two halls, a box and an engine and a service in each.
auto SmallFleet(const std::string& name) -> Scenario {
  Scenario scenario;
  scenario.name = name;
  scenario.fleet.halls = {{"north", 1, 1, 1}, {"south", 1, 1, 1}};
  scenario.fleet.token_us = 3'000;
  scenario.workspaces["open"] = {1, {}};
  scenario.workspaces["pinned"] = {1, {"north"}};
  return scenario;
}

auto EngineBody(const std::string& tag, int cost, bool stream = true) -> Json {
  return {{"model", "model-1"},
          {"prompt", "hello hello hello"},
          {"stream", stream},
          {"tag", tag},
          {"user", "cost=" + std::to_string(cost)}};
}

// One fleet for all tests of this file: starting one takes a second.
class PathFleet {
 public:
  static auto Cluster() -> testing::Cluster& {
    static const std::unique_ptr<testing::Cluster> cluster =
        StartFleet(SmallFleet("path"));
    return *cluster;
  }
};

auto FirstBox() -> Cluster::Box& {
  return PathFleet::Cluster().boxes().begin()->second;
}

auto Ask(const Cluster::Box& box,
         const std::string& path,
         const Json& body,
         const std::string& workspace = "open",
         std::map<std::string, std::string> fields = {}) -> Reply {
  fields["Authorization"] = "Bearer " + KeyOf(workspace);
  return Call(box.callers, "POST", path, body.dump(), fields);
}

auto RunsOf(Cluster& cluster, const std::string& tag) -> Json {
  Json found = Json::array();
  for (const Json& run : cluster.Control("runs?from=1")) {
    if (run.at("tag") == tag)
      found.push_back(run);
  }
  return found;
}

// Sends raw bytes and reads until the box closes; what it answered.
auto SendRaw(const std::string& address, const std::string& bytes)
    -> std::string {
  asio::io_context io;
  tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(*ParseAddress(address), error);
  asio::write(socket, asio::buffer(bytes), error);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

TEST_GROUP(Path){};

TEST(Path, StreamsTokensThroughAnyBox) {
  for (auto& [name, box] : PathFleet::Cluster().boxes()) {
    const Json body = EngineBody("stream-" + name, 5);
    const Reply reply = Ask(box, "/v1/completions", body);
    LONGS_EQUAL(200, reply.status);
    STRCMP_EQUAL(ExpectedStream(body.dump(), 4, 5).c_str(), reply.body.c_str());
    STRCMP_EQUAL("ran", reply.fields.at("sparbend-verdict").c_str());
  }
}

TEST(Path, AnswersWholeAndPlainRequests) {
  const Json body = EngineBody("whole", 5, false);
  const Reply whole = Ask(FirstBox(), "/v1/completions", body);
  LONGS_EQUAL(200, whole.status);
  CHECK(ParseJson(whole.body, SIZE_MAX)->at("digest") ==
        Sha256Hex(body.dump()));
  const Json call = {{"tag", "plain"}};
  const Reply plain = Ask(FirstBox(), "/box-api/prices", call);
  LONGS_EQUAL(200, plain.status);
  LONGS_EQUAL(1, RunsOf(PathFleet::Cluster(), "plain").size());
}

TEST(Path, BadInputGetsAClearStatusAndWasNotRun) {
  struct Case {
    const char* what;
    const char* method;
    const char* path;
    std::string body;
    std::string key;
    int status;
  };
  const Json engine = EngineBody("bad", 3);
  Json unknown_model = engine;
  unknown_model["model"] = "nobody-has-this";
  const Case cases[] = {
      {"unknown key", "POST", "/v1/completions", engine.dump(), "wrong", 401},
      {"unknown model", "POST", "/v1/completions", unknown_model.dump(),
       KeyOf("open"), 404},
      {"unknown path", "GET", "/nowhere", "", KeyOf("open"), 404},
      {"no JSON", "POST", "/v1/completions", "{{{", KeyOf("open"), 400},
      {"wrong method", "GET", "/v1/completions", "", KeyOf("open"), 405},
      {"large body", "POST", "/v1/completions", std::string(5 << 20, 'x'),
       KeyOf("open"), 413},
  };
  for (const Case& row : cases) {
    const Reply reply = Call(FirstBox().callers, row.method, row.path, row.body,
                             {{"Authorization", "Bearer " + row.key}});
    LONGS_EQUAL_TEXT(row.status, reply.status, row.what);
    STRCMP_EQUAL_TEXT("not-run", reply.fields.at("sparbend-verdict").c_str(),
                      row.what);
  }
  LONGS_EQUAL(0, RunsOf(PathFleet::Cluster(), "bad").size());
}

TEST(Path, BrokenHttpIsRefusedAndHarmsNobody) {
  const std::string cases[] = {
      "this is no HTTP\r\n\r\n",
      "GET / HTTP/9.9\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
      "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'y') + "\r\n\r\n",
  };
  for (const std::string& bytes : cases) {
    const std::string answer = SendRaw(FirstBox().callers, bytes);
    CHECK_TEXT(answer.starts_with("HTTP/1.1 4"), answer.c_str());
    CHECK_TEXT(answer.find("not-run") != std::string::npos, answer.c_str());
  }
  const Reply reply =
      Ask(FirstBox(), "/v1/completions", EngineBody("after-broken", 2));
  LONGS_EQUAL(200, reply.status);
}

TEST(Path, ACallerThatStallsCostsNobodyElseAnything) {
  asio::io_context io;
  std::vector<tcp::socket> stalled;
  for (int i = 0; i < 20; ++i) {
    stalled.emplace_back(io);
    stalled.back().connect(*ParseAddress(FirstBox().callers));
    asio::write(stalled.back(), asio::buffer(std::string("POST /v1/comp")));
  }
  LONGS_EQUAL(
      200, Ask(FirstBox(), "/v1/completions", EngineBody("beside-stalled", 2))
               .status);
}

TEST(Path, ACallerThatLeavesCancelsItsWork) {
  {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(*ParseAddress(FirstBox().callers));
    const std::string body = EngineBody("left", 3'000).dump();
    asio::write(socket,
                asio::buffer("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                             "Authorization: Bearer " +
                             KeyOf("open") + "\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body));
    std::string start(200, ' ');
    asio::read(socket, asio::buffer(start));
  }
  const std::string box = FirstBox().name;
  CHECK(WaitFor(kPatience, [&] {
    return PathFleet::Cluster().Metric(box, "sparbend_in_flight") == 0;
  }));
  const Json runs = RunsOf(PathFleet::Cluster(), "left");
  LONGS_EQUAL(1, runs.size());
  CHECK(!runs[0].at("whole"));
}

TEST(Path, GarbageAndRefusalsOfATarget) {
  Cluster& cluster = PathFleet::Cluster();
  struct Case {
    const char* fault;
    bool once;
    int status;  // with both targets at fault
    const char* verdict;
  };
  const Case cases[] = {
      {"garbage", true, 502, "may-have-run"},
      {"refuse", true, 503, "not-run"},
      {"refuse", false, 503, "not-run"},
  };
  for (const Case& row : cases) {
    for (const char* service : {"north-service-1", "south-service-1"})
      cluster.Control("target-fault",
                      {{"name", service}, {"fault", row.fault}});
    std::map<std::string, std::string> fields;
    if (row.once)
      fields["Sparbend-Once"] = "true";
    const Json call = {{"tag", "faulty"}};
    const Reply reply = Ask(FirstBox(), "/box-api/x", call, "open", fields);
    LONGS_EQUAL_TEXT(row.status, reply.status, row.fault);
    STRCMP_EQUAL_TEXT(row.verdict, reply.fields.at("sparbend-verdict").c_str(),
                      row.fault);
    for (const char* service : {"north-service-1", "south-service-1"})
      cluster.Control("target-fault", {{"name", service}, {"fault", "none"}});
  }
  LONGS_EQUAL(0, RunsOf(cluster, "faulty").size());
  // One sound target is enough for what may be tried again.
  cluster.Control("target-fault",
                  {{"name", "south-service-1"}, {"fault", "refuse"}});
  for (int i = 0; i < 10; ++i) {
    const Json call = {{"tag", "one-sound"}};
    LONGS_EQUAL(200, Ask(FirstBox(), "/box-api/x", call).status);
  }
  cluster.Control("target-fault",
                  {{"name", "south-service-1"}, {"fault", "none"}});
}

TEST(Path, APinnedWorkspaceIsServedInItsHallOrRefused) {
  Cluster& cluster = PathFleet::Cluster();
  Cluster::Box& south = cluster.boxes().rbegin()->second;
  for (int i = 0; i < 10; ++i)
    LONGS_EQUAL(
        200,
        Ask(south, "/v1/completions", EngineBody("pin", 2), "pinned").status);
  for (const Json& run : RunsOf(cluster, "pin"))
    CHECK(run.at("hall") == "north");
  cluster.Control("state", {{"name", "north-engine-1"}, {"state", "leaving"}});
  CHECK(WaitFor(kPatience, [&] {
    return Ask(south, "/v1/completions", EngineBody("pin-gone", 2), "pinned")
               .status == 503;
  }));
  const Reply refused =
      Ask(south, "/v1/completions", EngineBody("pin-gone", 2), "pinned");
  STRCMP_EQUAL("not-run", refused.fields.at("sparbend-verdict").c_str());
  CHECK(refused.fields.contains("retry-after"));
  cluster.Control("state", {{"name", "north-engine-1"}, {"state", "live"}});
  CHECK(WaitFor(kPatience, [&] {
    return Ask(south, "/v1/completions", EngineBody("pin-back", 2), "pinned")
               .status == 200;
  }));
}

// Streams under way when their engine dies: each answer is whole and right
// (taken up again, or run anew before a byte went out) or plainly broken.
TEST(Path, AKilledEngineShortensNoAnswerSilently) {
  Cluster& cluster = PathFleet::Cluster();
  asio::io_context io;
  Load load(&io, cluster.caller_addresses(), 7);
  Workload workload;
  workload.workspace = "open";
  workload.key = KeyOf("open");
  workload.model = "model-1";
  workload.callers = 12;
  workload.cost_min = 20;
  load.Add(workload);
  bool done = false;
  asio::co_spawn(io, load.Run(Millis(3'000), kPatience),
                 [&](std::exception_ptr) { done = true; });
  asio::steady_timer kill(io, std::chrono::milliseconds(700));
  kill.async_wait([&](boost::system::error_code) {
    cluster.Control("target-fault",
                    {{"name", "north-engine-1"}, {"fault", "kill"}});
  });
  asio::steady_timer revive(io, std::chrono::milliseconds(1'700));
  revive.async_wait([&](boost::system::error_code) {
    cluster.Control("target-fault",
                    {{"name", "north-engine-1"}, {"fault", "revive"}});
  });
  while (!done)
    io.run_one_for(std::chrono::milliseconds(50));
  const Verified verified = Verify(load.samples(), Json::array(), {});
  CHECK(verified.answered > 0);
  LONGS_EQUAL(0, verified.wrong);
  LONGS_EQUAL(0, verified.lost);
}

TEST(Path, HealthReadinessMetricsAndTokens) {
  const std::string admin = FirstBox().admin;
  LONGS_EQUAL(200, Call(admin, "GET", "/healthz", "").status);
  LONGS_EQUAL(200, Call(admin, "GET", "/readyz", "").status);
  CHECK(Call(admin, "GET", "/metrics", "").body.find("sparbend_queued") !=
        std::string::npos);
  LONGS_EQUAL(401, Call(admin, "POST", "/rpc", "{}").status);
  LONGS_EQUAL(401, Call(admin, "POST", "/rpc", "{}",
                        {{"Authorization", "Bearer wrong"}})
                       .status);
  const Json status = PathFleet::Cluster().Rpc(FirstBox().name, "status");
  CHECK(status.at("ready"));
  LONGS_EQUAL(2, status.at("boxes").size());
}

}  // namespace
}  // namespace sparbend::testing
