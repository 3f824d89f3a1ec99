// A request reached a target that had left while the connection to it was made.
#include <CppUTest/TestHarness.h>

#include <atomic>
#include <future>
#include <thread>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr Millis kWaitTimeout(20'000);
constexpr char kDeclarations[] = R"({"version": 3,
  "routes": [
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "idempotent", "max-attempts": 2, "timeout-ms": 20000,
     "target-latency-ms": 15000, "service": "plain"},
    {"name": "once", "host": "127.0.0.1", "path-prefix": "/once/",
     "kind": "non_idempotent", "max-attempts": 2, "timeout-ms": 20000,
     "target-latency-ms": 15000, "service": "plain"}],
  "services": [{"name": "plain", "max-conns": 100}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

// A target that takes no connection until it is told to, as one whose queue of
// new connections is full; then it takes all, and closes each once it has read.
class BusyTarget {
 public:
  BusyTarget() : acceptor_(io_) {
    const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(any.protocol());
    acceptor_.bind(any);
    acceptor_.listen(0);
    for (int i = 0; i < kQueue; ++i) {
      fillers_.emplace_back(io_, any.protocol());
      fillers_.back().async_connect(acceptor_.local_endpoint(),
                                    [](boost::system::error_code) {});
    }
  }
  ~BusyTarget() {
    io_.stop();
    if (thread_.joinable())
      thread_.join();
  }

  auto address() const -> std::string {
    return FormatAddress(acceptor_.local_endpoint());
  }
  auto requests() const -> int { return requests_; }

  void TakeConnections() {
    asio::co_spawn(io_, Accept(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }

 private:
  // One more than a listening socket without room queues.
  static constexpr int kQueue = 2;

  auto Accept() -> asio::awaitable<void> {
    while (true) {
      auto [error, socket] = co_await acceptor_.async_accept(kAwait);
      if (error)
        co_return;
      asio::co_spawn(io_, Read(std::move(socket)), asio::detached);
    }
  }

  auto Read(tcp::socket socket) -> asio::awaitable<void> {
    std::array<char, 1'024> bytes;
    const auto [error, size] =
        co_await socket.async_read_some(asio::buffer(bytes), kAwait);
    if (size > 0)
      ++requests_;
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> fillers_;
  std::thread thread_;
  std::atomic<int> requests_ = 0;
};

TEST_GROUP(LeavingTarget){};

TEST(LeavingTarget, GetsNoRequestWhoseConnectionWasMadeWhileItLeft) {
  struct Case {
    const char* what;
    const char* path;
    bool drains;  // else its record goes
  };
  const Case cases[] = {
      {"drains", "/again/x", true},
      {"drains, may run once", "/once/x", true},
      {"its record goes", "/again/x", false},
  };
  for (const Case& row : cases) {
    PlatformWorld world("leaving-target");
    BusyTarget busy;
    world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
              kDeclarations);
    world.ListTarget("busy", "plain", busy.address());
    world.StartBox("box-1", "", Millis(15'000));
    CHECK(world.WaitReady("box-1"));
    auto reply = std::async(std::launch::async, [&] {
      return Call(world.box("box-1").callers, "POST", row.path, "body",
                  {{"Authorization", "Token the-key"},
                   {platform::kAttemptIdField, "try-1"},
                   {platform::kDeadlineField, "18000"}});
    });
    CHECK_TEXT(
        WaitFor(kWaitTimeout,
                [&] { return !world.Events("box-1", "request-sent").empty(); }),
        row.what);
    world.AddTarget("good", "plain", [](const SeenRequest& request) {
      TargetScript script;
      script.pieces = {GoodAnswer(request, "good")};
      return script;
    });
    if (row.drains)
      world.ListTarget("busy", "plain", busy.address(), "draining");
    else
      world.Put(platform::kTargetsTopic, "busy", "");
    CHECK_TEXT(WaitFor(kWaitTimeout,
                       [&] {
                         const auto lists = world.Events("box-1", "directory");
                         return lists.back().at("withdrawn") ==
                                Json::array({"busy"});
                       }),
               row.what);
    busy.TakeConnections();
    CHECK_EQUAL_TEXT(200, reply.get().status, row.what);
    CHECK_EQUAL_TEXT(0, busy.requests(), row.what);
  }
}

}  // namespace
}  // namespace sparbend::testing
