// Requests that were given up during a partition reached their targets once it
// had healed.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr Millis kLogTimeout(10'000);
// After a partition has healed, for what it held up to be delivered.
constexpr Millis kDelivery(500);
constexpr char kDeclarations[] = R"({"version": 3,
  "routes": [
    {"name": "once", "host": "127.0.0.1", "path-prefix": "/once/",
     "kind": "non_idempotent", "max-attempts": 1, "timeout-ms": 700,
     "target-latency-ms": 400, "service": "plain"},
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "idempotent", "max-attempts": 1, "timeout-ms": 8000,
     "target-latency-ms": 500, "service": "plain"},
    {"name": "close", "host": "127.0.0.1", "path-prefix": "/close/",
     "kind": "idempotent", "max-attempts": 1, "timeout-ms": 8000,
     "target-latency-ms": 500, "service": "plain"},
    {"name": "stream", "host": "127.0.0.1", "path-prefix": "/stream/",
     "kind": "streaming", "max-attempts": 1, "timeout-ms": 8000,
     "target-latency-ms": 500, "service": "engines"},
    {"name": "brief-stream", "host": "127.0.0.1",
     "path-prefix": "/brief-stream/",
     "kind": "streaming", "max-attempts": 1, "timeout-ms": 700,
     "target-latency-ms": 400, "service": "engines"}],
  "services": [{"name": "plain", "max-conns": 100},
               {"name": "engines", "max-conns": 100,
                "engine": {"kv-capacity": 100000, "stride": 1}}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

auto IsStream(const std::string& path) -> bool {
  return path.ends_with("stream/");
}

auto Answer(const SeenRequest& request) -> TargetScript {
  TargetScript script;
  if (request.path == "/close/") {
    script.pieces = {
        AnswerHead(request, Framing::kLength, 2, "Connection: close\r\n") +
        "ok"};
    return script;
  }
  script.pieces = {IsStream(request.path)
                       ? StreamHead(request) + StreamEvent(1) + StreamEnd()
                       : GoodAnswer(request, "answer")};
  return script;
}

// One box and two targets, each behind a link that can be held up.
class PartitionedWorld {
 public:
  PartitionedWorld() : world_("late-arrival") {
    world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
               kDeclarations);
    Add("plain-1", "plain");
    Add("engine-1", "engines");
    world_.StartBox("box-1");
    CHECK(world_.WaitReady("box-1"));
  }

  // Sends a request and waits for its answer for up to `patience`.
  auto Ask(const std::string& id,
           const std::string& path,
           Millis deadline,
           Millis patience) -> Reply {
    return Call(world_.box("box-1").callers, "POST", path, "body",
                {{"Authorization", "Token the-key"},
                 {platform::kAttemptIdField, id},
                 {platform::kTokensField, IsStream(path) ? "100,10" : ""},
                 {platform::kDeadlineField, std::to_string(deadline.count())}},
                patience);
  }
  auto WaitUntilSent(const std::string& id) -> bool {
    return WaitFor(kLogTimeout, [&] {
      const std::vector<Json> sent = world_.Events("box-1", "request-sent");
      return std::ranges::any_of(sent, [&](const Json& line) {
        return line.value("caller_id", "") == id;
      });
    });
  }
  void SetHeld(bool held) {
    for (const std::unique_ptr<TcpProxy>& link : links_)
      link->SetHeld(held);
  }
  void KillBox() {
    world_.box("box-1").process->Signal(SIGKILL);
    world_.box("box-1").process->Wait(kLogTimeout);
  }
  void StopBox() {
    world_.box("box-1").process->Signal(SIGTERM);
    world_.box("box-1").process->Wait(kLogTimeout);
  }
  auto resets() const -> int { return world_.resets(); }
  // How often targets got the request, some time after the partition healed.
  auto ArrivedAfterHeal(const std::string& id) -> size_t {
    SetHeld(false);
    std::this_thread::sleep_for(std::chrono::milliseconds(kDelivery.count()));
    return world_.SeenOf(id).size();
  }

 private:
  void Add(const std::string& name, const std::string& pool) {
    links_.push_back(
        std::make_unique<TcpProxy>(world_.AddTarget(name, pool, Answer)));
    world_.ListTarget(name, pool, links_.back()->address(), "ready",
                      /*sign_of_life=*/2);
  }

  PlatformWorld world_;
  std::vector<std::unique_ptr<TcpProxy>> links_;
};

TEST_GROUP(LateArrival){};

TEST(LateArrival, NoRequestArrivesThatWasGivenUp) {
  enum class GivenUpBy { kDeadline, kTimeout, kClient, kBoxKilled };
  const struct {
    const char* what;
    const char* path;
    bool connection_kept;
    GivenUpBy by;
  } cases[] = {
      {"deadline, kept connection", "/again/", true, GivenUpBy::kDeadline},
      {"deadline, new connection", "/again/", false, GivenUpBy::kDeadline},
      {"deadline, stream, kept", "/stream/", true, GivenUpBy::kDeadline},
      {"deadline, stream, new", "/stream/", false, GivenUpBy::kDeadline},
      {"timeout, once, kept", "/once/", true, GivenUpBy::kTimeout},
      {"timeout, once, new", "/once/", false, GivenUpBy::kTimeout},
      {"timeout, stream, kept", "/brief-stream/", true, GivenUpBy::kTimeout},
      {"timeout, stream, new", "/brief-stream/", false, GivenUpBy::kTimeout},
      {"client leaves, kept", "/again/", true, GivenUpBy::kClient},
      {"client leaves, new", "/again/", false, GivenUpBy::kClient},
      {"client leaves, stream", "/stream/", true, GivenUpBy::kClient},
      {"box killed, kept", "/again/", true, GivenUpBy::kBoxKilled},
      {"box killed, stream", "/stream/", true, GivenUpBy::kBoxKilled},
  };
  constexpr Millis kDeadline(900);
  constexpr Millis kLongDeadline(6'000);
  constexpr Millis kPatience(5'000);
  constexpr Millis kClientLeaves(300);
  for (const auto& row : cases) {
    PartitionedWorld world;
    if (row.connection_kept)
      CHECK_EQUAL_TEXT(
          200, world.Ask("first", row.path, kLongDeadline, kPatience).status,
          row.what);
    world.SetHeld(true);
    const bool leaves = row.by == GivenUpBy::kClient;
    const bool at_deadline = row.by == GivenUpBy::kDeadline;
    auto reply = std::async(std::launch::async, [&] {
      return world.Ask("held", row.path,
                       at_deadline ? kDeadline : kLongDeadline,
                       leaves ? kClientLeaves : kPatience);
    });
    CHECK_TEXT(world.WaitUntilSent("held"), row.what);
    if (row.by == GivenUpBy::kBoxKilled)
      world.KillBox();
    CHECK_TEXT(reply.get().status != 200, row.what);
    // The box notices that its client left.
    std::this_thread::sleep_for(std::chrono::milliseconds(kDelivery.count()));
    CHECK_EQUAL_TEXT(0, world.ArrivedAfterHeal("held"), row.what);
  }
}

TEST(LateArrival, RequestsOfAShortPartitionAreAnswered) {
  constexpr Millis kShort(200);
  for (const char* path : {"/once/", "/again/", "/stream/"}) {
    PartitionedWorld world;
    world.SetHeld(true);
    auto reply = std::async(std::launch::async, [&] {
      return world.Ask("held", path, Millis(5'000), Millis(6'000));
    });
    CHECK_TEXT(world.WaitUntilSent("held"), path);
    std::this_thread::sleep_for(std::chrono::milliseconds(kShort.count()));
    CHECK_EQUAL_TEXT(1, world.ArrivedAfterHeal("held"), path);
    CHECK_EQUAL_TEXT(200, reply.get().status, path);
  }
}

TEST(LateArrival, NoCallArrivesThatWasGivenUp) {
  asio::io_context io;
  auto work = asio::make_work_guard(io);
  std::atomic<int> received = 0;
  HttpServer server(&io, [&](StringRequest) -> asio::awaitable<StringResponse> {
    ++received;
    co_return JsonResponse(http::status::ok, Json::object());
  });
  CHECK(!server.Listen(*ParseAddress("127.0.0.1:0")));
  std::thread thread([&] { io.run(); });
  const std::shared_ptr<void> stop(nullptr, [&](void*) {
    io.stop();
    thread.join();
  });
  TcpProxy link(server.address());
  HttpClient client(*ParseAddress(link.address()), "test");
  const auto call = [&]() -> bool {
    return asio::co_spawn(io, client.Post("/", Json::object(), Millis(500)),
                          asio::use_future)
        .get()
        .has_value();
  };
  CHECK(call());
  for (const bool kept : {true, false}) {
    link.SetHeld(true);
    CHECK_FALSE_TEXT(call(), kept ? "kept connection" : "new connection");
    link.SetHeld(false);
    std::this_thread::sleep_for(std::chrono::milliseconds(kDelivery.count()));
    CHECK_EQUAL_TEXT(1, received, kept ? "kept connection" : "new connection");
  }
}

TEST(LateArrival, CompleteExchangesAreNotReset) {
  PartitionedWorld world;
  for (const char* path : {"/once/", "/again/", "/stream/", "/close/"})
    CHECK_EQUAL_TEXT(
        200, world.Ask(path, path, Millis(5'000), Millis(6'000)).status, path);
  world.StopBox();
  CHECK_EQUAL(0, world.resets());
}

}  // namespace
}  // namespace sparbend::testing
