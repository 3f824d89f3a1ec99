// Targets that had answered 503 with Retry-After went on getting requests.
#include <CppUTest/TestHarness.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr Millis kPatience(20'000);
constexpr char kDeclarations[] = R"({"version": 3,
  "routes": [
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "idempotent", "max-attempts": 2, "timeout-ms": 8000,
     "target-latency-ms": 500, "service": "plain"},
    {"name": "stream", "host": "127.0.0.1", "path-prefix": "/stream/",
     "kind": "streaming", "max-attempts": 2, "timeout-ms": 8000,
     "target-latency-ms": 500, "service": "engines"}],
  "services": [{"name": "plain", "max-conns": 100},
               {"name": "engines", "max-conns": 100,
                "engine": {"kv-capacity": 1000000, "stride": 1}}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";
// Requests of one box that a target may get within the time that it asked for.
constexpr int kMostWithin = 2;
// What was on its way when the target answered may still reach it.
constexpr Millis kOnTheWay(500);

auto Now() -> Millis {
  return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now().time_since_epoch())
                    .count());
}

// Targets of which the first few turn all requests away, and what they saw.
class ScriptedTargets {
 public:
  ScriptedTargets(PlatformWorld* world,
                  const std::string& pool,
                  int targets,
                  int refusing,
                  std::string retry_after)
      : retry_after_(std::move(retry_after)) {
    for (int i = 0; i < targets; ++i) {
      const bool refuses = i < refusing;
      world->AddTarget("target-" + std::to_string(i), pool,
                       [this, refuses](const SeenRequest& request) {
                         return refuses ? Refuse(request) : Answer(request);
                       });
    }
  }

  // The most requests that a target got from kOnTheWay after one of its
  // refusals until `asked` after it.
  auto MostWithin(Millis asked) -> int {
    const std::lock_guard lock(mutex_);
    int most = 0;
    for (const auto& [target, times] : refused_) {
      for (const Millis from : times) {
        const auto within = std::ranges::count_if(times, [&](Millis at) {
          return at > from + kOnTheWay && at < from + asked;
        });
        most = std::max(most, static_cast<int>(within));
      }
    }
    return most;
  }

  auto refusals() -> int {
    const std::lock_guard lock(mutex_);
    int refusals = 0;
    for (const auto& [target, times] : refused_)
      refusals += static_cast<int>(times.size());
    return refusals;
  }

 private:
  auto Refuse(const SeenRequest& request) -> TargetScript {
    {
      const std::lock_guard lock(mutex_);
      refused_[request.target].push_back(Now());
    }
    TargetScript script;
    script.pieces = {"HTTP/1.1 503 Service Unavailable\r\n" +
                     std::string(platform::kCallerIdField) + ": " + request.id +
                     "\r\n" + platform::kNotRunField + ": 1\r\nRetry-After: " +
                     retry_after_ + "\r\nContent-Length: 0\r\n\r\n"};
    return script;
  }

  static auto Answer(const SeenRequest& request) -> TargetScript {
    TargetScript script;
    if (request.path.starts_with("/stream/"))
      script.pieces = {StreamHead(request), StreamEvent(1), StreamEnd()};
    else
      script.pieces = {GoodAnswer(request, "good")};
    return script;
  }

  std::string retry_after_;
  std::mutex mutex_;
  std::map<std::string, std::vector<Millis>> refused_;  // by target
};

// Callers of one box, each asking again shortly after it was answered.
class Callers {
 public:
  Callers(const std::string& box, std::string path)
      : box_(box), path_(std::move(path)) {
    for (int i = 0; i < kCallers; ++i)
      threads_.emplace_back([this, i] { Ask(i); });
  }
  ~Callers() { Finish(); }

  void Finish() {
    ending_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable())
        thread.join();
    }
  }

  // Call after Finish.
  auto replies() const -> const std::vector<Reply>& { return replies_; }

 private:
  static constexpr int kCallers = 6;
  static constexpr auto kPause = std::chrono::milliseconds(20);

  void Ask(int caller) {
    for (int time = 0; !ending_; ++time) {
      const std::string id =
          std::to_string(caller) + "-" + std::to_string(time);
      std::map<std::string, std::string> fields = {
          {"Authorization", "Token the-key"},
          {platform::kCallerIdField, id},
          {platform::kDeadlineField, "6000"}};
      if (path_.starts_with("/stream/"))
        fields[platform::kTokensField] = "100,10";
      Reply reply = Call(box_, "POST", path_, "body", fields);
      {
        const std::lock_guard lock(mutex_);
        replies_.push_back(std::move(reply));
      }
      std::this_thread::sleep_for(kPause);
    }
  }

  std::string box_;
  std::string path_;
  std::atomic<bool> ending_ = false;
  std::mutex mutex_;
  std::vector<Reply> replies_;
  std::vector<std::thread> threads_;
};

TEST_GROUP(TargetRetryAfter){};

TEST(TargetRetryAfter, KeepsRequestsAwayForTheTimeAskedFor) {
  struct Case {
    const char* what;
    const char* path;
    const char* pool;
    int targets;
    int refusing;
    const char* retry_after;
    Millis asked;
  };
  const Case cases[] = {
      {"one of three services", "/again/x", "plain", 3, 1, "2", Millis(2'000)},
      {"one of three engines", "/stream/x", "engines", 3, 1, "2",
       Millis(2'000)},
      {"fractions of a second", "/again/x", "plain", 3, 1, "1.750",
       Millis(1'750)},
      {"all services", "/again/x", "plain", 2, 2, "2", Millis(2'000)},
      {"all engines", "/stream/x", "engines", 2, 2, "2", Millis(2'000)},
  };
  for (const Case& row : cases) {
    PlatformWorld world("target-retry-after");
    world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
              kDeclarations);
    ScriptedTargets targets(&world, row.pool, row.targets, row.refusing,
                            row.retry_after);
    world.StartBox("box-1");
    CHECK_TEXT(world.WaitReady("box-1"), row.what);
    Callers callers(world.box("box-1").callers, row.path);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(row.asked.count() + row.asked.count() / 2));
    callers.Finish();
    CHECK_TEXT(targets.refusals() > 0, row.what);
    CHECK_COMPARE_TEXT(targets.MostWithin(row.asked), <=, kMostWithin,
                       row.what);
    const bool some_free = row.refusing < row.targets;
    for (const Reply& reply : callers.replies()) {
      CHECK_EQUAL_TEXT(some_free ? 200 : 503, reply.status, row.what);
      CHECK_TEXT(some_free || reply.fields.contains("retry-after"), row.what);
    }
  }
}

}  // namespace
}  // namespace sparbend::testing
