// Keys are taken away; the store is away for a moment and comes back from a
// copy that lacks these changes; the operator writes the configuration again
// and takes one more key away. No box may run a request with that key later
// than config-ms after that (here: config-ms and outer-ms).
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "case.hpp"

namespace review {
namespace {

constexpr int kServers = 3;
constexpr int kBoxesOfAHall = 3;
constexpr int64_t kWorkMs = 15;
constexpr int64_t kPauseMs = 150;
constexpr int64_t kTimeBudgetMs = 1'500;
constexpr int64_t kRevokeGapMs = 1'500;
constexpr int64_t kAwayMs = 300;
constexpr int64_t kCopyAgeMs = 6'000;
constexpr int64_t kBackMs = 1'000;  // from its return to the last change
// config-ms, and all of outer-ms, since the change comes soon after an outage.
constexpr int64_t kBoundMs = 2'000 + 5'000;
constexpr int64_t kWatchMs = 20'000;

// The tenant's keys; all but the first are taken away one after the other.
const std::vector<std::string> kKeys = {"key-that-stays", "key-taken-first",
                                        "key-taken-second", "key-taken-last"};

std::atomic<int64_t> taken_at{-1};  // when the store acknowledged the last
std::atomic<int> late{0};
std::atomic<int> refused{0};
std::atomic<int> stayed{0};
std::mutex mutex;
std::map<std::string, int64_t> last_by_box;

auto Config(int version, const std::vector<std::string>& keys) -> std::string {
  std::string list;
  for (const std::string& key : keys)
    list += (list.empty() ? "\"" : ",\"") + key + "\"";
  return "{\"version\":" + std::to_string(version) +
         R"(,"routes":[{"name":"r-sync","host":"ficu95.example",)"
         R"("path-prefix":"/sync/","kind":"non_idempotent","timeout-ms":1500,)"
         R"("target-latency-ms":150,"priority":2,"service":"machine-api",)"
         R"("max-attempts":1,"public":false,"sticky":false,)"
         R"("resumable":false}],"services":[{"name":"machine-api",)"
         R"("health-path":"/health","max-conns":110,"protocol":"h1",)"
         R"("tls":false}],"limits":{"max-header-bytes":16384,)"
         R"("max-body-bytes":4194304,"header-timeout-ms":3000,)"
         R"("idle-timeout-ms":15000,"tokens-per-s":290000},)"
         R"("tenants":[{"name":"hule930","api-keys":[)" +
         list + R"(],"priority":1}]})";
}

auto Run(Record* record, Engine::Call* call) -> bool {
  Channel& channel = *call->channel;
  if (!channel.ReadBody(call->request.fields, NowMs() + 5'000,
                        [](const std::string&) {}))
    return false;
  record->Line("run at " + call->engine->id() + " id " + call->Id());
  SleepMs(kWorkMs);
  const std::string body = "done " + call->Id();
  return channel.Write(
      AnswerHead(*call,
                 "Content-Length: " + std::to_string(body.size()) + "\r\n") +
      body);
}

// Asks one box with one key, again and again.
void RunRequester(const Box& box,
                  const std::string& key,
                  const std::atomic<bool>& stop,
                  Record* record) {
  Client client(box.port());
  for (int i = 0; !stop; ++i) {
    const std::string id = box.name() + "-" + key + "-" + std::to_string(i);
    const int64_t sent = NowMs();
    const Answer answer = client.Ask(
        "POST /sync/1 HTTP/1.1\r\nHost: ficu95.example\r\n"
        "X-Sparbend-Attempt-Id: " +
            id +
            "\r\nX-Sparbend-Deadline-Ms: " + std::to_string(kTimeBudgetMs) +
            "\r\nAuthorization: Token " + key + "\r\n",
        std::string(600, 'x'), NowMs() + kTimeBudgetMs + 500);
    const bool ran = answer.status == 200 && answer.complete;
    if (key == kKeys.front())
      stayed += ran ? 1 : 0;
    const int64_t after = taken_at < 0 ? -1 : sent - taken_at;
    if (key == kKeys.back() && after > kBoundMs) {
      if (ran) {
        ++late;
        record->Line("LATE: " + id + ", sent " + std::to_string(after) +
                     " ms after its key had been taken away, was run");
        const std::lock_guard lock(mutex);
        last_by_box[box.name()] = after;
      }
      refused += answer.status == 401 ? 1 : 0;
    }
    SleepMs(kPauseMs);
  }
}

void Main(const std::string& folder, const std::string& record_path) {
  static Record record(record_path);
  static Store store(&record);
  int version = 7;
  std::vector<std::string> keys = kKeys;
  const auto publish = [&](const std::string& why) {
    const int64_t at = store.Put("keyed.op", "config", Config(version, keys));
    record.Line("operator: " + why + ", version " + std::to_string(version) +
                " acknowledged, the topic ends at " +
                std::to_string(store.EndOf("keyed.op")));
    return at;
  };
  const auto take_away = [&](size_t number) {
    std::erase(keys, kKeys[number]);
    version += 3;
    return publish("takes " + kKeys[number] + " away");
  };
  publish("first configuration");
  static std::vector<std::unique_ptr<Engine>> engines;
  const auto run = [](Engine::Call* call) { return Run(&record, call); };
  for (int i = 0; i < kServers; ++i) {
    Engine::Options options;
    options.id = "i-api" + std::to_string(i);
    options.service = "machine-api";
    options.slots = 24;
    engines.push_back(std::make_unique<Engine>(options, &store, &record, run));
    engines.back()->Start();
  }
  std::vector<std::unique_ptr<Box>> boxes;
  for (const char* hall : {"hall-a", "hall-b", "hall-c"}) {
    for (int i = 0; i < kBoxesOfAHall; ++i) {
      boxes.push_back(std::make_unique<Box>(
          BoxOptions{.name = std::string("front-") + hall + "-" +
                             std::to_string(i + 1),
                     .zone = hall,
                     .store_port = store.port()},
          folder, &record));
      boxes.back()->Start();
    }
  }
  const auto end = [&](int code, const std::string& verdict) {
    for (const auto& box : boxes)
      box->Kill();
    Finish(&record, code, verdict);
  };
  for (const auto& box : boxes) {
    if (!box->WaitReady(20'000))
      end(kNotRun, "a box did not get ready");
  }
  SleepMs(8'000);  // the boxes hear of each other
  std::atomic<bool> stop{false};
  std::vector<std::thread> requesters;
  for (const auto& box : boxes) {
    for (const std::string& key : {kKeys.front(), kKeys.back()})
      requesters.emplace_back(
          [&, key] { RunRequester(*box, key, stop, &record); });
  }
  SleepMs(4'000);
  take_away(1);
  SleepMs(kRevokeGapMs);
  take_away(2);
  SleepMs(3'000);
  if (Trouble()) {
    store.GoAway();
    SleepMs(kAwayMs);
    store.ReturnFromCopy(kCopyAgeMs);
    // "What the operator and the engines wrote is written again."
    publish("writes the configuration again");
    for (const auto& engine : engines)
      engine->WriteEntry();
  }
  SleepMs(kBackMs);
  taken_at = take_away(3);
  SleepMs(kWatchMs);
  stop = true;
  for (std::thread& requester : requesters)
    requester.join();
  std::string boxes_late;
  for (const auto& [box, after] : last_by_box)
    boxes_late += " " + box + " until " + std::to_string(after) + " ms;";
  const std::string counts = std::to_string(stayed) +
                             " run with the key that stays; sent later than "
                             "the bound after the other was taken away: " +
                             std::to_string(refused) + " refused, " +
                             std::to_string(late) + " run;" + boxes_late;
  if (stayed < 100)
    end(kNotRun, "few requests were served: " + counts);
  end(late > 0 ? kBroken : kHeld,
      (late > 0 ? "CONFIG broken: " : "CONFIG held: ") + counts);
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  if (argc != 3)
    return review::kNotRun;
  review::Main(argv[1], argv[2]);
}
