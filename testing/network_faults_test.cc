// Bad weather with real processes: what may never be repeated, what is said
// of it, streams, leaving targets, planned stops, pauses, claims. The oracle
// is what the stand-in targets recorded.
#include <signal.h>

#include <fstream>
#include <future>
#include <set>
#include <thread>

#include <CppUTest/TestHarness.h>

#include "sparbend/core/digest.h"
#include "testing/load.h"
#include "testing/scenario.h"

namespace sparbend::testing {
namespace {

constexpr Millis kWaitTimeout = Millis(30'000);

// Three boxes and a service behind a fault proxy, an engine beside it.
class WeatherFleet {
 public:
  explicit WeatherFleet(const std::string& name,
                        const std::string& extra_settings = "")
      : cluster_(Options(name, extra_settings)) {
    const std::string real = cluster_.AddTarget({{"name", "service"},
                                                 {"hall", "h"},
                                                 {"pool", "box-api"},
                                                 {"engine", false},
                                                 {"slots", 16}});
    proxy_ = std::make_unique<TcpProxy>(real);
    // Listed at the proxy's address instead.
    cluster_.Control("relist",
                     {{"name", "service"}, {"address", proxy_->address()}});
    cluster_.AddTarget({{"name", "engine"},
                        {"hall", "h"},
                        {"pool", "sparbend-pool"},
                        {"token_us", 5'000}});
    Scenario scenario;
    scenario.fleet.halls = {{"h"}};
    scenario.workspaces["w"] = {1, {}};
    cluster_.Publish(DocumentsOf(scenario));
    for (const char* box : {"h-1", "h-2", "h-3"})
      cluster_.StartBox(box, "h");
    ready_ = cluster_.WaitReady(kWaitTimeout) &&
             WaitSettled(&cluster_, kWaitTimeout);
  }

  auto ready() const -> bool { return ready_; }
  auto cluster() -> Cluster& { return cluster_; }
  auto proxy() -> TcpProxy& { return *proxy_; }

  auto Vend(const std::string& box,
            const std::string& tag,
            const std::string& key = "",
            bool once = true) -> Reply {
    std::map<std::string, std::string> fields = {
        {"Authorization", "Bearer " + KeyOf("w")}};
    if (once)
      fields["Sparbend-Once"] = "true";
    if (!key.empty())
      fields["Idempotency-Key"] = key;
    const Json body = {{"tag", tag}};
    return Call(cluster_.box(box).callers, "POST", "/box-api/vend", body.dump(),
                fields);
  }

  auto Ask(const std::string& box, const std::string& tag, int cost) -> Reply {
    return Call(cluster_.box(box).callers, "POST", "/v1/completions",
                EngineBody(tag, cost).dump(),
                {{"Authorization", "Bearer " + KeyOf("w")}});
  }

  static auto EngineBody(const std::string& tag, int cost) -> Json {
    return {{"model", "model-1"},
            {"prompt", "abcdefgh"},
            {"stream", true},
            {"tag", tag},
            {"user", "cost=" + std::to_string(cost)}};
  }

  auto Runs(const std::string& tag) -> size_t {
    size_t count = 0;
    for (const Json& run : cluster_.Control("runs?from=1"))
      count += run.at("tag") == tag ? 1 : 0;
    return count;
  }

  auto RunsAt(const std::string& target) -> size_t {
    size_t count = 0;
    for (const Json& run : cluster_.Control("runs?from=1"))
      count += run.at("target") == target ? 1 : 0;
    return count;
  }

 private:
  static auto Options(const std::string& name, const std::string& extra)
      -> ClusterOptions {
    ClusterOptions options;
    options.name = name;
    options.extra_settings = extra;
    return options;
  }

  Cluster cluster_;
  std::unique_ptr<TcpProxy> proxy_;
  bool ready_ = false;
};

auto VerdictOf(const Reply& reply) -> std::string {
  const auto found = reply.fields.find("sparbend-verdict");
  return found == reply.fields.end() ? "" : found->second;
}

TEST_GROUP(NetworkFaults){
    static auto Shared()->WeatherFleet &
    {static WeatherFleet fleet("weather", "[limits]\nsilence_ms = 2000\n");
return fleet;
}  // namespace
void setup() override {
  CHECK(Shared().ready());
}
void teardown() override {
  Shared().proxy().Set({});
}
};  // namespace sparbend::testing

// Each row is one fault on the way to a target that must not run it twice.
TEST(NetworkFaults, NonRepeatableRequestsRunAtMostOnceAndTheVerdictIsTrue) {
  struct Case {
    const char* what;
    TcpFault fault;
    bool may_run;
  };
  const Case cases[] = {
      {"reset before any byte", {Millis(0), 0, -1, false}, false},
      {"reset within the request", {Millis(0), 40, -1, false}, false},
      {"reset after the request", {Millis(0), -1, 0, false}, true},
      {"reset within the answer", {Millis(0), -1, 30, false}, true},
      {"answer swallowed", {Millis(0), -1, -1, true}, true},
  };
  int number = 0;
  for (const Case& row : cases) {
    const std::string tag = "once-" + std::to_string(number++);
    Shared().proxy().Set(row.fault);
    const Reply reply = Shared().Vend("h-1", tag);
    Shared().proxy().Set({});
    const size_t runs = Shared().Runs(tag);
    CHECK_TEXT(runs <= (row.may_run ? 1 : 0), row.what);
    CHECK_TEXT(reply.status != 200, row.what);
    const std::string verdict = VerdictOf(reply);
    // A connection that broke mid-answer tells by its break.
    CHECK_TEXT(reply.status == 0 || verdict == "may-have-run" ||
                   (verdict == "not-run" && runs == 0),
               row.what);
    CHECK_TEXT(!(verdict == "not-run" && runs > 0), row.what);
  }
}

TEST(NetworkFaults, ALateAnswerNeverMeetsTheNextCaller) {
  // The answer to the first request comes after its caller gave up.
  Shared().proxy().Set({Millis(600), -1, -1, false});
  const Json body = {{"tag", "late"}};
  Call(Shared().cluster().box("h-1").callers, "POST", "/box-api/x", body.dump(),
       {{"Authorization", "Bearer " + KeyOf("w")}}, Millis(200));
  Shared().proxy().Set({});
  for (int i = 0; i < 10; ++i) {
    const std::string tag = "next-" + std::to_string(i);
    const Json next = {{"tag", tag}};
    const Reply reply = Shared().Vend("h-1", tag, "", false);
    LONGS_EQUAL(200, reply.status);
    CHECK(ParseJson(reply.body, SIZE_MAX)->at("digest") ==
          Sha256Hex(next.dump()));
  }
}

TEST(NetworkFaults, CopiesOfOneKeyThroughThreeBoxesRunOnce) {
  for (int round = 0; round < 10; ++round) {
    const std::string tag = "copies-" + std::to_string(round);
    const std::string key = NewKey(static_cast<uint64_t>(round) * 7919 + 5);
    std::vector<std::future<Reply>> copies;
    for (const char* box : {"h-1", "h-2", "h-3"})
      copies.push_back(std::async(
          std::launch::async, [=] { return Shared().Vend(box, tag, key); }));
    int answered = 0;
    for (auto& copy : copies) {
      const Reply reply = copy.get();
      answered += reply.status == 200 ? 1 : 0;
      CHECK(reply.status == 200 || reply.status == 409);
      CHECK(reply.status == 200 || VerdictOf(reply) == "may-have-run");
    }
    LONGS_EQUAL(1, answered);
    LONGS_EQUAL(1, Shared().Runs(tag));
    // Sent again later: told that it was taken.
    LONGS_EQUAL(409, Shared().Vend("h-2", tag, key).status);
  }
}

TEST(NetworkFaults, AKeyIsFreeAgainAfterARequestThatWasNotRun) {
  Cluster& cluster = Shared().cluster();
  const std::string key = NewKey(424'242);
  cluster.Control("target-fault", {{"name", "service"}, {"fault", "refuse"}});
  const Reply refused = Shared().Vend("h-1", "freed", key);
  STRCMP_EQUAL("not-run", VerdictOf(refused).c_str());
  cluster.Control("target-fault", {{"name", "service"}, {"fault", "none"}});
  CHECK(WaitFor(kWaitTimeout, [&] {
    return Shared().Vend("h-2", "freed", key).status == 200;
  }));
  LONGS_EQUAL(1, Shared().Runs("freed"));
}

TEST(NetworkFaults, BadKeysAreRefusedAsNotRun) {
  for (const char* key : {"my-key", "019adc05-2400-4abc-8def-0123456789ab",
                          "00000000-0000-7abc-8def-0123456789ab"}) {
    const Reply reply = Shared().Vend("h-1", "bad-key", key);
    LONGS_EQUAL(400, reply.status);
    STRCMP_EQUAL("not-run", VerdictOf(reply).c_str());
  }
  LONGS_EQUAL(0, Shared().Runs("bad-key"));
}

TEST(NetworkFaults, WithoutTheLogKeyedRequestsAreNotRunAndOthersGoOn) {
  Cluster& cluster = Shared().cluster();
  cluster.Control("fault", {{"log_down", true}});
  const std::string key = NewKey(77);
  const Reply reply = Shared().Vend("h-1", "no-log", key);
  LONGS_EQUAL(503, reply.status);
  STRCMP_EQUAL("not-run", VerdictOf(reply).c_str());
  LONGS_EQUAL(0, Shared().Runs("no-log"));
  LONGS_EQUAL(200, Shared().Vend("h-1", "no-log-plain", "", false).status);
  LONGS_EQUAL(200, Shared().Ask("h-2", "no-log-engine", 3).status);
  cluster.Control("fault", Json::object());
  CHECK(WaitFor(kWaitTimeout, [&] {
    return Shared().Vend("h-1", "no-log", key).status == 200;
  }));
  LONGS_EQUAL(1, Shared().Runs("no-log"));
}

TEST(NetworkFaults, ClaimsWhoseAppendLostItsAnswerRunAtMostOnce) {
  Cluster& cluster = Shared().cluster();
  cluster.Control("fault", {{"log_loses_answers", true}});
  std::vector<std::string> keys;
  std::vector<std::future<Reply>> replies;
  for (int i = 0; i < 3; ++i) {
    keys.push_back(NewKey(9'000 + static_cast<uint64_t>(i)));
    replies.push_back(std::async(std::launch::async, [i, key = keys.back()] {
      return Shared().Vend("h-1", "lost-append-" + std::to_string(i), key);
    }));
  }
  std::vector<Reply> first;
  for (auto& reply : replies)
    first.push_back(reply.get());
  cluster.Control("fault", Json::object());
  for (int i = 0; i < 3; ++i) {
    const std::string tag = "lost-append-" + std::to_string(i);
    const size_t at = static_cast<size_t>(i);
    CHECK(first[at].status == 200 || VerdictOf(first[at]) == "not-run");
    if (first[at].status != 200) {
      LONGS_EQUAL(0, Shared().Runs(tag));
      CHECK(WaitFor(kWaitTimeout, [&] {
        return Shared().Vend("h-2", tag, keys[at]).status == 200;
      }));
    }
    LONGS_EQUAL(1, Shared().Runs(tag));
  }
}

// Answers that box `name` has begun to relay so far.
auto Begun(Cluster& cluster, const std::string& name) -> double {
  return cluster.Metric(name, "sparbend_first_byte_seconds_count");
}

TEST(NetworkFaults, ABrokenStreamIsTakenUpAgainWhole) {
  Cluster& cluster = Shared().cluster();
  const std::string name = "h-1";
  const double resumes = cluster.Metric(name, "sparbend_resumes_total");
  const double begun = Begun(cluster, name);
  std::future<Reply> asked = std::async(
      std::launch::async, [] { return Shared().Ask("h-1", "resumed", 100); });
  CHECK(WaitFor(kWaitTimeout, [&] { return Begun(cluster, name) > begun; }));
  cluster.Control("target-fault", {{"name", "engine"}, {"fault", "drop"}});
  const Reply reply = asked.get();
  LONGS_EQUAL(200, reply.status);
  const std::string body = WeatherFleet::EngineBody("resumed", 100).dump();
  STRCMP_EQUAL(ExpectedStream(body, 2, 100).c_str(), reply.body.c_str());
  LONGS_EQUAL(1, Shared().Runs("resumed"));
  CHECK(cluster.Metric(name, "sparbend_resumes_total") > resumes);
}

TEST(NetworkFaults, ABrokenStreamThatCannotBeResumedNeverLooksWhole) {
  Cluster& cluster = Shared().cluster();
  const double begun = Begun(cluster, "h-1");
  std::future<Reply> asked = std::async(
      std::launch::async, [] { return Shared().Ask("h-1", "killed", 200); });
  CHECK(WaitFor(kWaitTimeout, [&] { return Begun(cluster, "h-1") > begun; }));
  cluster.Control("target-fault", {{"name", "engine"}, {"fault", "kill"}});
  const Reply reply = asked.get();
  LONGS_EQUAL(0, reply.status);  // the connection broke
  cluster.Control("target-fault", {{"name", "engine"}, {"fault", "revive"}});
  CHECK(WaitFor(kWaitTimeout, [&] {
    return Shared().Ask("h-1", "revived", 2).status == 200;
  }));
}

// A box paused past its leases wakes and sends nothing that must not be sent.
TEST(NetworkFaults, APausedBoxSendsNothingLateAndNothingTwice) {
  Cluster& cluster = Shared().cluster();
  const std::string key = NewKey(31'337);
  Process& process = *cluster.box("h-1").process;
  process.Signal(SIGSTOP);
  std::future<Reply> stuck = std::async(
      std::launch::async, [=] { return Shared().Vend("h-1", "paused", key); });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  // The caller's copy goes through another box meanwhile.
  CHECK(WaitFor(kWaitTimeout, [&] {
    const int status = Shared().Vend("h-2", "paused", key).status;
    return status == 200 || status == 409;
  }));
  std::this_thread::sleep_for(std::chrono::milliseconds(3'500));
  process.Signal(SIGCONT);
  const Reply late = stuck.get();
  LONGS_EQUAL(409, late.status);
  LONGS_EQUAL(1, Shared().Runs("paused"));
  CHECK(WaitSettled(&cluster, kWaitTimeout));
}

TEST(NetworkFaults, TheWinnerOfAKeyIsKilledAndTheKeyStaysTaken) {
  Cluster& cluster = Shared().cluster();
  const std::string key = NewKey(99'991);
  Shared().proxy().Set({Millis(0), -1, -1, true});  // the answer never comes
  std::future<Reply> winner = std::async(
      std::launch::async, [=] { return Shared().Vend("h-3", "orphan", key); });
  CHECK(WaitFor(kWaitTimeout, [&] { return Shared().Runs("orphan") == 1; }));
  cluster.box("h-3").process->Signal(SIGKILL);
  winner.wait();
  Shared().proxy().Set({});
  Reply copy;
  CHECK(WaitFor(kWaitTimeout, [&] {
    copy = Shared().Vend("h-1", "orphan", key);
    return copy.status == 409;
  }));
  STRCMP_EQUAL("may-have-run", VerdictOf(copy).c_str());
  LONGS_EQUAL(1, Shared().Runs("orphan"));
  cluster.StartBox("h-3", "h");
  CHECK(cluster.WaitReady(kWaitTimeout));
  CHECK(WaitSettled(&cluster, kWaitTimeout));
}

// Leaving, known by one way only: the list, the target's own answers, a peer.
TEST(NetworkFaults, ALeavingTargetGetsNoNewWork) {
  WeatherFleet fleet("leaving");
  CHECK(fleet.ready());
  Cluster& cluster = fleet.cluster();
  cluster.AddTarget({{"name", "second"},
                     {"hall", "h"},
                     {"pool", "sparbend-pool"},
                     {"token_us", 1'000}});
  CHECK(WaitFor(kWaitTimeout, [&] {
    std::vector<std::future<Reply>> asked;
    for (int i = 0; i < 8; ++i)
      asked.push_back(std::async(std::launch::async, [&fleet] {
        return fleet.Ask("h-1", "spread", 20);
      }));
    for (auto& reply : asked)
      reply.wait();
    return fleet.RunsAt("second") > 0;
  }));
  // By its own answers at one box, and so by that box at the others; the
  // list never says so.
  cluster.Control("target-fault", {{"name", "second"}, {"fault", "leaving"}});
  const auto settled = [&] {
    const size_t before = fleet.RunsAt("second");
    std::vector<std::future<Reply>> asked;
    for (const char* box : {"h-1", "h-2", "h-3"}) {
      for (int i = 0; i < 8; ++i)
        asked.push_back(std::async(std::launch::async, [&fleet, box] {
          return fleet.Ask(box, "after", 20);
        }));
    }
    for (auto& reply : asked)
      reply.wait();
    return fleet.RunsAt("second") == before;
  };
  CHECK(WaitFor(kWaitTimeout, settled));
  CHECK(settled());
  // By the list alone.
  cluster.Control("state", {{"name", "engine"}, {"state", "leaving"}});
  for (const char* box : {"h-1", "h-2", "h-3"})
    CHECK(WaitFor(kWaitTimeout, [&] {
      return fleet.Ask(box, "none-left", 1).status == 503;
    }));
  const size_t before = fleet.RunsAt("engine");
  for (const char* box : {"h-1", "h-2", "h-3"})
    LONGS_EQUAL(503, fleet.Ask(box, "none-left", 1).status);
  LONGS_EQUAL(before, fleet.RunsAt("engine"));
}

// A planned stop under load: streams end whole, nothing is lost, exit 0.
TEST(NetworkFaults, ADrainedBoxCutsNothingOff) {
  WeatherFleet fleet("drain");
  CHECK(fleet.ready());
  Cluster& cluster = fleet.cluster();
  std::vector<std::future<Reply>> streams;
  for (int i = 0; i < 6; ++i)
    streams.push_back(std::async(std::launch::async, [&fleet, i] {
      return fleet.Ask("h-1", "drained-" + std::to_string(i), 300);
    }));
  CHECK(WaitFor(kWaitTimeout, [&] { return fleet.Runs("drained-5") > 0; }));
  cluster.Rpc("h-1", "drain");
  CHECK(WaitFor(kWaitTimeout, [&] {
    return Call(cluster.box("h-1").admin, "GET", "/readyz", "").status == 503;
  }));
  for (int i = 0; i < 6; ++i) {
    const Reply reply = streams[static_cast<size_t>(i)].get();
    const std::string body =
        WeatherFleet::EngineBody("drained-" + std::to_string(i), 300).dump();
    LONGS_EQUAL(200, reply.status);
    STRCMP_EQUAL(ExpectedStream(body, 2, 300).c_str(), reply.body.c_str());
  }
  const std::optional<int> code =
      cluster.box("h-1").process->Wait(kWaitTimeout);
  CHECK(code.has_value());
  LONGS_EQUAL(0, *code);
}

}  // namespace
}  // namespace sparbend::testing
