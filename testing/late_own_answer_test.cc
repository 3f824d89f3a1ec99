// A target that answers an attempt a second time, while the next attempt of the
// same request waits for its answer: both have the same id.
#include <mutex>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr char kDeclarations[] = R"({"version": 1,
  "routes": [
    {"name": "once", "host": "127.0.0.1", "path-prefix": "/once/",
     "kind": "non_idempotent", "max-attempts": 1, "timeout-ms": 5000,
     "target-latency-ms": 1000, "service": "plain"},
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "idempotent", "max-attempts": 2, "timeout-ms": 5000,
     "target-latency-ms": 1000, "service": "plain"},
    {"name": "stream", "host": "127.0.0.1", "path-prefix": "/stream/",
     "kind": "streaming", "max-attempts": 1, "timeout-ms": 5000,
     "target-latency-ms": 1000, "service": "engines"},
    {"name": "resumed", "host": "127.0.0.1", "path-prefix": "/resumed/",
     "kind": "streaming", "max-attempts": 2, "timeout-ms": 5000,
     "target-latency-ms": 1000, "resumable": true, "service": "engines"}],
  "services": [{"name": "plain", "max-conns": 100},
               {"name": "engines", "max-conns": 100,
                "engine": {"kv-capacity": 100000, "stride": 1}}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";
// Before the first answer and before the surplus one: the box sends the next
// attempt between them.
constexpr Millis kBetweenAnswers(150);
// The next attempt is answered well after the surplus answer is due.
constexpr Millis kNextAnswer(400);

auto IsStream(std::string_view path) -> bool {
  return path != "/once/x" && path != "/again/x";
}

auto TrueAnswer(const SeenRequest& request) -> std::string {
  return IsStream(request.path) ? StreamHead(request) + StreamEvent(1) +
                                      StreamEvent(2) + StreamEnd()
                                : GoodAnswer(request, "answer");
}

auto Refusal(const SeenRequest& request) -> std::string {
  return "HTTP/1.1 503 Service Unavailable\r\n" +
         std::string(platform::kAttemptIdField) + ": " + request.id + "\r\n" +
         platform::kNotRunField + ": 1\r\nContent-Length: 0\r\n\r\n";
}

auto Failure(const SeenRequest& request) -> std::string {
  return "HTTP/1.1 500 Internal Server Error\r\n" +
         std::string(platform::kAttemptIdField) + ": " + request.id + "\r\n" +
         platform::kSignatureField + ": s\r\nContent-Length: 6\r\n\r\nfailed";
}

auto Stale(const SeenRequest& request) -> std::string {
  return IsStream(request.path)
             ? StreamHead(request) +
                   FramedPiece(Framing::kChunked, "id: 1\ndata: stale\n\n") +
                   StreamEnd()
             : GoodAnswer(request, "stale");
}

TEST_GROUP(LateOwnAnswer){};

// Guards against a surplus answer to an attempt that is taken for the answer to
// the next attempt of the same request.
TEST(LateOwnAnswer, IsNotTakenForTheNextAttempts) {
  using Answer = std::string (*)(const SeenRequest&);
  struct Case {
    const char* what;
    const char* path;
    Answer first;
    Answer surplus;
  };
  const Case cases[] = {
      {"refused twice, once", "/once/x", Refusal, Refusal},
      {"refused twice, again", "/again/x", Refusal, Refusal},
      {"refused twice, stream", "/stream/x", Refusal, Refusal},
      {"refused twice, resumed", "/resumed/x", Refusal, Refusal},
      {"refused and answered, once", "/once/x", Refusal, Stale},
      {"refused and answered, stream", "/stream/x", Refusal, Stale},
      {"failed twice, again", "/again/x", Failure, Failure},
      {"failed twice, resumed", "/resumed/x", Failure, Failure},
      {"failed and refused, again", "/again/x", Failure, Refusal},
      {"failed and refused, resumed", "/resumed/x", Failure, Refusal},
      {"failed and answered, again", "/again/x", Failure, Stale},
      {"failed and answered, resumed", "/resumed/x", Failure, Stale},
  };
  PlatformWorld world("late-own-answer");
  std::mutex mutex;
  Case row{};
  int sent = 0;
  const auto handler = [&](const SeenRequest& request) {
    const std::lock_guard lock(mutex);
    TargetScript script;
    if (++sent == 1) {
      script.pieces = {row.first(request), row.surplus(request)};
      script.pause = kBetweenAnswers;
    } else {
      script.pieces = {TrueAnswer(request)};
      script.pause = kNextAnswer;
    }
    return script;
  };
  world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
            kDeclarations);
  world.AddTarget("plain-1", "plain", handler);
  world.AddTarget("engine-1", "engines", handler);
  world.StartBox("box-1");
  CHECK(world.WaitReady("box-1"));
  int failures = 0;
  std::string which;
  for (size_t i = 0; i < std::size(cases); ++i) {
    {
      const std::lock_guard lock(mutex);
      row = cases[i];
      sent = 0;
    }
    const std::string id = "late-" + std::to_string(i);
    const Reply reply =
        Call(world.box("box-1").callers, "POST", cases[i].path, "body",
             {{"Authorization", "Token the-key"},
              {platform::kAttemptIdField, id},
              {platform::kTokensField, "100,10"},
              {platform::kDeadlineField, "6000"}});
    const std::string good =
        IsStream(cases[i].path)
            ? "id: 1\ndata: piece1\n\nid: 2\ndata: piece2\n\n"
            : "answer";
    if (reply.status != 200 || reply.body != good ||
        world.SeenOf(id).size() != 2) {
      ++failures;
      which += std::string(cases[i].what) + ": " +
               std::to_string(reply.status) + " " + reply.body + " after " +
               std::to_string(world.SeenOf(id).size()) + "; ";
    }
  }
  LONGS_EQUAL_TEXT(0, failures, which.c_str());
}

}  // namespace
}  // namespace sparbend::testing
