// Requests for the rest of a stream at routes that allow no resuming: that
// never did, or do no longer.
#include <algorithm>
#include <future>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr Millis kWaitTimeout(10'000);
constexpr int kEvents = 6;
constexpr int kFirstEvents = 2;
constexpr int kRequestsPerRetry = 12;
// Between the pieces of a stream that breaks after its route has changed.
constexpr Millis kLater(1'500);
constexpr char kServices[] = R"(
  "services": [{"name": "plain", "max-conns": 100},
               {"name": "engines", "max-conns": 100,
                "engine": {"kv-capacity": 100000, "stride": 1}},
               {"name": "others", "max-conns": 100,
                "engine": {"kv-capacity": 100000, "stride": 1}}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

auto RouteOf(const std::string& name,
             const std::string& kind,
             const std::string& rest,
             int attempts = 1) -> std::string {
  return R"({"name": ")" + name +
         R"(", "host": "127.0.0.1", "path-prefix": "/)" + name +
         R"(/", "kind": ")" + kind + R"(", "max-attempts": )" +
         std::to_string(attempts) +
         R"(, "timeout-ms": 8000, "target-latency-ms": 1000, )" + rest + "}";
}

// `changing`: what the routes "changing" and "inside" state of their streams.
// Of these, only "inside" lets a box go on within its answer.
auto Declarations(int version, const std::string& changing) -> std::string {
  std::string routes =
      RouteOf("changing", "streaming", changing) + ", " +
      RouteOf("inside", "streaming", changing, /*attempts=*/2) + ", " +
      RouteOf("stream", "streaming", R"("service": "engines")") + ", " +
      RouteOf("plain", "idempotent", R"("service": "plain")");
  // Shows that the later version is in force.
  if (version > 1)
    routes += ", " + RouteOf("later", "idempotent", R"("service": "plain")");
  return R"({"version": )" + std::to_string(version) + R"(, "routes": [)" +
         routes + "]," + kServices;
}

auto Events(int first, int last) -> std::string {
  std::string events;
  for (int id = first; id <= last; ++id)
    events += "id: " + std::to_string(id) + "\ndata: piece" +
              std::to_string(id) + "\n\n";
  return events;
}

// A stream after the event that the request names. The first attempt is closed
// after two events if its body is "cut", or later if it is "cut later".
auto Stream(const SeenRequest& request) -> TargetScript {
  const auto last = request.fields.find("last-event-id");
  const int after = last == request.fields.end() ? 0 : std::stoi(last->second);
  const bool cut = request.body.starts_with("cut") && after == 0;
  TargetScript script;
  script.pieces = {StreamHead(request)};
  for (int id = after + 1; id <= (cut ? kFirstEvents : kEvents); ++id)
    script.pieces.push_back(StreamEvent(id));
  if (cut && request.body == "cut later")
    script.pause = kLater;
  script.close = cut;
  if (!cut)
    script.pieces.push_back(StreamEnd());
  return script;
}

class RouteWorld {
 public:
  explicit RouteWorld(const std::string& name) : world_(name) {
    Declare(1, R"("resumable": true, "service": "engines")");
    world_.AddTarget("engine-1", "engines", Stream);
    world_.AddTarget("other-1", "others", Stream);
    world_.AddTarget("plain-1", "plain", [](const SeenRequest& request) {
      TargetScript script;
      script.pieces = {GoodAnswer(request, "answer")};
      return script;
    });
    for (const std::string box : {"box-1", "box-2"})
      world_.StartBox(box);
    for (const std::string box : {"box-1", "box-2"})
      CHECK(world_.WaitReady(box));
  }

  auto world() -> PlatformWorld& { return world_; }

  void Declare(int version, const std::string& changing) {
    world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
               Declarations(version, changing));
  }
  // Declares it and waits until both boxes serve by it.
  void Change(const std::string& changing) {
    Declare(2, changing);
    for (const std::string box : {"box-1", "box-2"})
      CHECK(WaitFor(kWaitTimeout, [&] {
        return Send(box, "later", {.body = "whole"})
            .bytes.starts_with("HTTP/1.1 200");
      }));
  }

  struct Fields {
    std::string body;
    std::string resumes{};
    std::string after{};
  };
  auto Send(const std::string& box,
            const std::string& route,
            const Fields& fields) -> RawReply {
    id_ = "id-" + std::to_string(++requests_);
    return SendAs(id_, box, route, fields);
  }
  auto SendAs(const std::string& id,
              const std::string& box,
              const std::string& route,
              const Fields& fields) -> RawReply {
    std::string request = "POST /" + route +
                          "/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                          "Connection: close\r\n"
                          "Authorization: Token the-key\r\n" +
                          platform::kAttemptIdField + ": " + id + "\r\n" +
                          platform::kDeadlineField + ": 9000\r\n";
    if (route != "plain" && route != "later")
      request += std::string(platform::kTokensField) + ": 100,10\r\n";
    if (!fields.resumes.empty())
      request +=
          std::string(platform::kResumesField) + ": " + fields.resumes + "\r\n";
    if (!fields.after.empty())
      request +=
          std::string(platform::kLastEventField) + ": " + fields.after + "\r\n";
    return SendRaw(world_.box(box).callers,
                   request +
                       "Content-Length: " + std::to_string(fields.body.size()) +
                       "\r\n\r\n" + fields.body);
  }
  // The client's id of the latest request of Send.
  auto id() const -> const std::string& { return id_; }
  // What targets saw of it.
  auto Seen() -> std::vector<SeenRequest> { return world_.SeenOf(id_); }

 private:
  int requests_ = 0;
  std::string id_;
  PlatformWorld world_;
};

// Whether the client is told that the request has not run and why, with no time
// to come back.
auto IsFinalRefusal(const RawReply& reply) -> bool {
  return reply.complete && reply.bytes.starts_with("HTTP/1.1 503") &&
         reply.bytes.find("Retry-After") == std::string::npos &&
         reply.body.find("not-run") != std::string::npos;
}

TEST_GROUP(RestOfUnresumableStream){};

// Guards against a request for the rest of a stream that runs as a new one at
// any target, since its route allows no resuming.
TEST(RestOfUnresumableStream, IsRefusedAndReachesNoTarget) {
  struct Case {
    const char* what;
    const char* route;
    const char* resumes;
    const char* after;
    bool refused;
  };
  const Case cases[] = {
      {"no longer", "changing", "begun", "2", true},
      {"no longer, attempt not named", "changing", "", "2", true},
      {"no longer, event not named", "changing", "begun", "", true},
      {"never", "stream", "begun", "2", true},
      {"never, attempt not named", "stream", "", "2", true},
      {"never, event not named", "stream", "begun", "", true},
      {"never, from the beginning", "stream", "", "", false},
      {"not a stream", "plain", "", "2", false},
  };
  RouteWorld world("unresumable");
  const RawReply begun = world.Send("box-1", "changing", {.body = "cut"});
  CHECK(begun.bytes.starts_with("HTTP/1.1 200"));
  const std::string attempt = world.id();
  world.Change(R"("service": "engines")");
  int refused = 0;
  for (const std::string box : {"box-1", "box-2"}) {
    for (const Case& row : cases) {
      const std::string what = box + ", " + row.what;
      const bool named = std::string(row.resumes) == "begun";
      const RawReply reply = world.Send(box, row.route,
                                        {.body = "whole",
                                         .resumes = named ? attempt : "",
                                         .after = row.after});
      CHECK_EQUAL_TEXT(row.refused, IsFinalRefusal(reply), what.c_str());
      CHECK_EQUAL_TEXT(!row.refused, reply.bytes.starts_with("HTTP/1.1 200"),
                       what.c_str());
      LONGS_EQUAL_TEXT(row.refused ? 0 : 1, world.Seen().size(), what.c_str());
      refused += row.refused ? 1 : 0;
    }
    const std::vector<Json> lines = world.world().Events(box, "stream-resumed");
    LONGS_EQUAL(refused, std::ranges::count_if(lines, [](const Json& line) {
                  return line.value("outcome", "") == "not-resumable";
                }));
    refused = 0;
  }
}

TEST_GROUP(StreamBrokenOffAfterItsRouteChanged){};

// Guards against a stream that goes on at another pool than the one that began
// it, since its route changed before it broke.
TEST(StreamBrokenOffAfterItsRouteChanged, GoesOnAtItsPoolOrNotAtAll) {
  struct Case {
    const char* name;
    const char* changing;
    bool goes_on;  // for a client that comes back
  };
  const Case cases[] = {
      {"moved", R"("resumable": true, "service": "others")", false},
      {"split",
       R"("resumable": true, "traffic-split": [
          {"service": "others", "weight": 9},
          {"service": "engines", "weight": 1}])",
       true},
      {"unresumable", R"("service": "engines")", false},
  };
  for (const Case& row : cases) {
    RouteWorld world(std::string("changed-") + row.name);
    // The budget of retries is a part of the requests.
    for (int i = 0; i < kRequestsPerRetry; ++i)
      CHECK(world.Send("box-1", "inside", {.body = "whole"}).complete);
    std::future<RawReply> inside = std::async(std::launch::async, [&] {
      return world.SendAs("inside-1", "box-1", "inside", {.body = "cut later"});
    });
    std::future<RawReply> broken = std::async(std::launch::async, [&] {
      return world.SendAs("broken-1", "box-1", "changing",
                          {.body = "cut later"});
    });
    CHECK_TEXT(WaitFor(kWaitTimeout,
                       [&] {
                         return world.world().SeenOf("inside-1").size() +
                                    world.world().SeenOf("broken-1").size() ==
                                2;
                       }),
               row.name);
    world.Change(row.changing);
    LONGS_EQUAL_TEXT(1, world.world().SeenOf("inside-1").size(), row.name);
    const RawReply whole = inside.get();
    CHECK_TEXT(whole.complete, row.name);
    STRCMP_EQUAL_TEXT(Events(1, kEvents).c_str(), whole.body.c_str(), row.name);
    LONGS_EQUAL_TEXT(2, world.world().SeenOf("inside-1").size(), row.name);
    for (const SeenRequest& seen : world.world().SeenOf("inside-1"))
      STRCMP_EQUAL_TEXT("engine-1", seen.target.c_str(), row.name);
    const RawReply begun = broken.get();
    CHECK_TEXT(!begun.complete, row.name);
    STRCMP_EQUAL_TEXT(Events(1, kFirstEvents).c_str(), begun.body.c_str(),
                      row.name);
    for (const std::string box : {"box-1", "box-2"}) {
      const RawReply rest =
          world.Send(box, "changing",
                     {.body = "whole", .resumes = "broken-1", .after = "2"});
      const std::string what = std::string(row.name) + " at " + box;
      CHECK_EQUAL_TEXT(!row.goes_on, IsFinalRefusal(rest), what.c_str());
      LONGS_EQUAL_TEXT(row.goes_on ? 1 : 0, world.Seen().size(), what.c_str());
      if (!row.goes_on)
        continue;
      CHECK_TEXT(rest.complete, what.c_str());
      STRCMP_EQUAL_TEXT(Events(kFirstEvents + 1, kEvents).c_str(),
                        rest.body.c_str(), what.c_str());
      STRCMP_EQUAL_TEXT("engine-1", world.Seen().front().target.c_str(),
                        what.c_str());
    }
  }
}

}  // namespace
}  // namespace sparbend::testing
