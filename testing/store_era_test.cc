// The store comes back from a copy that is some seconds old: offsets are given
// out again, and a reader that goes on from its own misses what now stands
// below it. An operator emptied a hall at an offset that the box had read
// already; the box goes on sending work there, and nothing tells it: its reads
// from behind that offset are good and empty. What the store says of it, a
// number in each answer that rises with each such return, is read by nobody.
#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

// Within which a box goes by what operators wrote.
constexpr Millis kInForce(5'000);
constexpr char kDeclarations[] = R"({"version": 3,
  "routes": [
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "idempotent", "max-attempts": 2, "timeout-ms": 1500,
     "target-latency-ms": 200, "service": "plain"}],
  "services": [{"name": "plain", "max-conns": 100}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

TEST_GROUP(StoreEra){};

TEST(StoreEra, WhatStandsBelowAReadersOffsetSinceAReturnIsReadAnew) {
  PlatformWorld world("store-era");
  world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
            kDeclarations);
  world.AddTarget("plain-1", "plain", [](const SeenRequest& request) {
    TargetScript script;
    script.pieces = {GoodAnswer(request, "good")};
    return script;
  });
  world.StartBox("box-1");
  CHECK(world.WaitReady("box-1"));
  int asked = 0;
  const auto status = [&] {
    return Call(world.box("box-1").callers, "POST", "/again/x", "body",
                {{"Authorization", "Token the-key"},
                 {platform::kAttemptIdField, "try-" + std::to_string(++asked)},
                 {platform::kDeadlineField, "2000"}})
        .status;
  };
  LONGS_EQUAL(200, status());
  const std::string prefix = platform::kEvacuationKeyPrefix;
  world.Put(platform::kDeclarationsTopic, prefix + "elsewhere", "{}");
  CHECK(WaitFor(kInForce, [&] {
    return !world.Events("box-1", "evacuated-halls").empty();
  }));
  world.ReturnFromOlderCopy(platform::kDeclarationsTopic, 1,
                            {{prefix + "h", "{}"}});
  CHECK(WaitFor(kInForce, [&] { return status() == 503; }));
}

}  // namespace
}  // namespace sparbend::testing
