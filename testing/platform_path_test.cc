// The whole path on the platform's wire with real boxes: what callers get and
// what targets saw, one row a misbehaviour.
#include <signal.h>

#include <fstream>

#include <future>
#include <set>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr Millis kWaitTimeout = Millis(20'000);
constexpr char kDeclarations[] = R"({"version": 3,
  "routes": [
    {"name": "once", "host": "127.0.0.1", "path-prefix": "/once/",
     "kind": "non_idempotent", "max-attempts": 1, "timeout-ms": 1500,
     "target-latency-ms": 200, "service": "plain"},
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "idempotent", "max-attempts": 2, "timeout-ms": 1500,
     "target-latency-ms": 200, "service": "plain"},
    {"name": "moved", "host": "127.0.0.1", "path-prefix": "/moved/",
     "kind": "non_idempotent", "max-attempts": 1, "timeout-ms": 1500,
     "target-latency-ms": 200, "service": "moved"},
    {"name": "unread", "host": "127.0.0.1", "path-prefix": "/unread/",
     "kind": "non_idempotent", "max-attempts": 1, "timeout-ms": 1500,
     "target-latency-ms": 200, "service": "unread"},
    {"name": "reborn", "host": "127.0.0.1", "path-prefix": "/reborn/",
     "kind": "idempotent", "max-attempts": 2, "timeout-ms": 1500,
     "target-latency-ms": 200, "service": "reborn"},
    {"name": "stream", "host": "127.0.0.1", "path-prefix": "/stream/",
     "kind": "streaming", "max-attempts": 1, "timeout-ms": 3000,
     "target-latency-ms": 500, "service": "engines"},
    {"name": "resumed", "host": "127.0.0.1", "path-prefix": "/resumed/",
     "kind": "streaming", "max-attempts": 2, "timeout-ms": 3000,
     "target-latency-ms": 500, "resumable": true, "service": "engines"}],
  "services": [{"name": "plain", "max-conns": 100},
               {"name": "unread", "max-conns": 100},
               {"name": "moved", "max-conns": 100},
               {"name": "reborn", "max-conns": 100},
               {"name": "spare", "max-conns": 100},
               {"name": "engines", "max-conns": 100,
                "engine": {"kv-capacity": 100000, "stride": 1}}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

// A world whose targets do what the test says for each request's id.
class ScriptedWorld {
 public:
  using Script = std::function<TargetScript(const SeenRequest&, int sending)>;

  ScriptedWorld() : world_("platform-path") {
    world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
               kDeclarations);
    for (const char* name : {"plain-1", "plain-2"})
      world_.AddTarget(name, "plain", Handler());
    for (const char* name : {"engine-1", "engine-2"})
      world_.AddTarget(name, "engines", Handler());
    world_.StartBox("box-1");
    ready_ = world_.WaitReady("box-1");
  }

  auto ready() const -> bool { return ready_; }
  auto world() -> PlatformWorld& { return world_; }

  void Set(Script script) {
    const std::lock_guard lock(mutex_);
    script_ = std::move(script);
    sendings_.clear();
  }

  auto Ask(const std::string& path,
           const std::string& id,
           const std::string& body = "body",
           const std::string& box = "box-1",
           const std::string& key = "Token the-key") -> Reply {
    return Call(
        world_.box(box).callers, "POST", path, body,
        {{"Authorization", key},
         {platform::kAttemptIdField, id},
         {platform::kTokensField,
          path.starts_with("/stream") || path.starts_with("/resumed") ? "100,10"
                                                                      : ""},
         {platform::kDeadlineField, "5000"}});
  }

 private:
  auto Handler() -> PlatformWorld::Handler {
    return [this](const SeenRequest& request) {
      Script script;
      int sending = 0;
      {
        const std::lock_guard lock(mutex_);
        script = script_;
        sending = ++sendings_[request.id];
      }
      return script(request, sending);
    };
  }

  std::mutex mutex_;
  Script script_;
  std::map<std::string, int> sendings_;
  PlatformWorld world_;
  bool ready_ = false;
};

auto Once(std::string bytes, bool close = false, bool reset = false)
    -> TargetScript {
  TargetScript script;
  script.pieces = {std::move(bytes)};
  script.close = close;
  script.reset = reset;
  return script;
}

auto Hang() -> TargetScript {
  TargetScript script;
  script.hang = true;
  return script;
}

auto HasSignature(const Reply& reply) -> bool {
  return reply.fields.contains("x-sparbend-response-signature");
}

TEST_GROUP(PlatformPath){static auto Shared()->ScriptedWorld &
                         {static ScriptedWorld shared;
return shared;
}  // namespace
void setup() override {
  CHECK(Shared().ready());
}
};  // namespace sparbend::testing

// The first sending of a request meets the row's script; the second, if any,
// gets a good answer.
TEST(PlatformPath, AMisbehavingTargetNeverMisleadsTheCaller) {
  struct Case {
    const char* what;
    std::function<TargetScript(const SeenRequest&)> first;
    int once_status;   // of a request that may run once
    int again_status;  // of one that may be repeated
    size_t once_sent;
    size_t again_sent;
  };
  const auto good = [](const SeenRequest& request) {
    return GoodAnswer(request, "ok");
  };
  const Case cases[] = {
      {"a good answer", [&](const auto& r) { return Once(good(r)); }, 200, 200,
       1, 1},
      {"not run",
       [](const auto&) {
         return Once(
             "HTTP/1.1 503 Busy\r\nX-Sparbend-Not-Executed: 1\r\n"
             "Content-Length: 0\r\n\r\n");
       },
       200, 200, 2, 2},
      {"reset without an answer",
       [](const auto&) { return Once("", false, true); }, 502, 200, 1, 2},
      {"closed without an answer", [](const auto&) { return Once("", true); },
       502, 200, 1, 2},
      {"bytes that are no answer",
       [](const auto&) { return Once("garbage\r\n\r\n", true); }, 502, 200, 1,
       2},
      {"a body cut short",
       [&](const auto& r) {
         return Once(good(r).substr(0, good(r).size() - 1), true);
       },
       502, 200, 1, 2},
      {"an answer of another request, then its own",
       [&](const auto& r) {
         SeenRequest other = r;
         other.id = "somebody-else";
         return Once(GoodAnswer(other, "theirs") + good(r));
       },
       200, 200, 1, 1},
      {"only an answer of another request",
       [](const auto& r) {
         SeenRequest other = r;
         other.id = "somebody-else";
         return Once(GoodAnswer(other, "theirs"), true);
       },
       502, 200, 1, 2},
      {"more after a whole answer",
       [&](const auto& r) { return Once(good(r) + good(r)); }, 200, 200, 1, 1},
      {"an interim response, then its answer",
       [&](const auto& r) {
         return Once("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
                     good(r));
       },
       200, 200, 1, 1},
      {"a success without a signature",
       [](const auto& r) {
         return Once("HTTP/1.1 200 OK\r\nX-Sparbend-Attempt-Id: " + r.id +
                     "\r\nContent-Length: 2\r\n\r\nok");
       },
       502, 200, 1, 2},
      {"a failure of its own",
       [](const auto& r) {
         return Once("HTTP/1.1 500 Bad\r\nX-Sparbend-Attempt-Id: " + r.id +
                     "\r\nX-Sparbend-Response-Signature: s\r\n"
                     "Content-Length: 3\r\n\r\nbad");
       },
       500, 200, 1, 2},
      {"no length, ended by its close",
       [](const auto& r) {
         return Once("HTTP/1.1 200 OK\r\nX-Sparbend-Attempt-Id: " + r.id +
                         "\r\nX-Sparbend-Response-Signature: s\r\n\r\nok",
                     true);
       },
       200, 200, 1, 1},
      {"no length, reset",
       [](const auto& r) {
         TargetScript script =
             Once("HTTP/1.1 200 OK\r\nX-Sparbend-Attempt-Id: " + r.id +
                      "\r\nX-Sparbend-Response-Signature: s\r\n\r\nok",
                  false, true);
         script.pieces.emplace_back("");
         script.pause = Millis(50);
         return script;
       },
       502, 200, 1, 2},
  };
  int number = 0;
  for (const Case& row : cases) {
    Shared().Set([&](const SeenRequest& request, int sending) {
      return sending == 1 ? row.first(request)
                          : Once(GoodAnswer(request, "ok"));
    });
    const std::string once = "once-" + std::to_string(++number);
    const Reply reply = Shared().Ask("/once/x", once);
    LONGS_EQUAL_TEXT(row.once_status, reply.status, row.what);
    LONGS_EQUAL_TEXT(row.once_sent, Shared().world().SeenOf(once).size(),
                     row.what);
    if (reply.status == 200)
      STRCMP_EQUAL_TEXT("ok", reply.body.c_str(), row.what);
    CHECK_EQUAL_TEXT(reply.status == 200 || reply.status == 500,
                     HasSignature(reply), row.what);
    const std::string again = "again-" + std::to_string(number);
    const Reply repeated = Shared().Ask("/again/x", again);
    LONGS_EQUAL_TEXT(row.again_status, repeated.status, row.what);
    LONGS_EQUAL_TEXT(row.again_sent, Shared().world().SeenOf(again).size(),
                     row.what);
    STRCMP_EQUAL_TEXT("ok", repeated.body.c_str(), row.what);
  }
}

TEST(PlatformPath, ATargetWhoseAddressIsAnothersNowIsLeftAlone) {
  for (const char* name : {"moved-1", "moved-2"}) {
    Shared().world().AddTarget(name, "moved", [](const SeenRequest& request) {
      return request.target == "moved-2"
                 ? Once(GoodAnswer(request, "ok"))
                 : Once(
                       "HTTP/1.1 421 No\r\nX-Sparbend-Instance-Id: x\r\n"
                       "Content-Length: 0\r\n\r\n");
    });
  }
  std::string id = "moved-";
  CHECK(WaitFor(Millis(10'000), [&] {
    id += "x";  // until the targets are known, requests are refused
    return Shared().Ask("/moved/x", id).status == 200;
  }));
  // Whichever came first, the one that moved is asked once at most.
  for (int i = 0; i < 20; ++i)
    LONGS_EQUAL(200, Shared().Ask("/moved/x", "m-" + std::to_string(i)).status);
  int asked = 0;
  for (const SeenRequest& seen : Shared().world().Seen())
    asked += seen.target == "moved-1" ? 1 : 0;
  CHECK(asked <= 1);
}

TEST(PlatformPath, TheFailureOfTheLastTargetGoesOutUnchanged) {
  Shared().Set([](const SeenRequest& request, int) {
    return Once("HTTP/1.1 500 Bad\r\nX-Sparbend-Attempt-Id: " + request.id +
                "\r\nX-Sparbend-Response-Signature: of-" + request.target +
                "\r\nContent-Length: 3\r\n\r\nbad");
  });
  const Reply reply = Shared().Ask("/again/x", "fails-everywhere");
  LONGS_EQUAL(500, reply.status);
  STRCMP_EQUAL("bad", reply.body.c_str());
  const auto seen = Shared().world().SeenOf("fails-everywhere");
  LONGS_EQUAL(2, seen.size());
  CHECK(seen[0].target != seen[1].target);
  STRCMP_EQUAL(("of-" + seen[1].target).c_str(),
               reply.fields.at("x-sparbend-response-signature").c_str());
}

TEST(PlatformPath, ATargetThatHangsIsGivenUpForRepeatableRequestsAlone) {
  Shared().Set([](const SeenRequest& request, int sending) {
    return sending == 1 ? Hang() : Once(GoodAnswer(request, "ok"));
  });
  LONGS_EQUAL(200, Shared().Ask("/again/x", "hang-again").status);
  LONGS_EQUAL(2, Shared().world().SeenOf("hang-again").size());
  LONGS_EQUAL(504, Shared().Ask("/once/x", "hang-once").status);
  LONGS_EQUAL(1, Shared().world().SeenOf("hang-once").size());
}

TEST(PlatformPath, ABrokenStreamGoesOnAfterTheLastWholeEventOrLooksBroken) {
  // Two whole events, half of a third, and a reset.
  Shared().Set([](const SeenRequest& request, int sending) {
    TargetScript script;
    if (sending == 1) {
      const std::string third = StreamEvent(3);
      script.pieces = {StreamHead(request), StreamEvent(1), StreamEvent(2),
                       third.substr(0, third.size() / 2)};
      script.pause = Millis(20);
      script.reset = true;
    } else {
      script.pieces = {StreamHead(request), StreamEvent(3), StreamEvent(4),
                       StreamEnd()};
    }
    return script;
  });
  const Reply resumed = Shared().Ask("/resumed/x", "resumed");
  LONGS_EQUAL(200, resumed.status);
  STRCMP_EQUAL(
      "id: 1\ndata: piece1\n\nid: 2\ndata: piece2\n\n"
      "id: 3\ndata: piece3\n\nid: 4\ndata: piece4\n\n",
      resumed.body.c_str());
  const auto seen = Shared().world().SeenOf("resumed");
  LONGS_EQUAL(2, seen.size());
  STRCMP_EQUAL("2", seen[1].fields.at("last-event-id").c_str());
  CHECK(seen[0].target != seen[1].target);
  // Where the route allows no resuming, the answer ends as broken.
  LONGS_EQUAL(0, Shared().Ask("/stream/x", "broken").status);
  LONGS_EQUAL(1, Shared().world().SeenOf("broken").size());
}

TEST(PlatformPath, AStreamThatBreaksBeforeItsFirstEventIsBegunAnew) {
  Shared().Set([](const SeenRequest& request, int sending) {
    TargetScript script;
    if (sending == 1)
      return Once("", false, true);
    script.pieces = {StreamHead(request), StreamEvent(1), StreamEnd()};
    return script;
  });
  const Reply reply = Shared().Ask("/resumed/x", "begun-anew");
  LONGS_EQUAL(200, reply.status);
  const auto seen = Shared().world().SeenOf("begun-anew");
  LONGS_EQUAL(2, seen.size());
  CHECK(!seen[1].fields.contains("last-event-id"));
  // What may run once is not.
  LONGS_EQUAL(502, Shared().Ask("/stream/x", "not-anew").status);
  LONGS_EQUAL(1, Shared().world().SeenOf("not-anew").size());
}

TEST(PlatformPath, TargetsGetTheRequestUnchangedWithWhatIsLeftOfItsTime) {
  Shared().Set([](const SeenRequest& request, int) {
    return Once(GoodAnswer(request, "ok"));
  });
  std::string body;
  for (int i = 0; i < 100'000; ++i)
    body += static_cast<char>(i * 7);
  LONGS_EQUAL(200,
              Shared().Ask("/once/a%20b?c=%2F&d", "as-it-was", body).status);
  const SeenRequest seen = Shared().world().SeenOf("as-it-was").at(0);
  STRCMP_EQUAL("/once/a%20b?c=%2F&d", seen.path.c_str());
  CHECK(seen.body == body);
  STRCMP_EQUAL("w", seen.fields.at("x-sparbend-tenant").c_str());
  STRCMP_EQUAL(seen.target.c_str(),
               seen.fields.at("x-sparbend-expect-instance").c_str());
  CHECK(!seen.fields.contains("authorization"));
  const int left = std::stoi(seen.fields.at("x-sparbend-deadline-ms"));
  CHECK(left > 0 && left <= 1'500);  // the route's limit is the shorter
}

TEST(PlatformPath, ATargetThatAnswersBeforeItHasReadTheBodyIsHeard) {
  // It reads nothing more and holds the connection, while the body is larger
  // than what the sockets' buffers take.
  Shared().world().AddTarget(
      "unread", "unread",
      [](const SeenRequest& request) {
        TargetScript script =
            Once("HTTP/1.1 413 Large\r\nX-Sparbend-Attempt-Id: " + request.id +
                 "\r\nX-Sparbend-Response-Signature: s\r\n"
                 "Content-Length: 0\r\n\r\n");
        script.pause = Millis(50);
        script.pieces.insert(script.pieces.end(), 100, "");  // and waits
        return script;
      },
      /*reads_body=*/false);
  std::string id;
  CHECK(WaitFor(Millis(10'000), [&] {
    id += "u";  // until the target is known, requests are refused
    return Shared().Ask("/unread/x", id, std::string(3'900'000, 'x')).status ==
           413;
  }));
}

TEST(PlatformPath, RefusalsAreTrueAndSayWhenToComeBack) {
  struct Case {
    const char* path;
    const char* key;
    int status;
  };
  const Case cases[] = {
      {"/nowhere/x", "Token the-key", 404},
      {"/once/x", "Token wrong", 401},
      {"/once/x", "", 401},
  };
  int number = 0;
  for (const Case& row : cases) {
    const std::string id = "refused-" + std::to_string(++number);
    const Reply reply = Shared().Ask(row.path, id, "b", "box-1", row.key);
    LONGS_EQUAL(row.status, reply.status);
    CHECK(!HasSignature(reply));
    LONGS_EQUAL(0, Shared().world().SeenOf(id).size());
  }
}

TEST(PlatformPath, ACallerThatLeavesEndsTheWork) {
  Shared().Set([](const SeenRequest&, int) { return Hang(); });
  Call(Shared().world().box("box-1").callers, "POST", "/stream/x", "b",
       {{"Authorization", "Token the-key"},
        {platform::kAttemptIdField, "left"},
        {platform::kTokensField, "100,10"}},
       Millis(300));
  CHECK(WaitFor(Millis(5'000), [] {
    const auto seen = Shared().world().SeenOf("left");
    return seen.size() == 1 && seen[0].caller_left;
  }));
}

TEST(PlatformPath, SighupReloadsAndCutsNothing) {
  Shared().Set([](const SeenRequest& request, int) {
    TargetScript script;
    script.pieces = {StreamHead(request), StreamEvent(1), StreamEvent(2),
                     StreamEnd()};
    script.pause = Millis(200);
    return script;
  });
  auto running = std::async(std::launch::async, [] {
    return Shared().Ask("/stream/x", "over-reload").status;
  });
  CHECK(WaitFor(Millis(5'000), [] {
    return !Shared().world().SeenOf("over-reload").empty();
  }));
  Shared().world().box("box-1").process->Signal(SIGHUP);
  LONGS_EQUAL(200, running.get());
  CHECK(WaitFor(Millis(5'000), [] {
    return !Shared().world().Events("box-1", "reloaded").empty();
  }));
}

TEST(PlatformPath, NoSecretIsLogged) {
  std::ifstream log(Shared().world().box("box-1").log_file);
  const std::string text((std::istreambuf_iterator<char>(log)),
                         std::istreambuf_iterator<char>());
  CHECK(text.size() > 100);
  CHECK(text.find("the-key") == std::string::npos);
  CHECK(text.find("key of the tests") == std::string::npos);
}

// Boxes of their own, since these tests stop them or cut them off.
TEST(PlatformPath, ALeavingOrMissingTargetGetsNoNewWork) {
  PlatformWorld& world = Shared().world();
  Shared().Set([](const SeenRequest& request, int) {
    return Once(GoodAnswer(request, "ok"));
  });
  const std::string address =
      world.AddTarget("plain-3", "plain", [](const SeenRequest& request) {
        return Once(GoodAnswer(request, "ok"));
      });
  const auto served_by_third = [&](const std::string& id) {
    for (int i = 0; i < 12; ++i)
      Shared().Ask("/again/x", id);
    const auto seen = world.SeenOf(id);
    return std::ranges::any_of(seen, [](const SeenRequest& request) {
      return request.target == "plain-3";
    });
  };
  int round = 0;
  const auto probe = [&] {
    return served_by_third("third-" + std::to_string(++round));
  };
  CHECK(WaitFor(Millis(10'000), probe));
  world.ListTarget("plain-3", "plain", address, "draining");
  CHECK(WaitFor(Millis(10'000), [&] { return !probe(); }));
  world.ListTarget("plain-3", "plain", address);
  CHECK(WaitFor(Millis(10'000), probe));
  world.Put(platform::kTargetsTopic, "plain-3", "");
  CHECK(WaitFor(Millis(10'000), [&] { return !probe(); }));
}

TEST(PlatformPath, ABoxTurnedAwayByTheStoreLearnsFromItsPeers) {
  PlatformWorld world("platform-peers");
  world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
            kDeclarations);
  world.AddTarget("plain-1", "plain", [](const SeenRequest& request) {
    return Once(GoodAnswer(request, "ok"));
  });
  world.StartBox("box-1");
  world.StartBox("box-2");
  CHECK(world.WaitReady("box-1") && world.WaitReady("box-2"));
  StoreFault fault;
  fault.refuses = true;
  fault.only_agent = "box-2";
  world.SetFault(fault);
  Json next = *ParseJson(kDeclarations, SIZE_MAX);
  next["version"] = 9;
  next["tenants"][0]["api-keys"] = {"new-key"};
  world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
            next.dump());
  const auto status = [&](const std::string& box, const std::string& key) {
    return Call(world.box(box).callers, "POST", "/again/x", "b",
                {{"Authorization", "Token " + key},
                 {platform::kAttemptIdField, "peer"}})
        .status;
  };
  for (const char* box : {"box-1", "box-2"}) {
    CHECK(
        WaitFor(Millis(10'000), [&] { return status(box, "new-key") == 200; }));
    LONGS_EQUAL(401, status(box, "the-key"));
  }
  CHECK(!world.Events("box-2", "dependency-lost").empty());
  // An older version that is written later changes nothing.
  world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
            kDeclarations);
  world.SetFault({});
  CHECK(WaitFor(Millis(10'000), [&] {
    return !world.Events("box-2", "dependency-regained").empty();
  }));
  LONGS_EQUAL(401, status("box-2", "the-key"));
  LONGS_EQUAL(200, status("box-2", "new-key"));
}

TEST(PlatformPath, AStartWithoutTheStoreRefusesTrulyAndThenServes) {
  PlatformWorld world("platform-start");
  StoreFault fault;
  fault.refuses = true;
  world.SetFault(fault);
  world.StartBox("box-1");
  const Reply refused = Call(world.box("box-1").callers, "POST", "/again/x",
                             "b", {{platform::kAttemptIdField, "early"}});
  LONGS_EQUAL(503, refused.status);
  CHECK(refused.fields.contains("retry-after"));
  CHECK(world.WaitReady("box-1", false));
  world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
            kDeclarations);
  world.SetFault({});
  CHECK(world.WaitReady("box-1"));
}

TEST(PlatformPath, HistoryThatIsGoneIsListedAnew) {
  PlatformWorld world("platform-history");
  world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
            kDeclarations);
  world.AddTarget("plain-1", "plain", [](const SeenRequest& request) {
    return Once(GoodAnswer(request, "ok"));
  });
  world.StartBox("box-1");
  CHECK(world.WaitReady("box-1"));
  StoreFault fault;
  fault.history_gone = true;
  world.SetFault(fault);
  Json next = *ParseJson(kDeclarations, SIZE_MAX);
  next["version"] = 4;
  world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
            next.dump());
  CHECK(WaitFor(Millis(10'000), [&] {
    const auto taken = world.Events("box-1", "configuration-taken");
    return !taken.empty() && taken.back().at("version") == 4;
  }));
}

TEST(PlatformPath, AStoppedBoxEndsItsRequestsAndThenItself) {
  PlatformWorld world("platform-stop");
  world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
            kDeclarations);
  world.AddTarget("engine-1", "engines", [](const SeenRequest& request) {
    TargetScript script;
    script.pieces = {StreamHead(request), StreamEvent(1), StreamEvent(2),
                     StreamEvent(3), StreamEnd()};
    script.pause = Millis(200);
    return script;
  });
  world.StartBox("box-1", "drain_notice_ms = 100\ngrace_s = 8\n");
  CHECK(world.WaitReady("box-1"));
  const std::string address = world.box("box-1").callers;
  auto running = std::async(std::launch::async, [address] {
    return Call(address, "POST", "/stream/x", "b",
                {{"Authorization", "Token the-key"},
                 {platform::kAttemptIdField, "during-stop"},
                 {platform::kTokensField, "10,3"}})
        .status;
  });
  CHECK(WaitFor(Millis(5'000),
                [&] { return !world.SeenOf("during-stop").empty(); }));
  world.box("box-1").process->Signal(SIGTERM);
  CHECK(world.WaitReady("box-1", false));
  LONGS_EQUAL(200, running.get());
  const auto code = world.box("box-1").process->Wait(Millis(8'000));
  CHECK(code.has_value());
  LONGS_EQUAL(0, *code);
}

// Symptom: callers got all events of a stream at its end. Cause: a reading
// operation that takes all that has come goes on reading until the end.
TEST(PlatformPath, AnEventIsSentOnThoughTheNextOneNeverComes) {
  ScriptedWorld& scripted = Shared();
  scripted.Set([](const SeenRequest& request, int) {
    TargetScript script;
    script.pieces = {StreamHead(request), StreamEvent(1), StreamEvent(2)};
    script.hang = true;
    return script;
  });
  asio::io_context io;
  tcp::socket caller(io);
  caller.connect(*ParseAddress(scripted.world().box("box-1").callers));
  const std::string head =
      "POST /stream/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
      "Authorization: Token the-key\r\n" +
      std::string(platform::kAttemptIdField) + ": events\r\n" +
      platform::kTokensField + ": 100,10\r\n" + platform::kDeadlineField +
      ": 3000\r\nContent-Length: 0\r\n\r\n";
  asio::write(caller, asio::buffer(head));
  std::string got;
  boost::system::error_code error;
  while (!error && got.find("piece2") == std::string::npos) {
    std::array<char, 4096> bytes;
    const size_t size = caller.read_some(asio::buffer(bytes), error);
    got.append(bytes.data(), size);
  }
  STRCMP_CONTAINS("piece1", got.c_str());
  STRCMP_CONTAINS("piece2", got.c_str());
}

auto GoodToAll() -> ScriptedWorld::Script {
  return [](const SeenRequest& request, int) {
    return Once(GoodAnswer(request, "good"));
  };
}

// Symptom: a hall that operators had emptied went on getting requests. Cause:
// the record that says so was not read.
TEST(PlatformPath, AnEmptiedHallGetsNothingUntilItIsTakenBack) {
  ScriptedWorld& scripted = Shared();
  scripted.Set(GoodToAll());
  LONGS_EQUAL(200, scripted.Ask("/again/x", "before").status);
  const std::string key = std::string(platform::kEvacuationKeyPrefix) + "h";
  int asked = 0;
  const auto status = [&] {
    return scripted.Ask("/again/x", "emptied-" + std::to_string(++asked))
        .status;
  };
  scripted.world().Put(platform::kDeclarationsTopic, key, "{}");
  CHECK(WaitFor(kWaitTimeout, [&] { return status() == 503; }));
  // Refused from now on, and none of them seen by a target.
  LONGS_EQUAL(503, status());
  const std::string last = "emptied-" + std::to_string(asked);
  LONGS_EQUAL(0, scripted.world().SeenOf(last).size());
  scripted.world().Put(platform::kDeclarationsTopic, key, "");
  CHECK(WaitFor(kWaitTimeout, [&] { return status() == 200; }));
}

// Symptom: a target that started again under its name, elsewhere, got nothing.
// Cause: its count of signs of life had started anew.
TEST(PlatformPath, ATargetBornAgainIsMetWhereItIsNow) {
  ScriptedWorld& scripted = Shared();
  scripted.Set(GoodToAll());
  PlatformWorld& world = scripted.world();
  const auto handler = [](const SeenRequest& request) {
    return Once(GoodAnswer(request, "good"));
  };
  const std::string address = world.AddTarget("spare-1", "spare", handler);
  const auto tell = [&](const std::string& where, int64_t started_at_ms,
                        int64_t beat) {
    world.Put(platform::kTargetsTopic, "reborn-1",
              Json{{"service", "reborn"},
                   {"address", where},
                   {"zone", "h"},
                   {"version", "v1"},
                   {"slots", 4},
                   {"state", "ready"},
                   {"cold-left-ms", 0},
                   {"born", started_at_ms},
                   {"seq", beat}}
                  .dump());
  };
  tell("127.0.0.1:1", 1'000, 50);  // nobody listens there any more
  tell(address, 2'000, 1);
  tell("127.0.0.1:1", 1'000, 51);  // a sign of the old life, written late
  int asked = 0;
  CHECK(WaitFor(kWaitTimeout, [&] {
    const std::string id = "reborn-" + std::to_string(++asked);
    const Reply reply = scripted.Ask("/reborn/x", id);
    const auto seen = world.SeenOf(id);
    return reply.status == 200 && seen.size() == 1 &&
           seen.front().target == "spare-1";
  }));
}

}  // namespace
}  // namespace sparbend::testing
