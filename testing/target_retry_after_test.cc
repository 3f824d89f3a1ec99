// Targets that had answered 503 with Retry-After went on getting requests.
#include <CppUTest/TestHarness.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

#include "platform/wire.h"
#include "sparbend/kernel/kernel.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr Millis kWaitTimeout(20'000);
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
                     std::string(platform::kAttemptIdField) + ": " +
                     request.id + "\r\n" + platform::kNotRunField +
                     ": 1\r\nRetry-After: " + retry_after_ +
                     "\r\nContent-Length: 0\r\n\r\n"};
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
          {platform::kAttemptIdField, id},
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

// A target that answers the first request of a connection, and the second only
// when told to, with 503 and Retry-After. From the second on it takes no other
// connection until told to.
class SlowToRefuse {
 public:
  SlowToRefuse() : acceptor_(io_) {
    const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(any.protocol());
    acceptor_.bind(any);
    acceptor_.listen(0);
    asio::co_spawn(io_, ServeFirst(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }
  ~SlowToRefuse() {
    io_.stop();
    thread_.join();
  }

  auto address() const -> std::string {
    return FormatAddress(acceptor_.local_endpoint());
  }
  auto requests() const -> int { return requests_; }
  void Refuse() { refuse_ = true; }
  void TakeConnections() {
    asio::post(io_, [this] { asio::co_spawn(io_, Accept(), asio::detached); });
  }

 private:
  // One more than a listening socket without room queues.
  static constexpr int kQueue = 2;

  // Reads a request's head; its id.
  auto ReadId(tcp::socket* socket) -> asio::awaitable<std::string> {
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    const auto [error, size] =
        co_await http::async_read(*socket, buffer, request, kAwait);
    if (!error)
      ++requests_;
    co_return std::string(request[platform::kAttemptIdField]);
  }

  auto ServeFirst() -> asio::awaitable<void> {
    auto [error, socket] = co_await acceptor_.async_accept(kAwait);
    SeenRequest first;
    first.id = co_await ReadId(&socket);
    const std::string answer = GoodAnswer(first, "good");
    co_await asio::async_write(socket, asio::buffer(answer), kAwait);
    const std::string id = co_await ReadId(&socket);
    for (int i = 0; i < kQueue; ++i) {
      fillers_.emplace_back(io_, tcp::v4());
      fillers_.back().async_connect(acceptor_.local_endpoint(),
                                    [](boost::system::error_code) {});
    }
    while (!refuse_)
      co_await Sleep(Millis(5));
    const std::string refusal =
        "HTTP/1.1 503 Busy\r\n" + std::string(platform::kAttemptIdField) +
        ": " + id + "\r\n" + platform::kNotRunField +
        ": 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(refusal), kAwait);
  }

  auto Accept() -> asio::awaitable<void> {
    while (true) {
      auto [error, socket] = co_await acceptor_.async_accept(kAwait);
      if (error)
        co_return;
      asio::co_spawn(io_, Read(std::move(socket)), asio::detached);
    }
  }

  auto Read(tcp::socket socket) -> asio::awaitable<void> {
    co_await ReadId(&socket);
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> fillers_;
  std::atomic<int> requests_ = 0;
  std::atomic<bool> refuse_ = false;
  std::thread thread_;
};

TEST_GROUP(TargetRetryAfter){};

TEST(TargetRetryAfter, HoldsForARequestWhoseConnectionWasBeingMade) {
  PlatformWorld world("target-retry-after-connecting");
  SlowToRefuse slow;
  world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
            kDeclarations);
  world.ListTarget("slow", "plain", slow.address());
  world.StartBox("box-1", "", Millis(15'000));
  CHECK(world.WaitReady("box-1"));
  const auto ask = [&](const char* id) {
    return Call(world.box("box-1").callers, "POST", "/again/x", "body",
                {{"Authorization", "Token the-key"},
                 {platform::kAttemptIdField, id},
                 {platform::kDeadlineField, "8000"}});
  };
  CHECK_EQUAL(200, ask("first").status);
  auto refused = std::async(std::launch::async, [&] { return ask("refused"); });
  CHECK(WaitFor(kWaitTimeout, [&] { return slow.requests() == 2; }));
  auto connecting =
      std::async(std::launch::async, [&] { return ask("connecting"); });
  CHECK(WaitFor(kWaitTimeout, [&] {
    return world.Events("box-1", "request-sent").size() == 3;
  }));
  slow.Refuse();
  CHECK_EQUAL(503, refused.get().status);
  world.AddTarget("good", "plain", [](const SeenRequest& request) {
    TargetScript script;
    script.pieces = {GoodAnswer(request, "good")};
    return script;
  });
  CHECK(WaitFor(kWaitTimeout, [&] {
    return world.Events("box-1", "directory").back().at("targets") == 2;
  }));
  slow.TakeConnections();
  CHECK_EQUAL(200, connecting.get().status);
  CHECK_EQUAL(2, slow.requests());
}

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
