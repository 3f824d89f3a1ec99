#include <chrono>
#include <thread>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr Millis kActiveWithin(2'000);
constexpr int kLastVersion = 8;
constexpr char kUndecodable[] =
    R"({"version": 9, "routes": [{"name": "no host or kind"}]})";

auto Declarations(int version) -> std::string {
  return R"({"version": )" + std::to_string(version) + R"(,
    "routes": [
      {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
       "kind": "idempotent", "max-attempts": 2, "timeout-ms": 1500,
       "target-latency-ms": 200, "service": "plain"}],
    "services": [{"name": "plain", "max-conns": 100}],
    "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";
}

TEST_GROUP(ConfigPage){};

// Guards against processor time spent on configurations that the same answer of
// the store replaces.
TEST(ConfigPage, OnlyTheNewestDecodableConfigurationIsUsed) {
  struct Case {
    const char* name;
    bool ends_undecodable;
  };
  for (const Case& one :
       {Case{"config-page", false}, Case{"config-page-undecodable", true}}) {
    PlatformWorld world(one.name);
    const auto put = [&](const std::string& document) {
      world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
                document);
    };
    put(Declarations(1));
    world.AddTarget("plain-1", "plain",
                    [](const SeenRequest&) { return TargetScript{}; });
    world.StartBox("box-1");
    CHECK(world.WaitReady("box-1"));
    StoreFault fault;
    fault.refuses = true;
    fault.only_topic = platform::kDeclarationsTopic;
    world.SetFault(fault);
    CHECK(WaitFor(kActiveWithin, [&] {
      return !world.Events("box-1", "dependency-lost").empty();
    }));
    for (int version = 2; version <= kLastVersion; ++version)
      put(Declarations(version));
    if (one.ends_undecodable)
      put(kUndecodable);
    world.SetFault({});
    CHECK(WaitFor(kActiveWithin, [&] {
      return world.Events("box-1", "configuration-taken")
                 .back()
                 .value("version", 0) == kLastVersion;
    }));
    LONGS_EQUAL_TEXT(2, world.Events("box-1", "configuration-taken").size(),
                     one.name);
    LONGS_EQUAL_TEXT(one.ends_undecodable ? 1 : 0,
                     world.Events("box-1", "configuration-unreadable").size(),
                     one.name);
  }
}

}  // namespace
}  // namespace sparbend::testing
