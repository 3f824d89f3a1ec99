// A target that had said in an answer that it leaves got further requests.
#include <CppUTest/TestHarness.h>

#include <atomic>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr Millis kWaitTimeout(20'000);
constexpr int kRequests = 40;
constexpr char kDeclarations[] = R"({"version": 3,
  "routes": [
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "idempotent", "max-attempts": 2, "timeout-ms": 8000,
     "target-latency-ms": 500, "service": "plain"}],
  "services": [{"name": "plain", "max-conns": 100}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

// A target that serves and says that it leaves, beside one that stays.
class LeavingWorld {
 public:
  explicit LeavingWorld(const std::string& name) : world_(name) {
    world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
               kDeclarations);
    address_ = world_.AddTarget(
        "leaving", "plain",
        [this](const SeenRequest& request) { return AnswerLeaving(request); });
    world_.AddTarget("staying", "plain", [](const SeenRequest& request) {
      TargetScript script;
      script.pieces = {GoodAnswer(request, "good")};
      return script;
    });
    world_.StartBox("box-1");
    CHECK(world_.WaitReady("box-1"));
  }

  auto world() -> PlatformWorld& { return world_; }
  auto address() const -> const std::string& { return address_; }
  // Requests that the leaving target got.
  auto requests() const -> int { return requests_; }

  // Asks until the leaving target has answered once.
  auto ReachLeaving() -> bool {
    return WaitFor(kWaitTimeout, [this] {
      Ask();
      return requests_ > 0;
    });
  }

  // All asked for are served.
  void AskMany() {
    for (int i = 0; i < kRequests; ++i)
      CHECK_EQUAL(200, Ask());
  }

  auto WaitForTargets(size_t count) -> bool {
    return WaitFor(kWaitTimeout, [&] {
      const auto lists = world_.Events("box-1", "directory");
      return !lists.empty() && lists.back().at("targets") == count;
    });
  }

 private:
  auto Ask() -> int {
    return Call(world_.box("box-1").callers, "POST", "/again/x", "body",
                {{"Authorization", "Token the-key"},
                 {platform::kAttemptIdField, std::to_string(++asked_)},
                 {platform::kDeadlineField, "6000"}})
        .status;
  }

  auto AnswerLeaving(const SeenRequest& request) -> TargetScript {
    ++requests_;
    std::string answer = GoodAnswer(request, "good");
    answer.insert(answer.find("\r\n") + 2,
                  std::string(platform::kLeavingField) + ": 1\r\n");
    TargetScript script;
    script.pieces = {answer};
    return script;
  }

  std::atomic<int> requests_ = 0;
  int asked_ = 0;
  std::string address_;
  PlatformWorld world_;
};

TEST_GROUP(ServerLeaving){};

TEST(ServerLeaving, EndsNewRequestsThoughTheStoreListsTheTargetAsReady) {
  LeavingWorld leaving("server-leaving");
  CHECK(leaving.ReachLeaving());
  leaving.AskMany();
  CHECK_EQUAL(1, leaving.requests());
}

TEST(ServerLeaving, IsRememberedWhenTheRecordLapsesAndReturns) {
  LeavingWorld leaving("server-leaving-lapse");
  CHECK(leaving.ReachLeaving());
  leaving.world().Put(platform::kTargetsTopic, "leaving", "");
  CHECK(leaving.WaitForTargets(1));
  leaving.world().ListTarget("leaving", "plain", leaving.address(), "ready", 2);
  CHECK(leaving.WaitForTargets(2));
  leaving.AskMany();
  CHECK_EQUAL(1, leaving.requests());
}

}  // namespace
}  // namespace sparbend::testing
