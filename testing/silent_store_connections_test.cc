#include <cstdlib>
#include <thread>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr Millis kActiveWithin(2'000);

auto Declarations(int version) -> std::string {
  return R"({"version": )" + std::to_string(version) + R"(,
    "routes": [
      {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
       "kind": "idempotent", "max-attempts": 2, "timeout-ms": 1500,
       "target-latency-ms": 200, "service": "plain"}],
    "services": [{"name": "plain", "max-conns": 100}],
    "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";
}

TEST_GROUP(SilentStoreConnections){};

// Guards against a reader of the store that waits for new records on a
// connection that has gone silent for longer than a change may take.
TEST(SilentStoreConnections, AChangeIsActiveInTimeAfterAllHaveGoneSilent) {
  PlatformWorld world("silent-store-connections");
  world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
            Declarations(1));
  world.AddTarget("plain-1", "plain",
                  [](const SeenRequest&) { return TargetScript{}; });
  TcpProxy& proxy = world.StoreProxy();
  world.StartBox("box-1");
  CHECK(world.WaitReady("box-1"));
  const auto active_version = [&] {
    const std::vector<Json> taken =
        world.Events("box-1", "configuration-taken");
    return taken.empty() ? 0 : taken.back().value("version", 0);
  };
  // At different moments of the call that waits for records.
  for (int version = 2; version <= 7; ++version) {
    std::this_thread::sleep_for(std::chrono::milliseconds(130 * version));
    proxy.SilenceOpen();
    world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
              Declarations(version));
    CHECK(WaitFor(kActiveWithin, [&] { return active_version() == version; }));
  }
}

}  // namespace
}  // namespace sparbend::testing
