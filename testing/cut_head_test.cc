// Answers that end within their head. Guards against a client that gets a 200
// whose empty or short body is framed as whole.
#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr char kDeclarations[] = R"({"version": 1,
  "routes": [
    {"name": "once", "host": "127.0.0.1", "path-prefix": "/once/",
     "kind": "non_idempotent", "max-attempts": 1, "timeout-ms": 4000,
     "target-latency-ms": 500, "service": "plain"},
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "idempotent", "max-attempts": 2, "timeout-ms": 4000,
     "target-latency-ms": 500, "service": "plain"},
    {"name": "stream", "host": "127.0.0.1", "path-prefix": "/stream/",
     "kind": "streaming", "max-attempts": 1, "timeout-ms": 4000,
     "target-latency-ms": 500, "service": "engines"}],
  "services": [{"name": "plain", "max-conns": 100},
               {"name": "engines", "max-conns": 100,
                "engine": {"kv-capacity": 100000, "stride": 1}}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

const std::string kInterim = "HTTP/1.1 100 Continue\r\n\r\n";
const std::string kHints =
    "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n";
constexpr size_t kBodyBytes = 5;

struct Row {
  const char* name;
  std::string path;
  std::string before;  // interim answers, complete
  Framing framing;
  bool reset;
};

const Row kRows[] = {
    {"cut-head", "/once/", "", Framing::kLength, false},
    {"cut-head-reset", "/once/", "", Framing::kLength, true},
    {"cut-head-until-close", "/once/", "", Framing::kUntilClose, false},
    {"cut-head-chunked", "/again/", "", Framing::kChunked, false},
    {"cut-head-interim", "/once/", kInterim, Framing::kLength, false},
    {"cut-head-hints", "/again/", kHints + kInterim, Framing::kUntilClose,
     false},
    {"cut-head-stream", "/stream/", "", Framing::kChunked, false},
    {"cut-head-stream-until-close", "/stream/", kInterim, Framing::kUntilClose,
     false},
};

auto FullHead(const Row& row, const SeenRequest& request) -> std::string {
  const std::string type =
      row.path == "/stream/" ? "Content-Type: text/event-stream\r\n" : "";
  return row.before + AnswerHead(request, row.framing, kBodyBytes, type);
}

auto RequestTo(const std::string& path, const std::string& id) -> std::string {
  return "POST " + path +
         " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
         "Authorization: Token the-key\r\n" +
         std::string(platform::kAttemptIdField) + ": " + id + "\r\n" +
         platform::kTokensField + ": 100,10\r\n" + platform::kDeadlineField +
         ": 3000\r\nContent-Length: 4\r\n\r\nbody";
}

TEST_GROUP(CutHead){};

// The path of a request says after how many bytes its answer is cut. A sound
// request before each leaves a kept connection to the target.
TEST(CutHead, IsNeverFramedAsWhole) {
  for (const Row& row : kRows) {
    PlatformWorld world(row.name);
    world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
              kDeclarations);
    const auto handler = [&](const SeenRequest& request) {
      TargetScript script;
      if (request.path.ends_with("sound")) {
        script.pieces = {request.path.starts_with("/stream/")
                             ? StreamHead(request) + StreamEvent(1) +
                                   StreamEnd()
                             : GoodAnswer(request, "sound")};
        return script;
      }
      const size_t cut = std::stoul(request.path.substr(row.path.size()));
      script.pieces = {FullHead(row, request).substr(0, cut)};
      script.close = !row.reset;
      script.reset = row.reset;
      return script;
    };
    for (const std::string pool : {"plain", "engines"})
      world.AddTarget("target-" + pool, pool, handler);
    const PlatformWorld::Box& box = world.StartBox("box-1");
    CHECK(world.WaitReady("box-1"));
    size_t cut = 0;
    size_t head = 1;
    for (; cut <= head; ++cut) {
      const std::string number = std::to_string(cut);
      const RawReply sound =
          SendRaw(box.callers, RequestTo(row.path + "sound", "s" + number));
      CHECK_TEXT(sound.bytes.starts_with("HTTP/1.1 200") && sound.complete,
                 row.name);
      const RawReply reply =
          SendRaw(box.callers, RequestTo(row.path + number, "c" + number));
      const auto seen = world.SeenOf("c" + number);
      CHECK_TEXT(!seen.empty(), row.name);
      head = FullHead(row, seen.front()).size();
      // A body that only its connection's end delimits is whole when empty.
      const bool may_be_whole = cut == head && row.path != "/stream/" &&
                                row.framing == Framing::kUntilClose;
      const bool framed_as_whole =
          reply.bytes.starts_with("HTTP/1.1 200") && reply.complete;
      CHECK_TEXT(may_be_whole || !framed_as_whole,
                 (std::string(row.name) + " at " + number).c_str());
      CHECK_TEXT(may_be_whole || reply.bytes.starts_with("HTTP/1.1 5") ||
                     reply.bytes.starts_with("HTTP/1.1 200"),
                 (std::string(row.name) + " at " + number).c_str());
    }
    CHECK_TEXT(cut > kBodyBytes, row.name);
  }
}

}  // namespace
}  // namespace sparbend::testing
