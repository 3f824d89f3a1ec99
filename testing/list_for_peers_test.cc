#include <string>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "sparbend/kernel/rpc.h"
#include "sparbend/services/peers.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

// The other boxes of a hall in a fleet of 300.
constexpr int kPeers = 99;
constexpr int kTargets = 3'000;
// A leaving target must get no new work after two seconds, and a box may have a
// quarter of a core.
constexpr double kMaxCpuSeconds = 2 * 0.25;
constexpr const char* kPeerKey = "a key of the tests' boxes";

constexpr char kDeclarations[] = R"({"version": 1,
    "routes": [
      {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
       "kind": "idempotent", "max-attempts": 2, "timeout-ms": 1500,
       "target-latency-ms": 200, "service": "plain"}],
    "services": [{"name": "plain", "max-conns": 100}],
    "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

TEST_GROUP(ListForPeers){};

// Guards against a box that can do nothing else while the boxes of its hall ask
// it for its list of targets.
TEST(ListForPeers, AHallOfALargeFleetGetsTheListInTime) {
  PlatformWorld world("list-for-peers");
  world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
            kDeclarations);
  for (int target = 0; target < kTargets; ++target)
    world.ListTarget("target-" + std::to_string(target), "plain",
                     "127.0.0.1:9");
  const PlatformWorld::Box& box = world.StartBox("box-1");
  CHECK(world.WaitReady("box-1"));
  const std::string request = EncodeRpcRequest("directory", "{}");
  const std::string proof = PeerProof(kPeerKey, request);
  const double before = box.process->cpu_seconds();
  for (int peer = 0; peer < kPeers; ++peer) {
    const Reply reply = Call(box.admin, "POST", "/rpc", request,
                             {{std::string(kPeerProofField), proof}});
    LONGS_EQUAL(200, reply.status);
    CHECK(reply.body.find("target-" + std::to_string(kTargets - 1)) !=
          std::string::npos);
  }
  const double spent = box.process->cpu_seconds() - before;
  CHECK_TEXT(spent < kMaxCpuSeconds,
             ("processor seconds: " + std::to_string(spent)).c_str());
}

}  // namespace
}  // namespace sparbend::testing
