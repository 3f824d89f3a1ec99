// A target resets its connections while a box looks whether an older one to it
// is open, as it does for a stream that begins on a connection that is newer
// than its list.
#include <csignal>
#include <future>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr char kDeclarations[] = R"({"version": 1,
  "routes": [
    {"name": "stream", "host": "127.0.0.1", "path-prefix": "/stream/",
     "kind": "streaming", "max-attempts": 1, "timeout-ms": 20000,
     "target-latency-ms": 5000, "service": "engines"}],
  "services": [{"name": "engines", "max-conns": 100,
                "engine": {"kv-capacity": 100000, "stride": 1}}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";
constexpr int kOlder = 2;
constexpr int kNewer = 2;
constexpr int kEvents = 5;
// Between the events of the older streams, which are reset so long after the
// last one.
constexpr Millis kPause(600);
// A newer stream begins so long after it was asked for.
constexpr Millis kNewerPause(300);
// Within this time the box has read a list since the older streams began.
constexpr Millis kListRead(2'200);
constexpr Millis kSent(150);  // for a request to reach the target
constexpr Millis kSuspended(1'400);

void SleepFor(Millis span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(span.count()));
}

auto Event(int id) -> std::string {
  return "id: " + std::to_string(id) + "\ndata: piece" + std::to_string(id) +
         "\n\n";
}

auto Play(const SeenRequest& request) -> TargetScript {
  TargetScript script;
  const std::string head = AnswerHead(request, Framing::kUntilClose, 0,
                                      "Content-Type: text/event-stream\r\n");
  if (request.body == "newer") {
    script.pieces = {head + Event(1)};
    script.pause = kNewerPause;
    script.close = true;
    return script;
  }
  script.pieces = {head + Event(1)};
  for (int id = 2; id <= kEvents; ++id)
    script.pieces.push_back(Event(id));
  script.pieces.emplace_back();
  script.pause = kPause;
  script.reset = true;
  return script;
}

auto Ask(const std::string& address,
         const std::string& id,
         const std::string& body) -> RawReply {
  return SendRaw(address,
                 "POST /stream/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                 "Connection: close\r\nAuthorization: Token the-key\r\n" +
                     std::string(platform::kAttemptIdField) + ": " + id +
                     "\r\n" + platform::kTokensField + ": 100,10\r\n" +
                     platform::kDeadlineField + ": 20000\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
}

TEST_GROUP(ResetOfConnectionInUse){};

// Guards against a check of a connection that takes the report of its reset
// from the stream on it, which then looks complete.
TEST(ResetOfConnectionInUse, InterruptsItsStream) {
  PlatformWorld world("reset-in-use");
  world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
            kDeclarations);
  world.AddTarget("engine-1", "engines", Play);
  PlatformWorld::Box& box = world.StartBox("box-1");
  CHECK(world.WaitReady("box-1"));
  std::vector<std::future<RawReply>> older;
  std::vector<std::future<RawReply>> newer;
  const auto ask = [&](const std::string& body, int count,
                       std::vector<std::future<RawReply>>* replies) {
    for (int i = 0; i < count; ++i)
      replies->push_back(std::async(std::launch::async, [&, body, i] {
        return Ask(box.callers, body + "-" + std::to_string(i), body);
      }));
  };
  ask("older", kOlder, &older);
  SleepFor(kListRead);
  StoreFault refuses;
  refuses.refuses = true;
  world.SetFault(refuses);
  ask("newer", kNewer, &newer);
  SleepFor(kSent);
  box.process->Signal(SIGSTOP);
  SleepFor(kSuspended);
  box.process->Signal(SIGCONT);
  int complete = 0;
  for (std::future<RawReply>& reply : older) {
    const RawReply got = reply.get();
    CHECK(got.bytes.starts_with("HTTP/1.1 200"));
    complete += got.complete ? 1 : 0;
  }
  LONGS_EQUAL(0, complete);
  for (std::future<RawReply>& reply : newer)
    reply.wait();
}

}  // namespace
}  // namespace sparbend::testing
