// What a client gets of a stream whose target, or the target that continues it,
// does not go on after the last event that the client has.
#include <memory>
#include <mutex>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"
#include "testing/scenario.h"

namespace sparbend::testing {
namespace {

constexpr char kEventStream[] = "Content-Type: text/event-stream\r\n";
constexpr char kDeclarations[] = R"({"version": 3,
  "routes": [
    {"name": "stream", "host": "127.0.0.1", "path-prefix": "/stream/",
     "kind": "streaming", "max-attempts": 1, "timeout-ms": 3000,
     "target-latency-ms": 500, "service": "engines"},
    {"name": "client", "host": "127.0.0.1", "path-prefix": "/client/",
     "kind": "streaming", "max-attempts": 1, "timeout-ms": 3000,
     "target-latency-ms": 500, "resumable": true, "service": "engines"},
    {"name": "resumed", "host": "127.0.0.1", "path-prefix": "/resumed/",
     "kind": "streaming", "max-attempts": 2, "timeout-ms": 3000,
     "target-latency-ms": 500, "resumable": true, "service": "engines"},
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "streaming", "max-attempts": 3, "timeout-ms": 3000,
     "target-latency-ms": 500, "resumable": true, "service": "engines"},
    {"name": "plain", "host": "127.0.0.1", "path-prefix": "/plain/",
     "kind": "idempotent", "max-attempts": 1, "timeout-ms": 3000,
     "target-latency-ms": 500, "service": "engines"}],
  "services": [{"name": "engines", "max-conns": 100,
                "engine": {"kv-capacity": 100000, "stride": 1}}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

auto Event(const std::string& id) -> std::string {
  return "id: " + id + "\ndata: piece " + id + "\n\n";
}

auto Events(const std::vector<std::string>& ids) -> std::string {
  std::string events;
  for (const std::string& id : ids)
    events += Event(id);
  return events;
}

auto Answer(const SeenRequest& request,
            const std::string& body,
            const std::string& fields = kEventStream) -> TargetScript {
  TargetScript script;
  script.pieces = {AnswerHead(request, Framing::kChunked, 0, fields) +
                   FramedPiece(Framing::kChunked, body) +
                   FramedEnd(Framing::kChunked)};
  return script;
}

// The stream breaks off after `body`.
auto Cut(const SeenRequest& request, const std::string& body) -> TargetScript {
  TargetScript script;
  script.pieces = {AnswerHead(request, Framing::kChunked, 0, kEventStream) +
                   FramedPiece(Framing::kChunked, body)};
  script.close = true;
  return script;
}

using Script = std::function<TargetScript(const SeenRequest&)>;

auto Answers(const std::string& body, const std::string& fields = kEventStream)
    -> Script {
  return
      [=](const SeenRequest& request) { return Answer(request, body, fields); };
}

auto Cuts(const std::string& body) -> Script {
  return [=](const SeenRequest& request) { return Cut(request, body); };
}

struct Taken {
  std::string resumes{};  // the attempt that began the stream; empty: none
  std::string after{};    // the last event that the client has
};

// A box with two targets, whose answers the test sets.
class ContinuationWorld {
 public:
  explicit ContinuationWorld(const std::string& name) : world_(name) {
    world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
               kDeclarations);
    for (const char* target : {"engine-1", "engine-2"}) {
      world_.AddTarget(target, "engines", [this](const SeenRequest& request) {
        const std::lock_guard lock(mutex_);
        const Script& script = scripts_[std::min(asked_, scripts_.size() - 1)];
        ++asked_;
        return script(request);
      });
    }
    world_.StartBox("box-1");
    CHECK(world_.WaitReady("box-1"));
  }

  // Sends a request, whose attempts are answered by `scripts` in turn.
  auto Ask(const std::string& path,
           std::vector<Script> scripts,
           const Taken& taken = {}) -> RawReply {
    {
      const std::lock_guard lock(mutex_);
      scripts_ = std::move(scripts);
      asked_ = 0;
      id_ = "request-" + std::to_string(++requests_);
    }
    std::string fields = std::string(platform::kAttemptIdField) + ": " + id_ +
                         "\r\n" + platform::kTokensField + ": 100,10\r\n" +
                         platform::kDeadlineField + ": 5000\r\n";
    if (!taken.resumes.empty())
      fields +=
          std::string(platform::kResumesField) + ": " + taken.resumes + "\r\n";
    if (!taken.after.empty())
      fields +=
          std::string(platform::kLastEventField) + ": " + taken.after + "\r\n";
    return SendRaw(world_.box("box-1").callers,
                   "POST " + path +
                       " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
                       "Authorization: Token the-key\r\n" +
                       fields + "Content-Length: 4\r\n\r\nbody");
  }

  auto world() -> PlatformWorld& { return world_; }
  auto id() const -> const std::string& { return id_; }
  // What the targets saw of the latest request.
  auto Seen() -> std::vector<SeenRequest> { return world_.SeenOf(id_); }

 private:
  std::mutex mutex_;
  std::vector<Script> scripts_;
  size_t asked_ = 0;
  int requests_ = 0;
  std::string id_;
  PlatformWorld world_;
};

// Decimal digits of 2^64 and of numbers beside it.
constexpr char kBeyond[] = "18446744073709551616";
constexpr char kAfterBeyond[] = "18446744073709551617";
constexpr char kBeforeBeyond[] = "18446744073709551615";

struct Case {
  const char* what;
  std::vector<std::string> first;  // ids of the events before the stream broke
  std::string continuation;        // body of the answer that continues it
  std::string relayed;             // of that
  bool complete;
  const char* fields = kEventStream;
};

auto Cases() -> std::vector<Case> {
  const std::string no_id = "data: x\n\n";
  return {
      {"goes on", {"1", "2"}, Events({"3", "4"}), Events({"3", "4"}), true},
      {"leaves out numbers",
       {"1", "2"},
       Events({"4", "9", "10"}),
       Events({"4", "9", "10"}),
       true},
      {"an event without id later",
       {"1", "2"},
       Event("3") + no_id + Event("4"),
       Event("3") + no_id + Event("4"),
       true},
      {"begins anew", {"1", "2"}, Events({"1", "2", "3"}), "", false},
      {"repeats the last event", {"1", "2"}, Events({"2", "3"}), "", false},
      {"goes back midway",
       {"1", "2"},
       Events({"3", "2", "4"}),
       Event("3"),
       false},
      {"repeats midway", {"1", "2"}, Events({"3", "3"}), Event("3"), false},
      {"begins without an id", {"1", "2"}, no_id + Event("3"), "", false},
      {"an id that is no number", {"1", "2"}, Event("three"), "", false},
      {"a sign", {"1", "2"}, Event("+3"), "", false},
      {"the same number otherwise", {"1", "2"}, Event("02"), "", false},
      {"a higher number otherwise",
       {"1", "2"},
       Event("0010"),
       Event("0010"),
       true},
      {"a number beyond 64 bits goes on",
       {kBeforeBeyond, kBeyond},
       Event(kAfterBeyond),
       Event(kAfterBeyond),
       true},
      {"a number beyond 64 bits goes back",
       {kBeforeBeyond, kBeyond},
       Event(kBeforeBeyond),
       "",
       false},
      {"no numbers, goes on", {"a", "b"}, Event("c"), Event("c"), true},
      {"no numbers, repeats", {"a", "b"}, Events({"b", "c"}), "", false},
      {"no stream, HTML",
       {"1", "2"},
       "<p>unavailable</p>",
       "",
       false,
       "Content-Type: text/html\r\n"},
      {"no stream, JSON",
       {"1", "2"},
       "{}\n\n",
       "",
       false,
       "Content-Type: application/json\r\n"},
  };
}

TEST_GROUP(ContinuationOutOfOrder){};

// Guards against a continuation that begins anew, repeats an event or goes
// back, and that the client got as part of a complete answer.
TEST(ContinuationOutOfOrder, IsNotRelayed) {
  // A box that has just started may repeat some ten requests.
  constexpr size_t kRowsPerBox = 6;
  std::unique_ptr<ContinuationWorld> world;
  size_t rows = 0;
  for (const Case& row : Cases()) {
    if (rows % kRowsPerBox == 0)
      world = std::make_unique<ContinuationWorld>("continuation-out-of-order-" +
                                                  std::to_string(rows));
    ++rows;
    const RawReply reply = world->Ask(
        "/resumed/x",
        {Cuts(Events(row.first)), Answers(row.continuation, row.fields)});
    STRCMP_EQUAL_TEXT((Events(row.first) + row.relayed).c_str(),
                      reply.body.c_str(), row.what);
    CHECK_EQUAL_TEXT(row.complete, reply.complete, row.what);
    LONGS_EQUAL_TEXT(2, world->Seen().size(), row.what);
  }
}

TEST(ContinuationOutOfOrder, GoesOnElsewhere) {
  ContinuationWorld world("continuation-elsewhere");
  struct Retried {
    const char* what;
    std::string continuation;
    std::vector<std::string> relayed;
    const char* fields = kEventStream;
  };
  const Retried cases[] = {
      {"begins anew", Events({"1", "2", "3"}), {"1", "2"}},
      {"goes back midway", Events({"3", "2"}), {"1", "2", "3"}},
      {"no stream", "{}", {"1", "2"}, "Content-Type: application/json\r\n"},
  };
  for (const Retried& row : cases) {
    const RawReply reply =
        world.Ask("/again/x", {Cuts(Events({"1", "2"})),
                               Answers(row.continuation, row.fields),
                               Answers(Events({"4", "5"}))});
    STRCMP_EQUAL_TEXT((Events(row.relayed) + Events({"4", "5"})).c_str(),
                      reply.body.c_str(), row.what);
    CHECK_TEXT(reply.complete, row.what);
    const std::vector<SeenRequest> seen = world.Seen();
    LONGS_EQUAL_TEXT(3, seen.size(), row.what);
    STRCMP_EQUAL_TEXT(row.relayed.back().c_str(),
                      seen[2].fields.at("last-event-id").c_str(), row.what);
  }
}

TEST_GROUP(ResumedRequestOutOfOrder){};

// Guards against a stream that a client takes up and whose events it has
// already, or that is no stream.
TEST(ResumedRequestOutOfOrder, IsRefusedOrLooksInterrupted) {
  ContinuationWorld world("resumed-out-of-order");
  for (const Case& row : Cases()) {
    const RawReply first = world.Ask("/client/x", {Cuts(Events(row.first))});
    STRCMP_EQUAL_TEXT(Events(row.first).c_str(), first.body.c_str(), row.what);
    const RawReply reply =
        world.Ask("/client/x", {Answers(row.continuation, row.fields)},
                  {.resumes = world.id(), .after = row.first.back()});
    LONGS_EQUAL_TEXT(1, world.Seen().size(), row.what);
    if (!row.complete && row.relayed.empty()) {
      CHECK_TEXT(reply.bytes.starts_with("HTTP/1.1 502 "), row.what);
      continue;
    }
    STRCMP_EQUAL_TEXT(row.relayed.c_str(), reply.body.c_str(), row.what);
    CHECK_EQUAL_TEXT(row.complete, reply.complete, row.what);
  }
}

TEST(ResumedRequestOutOfOrder, GoesOnElsewhere) {
  ContinuationWorld world("resumed-elsewhere");
  for (const char* fields :
       {kEventStream, "Content-Type: application/json\r\n"}) {
    world.Ask("/client/x", {Cuts(Events({"1", "2"}))});
    const RawReply reply = world.Ask(
        "/resumed/x",
        {Answers(Events({"1", "2", "3"}), fields), Answers(Events({"3", "4"}))},
        {.resumes = world.id(), .after = "2"});
    STRCMP_EQUAL_TEXT(Events({"3", "4"}).c_str(), reply.body.c_str(), fields);
    CHECK_TEXT(reply.complete, fields);
    LONGS_EQUAL_TEXT(2, world.Seen().size(), fields);
  }
}

// No other success than 200 is checked for the order of its events.
TEST(ResumedRequestOutOfOrder, IsRefusedWithAnotherSuccess) {
  ContinuationWorld world("resumed-other-success");
  world.Ask("/client/x", {Cuts(Events({"1", "2"}))});
  const RawReply reply = world.Ask(
      "/client/x", {[](const SeenRequest& request) {
        TargetScript script = Answer(request, Events({"1", "2", "3"}));
        const std::string ok = "200 OK";
        script.pieces[0].replace(script.pieces[0].find(ok), ok.size(),
                                 "206 Partial Content");
        return script;
      }},
      {.resumes = world.id(), .after = "2"});
  CHECK(reply.bytes.starts_with("HTTP/1.1 502 "));
}

TEST_GROUP(FirstAnswerOutOfOrder){};

// Guards against a complete answer in which an id is not above the one before.
TEST(FirstAnswerOutOfOrder, LooksInterruptedOrGoesOnElsewhere) {
  ContinuationWorld world("first-answer-out-of-order");
  struct First {
    const char* what;
    std::string answer;
    std::string relayed;
  };
  const First cases[] = {
      {"goes back", Events({"1", "3", "2", "4"}), Events({"1", "3"})},
      {"repeats", Events({"1", "3", "3", "4"}), Events({"1", "3"})},
      {"no number after a number", Events({"1", "3", "x"}), Events({"1", "3"})},
  };
  for (const First& row : cases) {
    const RawReply broken = world.Ask("/stream/x", {Answers(row.answer)});
    STRCMP_EQUAL_TEXT(row.relayed.c_str(), broken.body.c_str(), row.what);
    CHECK_TEXT(!broken.complete, row.what);
    LONGS_EQUAL_TEXT(1, world.Seen().size(), row.what);
    const RawReply resumed = world.Ask(
        "/resumed/x", {Answers(row.answer), Answers(Events({"4", "5"}))});
    STRCMP_EQUAL_TEXT((row.relayed + Events({"4", "5"})).c_str(),
                      resumed.body.c_str(), row.what);
    CHECK_TEXT(resumed.complete, row.what);
  }
  for (const std::string& sound :
       {Events({"1", "3", "10"}), std::string("data: x\n\ndata: y\n\n"),
        Event("1") + "data: x\n\n" + Event("2"), Events({"a", "c", "b"})}) {
    const RawReply reply = world.Ask("/stream/x", {Answers(sound)});
    STRCMP_EQUAL(sound.c_str(), reply.body.c_str());
    CHECK(reply.complete);
  }
}

TEST(FirstAnswerOutOfOrder, IsCompleteWhereIdsNeedNotRise) {
  ContinuationWorld world("events-of-plain-route");
  for (const std::string& events : {Events({"5", "3"}), Events({"2", "2"})}) {
    const RawReply reply = world.Ask("/plain/x", {Answers(events)});
    STRCMP_EQUAL(events.c_str(), reply.body.c_str());
    CHECK(reply.complete);
  }
}

TEST_GROUP(LongEventIds){};

// Guards against an event id that is cut, so that the stream goes on after
// another event.
TEST(LongEventIds, AreNamedInFullOrNotAtAll) {
  ContinuationWorld world("long-event-ids");
  struct Length {
    size_t bytes;
    bool resumed;
  };
  for (const Length& row : {Length{64, true}, Length{81, true},
                            Length{1'024, true}, Length{1'025, false}}) {
    const std::string what = std::to_string(row.bytes);
    const std::string common(row.bytes - 1, 'i');
    const std::string first = Events({common + "a", common + "b"});
    const RawReply reply =
        world.Ask("/resumed/x", {Cuts(first), Answers(Event(common + "c"))});
    STRCMP_EQUAL_TEXT(
        (first + (row.resumed ? Event(common + "c") : "")).c_str(),
        reply.body.c_str(), what.c_str());
    CHECK_EQUAL_TEXT(row.resumed, reply.complete, what.c_str());
    const std::vector<SeenRequest> seen = world.Seen();
    LONGS_EQUAL_TEXT(row.resumed ? 2 : 1, seen.size(), what.c_str());
    if (row.resumed)
      STRCMP_EQUAL_TEXT((common + "b").c_str(),
                        seen[1].fields.at("last-event-id").c_str(),
                        what.c_str());
  }
}

TEST_GROUP(OwnContinuationRepeats){};

// Guards against a continuation of the own interface that repeats events.
TEST(OwnContinuationRepeats, LooksInterrupted) {
  constexpr Millis kWaitTimeout(30'000);
  constexpr int kTokens = 8;
  for (const int repeated : {0, 1, 3}) {
    const std::string what = std::to_string(repeated) + " events";
    ClusterOptions options;
    options.name = "own-continuation";
    Cluster cluster(options);
    cluster.AddTarget({{"name", "engine"},
                       {"hall", "h"},
                       {"pool", "sparbend-pool"},
                       {"token_us", 1'000},
                       {"repeats", repeated}});
    Scenario scenario;
    scenario.fleet.halls = {{"h"}};
    scenario.workspaces["w"] = {1, {}};
    cluster.Publish(DocumentsOf(scenario));
    cluster.StartBox("box-1", "h");
    CHECK(cluster.WaitReady(kWaitTimeout));
    cluster.Control("target-fault",
                    {{"name", "engine"}, {"fault", "end-early"}});
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
    LONGS_EQUAL_TEXT(repeated == 0 ? 200 : 0, reply.status, what.c_str());
    if (repeated == 0)
      STRCMP_EQUAL_TEXT(ExpectedStream(body.dump(), 2, kTokens).c_str(),
                        reply.body.c_str(), what.c_str());
  }
}

}  // namespace
}  // namespace sparbend::testing
