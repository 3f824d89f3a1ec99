#include <chrono>
#include <string>
#include <thread>

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
// For control a box may use 6 KB a second; a change is one of several messages.
constexpr size_t kMaxBytesForAChange = 2 * 1'024;
constexpr Millis kChangeWithin(3'000);
constexpr int kOtherBoxes = 60;
constexpr const char* kPeerKey = "a key of the tests' boxes";

constexpr char kDeclarations[] = R"({"version": 1,
    "routes": [
      {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
       "kind": "idempotent", "max-attempts": 2, "timeout-ms": 1500,
       "target-latency-ms": 200, "service": "plain"}],
    "services": [{"name": "plain", "max-conns": 100}],
    "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

// A box with a list of kTargets targets.
class ListedWorld {
 public:
  explicit ListedWorld(const std::string& test) : world_(test) {
    world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
               kDeclarations);
    for (int target = 0; target < kTargets; ++target)
      List(target, "ready");
    world_.StartBox("box-1");
    CHECK(world_.WaitReady("box-1"));
  }

  void List(int target, const std::string& state) {
    world_.ListTarget("target-" + std::to_string(target), "plain",
                      "127.0.0.1:9", state, ++records_);
  }

  auto world() -> PlatformWorld& { return world_; }
  auto process() -> Process& { return *world_.box("box-1").process; }

  // The answer to a box that asks for the list with `params`.
  auto Ask(const Json& params) -> std::string {
    const std::string request = EncodeRpcRequest("directory", params.dump());
    const Reply reply =
        Call(world_.box("box-1").admin, "POST", "/rpc", request,
             {{std::string(kPeerProofField), PeerProof(kPeerKey, request)}});
    LONGS_EQUAL(200, reply.status);
    return reply.body;
  }

 private:
  PlatformWorld world_;
  int records_ = 0;
};

TEST_GROUP(ListForPeers){};

// Guards against a box that can do nothing else while the boxes of its hall ask
// it for its list of targets.
TEST(ListForPeers, AHallOfALargeFleetGetsTheListInTime) {
  ListedWorld listed("list-for-peers");
  const double before = listed.process().cpu_seconds();
  for (int peer = 0; peer < kPeers; ++peer) {
    CHECK(listed.Ask(Json::object())
              .find("target-" + std::to_string(kTargets - 1)) !=
          std::string::npos);
  }
  const double spent = listed.process().cpu_seconds() - before;
  CHECK_TEXT(spent < kMaxCpuSeconds,
             ("processor seconds: " + std::to_string(spent)).c_str());
}

// Guards against a whole list for each box after each change of one target.
TEST(ListForPeers, ABoxWithAListGetsWhatChanged) {
  ListedWorld listed("list-changes");
  const Json list = Json::parse(listed.Ask(Json::object())).at("result");
  listed.List(7, "draining");
  std::string answer;
  CHECK(WaitFor(kChangeWithin, [&] {
    answer =
        listed.Ask({{"from_era", list.at("era")}, {"from", list.at("end")}});
    return answer.find("target-7\"") != std::string::npos &&
           Json::parse(answer).at("result").at("end") > list.at("end");
  }));
  CHECK_TEXT(answer.size() <= kMaxBytesForAChange,
             ("bytes: " + std::to_string(answer.size())).c_str());
}

// Guards against a box that knows the list and asks for the whole of it.
TEST(ListForPeers, ABoxOfTheHallAsksForWhatChanged) {
  ListedWorld listed("list-follower");
  PlatformWorld& world = listed.world();
  for (const char* name : {"box-2", "box-3"})
    world.StartBox(name);
  for (const char* name : {"box-2", "box-3"})
    CHECK(world.WaitReady(name));
  // Boxes know each other once they have read each other's records.
  std::this_thread::sleep_for(std::chrono::seconds(6));
  listed.List(7, "draining");
  std::this_thread::sleep_for(std::chrono::milliseconds(kChangeWithin.count()));
  int with_changes = 0;
  for (const char* name : {"box-1", "box-2", "box-3"}) {
    const std::vector<Json> lists = world.Events(name, "directory-from-peer");
    if (!lists.empty() && lists.back().value("entries", kTargets) == 1)
      ++with_changes;
  }
  LONGS_EQUAL(2, with_changes);  // all but the store reader of the hall
}

TEST_GROUP(StartFromSeeds){};

// Guards against a fleet whose boxes all read the whole list from the store
// when they start at once.
TEST(StartFromSeeds, ABoxThatStartsGetsTheListOfASeed) {
  ListedWorld listed("start-from-seeds");
  PlatformWorld& world = listed.world();
  world.SetSeeds({world.box("box-1").admin});
  // Boxes of a large fleet poll the store rarely.
  for (int box = 0; box < kOtherBoxes; ++box) {
    world.Put("keyed.status", "other-" + std::to_string(box),
              R"({"hall": "elsewhere", "peers": "127.0.0.1:9",)"
              R"( "rpc": "127.0.0.1:9"})");
  }
  int readers = 0;
  for (const char* name : {"box-2", "box-3", "box-4"}) {
    world.StartBox(name);
    CHECK(world.WaitReady(name));
    const std::vector<Json> lists = world.Events(name, "directory-from-peer");
    CHECK_TEXT(!lists.empty() && lists.front().at("entries") == kTargets, name);
    STRCMP_EQUAL_TEXT(
        "seed", lists.front().at("from").get<std::string>().c_str(), name);
    readers += world.store_calls(name, platform::kTargetsTopic) > 0 ? 1 : 0;
  }
  CHECK(readers <= 1);  // for the hall
}

// Seeds may be down.
TEST(ListForPeers, ABoxWithoutASeedReadsTheStore) {
  ListedWorld listed("start-without-seeds");
  listed.world().SetSeeds({"127.0.0.1:9"});
  listed.world().StartBox("box-2");
  CHECK(listed.world().WaitReady("box-2"));
}

}  // namespace
}  // namespace sparbend::testing
