// Requests that waited for room when a planned stop ended were dropped.
#include <csignal>

#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr int kRequests = 200;
// The drain lasts for 0.5 s less.
constexpr char kLimits[] = "grace_s = 3\ndrain_notice_ms = 300\n";
constexpr Millis kGrace(3'000);
constexpr Millis kUntilStop(300);
constexpr Millis kUntilQueued(5'000);
constexpr char kDeclarations[] = R"({"version": 1,
  "routes": [
    {"name": "once", "host": "127.0.0.1", "path-prefix": "/once/",
     "kind": "non_idempotent", "max-attempts": 1, "timeout-ms": 15000,
     "target-latency-ms": 500, "service": "plain"}],
  "services": [{"name": "plain", "max-conns": 1000}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

struct Row {
  const char* name;
  Millis answer_time;  // of the target
  bool all_answered;   // those that were sent end within the drain
};

constexpr Row kRows[] = {
    {"draining-queue", Millis(1'000), true},
    {"draining-queue-hung", Millis(20'000), false},
};

TEST_GROUP(DrainingQueue){};

TEST(DrainingQueue, IsRefusedAsNotRunBeforeTheProcessEnds) {
  for (const Row& row : kRows) {
    PlatformWorld world(row.name);
    world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
              kDeclarations);
    world.AddTarget("target", "plain", [&](const SeenRequest& request) {
      TargetScript script;
      script.pieces = {GoodAnswer(request, "good")};
      script.pause = row.answer_time;
      return script;
    });
    world.StartBox("box-1", kLimits);
    CHECK(world.WaitReady("box-1"));
    std::vector<RawReply> replies(kRequests);
    std::vector<std::thread> clients;
    const std::string address = world.box("box-1").callers;
    for (int i = 0; i < kRequests; ++i)
      clients.emplace_back([&, i] {
        replies[static_cast<size_t>(i)] =
            SendRaw(address,
                    "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                    "Authorization: Token the-key\r\n" +
                        std::string(platform::kAttemptIdField) + ": c" +
                        std::to_string(i) + "\r\n" +
                        std::string(platform::kDeadlineField) +
                        ": 15000\r\nContent-Length: 4\r\n\r\nbody");
      });
    std::this_thread::sleep_for(std::chrono::milliseconds(kUntilStop.count()));
    world.box("box-1").process->Signal(SIGTERM);
    const std::optional<int> code = world.box("box-1").process->Wait(kGrace);
    for (std::thread& client : clients)
      client.join();
    CHECK(code.has_value());
    int refused = 0;
    for (int i = 0; i < kRequests; ++i) {
      const std::string& bytes = replies[static_cast<size_t>(i)].bytes;
      const bool sent = !world.SeenOf("c" + std::to_string(i)).empty();
      if (sent) {
        if (row.all_answered)
          CHECK(bytes.starts_with("HTTP/1.1 200"));
        continue;
      }
      ++refused;
      CHECK(bytes.starts_with("HTTP/1.1 503"));
      CHECK(bytes.find("\r\nRetry-After: ") != std::string::npos);
      CHECK(bytes.find("\r\nConnection: close\r\n") != std::string::npos);
    }
    CHECK(refused > 0);
  }
}

}  // namespace
}  // namespace sparbend::testing
