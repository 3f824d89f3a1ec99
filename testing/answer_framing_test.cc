// How a box tells a complete answer of a target from an interrupted one, and
// how it shows that to the client, with real boxes and targets that frame their
// answers in each way that HTTP allows.
#include <array>
#include <mutex>
#include <set>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"
#include "testing/scenario.h"

namespace sparbend::testing {
namespace {

constexpr std::array kFramings = {Framing::kLength, Framing::kChunked,
                                  Framing::kUntilClose};
constexpr char kEventStream[] = "Content-Type: text/event-stream\r\n";
constexpr char kClosing[] = "Connection: close\r\n";
constexpr char kDeclarations[] = R"({"version": 3,
  "routes": [
    {"name": "once", "host": "127.0.0.1", "path-prefix": "/once/",
     "kind": "non_idempotent", "max-attempts": 1, "timeout-ms": 3000,
     "target-latency-ms": 500, "service": "plain"},
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "idempotent", "max-attempts": 2, "timeout-ms": 3000,
     "target-latency-ms": 500, "service": "plain"},
    {"name": "stream", "host": "127.0.0.1", "path-prefix": "/stream/",
     "kind": "streaming", "max-attempts": 1, "timeout-ms": 3000,
     "target-latency-ms": 500, "service": "engines"},
    {"name": "resumed", "host": "127.0.0.1", "path-prefix": "/resumed/",
     "kind": "streaming", "max-attempts": 2, "timeout-ms": 3000,
     "target-latency-ms": 500, "resumable": true, "service": "engines"}],
  "services": [{"name": "plain", "max-conns": 100},
               {"name": "engines", "max-conns": 100,
                "engine": {"kv-capacity": 100000, "stride": 1}}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

auto Event(int id) -> std::string {
  const std::string number = std::to_string(id);
  return "id: " + number + "\ndata: piece" + number + "\n\n";
}

auto Events(int first, int last) -> std::string {
  std::string events;
  for (int id = first; id <= last; ++id)
    events += Event(id);
  return events;
}

// An answer with `body`, after which the target closes the connection.
auto Answer(const SeenRequest& request,
            Framing framing,
            const std::string& body,
            bool in_one_piece = false) -> TargetScript {
  TargetScript script;
  // Without the announcement the box may send its next request on a connection
  // that is about to be closed.
  script.pieces = {AnswerHead(request, framing, body.size(),
                              kEventStream + std::string(kClosing)),
                   FramedPiece(framing, body) + FramedEnd(framing)};
  if (in_one_piece)
    script.pieces = {script.pieces[0] + script.pieces[1]};
  script.close = true;
  return script;
}

// A stream of six events; a continued one begins after the named event.
constexpr int kLastEvent = 6;
auto Rest(const SeenRequest& request, Framing framing) -> TargetScript {
  const auto last = request.fields.find("last-event-id");
  const int after = last == request.fields.end() ? 0 : std::stoi(last->second);
  return Answer(request, framing, Events(after + 1, kLastEvent));
}

// A box with two targets of each service, whose answers the test sets.
class FramingWorld {
 public:
  using Script = std::function<TargetScript(const SeenRequest&)>;

  FramingWorld() : world_("answer-framing") {
    world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
               kDeclarations);
    const auto answer = [this](const SeenRequest& request) {
      const std::lock_guard lock(mutex_);
      return asked_.insert(request.id).second ? first_(request)
                                              : later_(request);
    };
    for (const char* name : {"plain-1", "plain-2"})
      world_.AddTarget(name, "plain", answer);
    for (const char* name : {"engine-1", "engine-2"})
      world_.AddTarget(name, "engines", answer);
    world_.StartBox("box-1");
    ready_ = world_.WaitReady("box-1");
  }

  // Sends a request that is answered by `first`, and by `later` if it is sent
  // to a target again.
  auto Ask(const std::string& path,
           Script first,
           Script later,
           const std::string& version = "HTTP/1.1",
           const std::string& method = "POST") -> RawReply {
    CHECK(ready_);
    {
      const std::lock_guard lock(mutex_);
      first_ = std::move(first);
      later_ = std::move(later);
      id_ = "request-" + std::to_string(++requests_);
    }
    return SendRaw(world_.box("box-1").callers,
                   method + " " + path + " " + version +
                       "\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
                       "Authorization: Token the-key\r\n" +
                       platform::kAttemptIdField + ": " + id_ + "\r\n" +
                       platform::kTokensField + ": 100,10\r\n" +
                       platform::kDeadlineField +
                       ": 5000\r\nContent-Length: 4\r\n\r\nbody");
  }

  // What the targets saw of the latest request.
  auto Seen() -> std::vector<SeenRequest> { return world_.SeenOf(id_); }

 private:
  std::mutex mutex_;
  Script first_;
  Script later_;
  std::set<std::string> asked_;
  int requests_ = 0;
  std::string id_;
  PlatformWorld world_;
  bool ready_ = false;
};

auto Shared() -> FramingWorld& {
  static FramingWorld shared;
  return shared;
}

auto Chunked(const SeenRequest& request) -> TargetScript {
  return Rest(request, Framing::kChunked);
}

TEST_GROUP(StreamCutInsideEvent){};

// Guards against a stream that its target ended inside an event and that the
// client got as a complete one.
TEST(StreamCutInsideEvent, IsResumedOrLooksInterrupted) {
  struct Case {
    const char* what;
    std::string rest;  // after two events
  };
  const Case cases[] = {
      {"in an id line", "id: 3"},
      {"after an id line", "id: 3\n"},
      {"in a data line", "id: 3\ndata: pie"},
      {"at the end of a data line", "id: 3\ndata: piece3"},
      {"before the blank line", "id: 3\ndata: piece3\n"},
      {"in an id line, CRLF", "id: 3\r"},
      {"after an id line, CRLF", "id: 3\r\n"},
      {"in a data line, CRLF", "id: 3\r\ndata: pie"},
      {"before the blank line, CRLF", "id: 3\r\ndata: piece3\r\n"},
  };
  bool in_one_piece = false;
  for (const Case& row : cases) {
    for (const Framing framing : kFramings) {
      const std::string what =
          std::string(row.what) + ", " + std::string(ToString(framing));
      in_one_piece = !in_one_piece;
      const auto cut = [&](const SeenRequest& request) {
        return Answer(request, framing, Events(1, 2) + row.rest, in_one_piece);
      };
      const RawReply broken = Shared().Ask("/stream/x", cut, Chunked);
      CHECK_TEXT(!broken.complete, what.c_str());
      STRCMP_EQUAL_TEXT(Events(1, 2).c_str(), broken.body.c_str(),
                        what.c_str());
      LONGS_EQUAL_TEXT(1, Shared().Seen().size(), what.c_str());
      if (framing != Framing::kUntilClose)
        continue;
      const RawReply resumed = Shared().Ask("/resumed/x", cut, Chunked);
      CHECK_TEXT(resumed.complete, what.c_str());
      STRCMP_EQUAL_TEXT(Events(1, kLastEvent).c_str(), resumed.body.c_str(),
                        what.c_str());
      const auto seen = Shared().Seen();
      LONGS_EQUAL_TEXT(2, seen.size(), what.c_str());
      STRCMP_EQUAL_TEXT("2", seen[1].fields.at("last-event-id").c_str(),
                        what.c_str());
    }
  }
}

// An answer that is delimited by the end of the connection alone, and of which
// nothing came, is not known to be complete.
TEST(StreamCutInsideEvent, WithoutAnyEventLooksInterruptedWithoutFraming) {
  for (const Framing framing : kFramings) {
    const RawReply reply = Shared().Ask(
        "/stream/x",
        [&](const SeenRequest& request) {
          return Answer(request, framing, "");
        },
        Chunked);
    CHECK_EQUAL_TEXT(framing != Framing::kUntilClose, reply.complete,
                     std::string(ToString(framing)).c_str());
    STRCMP_EQUAL("", reply.body.c_str());
  }
}

TEST(StreamCutInsideEvent, CompleteStreamsStayCompleteInAnyFraming) {
  const std::string streams[] = {
      Events(1, kLastEvent),
      Events(1, 2) + ": a comment\n",
      "id: 1\r\ndata: piece1\r\n\r\n",
      "id: 1\rdata: piece1\r\rdata: piece2\r\r",
  };
  for (const std::string& stream : streams) {
    for (const Framing framing : kFramings) {
      const std::string what = std::string(ToString(framing)) + ": " + stream;
      const RawReply reply = Shared().Ask(
          "/stream/x",
          [&](const SeenRequest& request) {
            return Answer(request, framing, stream);
          },
          Chunked);
      CHECK_TEXT(reply.complete, what.c_str());
      STRCMP_EQUAL_TEXT(stream.c_str(), reply.body.c_str(), what.c_str());
      LONGS_EQUAL_TEXT(1, Shared().Seen().size(), what.c_str());
    }
  }
}

TEST_GROUP(UnannouncedClose){};

// Guards against a repeatable request that fails with a connection that its
// target closed as the request was sent.
TEST(UnannouncedClose, RepeatableRequestIsSentAgain) {
  for (const Framing framing : {Framing::kLength, Framing::kChunked}) {
    const auto closes_later = [&](const SeenRequest& request) {
      TargetScript script;
      script.pieces = {AnswerHead(request, framing, 4) +
                           FramedPiece(framing, "done") + FramedEnd(framing),
                       ""};
      script.pause = Millis(10);
      script.close = true;
      return script;
    };
    for (int request = 0; request < 2; ++request) {
      const RawReply reply =
          Shared().Ask("/again/x", closes_later, closes_later);
      const std::string what(ToString(framing));
      CHECK_TEXT(reply.complete, what.c_str());
      STRCMP_EQUAL_TEXT("done", reply.body.c_str(), what.c_str());
      LONGS_EQUAL_TEXT(1, Shared().Seen().size(), what.c_str());
    }
  }
}

TEST_GROUP(ChunksToHttp10Client){};

// Guards against an answer in chunks to a client that can't decode them.
TEST(ChunksToHttp10Client, GetsTheBytesUntilTheConnectionCloses) {
  for (const Framing framing : kFramings) {
    const RawReply reply = Shared().Ask(
        "/stream/x",
        [&](const SeenRequest& request) { return Rest(request, framing); },
        Chunked, "HTTP/1.0");
    const std::string what(ToString(framing));
    CHECK_TEXT(reply.complete && !reply.reset, what.c_str());
    CHECK_TEXT(reply.bytes.find("ransfer-") == std::string::npos, what.c_str());
    CHECK_TEXT(reply.bytes.ends_with("\r\n\r\n" + Events(1, kLastEvent)),
               what.c_str());
  }
}

TEST(ChunksToHttp10Client, AnInterruptedAnswerIsReset) {
  const RawReply reply = Shared().Ask(
      "/stream/x",
      [](const SeenRequest& request) {
        return Answer(request, Framing::kUntilClose, Events(1, 2) + "id: 3");
      },
      Chunked, "HTTP/1.0");
  CHECK(reply.reset);
  CHECK(!reply.complete);
}

TEST_GROUP(ResumedStreamPastPromisedLength){};

// Guards against a stream that is continued past, or short of, the length that
// the client was told from the first target's header.
TEST(ResumedStreamPastPromisedLength, EndsWhereTheSecondTargetEndsIt) {
  for (const size_t promised : {size_t{60}, size_t{5'000}}) {
    const RawReply reply = Shared().Ask(
        "/resumed/x",
        [&](const SeenRequest& request) {
          TargetScript script;
          script.pieces = {
              AnswerHead(request, Framing::kLength, promised, kEventStream),
              Events(1, 2)};
          script.pause = Millis(20);
          script.reset = true;
          return script;
        },
        Chunked);
    CHECK(reply.complete);
    STRCMP_EQUAL(Events(1, kLastEvent).c_str(), reply.body.c_str());
    LONGS_EQUAL(2, Shared().Seen().size());
  }
}

TEST_GROUP(StreamWithoutClosingEvent){};

// Guards against a stream that its target ended between two events, before the
// event that closes it, and that the client got as a complete one.
TEST(StreamWithoutClosingEvent, IsResumedOrLooksInterrupted) {
  constexpr int kTokens = 8;
  constexpr Millis kWaitTimeout(30'000);
  struct Case {
    const char* what;
    bool resumes;  // the engine continues an interrupted stream
    const char* fault;
    int status;
  };
  const Case cases[] = {
      {"complete", false, "none", 200},
      {"ended early, continued", true, "end-early", 200},
      {"ended early, lost", false, "end-early", 0},
  };
  for (const Case& row : cases) {
    ClusterOptions options;
    options.name = "closing-event";
    Cluster cluster(options);
    cluster.AddTarget({{"name", "engine"},
                       {"hall", "h"},
                       {"pool", "sparbend-pool"},
                       {"token_us", 1'000},
                       {"resumes", row.resumes},
                       {"framing", "close"}});
    Scenario scenario;
    scenario.fleet.halls = {{"h"}};
    scenario.workspaces["w"] = {1, {}};
    cluster.Publish(DocumentsOf(scenario));
    cluster.StartBox("box-1", "h");
    CHECK(cluster.WaitReady(kWaitTimeout));
    cluster.Control("target-fault", {{"name", "engine"}, {"fault", row.fault}});
    const Json body = {{"model", "model-1"},
                       {"prompt", "abcdefgh"},
                       {"stream", true},
                       {"user", "cost=" + std::to_string(kTokens)}};
    Reply reply;
    CHECK(WaitFor(kWaitTimeout, [&] {
      reply = Call(cluster.box("box-1").callers, "POST", "/v1/completions",
                   body.dump(), {{"Authorization", "Bearer " + KeyOf("w")}});
      return reply.status != 503;  // until the target is known
    }));
    LONGS_EQUAL_TEXT(row.status, reply.status, row.what);
    if (row.status == 200)
      STRCMP_EQUAL_TEXT(ExpectedStream(body.dump(), 2, kTokens).c_str(),
                        reply.body.c_str(), row.what);
  }
}

TEST_GROUP(MediaTypeOfStream){};

// Guards against events that are held until the end of their stream, and
// against another body that is taken for events.
TEST(MediaTypeOfStream, DecidesWhetherABodyIsAStream) {
  struct Case {
    const char* field;
    bool stream;
  };
  const Case cases[] = {
      {"", true},
      {"Content-Type: text/event-stream\r\n", true},
      {"Content-Type: Text/Event-Stream; charset=utf-8\r\n", true},
      {"Content-Type: application/json\r\n", false},
  };
  for (const Case& row : cases) {
    const RawReply reply = Shared().Ask(
        "/stream/x",
        [&](const SeenRequest& request) {
          TargetScript script;
          script.pieces = {
              AnswerHead(request, Framing::kUntilClose, 0, row.field) +
              Events(1, 1) + "id: 2"};
          script.close = true;
          return script;
        },
        Chunked);
    CHECK_EQUAL_TEXT(!row.stream, reply.complete, row.field);
  }
}

TEST_GROUP(AnswerToHead){};

// Guards against a box that waits for a body that does not come, and against
// one that sends a body, which the client takes for its next answer.
TEST(AnswerToHead, HasNoBody) {
  struct Case {
    const char* what;
    const char* path;
    std::string status;
  };
  const Case cases[] = {
      {"answered", "/again/x", "HTTP/1.1 200"},
      {"refused by the box", "/nowhere/x", "HTTP/1.1 404"},
  };
  for (const Case& row : cases) {
    for (const Framing framing : kFramings) {
      const auto head = [&](const SeenRequest& request) {
        TargetScript script;
        script.pieces = {AnswerHead(request, framing, 12)};
        return script;
      };
      const RawReply reply =
          Shared().Ask(row.path, head, head, "HTTP/1.1", "HEAD");
      CHECK_TEXT(reply.bytes.starts_with(row.status), row.what);
      CHECK_TEXT(reply.bytes.ends_with("\r\n\r\n"), row.what);
      const bool has_length =
          reply.bytes.find("Content-Length: 12\r\n") != std::string::npos;
      const bool relayed = row.status.ends_with("200");
      CHECK_EQUAL_TEXT(relayed && framing == Framing::kLength, has_length,
                       row.what);
    }
  }
}

TEST_GROUP(UnknownTransferCoding){};

// Guards against an answer whose coding is removed from its header, so that the
// client takes encoded bytes for the body, and against one whose end is
// ambiguous.
TEST(UnknownTransferCoding, IsNoAnswer) {
  const char* const fields[] = {
      "Transfer-Encoding: gzip\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 12\r\n",
      "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n",
      "Content-Length: 12\r\nContent-Length: 13\r\n",
  };
  for (const char* field : fields) {
    const auto encoded = [&](const SeenRequest& request) {
      TargetScript script;
      script.pieces = {AnswerHead(request, Framing::kUntilClose, 0, field) +
                       "2\r\nok\r\n0\r\n\r\n"};
      script.close = true;
      return script;
    };
    const auto good = [](const SeenRequest& request) {
      TargetScript script;
      script.pieces = {GoodAnswer(request, "good")};
      return script;
    };
    const RawReply once = Shared().Ask("/once/x", encoded, good);
    CHECK_TEXT(once.bytes.starts_with("HTTP/1.1 502"), field);
    LONGS_EQUAL_TEXT(1, Shared().Seen().size(), field);
    const RawReply again = Shared().Ask("/again/x", encoded, good);
    CHECK_TEXT(again.complete, field);
    STRCMP_EQUAL_TEXT("good", again.body.c_str(), field);
  }
}

}  // namespace
}  // namespace sparbend::testing
