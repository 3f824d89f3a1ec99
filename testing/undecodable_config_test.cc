#include <cstdlib>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr Millis kActiveWithin(2'000);
constexpr char kUndecodable[] =
    R"({"version": 5, "routes": [{"name": "no host or kind"}]})";

auto Declarations(int version) -> std::string {
  return R"({"version": )" + std::to_string(version) + R"(,
    "routes": [
      {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
       "kind": "idempotent", "max-attempts": 2, "timeout-ms": 1500,
       "target-latency-ms": 200, "service": "plain"}],
    "services": [{"name": "plain", "max-conns": 100}],
    "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";
}

// The offset up to which the box says that it knows the records.
auto Offset(const PlatformWorld::Box& box) -> int {
  const std::string text =
      Call(box.admin, "GET", "/metrics", "",
           {{"Authorization", "Bearer " + std::string(kAdminToken)}})
          .body;
  const std::string name = "\nsparbend_config_offset ";
  const size_t line = text.find(name);
  return line == std::string::npos
             ? -1
             : std::atoi(text.c_str() + line + name.size());
}

TEST_GROUP(UndecodableConfig){};

// Guards against a box that reports the offset of a configuration which it
// could not decode: peers took its older configuration for the newest.
TEST(UndecodableConfig, OffsetRisesOnlyOnceANewerConfigurationIsInUse) {
  PlatformWorld world("undecodable-config");
  const auto put = [&](const std::string& key, const std::string& value) {
    world.Put(platform::kDeclarationsTopic, key, value);
  };
  put(platform::kDeclarationKey, Declarations(3));
  world.AddTarget("plain-1", "plain",
                  [](const SeenRequest&) { return TargetScript{}; });
  const PlatformWorld::Box& box = world.StartBox("box-1");
  CHECK(world.WaitReady("box-1"));
  LONGS_EQUAL(1, Offset(box));
  put(platform::kDeclarationKey, kUndecodable);
  CHECK(WaitFor(kActiveWithin, [&] {
    return !world.Events("box-1", "configuration-unreadable").empty();
  }));
  LONGS_EQUAL(1, Offset(box));
  // Records after it are still used.
  put(std::string(platform::kEvacuationKeyPrefix) + "elsewhere", "{}");
  CHECK(WaitFor(kActiveWithin, [&] {
    return !world.Events("box-1", "evacuated-halls").empty();
  }));
  LONGS_EQUAL(1, Offset(box));
  put(platform::kDeclarationKey, Declarations(6));
  CHECK(WaitFor(kActiveWithin, [&] { return Offset(box) == 4; }));
}

}  // namespace
}  // namespace sparbend::testing
