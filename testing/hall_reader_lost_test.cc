#include <chrono>
#include <thread>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "sparbend/core/members.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

constexpr Millis kActiveWithin(2'000);
constexpr int kFirstChange = 2;
constexpr int kLastChange = 7;
// Boxes of another hall: listed, and not heard.
constexpr int kUnheardBoxes = 30;
// While none of so many boxes is known to reach the store, each calls it within
// this time.
constexpr Millis kLostWithin(20'000);
constexpr Millis kRegainedWithin(7'000);
// Boxes hear each other once they have read each other's records.
constexpr std::chrono::seconds kAcquainted(4);

auto Declarations(int version) -> std::string {
  return R"({"version": )" + std::to_string(version) + R"(,
    "routes": [
      {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
       "kind": "idempotent", "max-attempts": 2, "timeout-ms": 1500,
       "target-latency-ms": 200, "service": "plain"}],
    "services": [{"name": "plain", "max-conns": 100}],
    "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";
}

// Three boxes of a hall that can reach the store and each other, but no other
// hall.
class CutOffHall {
 public:
  explicit CutOffHall(const std::string& test) : world_(test) {
    Put(1);
    world_.AddTarget("plain-1", "plain",
                     [](const SeenRequest&) { return TargetScript{}; });
    for (int box = 0; box < kUnheardBoxes; ++box) {
      world_.Put("keyed.status", "unheard-" + std::to_string(box),
                 R"({"hall": "elsewhere", "peers": "127.0.0.1:9",)"
                 R"( "rpc": "127.0.0.1:9"})");
    }
    for (const std::string& name : names_)
      world_.StartBox(name);
    for (const std::string& name : names_)
      CHECK(world_.WaitReady(name));
    std::this_thread::sleep_for(kAcquainted);
  }

  auto world() -> PlatformWorld& { return world_; }
  auto names() const -> const std::vector<std::string>& { return names_; }

  void Put(int version) {
    world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
               Declarations(version));
  }

  // The box of `alive` that reads the store for the hall.
  static auto Reader(const std::vector<std::string>& alive) -> std::string {
    MemberList list;
    list.version = 1;
    for (const std::string& name : alive)
      list.boxes.push_back({name, "h", "127.0.0.1:1", "127.0.0.1:1"});
    for (const std::string& name : alive) {
      Members members(name, 1);
      members.SetList(list, Millis(1));
      for (const std::string& other : alive)
        members.OnMemberUpdate({BoxIdOf(other), 1, 1, false}, Millis(1));
      if (members.HasRole(kStoreReaderRole, 1, Millis(1)))
        return name;
    }
    return "";
  }

  // Whether all boxes but `lost` use `version` within kActiveWithin from now.
  auto ActiveInTime(int version, const std::string& lost) -> bool {
    return WaitFor(kActiveWithin, [&] {
      return std::ranges::all_of(names_, [&](const std::string& name) {
        const std::vector<Json> taken =
            world_.Events(name, "configuration-taken");
        return name == lost ||
               (!taken.empty() && taken.back().value("version", 0) == version);
      });
    });
  }

 private:
  PlatformWorld world_;
  std::vector<std::string> names_ = {"box-1", "box-2", "box-3"};
};

TEST_GROUP(HallReaderLost){};

// Guards against a hall that learns of a change only once its dead reader has
// been replaced.
TEST(HallReaderLost, ChangeIsActiveInTimeAfterTheReaderWasKilled) {
  CutOffHall hall("hall-reader-killed");
  const std::string reader = CutOffHall::Reader(hall.names());
  for (int version = kFirstChange; version <= kLastChange; ++version) {
    hall.world().box(reader).process->Signal(SIGKILL);
    hall.Put(version);
    CHECK(hall.ActiveInTime(version, reader));
    hall.world().StartBox(reader);
    CHECK(hall.world().WaitReady(reader));
    std::this_thread::sleep_for(kAcquainted);
  }
}

// Guards against boxes that don't read the store in place of a dead reader,
// since one call failed long before.
TEST(HallReaderLost, ChangeIsActiveInTimeAfterAnOutageThatIsOver) {
  CutOffHall hall("hall-reader-killed-after-outage");
  const std::string reader = CutOffHall::Reader(hall.names());
  StoreFault outage;
  outage.refuses = true;
  outage.only_topic = platform::kDeclarationsTopic;
  hall.world().SetFault(outage);
  const auto all_logged = [&](const char* event) {
    return std::ranges::all_of(hall.names(), [&](const std::string& name) {
      return !hall.world().Events(name, event).empty();
    });
  };
  CHECK(WaitFor(kLostWithin, [&] { return all_logged("dependency-lost"); }));
  hall.world().SetFault({});
  CHECK(WaitFor(kRegainedWithin,
                [&] { return all_logged("dependency-regained"); }));
  hall.world().box(reader).process->Signal(SIGKILL);
  hall.Put(kFirstChange);
  CHECK(hall.ActiveInTime(kFirstChange, reader));
}

// Guards against a reader that keeps its role by reading the list of targets
// while its reads of the configuration get no answer.
TEST(HallReaderLost, ChangeIsActiveInTimeWhileTheReaderGetsNoConfiguration) {
  CutOffHall hall("hall-reader-without-configuration");
  const std::string reader = CutOffHall::Reader(hall.names());
  for (int version = kFirstChange; version <= kLastChange; ++version) {
    StoreFault fault;
    fault.silent = true;
    fault.only_agent = reader;
    fault.only_topic = platform::kDeclarationsTopic;
    hall.world().SetFault(fault);
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    hall.Put(version);
    CHECK(hall.ActiveInTime(version, reader));
    hall.world().SetFault({});
    std::this_thread::sleep_for(kAcquainted);
  }
}

}  // namespace
}  // namespace sparbend::testing
