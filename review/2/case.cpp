// A box whose requests wait for room at the engines gets SIGTERM. Each request
// that it has read must be answered, if only by a refusal.
#include <signal.h>

#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "case.hpp"

namespace review {
namespace {

constexpr char kConfig[] =
    R"({"version":7,"routes":[{"name":"r-chat","host":"ficu95.example",)"
    R"("path-prefix":"/chat/","kind":"streaming","timeout-ms":15000,)"
    R"("target-latency-ms":600,"priority":1,"service":"lm-pool",)"
    R"("max-attempts":1,"public":false,"sticky":true,"resumable":false,)"
    R"("gap-target-ms":400}],"services":[{"name":"lm-pool",)"
    R"("health-path":"/health","max-conns":370,"protocol":"h1","tls":false,)"
    R"("engine":{"slots":12,"kv-capacity":570274,"kv-token-bytes":163840,)"
    R"("link-mbps":550000.0,"moves":true,"backups":true,"stride":3,"most":12,)"
    R"("pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,)"
    R"("models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,)"
    R"("max-body-bytes":4194304,"header-timeout-ms":3000,)"
    R"("idle-timeout-ms":15000,"tokens-per-s":290000},)"
    R"("tenants":[{"name":"hule930","api-keys":["asnmgkcuyj8pjbvk9m68"],)"
    R"("priority":1}]})";
constexpr int kEngines = 3;
constexpr int kSlots = 12;
constexpr int kEvents = 57;
constexpr int64_t kEventMs = 110;
constexpr int64_t kTimeBudgetMs = 15'000;
constexpr int64_t kBetweenMs = 60;
constexpr int64_t kStopMs = 6'000;  // from the first request to SIGTERM
// For so long the platform still passes new channels to a box that is not
// ready: it asks once a second, and two misses take it out.
constexpr int64_t kStillSentMs = 1'900;
constexpr int64_t kLossSlackMs = 200;
constexpr int64_t kGraceMs = 8'000;

std::atomic<int> answered{0};
std::atomic<int> refused{0};
std::atomic<int> broken_off{0};  // at an engine
std::atomic<int> never{0};
std::atomic<int64_t> stopped_at{-1};
std::mutex mutex;
std::set<std::string> at_engines;

auto RunStream(Record* record, Engine::Call* call) -> bool {
  Channel& channel = *call->channel;
  if (!channel.ReadBody(call->request.fields, NowMs() + 5'000,
                        [](const std::string&) {}))
    return false;
  record->Line("run at " + call->engine->id() + " id " + call->Id());
  {
    const std::lock_guard lock(mutex);
    at_engines.insert(call->Id());
  }
  if (!channel.Write(AnswerHead(*call,
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n")))
    return false;
  for (int event = 1; event <= kEvents; ++event) {
    SleepMs(kEventMs);
    const std::string id = std::to_string(event);
    if (channel.PeerGone() ||
        !channel.Write(Chunk("id: " + id + "\ndata: " + id + "\n\n")))
      return false;
  }
  return channel.Write("0\r\n\r\n");
}

void RunRequester(int number, const Box& box, Record* record) {
  Client client(box.port());
  const std::string id = "chat" + std::to_string(number);
  const int64_t sent = NowMs();
  const Answer answer = client.Ask(
      "POST /chat/" + std::to_string(number) +
          " HTTP/1.1\r\nHost: ficu95.example\r\nX-Sparbend-Attempt-Id: " + id +
          "\r\nX-Sparbend-Model: m\r\nX-Sparbend-Token-Counts: 1460,171\r\n"
          "X-Sparbend-Prompt-Prefix: 5c1e" +
          std::to_string(number) + ":350,e4402b" + std::to_string(number) +
          ":1110\r\nX-Sparbend-Deadline-Ms: " + std::to_string(kTimeBudgetMs) +
          "\r\nAuthorization: Token " + kKey + "\r\n",
      std::string(1'500, 'x'), sent + kTimeBudgetMs + 500);
  const int64_t took = NowMs() - sent;
  bool ran = false;
  {
    const std::lock_guard lock(mutex);
    ran = at_engines.contains(id);
  }
  // Not answered, not passed on, and longer than loss-slack-ms with the box.
  const bool lost = answer.connected && answer.status == 0 && !ran &&
                    took > kLossSlackMs && took < kTimeBudgetMs;
  answered += answer.status == 200 && answer.complete ? 1 : 0;
  refused += answer.status >= 400 ? 1 : 0;
  broken_off += ran && !answer.complete ? 1 : 0;
  never += lost ? 1 : 0;
  const int64_t before = stopped_at < 0 ? 0 : sent - stopped_at;
  record->Line("answer " + id + " status " + std::to_string(answer.status) +
               " after " + std::to_string(took) + " ms, sent " +
               std::to_string(before) + " ms from the SIGTERM" +
               (lost  ? ": NEVER ANSWERED, never at an engine"
                : ran ? ", run"
                      : ", not run"));
}

void Main(const std::string& folder, const std::string& record_path) {
  static Record record(record_path);
  static Store store(&record);
  store.Put("keyed.op", "config", kConfig);
  static std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < kEngines; ++i) {
    Engine::Options options;
    options.id = "i-engine" + std::to_string(i);
    options.service = "lm-pool";
    options.slots = kSlots;
    options.model = true;
    engines.push_back(std::make_unique<Engine>(
        options, &store, &record,
        [](Engine::Call* call) { return RunStream(&record, call); }));
    engines.back()->Start();
  }
  Box box(BoxOptions{.name = "front-hall-a-1", .store_port = store.port()},
          folder, &record);
  box.Start();
  const auto end = [&](int code, const std::string& verdict) {
    box.Kill();
    Finish(&record, code, verdict);
  };
  if (!box.WaitReady(20'000))
    end(kNotRun, "the box did not get ready");
  SleepMs(5'000);
  const int64_t begin = NowMs();
  const int count = static_cast<int>((kStopMs + kStillSentMs) / kBetweenMs);
  std::vector<std::thread> requesters;
  for (int i = 0; i < count; ++i)
    requesters.emplace_back([&, i] {
      SleepUntilMs(begin + i * kBetweenMs);
      RunRequester(i, box, &record);
    });
  SleepUntilMs(begin + kStopMs);
  if (Trouble()) {
    record.Line("the box gets SIGTERM");
    stopped_at = NowMs();
    box.Signal(SIGTERM);
    const int64_t until = stopped_at + kGraceMs;
    while (NowMs() < until && !box.HasEnded())
      SleepMs(10);
    if (NowMs() >= until)
      record.Line("grace-s is over: the box gets SIGKILL");
    box.Kill();
  }
  for (std::thread& requester : requesters)
    requester.join();
  const std::string counts =
      std::to_string(count) + " requests: " + std::to_string(answered) +
      " answered, " + std::to_string(refused) + " refused, " +
      std::to_string(broken_off) + " broken off at an engine, " +
      std::to_string(never) + " read, never passed on and never answered";
  if (answered < 5)
    end(kNotRun, "few requests were served: " + counts);
  end(never > 0 ? kBroken : kHeld,
      (never > 0 ? "LOST broken: " : "LOST held: ") + counts);
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  if (argc != 3)
    return review::kNotRun;
  review::Main(argv[1], argv[2]);
}
