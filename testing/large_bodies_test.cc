// Large requests at targets that are slow to read took a box beyond its memory.
#include <chrono>
#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr int64_t kMb = 1024 * 1024;
constexpr int64_t kMemoryMb = 80;
constexpr char kLimits[] = "memory_mb = 80\n";
constexpr size_t kBodyBytes = 4'000'000;
constexpr int kRequests = 24;
constexpr Millis kUntilRead(2'000);
constexpr char kDeclarations[] = R"({"version": 1,
  "routes": [
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "idempotent", "max-attempts": 1, "timeout-ms": 4000,
     "target-latency-ms": 3500, "service": "plain"}],
  "services": [{"name": "plain", "max-conns": 100}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

auto HeadOf(const std::string& id, const std::string& framing) -> std::string {
  return "POST /again/x HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
         "Authorization: Token the-key\r\n" +
         std::string(platform::kAttemptIdField) + ": " + id + "\r\n" +
         platform::kDeadlineField + ": 5000\r\n" + framing + "\r\n\r\n";
}

auto Chunked(const std::string& body) -> std::string {
  constexpr size_t kChunkBytes = 50'000;
  std::string chunks;
  for (size_t at = 0; at < body.size(); at += kChunkBytes)
    chunks += FramedPiece(Framing::kChunked, body.substr(at, kChunkBytes));
  return chunks + FramedEnd(Framing::kChunked);
}

struct Row {
  const char* name;
  bool chunked;
};

const Row kRows[] = {
    {"large-bodies", false},
    {"large-bodies-chunked", true},
};

TEST_GROUP(LargeBodies){};

TEST(LargeBodies, StayWithinTheMemoryOfTheBox) {
  for (const Row& row : kRows) {
    PlatformWorld world(row.name);
    world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
              kDeclarations);
    for (int target = 0; target < kRequests; ++target)
      world.AddTarget(
          "target-" + std::to_string(target), "plain",
          [](const SeenRequest&) {
            TargetScript script;
            script.hang = true;
            return script;
          },
          /*reads_body=*/false);
    const PlatformWorld::Box& box = world.StartBox("box-1", kLimits);
    CHECK(world.WaitReady("box-1"));
    const std::string body(kBodyBytes, 'x');
    const std::string sent = row.chunked ? Chunked(body) : body;
    const std::string framing =
        row.chunked ? "Transfer-Encoding: chunked"
                    : "Content-Length: " + std::to_string(kBodyBytes);
    std::vector<std::future<RawReply>> replies;
    for (int i = 0; i < kRequests; ++i)
      replies.push_back(std::async(std::launch::async, [&, i] {
        return SendRaw(box.callers,
                       HeadOf("c" + std::to_string(i), framing) + sent);
      }));
    std::this_thread::sleep_for(std::chrono::milliseconds(kUntilRead.count()));
    CHECK_TEXT(box.process->resident_bytes() < kMemoryMb * kMb, row.name);
    int refused = 0;
    for (int i = 0; i < kRequests; ++i) {
      const RawReply reply = replies[static_cast<size_t>(i)].get();
      if (!world.SeenOf("c" + std::to_string(i)).empty())
        continue;
      ++refused;
      // The rest of a chunked request may be on the way when it is refused.
      CHECK_TEXT(row.chunked || reply.bytes.starts_with("HTTP/1.1 503"),
                 row.name);
    }
    CHECK_TEXT(refused > 0 && refused < kRequests, row.name);
    // What the requests held is free again.
    CHECK_TEXT(
        SendRaw(box.callers, HeadOf("later", framing) + sent)
                .bytes.find("room for the request's body") == std::string::npos,
        row.name);
    CHECK_TEXT(!world.SeenOf("later").empty(), row.name);
  }
}

}  // namespace
}  // namespace sparbend::testing
