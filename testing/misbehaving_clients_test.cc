// Clients that don't follow the protocol: a box must live, stay within its
// memory and its file descriptors, and answer ordinary requests, while their
// connections are open and afterwards.
#include <unistd.h>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "sparbend/kernel/rpc.h"
#include "testing/crowd.h"
#include "testing/platform_world.h"
#include "testing/scenario.h"

namespace sparbend::testing {
namespace {

constexpr int64_t kMb = 1024 * 1024;
constexpr int64_t kMemoryMb = 80;
constexpr int kMaxDescriptors = 600;
constexpr size_t kLargeBodyBytes = 3'900'000;
constexpr char kCrowdId[] = "c";  // of the requests of a crowd
// A client comes back for so long, as it was told to.
constexpr Millis kComesBackFor(30'000);
constexpr char kDeclarations[] = R"({"version": 3,
  "routes": [
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "idempotent", "max-attempts": 2, "timeout-ms": 8000,
     "target-latency-ms": 2000, "service": "plain"}],
  "services": [{"name": "plain", "max-conns": 100}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]},
              {"name": "v", "api-keys": ["other-key"]}]})";

auto Repeat(const std::string& text, size_t count) -> std::string {
  std::string repeated;
  for (size_t i = 0; i < count; ++i)
    repeated += text;
  return repeated;
}

// The head of a request, without its last line if `fields` leaves it open.
auto HeadOf(const std::string& fields,
            const std::string& key = "the-key",
            const std::string& id = kCrowdId) -> std::string {
  return "POST /again/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
         "Authorization: Token " +
         key + "\r\n" + std::string(platform::kAttemptIdField) + ": " + id +
         "\r\n" + platform::kDeadlineField + ": 6000\r\n" + fields;
}

auto ChunkedHead() -> std::string {
  return HeadOf("Transfer-Encoding: chunked\r\n\r\n");
}

auto StatedHead(const std::string& length, const std::string& key = "the-key")
    -> std::string {
  return HeadOf("Content-Length: " + length + "\r\n\r\n", key);
}

auto Chunk(size_t size) -> std::string {
  return FramedPiece(Framing::kChunked, std::string(size, 'x'));
}

// A box with small limits and three targets that answer at once.
class SmallBox {
 public:
  explicit SmallBox(const std::string& name,
                    const std::string& settings = "",
                    int64_t memory_mb = kMemoryMb)
      : memory_bytes_(memory_mb * kMb), world_(name) {
    world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
               kDeclarations);
    world_.StoreProxy();
    for (const char* target : {"plain-1", "plain-2", "plain-3"})
      AddTarget(target);
    world_.StartBox(
        "box-1", "memory_mb = " + std::to_string(memory_mb) + "\nmax_fds = " +
                     std::to_string(kMaxDescriptors) + "\n" + settings);
    CHECK(world_.WaitReady("box-1"));
  }

  void AddTarget(const std::string& name) {
    world_.AddTarget(name, "plain", [this](const SeenRequest& request) {
      TargetScript script;
      script.pieces = {GoodAnswer(request, "good")};
      if (request.id == kCrowdId && !answer_to_crowd.pieces.empty())
        script = answer_to_crowd;
      return script;
    });
  }
  // Targets in the box's list.
  auto KnownTargets() -> int {
    const Reply reply =
        Call(box().admin, "POST", "/rpc", EncodeRpcRequest("status", "{}"),
             {{"Authorization", std::string("Bearer ") + kAdminToken}});
    const Result<Json> answer = ParseJson(reply.body, SIZE_MAX);
    const bool known = answer && answer->is_object() &&
                       answer->contains("result") &&
                       answer->at("result").contains("targets");
    return known ? static_cast<int>(answer->at("result").at("targets").size())
                 : 0;
  }

  auto box() -> PlatformWorld::Box& { return world_.box("box-1"); }
  auto world() -> PlatformWorld& { return world_; }
  // Addresses at which the box listens, but that for callers. It inherits the
  // sockets of this process.
  auto own_addresses() -> std::set<std::string> {
    std::set<std::string> addresses = ListeningAddresses(box().process->pid());
    addresses.erase(box().callers);
    for (const std::string& inherited : ListeningAddresses(getpid()))
      addresses.erase(inherited);
    return addresses;
  }

  // Whether a request with a body of that size is answered with success, to a
  // client that comes back while it is refused.
  auto Answers(size_t body_bytes, const std::string& key) -> bool {
    const std::string request =
        HeadOf("Connection: close\r\nContent-Length: " +
                   std::to_string(body_bytes) + "\r\n\r\n",
               key, "ordinary") +
        std::string(body_bytes, 'x');
    return WaitFor(kComesBackFor, [&] {
      return SendRaw(box().callers, request).bytes.starts_with("HTTP/1.1 200");
    });
  }
  auto AnswersProbes() -> bool { return world_.WaitReady("box-1"); }

  // What must hold whatever clients do.
  void Check(const char* what) {
    CHECK_FALSE_TEXT(box().process->Wait(Millis(0)).has_value(), what);
    const std::string peak =
        std::string(what) + ": peak " +
        std::to_string(box().process->peak_resident_bytes() / kMb) +
        " MB, descriptors " + std::to_string(box().process->open_descriptors());
    CHECK_TEXT(box().process->peak_resident_bytes() <= memory_bytes_,
               peak.c_str());
    CHECK_TEXT(box().process->open_descriptors() <= kMaxDescriptors,
               peak.c_str());
  }

  TargetScript answer_to_crowd;  // without pieces: a good answer

 private:
  int64_t memory_bytes_;
  PlatformWorld world_;
};

struct Row {
  const char* name;
  CrowdScript script;
  int64_t memory_mb = kMemoryMb;
};

// Plays each row at a box of its own.
void PlayAtCallersAddress(const std::string& test,
                          const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    SmallBox box(test, "", row.memory_mb);
    auto crowd = std::make_unique<Crowd>(box.box().callers, row.script);
    crowd->WaitUntilSettled();
    CHECK_TEXT(box.Answers(10, "other-key"), row.name);
    box.Check(row.name);
    crowd.reset();
    CHECK_TEXT(box.Answers(kLargeBodyBytes, "other-key"), row.name);
    box.Check(row.name);
  }
}

// Plays each row at each address of a box other than that for callers.
void PlayAtOwnAddresses(const std::string& test, const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    SmallBox box(test, "", row.memory_mb);
    const std::set<std::string> addresses = box.own_addresses();
    UNSIGNED_LONGS_EQUAL_TEXT(2, addresses.size(), row.name);
    for (const std::string& address : addresses) {
      auto crowd = std::make_unique<Crowd>(address, row.script);
      crowd->WaitUntilSettled();
      CHECK_TEXT(box.AnswersProbes(), row.name);
      CHECK_TEXT(box.Answers(10, "other-key"), row.name);
      box.Check(row.name);
      crowd.reset();
      box.Check(row.name);
    }
  }
}

const std::string kLongLine = "Name: " + std::string(1'000, 'x') + "\r\n";
const std::string kTinyLine = "a:\r\n";
const std::string kLastChunk = "4\r\nbody\r\n0\r\n";

TEST_GROUP(ChunkHeaderWithoutEnd){};

// What stands between the chunks of a body was kept until it was whole.
TEST(ChunkHeaderWithoutEnd, StaysWithinTheMemoryOfTheBox) {
  const std::string head = ChunkedHead();
  PlayAtCallersAddress("chunk-header", {{"trailers, long lines",
                                         {.clients = 4,
                                          .begin = head + kLastChunk,
                                          .piece = kLongLine,
                                          .piece_bytes = 24 * kMb}},
                                        {"trailers, tiny lines",
                                         {.clients = 4,
                                          .begin = head + kLastChunk,
                                          .piece = kTinyLine,
                                          .piece_bytes = 24 * kMb}},
                                        {"trailers, tiny lines, and the end",
                                         {.clients = 2,
                                          .begin = head + kLastChunk,
                                          .piece = kTinyLine,
                                          .piece_bytes = 4 * kMb,
                                          .end = "\r\n"}},
                                        {"one trailer line",
                                         {.clients = 4,
                                          .begin = head + kLastChunk + "Name: ",
                                          .piece = std::string(1'000, 'x'),
                                          .piece_bytes = 24 * kMb}},
                                        {"a chunk's extension",
                                         {.clients = 4,
                                          .begin = head + "4;",
                                          .piece = std::string(1'000, 'x'),
                                          .piece_bytes = 24 * kMb}},
                                        {"a chunk's size",
                                         {.clients = 4,
                                          .begin = head,
                                          .piece = std::string(1'000, '0'),
                                          .piece_bytes = 24 * kMb}}});
}

TEST_GROUP(ChunkedBodiesBeyondMemory){};

// A body that grows was counted with its size, and less than it allocates.
TEST(ChunkedBodiesBeyondMemory, StayWithinTheMemoryOfTheBox) {
  const std::string head = ChunkedHead();
  constexpr size_t kSmallChunkBytes = 16'000;
  constexpr Millis kPause(10);
  constexpr size_t kLargeChunkBytes = 64 * 1024;
  constexpr int64_t kBoxMb = 128;
  PlayAtCallersAddress("chunked-bodies", {{"large chunks, all but the end",
                                           {.clients = 96,
                                            .begin = head,
                                            .piece = Chunk(kLargeChunkBytes),
                                            .piece_bytes = 3'900'000,
                                            .pause = kPause},
                                           kBoxMb},
                                          {"small chunks, all but the end",
                                           {.clients = 96,
                                            .begin = head,
                                            .piece = Chunk(kSmallChunkBytes),
                                            .piece_bytes = 3'900'000,
                                            .pause = kPause},
                                           kBoxMb},
                                          {"chunks without end",
                                           {.clients = 48,
                                            .begin = head,
                                            .piece = Chunk(kLargeChunkBytes),
                                            .piece_bytes = 24 * kMb,
                                            .pause = kPause},
                                           kBoxMb}});
}

TEST_GROUP(TinyFieldsBeyondMemory){};

// Each header field allocates twenty times the bytes of a tiny one.
TEST(TinyFieldsBeyondMemory, StayWithinTheMemoryOfTheBox) {
  constexpr size_t kFields = 3'900;
  const std::string fields = Repeat(kTinyLine, kFields);
  PlayAtCallersAddress(
      "tiny-fields",
      {{"the body is outstanding",
        {.clients = 400,
         .begin = HeadOf(fields + "Content-Length: 10\r\n\r\n")}},
       {"the end of the head is outstanding",
        {.clients = 400, .begin = HeadOf(fields)}}});
}

TEST_GROUP(OwnAddressesBeyondMemory){};

// The addresses for operators, probes and other boxes took bodies of 64 MB and
// trailers of any size, before they looked at the credentials.
TEST(OwnAddressesBeyondMemory, StayWithinTheMemoryOfTheBox) {
  const std::string head =
      "POST /rpc HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: "
      "application/json\r\n";
  PlayAtOwnAddresses(
      "own-addresses",
      {{"trailers",
        {.clients = 4,
         .begin = head + "Transfer-Encoding: chunked\r\n\r\n" + kLastChunk,
         .piece = kLongLine,
         .piece_bytes = 24 * kMb}},
       {"a chunk's extension",
        {.clients = 4,
         .begin = head + "Transfer-Encoding: chunked\r\n\r\n4;",
         .piece = std::string(1'000, 'x'),
         .piece_bytes = 24 * kMb}},
       {"bodies that stop short",
        {.clients = 8,
         .begin = head + "Content-Length: 60000000\r\n\r\n",
         .piece = std::string(64 * 1024, 'x'),
         .piece_bytes = 24 * kMb}},
       {"chunked bodies that stop short",
        {.clients = 8,
         .begin = head + "Transfer-Encoding: chunked\r\n\r\n",
         .piece = Chunk(64 * 1024),
         .piece_bytes = 24 * kMb}},
       {"bodies of another path",
        {.clients = 8,
         .begin = "POST /readyz HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                  "Content-Length: 60000000\r\n\r\n",
         .piece = std::string(64 * 1024, 'x'),
         .piece_bytes = 24 * kMb}},
       {"tiny fields",
        {.clients = 400, .begin = head + Repeat(kTinyLine, 1'900)}}});
}

TEST_GROUP(OwnAddressesBeyondDescriptors){};

// The addresses for operators, probes and other boxes took any number of
// connections.
TEST(OwnAddressesBeyondDescriptors, StayWithinTheDescriptorsOfTheBox) {
  PlayAtOwnAddresses(
      "own-connections",
      {{"without a byte", {.clients = 700}},
       {"with a part of a head",
        {.clients = 700, .begin = "GET /readyz HTTP/1.1\r\nHost: "}},
       {"that stay open after an answer",
        {.clients = 700,
         .begin = "GET /readyz HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"}}});
}

TEST_GROUP(StoreAnswerBeyondMemory){};

// Answers of the store were kept up to 64 MB, and their trailers without limit.
TEST(StoreAnswerBeyondMemory, StaysWithinTheMemoryOfTheBox) {
  const std::string head = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  struct Answer {
    const char* name;
    std::string begin;
    std::string piece;
  };
  const Answer answers[] = {
      {"trailers", chunked + kLastChunk, Repeat(kLongLine, 60)},
      {"tiny trailers", chunked + kLastChunk, Repeat(kTinyLine, 16'000)},
      {"a chunk's extension", chunked + "4;", std::string(64'000, 'x')},
      {"a body in chunks", chunked, Chunk(64'000)},
      {"a body without a length", head + "\r\n", std::string(64'000, 'x')},
      {"a body with a length", head + "Content-Length: 67000000\r\n\r\n",
       std::string(64'000, 'x')},
      {"a head", head, Repeat(kLongLine, 60)},
  };
  for (const Answer& answer : answers) {
    SmallBox box("store-answer");
    TcpProxy& proxy = box.world().StoreProxy();
    proxy.SetEndlessAnswer({answer.begin, answer.piece});
    // The box has refused an answer once no more of it is taken, and asks
    // again.
    int64_t taken = 0;
    WaitFor(Millis(10'000), [&] {
      const int64_t before = taken;
      taken = proxy.endless_bytes();
      box.Check(answer.name);
      return taken > 100 * kMb && before == taken;
    });
    box.Check(answer.name);
    proxy.SetEndlessAnswer({});
    CHECK_TEXT(box.Answers(10, "other-key"), answer.name);
  }
}

TEST_GROUP(RequestJsonBeyondMemory){};

// The project's own interface made a document of each request's body.
TEST(RequestJsonBeyondMemory, StaysWithinTheMemoryOfTheBox) {
  constexpr size_t kTextBytes = 3'900'000;
  constexpr int kClients = 4;
  const std::string start = R"({"model":"model-1","prompt":[)";
  constexpr char kOrdinary[] =
      R"({"model":"model-1","prompt":"p","user":"cost=2"})";
  const std::pair<const char*, std::string> bodies[] = {
      {"brackets", Repeat("[", kTextBytes)},
      {"numbers", start + Repeat("1,", kTextBytes / 2) + "1]}"},
      {"arrays", start + Repeat("[],", kTextBytes / 3) + "1]}"},
      {"objects", Repeat("{\"a\":", kTextBytes / 5)},
  };
  for (const auto& [name, body] : bodies) {
    ClusterOptions options;
    options.name = "request-json";
    options.peer_net = false;
    options.extra_settings =
        "[limits]\nmemory_mb = " + std::to_string(kMemoryMb) + "\n";
    Cluster cluster(options);
    Scenario scenario;
    scenario.fleet.halls = {{"h"}};
    scenario.workspaces["w"] = {1, {}};
    cluster.AddTarget({{"name", "engine"},
                       {"hall", "h"},
                       {"pool", scenario.fleet.engine_pool}});
    cluster.Publish(DocumentsOf(scenario));
    cluster.StartBox("box-1", "h");
    CHECK_TEXT(cluster.WaitReady(kComesBackFor), name);
    const std::string head =
        "POST /v1/completions HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        "Connection: close\r\nAuthorization: Bearer " +
        KeyOf("w") + "\r\n";
    const auto request = [&](const std::string& text) {
      return head + "Content-Length: " + std::to_string(text.size()) +
             "\r\n\r\n" + text;
    };
    const Cluster::Box& box = cluster.box("box-1");
    Crowd crowd(box.callers, {.clients = kClients, .begin = request(body)});
    crowd.WaitUntilSettled();
    CHECK_TEXT(WaitFor(kComesBackFor,
                       [&] {
                         return SendRaw(box.callers, request(kOrdinary))
                             .bytes.starts_with("HTTP/1.1 200");
                       }),
               name);
    const std::string peak =
        std::string(name) + ": peak " +
        std::to_string(box.process->peak_resident_bytes() / kMb) + " MB";
    CHECK_TEXT(box.process->peak_resident_bytes() <= kMemoryMb * kMb,
               peak.c_str());
  }
}

TEST_GROUP(TargetAnswerBeyondMemory){};

// Each field of an answer allocates twenty times the bytes of a tiny one, in
// its head and in its trailers.
TEST(TargetAnswerBeyondMemory, StaysWithinTheMemoryOfTheBox) {
  constexpr size_t kFields = 3'900;
  constexpr size_t kTrailers = 12'000;
  constexpr int kTargets = 40;  // of four slots each
  constexpr int kRequests = 150;
  constexpr std::chrono::seconds kUntilAnswersStop(2);
  struct Answer {
    const char* name;
    std::vector<std::string> pieces;  // after the head's first lines
  };
  const Answer answers[] = {
      {"a head that stops short", {Repeat(kTinyLine, kFields)}},
      {"a head, and a body that stops short",
       {Repeat(kTinyLine, kFields) + "Content-Length: 10\r\n\r\n"}},
      {"trailers that stop short",
       {"Transfer-Encoding: chunked\r\n\r\n" + kLastChunk,
        Repeat(kTinyLine, kTrailers)}},
  };
  for (const Answer& answer : answers) {
    SmallBox box("target-answer");
    box.answer_to_crowd.pieces = answer.pieces;
    box.answer_to_crowd.pieces.front().insert(
        0, "HTTP/1.1 200 OK\r\n" + std::string(platform::kAttemptIdField) +
               ": c\r\n" + platform::kSignatureField + ": s\r\n");
    box.answer_to_crowd.hang = true;
    for (int target = 4; target <= kTargets; ++target)
      box.AddTarget("plain-" + std::to_string(target));
    CHECK(
        WaitFor(kComesBackFor, [&] { return box.KnownTargets() == kTargets; }));
    Crowd crowd(box.box().callers,
                {.clients = kRequests, .begin = StatedHead("4") + "body"});
    crowd.WaitUntilSettled();
    // The crowd waits for answers, which don't come to an end.
    std::this_thread::sleep_for(kUntilAnswersStop);
    CHECK_TEXT(box.Answers(10, "other-key"), answer.name);
    box.Check(answer.name);
  }
}

TEST_GROUP(SlowBodiesKeepOthersOut){};

// A few slow clients of one workspace held all of the memory for large bodies.
TEST(SlowBodiesKeepOthersOut, AnotherWorkspaceIsServed) {
  const std::string length = std::to_string(kLargeBodyBytes);
  const CrowdScript scripts[] = {
      {.clients = 6, .begin = StatedHead(length) + std::string(1'000, 'x')},
      {.clients = 6,
       .begin = ChunkedHead(),
       .piece = Chunk(64 * 1024),
       .piece_bytes = 3'800'000},
  };
  for (const CrowdScript& script : scripts) {
    SmallBox box("slow-bodies", "receive_ms = 120000\n");
    Crowd crowd(box.box().callers, script);
    crowd.WaitUntilSettled();
    CHECK(box.Answers(kLargeBodyBytes, "other-key"));
    box.Check("slow bodies");
  }
}

TEST_GROUP(TrailersReachTargets){};

// Trailers joined the header after it had been checked (RFC 9110, 6.5.1).
TEST(TrailersReachTargets, AsNoFieldsOfTheHeader) {
  SmallBox box("trailers");
  const RawReply reply =
      SendRaw(box.box().callers,
              HeadOf("Connection: close\r\nTransfer-Encoding: chunked\r\n"
                     "X-Before: 1\r\n\r\n") +
                  Chunk(4) + "0\r\nX-Trailer: 1\r\nX-Before: 2\r\n\r\n");
  CHECK(reply.bytes.starts_with("HTTP/1.1 200"));
  const SeenRequest seen = box.world().Seen().back();
  STRCMP_EQUAL("1", seen.fields.at("x-before").c_str());
  CHECK_FALSE(seen.fields.contains("x-trailer"));
}

TEST_GROUP(MisbehavingClients){};

// Guards what bounds these clients already.
TEST(MisbehavingClients, LeaveABoxAliveAndServing) {
  const std::string chunked = ChunkedHead();
  PlayAtCallersAddress(
      "misbehaving", {{"chunks of one byte",
                       {.clients = 96,
                        .begin = chunked,
                        .piece = Chunk(1),
                        .piece_bytes = 400'000}},
                      {"small chunked bodies, all but the end",
                       {.clients = 400, .begin = chunked + Chunk(60'000)}},
                      {"an announced 10^12 bytes, sent",
                       {.clients = 24,
                        .begin = StatedHead("1000000000000"),
                        .piece = std::string(64 * 1024, 'x'),
                        .piece_bytes = 24 * kMb}},
                      {"a chunk of 2^63 - 1 bytes",
                       {.clients = 24,
                        .begin = chunked + "7fffffffffffffff\r\n",
                        .piece = std::string(64 * 1024, 'x'),
                        .piece_bytes = 24 * kMb}},
                      {"a chunk of 2^64 bytes",
                       {.clients = 24,
                        .begin = chunked + "10000000000000000\r\n",
                        .piece = std::string(64 * 1024, 'x'),
                        .piece_bytes = 24 * kMb}},
                      {"a head without end",
                       {.clients = 24,
                        .begin = HeadOf(""),
                        .piece = kLongLine,
                        .piece_bytes = 24 * kMb}},
                      {"no key, and a body that goes on",
                       {.clients = 48,
                        .begin = "POST /again/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n",
                        .piece = Chunk(64 * 1024),
                        .piece_bytes = 24 * kMb}},
                      {"whole requests, answers never read",
                       {.clients = 24,
                        .begin = "",
                        .piece = StatedHead("4") + "body",
                        .piece_bytes = 24 * kMb,
                        .reads = false}},
                      {"connections without a byte", {.clients = 700}}});
}

// A client inside the limits of the pages, in calm: the largest header, in tiny
// fields, the largest body in chunks of one byte, with trailers.
TEST(MisbehavingClients, AreNotThoseInsideTheLimits) {
  struct Case {
    const char* name;
    std::string request;
    std::string body;
  };
  constexpr size_t kFields = 3'900;
  const std::string large(4'190'000, 'x');
  const Case cases[] = {
      {"tiny fields",
       HeadOf(Repeat(kTinyLine, kFields) + "Connection: close\r\n"
                                           "Content-Length: 4\r\n\r\nbody"),
       "body"},
      {"chunks of one byte and trailers",
       HeadOf("Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n") +
           Repeat(Chunk(1), 4'000) + "0\r\n" + Repeat(kTinyLine, kFields) +
           "\r\n",
       std::string(4'000, 'x')},
      {"a long extension",
       HeadOf("Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n") +
           "4;" + std::string(15'000, 'x') + "\r\nbody\r\n0\r\n\r\n",
       "body"},
      {"the largest body",
       HeadOf("Connection: close\r\nContent-Length: 4190000\r\n\r\n") + large,
       large},
      {"the largest body in chunks",
       HeadOf("Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n") +
           Repeat(Chunk(10'000), 419) + "0\r\n\r\n",
       large},
  };
  SmallBox box("inside-limits");
  for (const Case& row : cases) {
    const size_t seen = box.world().Seen().size();
    const RawReply reply = SendRaw(box.box().callers, row.request);
    CHECK_TEXT(reply.bytes.starts_with("HTTP/1.1 200"), row.name);
    UNSIGNED_LONGS_EQUAL_TEXT(seen + 1, box.world().Seen().size(), row.name);
    CHECK_TEXT(box.world().Seen().back().body == row.body, row.name);
  }
  box.Check("inside the limits");
}

}  // namespace
}  // namespace sparbend::testing
