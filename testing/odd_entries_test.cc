// Records of another writer among those of targets and boxes. Guards against
// boxes that end, stop following the list, or lose or mistake a target over
// them.
#include <chrono>
#include <thread>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "sparbend/core/json.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

// Within which the store's reader, and all boxes, have read a target's record,
// and within which a target
// whose records were contradicted is used again.
constexpr Millis kRead = Millis(500);
constexpr Millis kListed = Millis(2'500);
constexpr Millis kUsedAgain = Millis(6'000);
constexpr Millis kHeartbeat = Millis(300);
constexpr int kNestedLevels = 20'000;

constexpr char kDeclarations[] = R"({"version": 3,
  "routes": [
    {"name": "sound", "host": "127.0.0.1", "path-prefix": "/sound/",
     "kind": "idempotent", "max-attempts": 2, "timeout-ms": 1500,
     "target-latency-ms": 200, "service": "sound"},
    {"name": "late", "host": "127.0.0.1", "path-prefix": "/late/",
     "kind": "idempotent", "max-attempts": 2, "timeout-ms": 1500,
     "target-latency-ms": 200, "service": "late"}],
  "services": [{"name": "sound", "max-conns": 100},
               {"name": "late", "max-conns": 100}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

auto Good(const SeenRequest& request) -> TargetScript {
  TargetScript script;
  script.pieces = {GoodAnswer(request, "good")};
  return script;
}

// A sound record with one field replaced.
auto RecordWith(const std::string& address,
                const std::string& field = "",
                const Json& value = nullptr) -> std::string {
  Json record = {{"service", "sound"}, {"address", address}, {"zone", "h"},
                 {"version", "v1"},    {"slots", 4},         {"state", "ready"},
                 {"cold-left-ms", 0},  {"born", 1'000},      {"seq", 1}};
  if (!field.empty())
    record[field] = value;
  return record.dump();
}

auto OddRecords(const std::string& sound_address) -> std::vector<std::string> {
  const std::string nested =
      std::string(kNestedLevels, '[') + "1" + std::string(kNestedLevels, ']');
  const std::string sound = RecordWith(sound_address);
  std::string huge = sound;
  huge.replace(huge.find("\"slots\":4"), 9, "\"slots\":1e999");
  std::string twice = sound;
  twice.insert(twice.size() - 1, R"(,"born":9223372036854775807)");
  std::string deep = sound;
  deep.insert(deep.size() - 1, R"(,"extra":)" + nested);
  return {
      nested,
      deep,
      huge,
      twice,
      "\xff\xfe",
      std::string(100, '\0'),
      std::string(60'000, 'x'),
      RecordWith("127.0.0.1:0"),
      RecordWith("127.0.0.1:65536"),
      RecordWith("127.0.0.1:99999999999"),
      RecordWith("0.0.0.0:80"),
      RecordWith("224.0.0.1:80"),
      RecordWith(sound_address, "slots", INT32_MAX),
      RecordWith(sound_address, "slots", UINT64_MAX),
      RecordWith(sound_address, "born", INT64_MAX),
      RecordWith(sound_address, "seq", INT64_MAX),
      RecordWith(sound_address, "cold-left-ms", 1e300),
      RecordWith(sound_address, "zone", std::string(30'000, 'z')),
      RecordWith(sound_address, "service", std::string(30'000, 's')),
      RecordWith(sound_address, "state", "draining"),
      RecordWith("127.0.0.1:1", "born", INT64_MAX),
  };
}

class OddWorld {
 public:
  OddWorld() : world_("odd-entries") {
    world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
               kDeclarations);
    address_ = world_.AddTarget("sound-1", "sound", Good);
    Beat();
    for (const char* box : {"box-1", "box-2"})
      world_.StartBox(box);
    for (const char* box : {"box-1", "box-2"})
      CHECK(world_.WaitReady(box));
  }

  auto world() -> PlatformWorld& { return world_; }
  auto address() const -> const std::string& { return address_; }
  void PutTarget(const std::string& key, const std::string& record) {
    world_.Put(platform::kTargetsTopic, key, record);
  }
  // The sound target writes its record.
  void Beat() {
    PutTarget("sound-1", RecordWith(address_, "seq", ++beat_));
    last_beat_ = std::chrono::steady_clock::now();
  }
  // Waits until `box` serves requests on the path, with heartbeats meanwhile.
  auto Serves(const std::string& box, const std::string& path, Millis span)
      -> bool {
    return WaitFor(span, [&] {
      if (std::chrono::steady_clock::now() - last_beat_ >=
          std::chrono::milliseconds(kHeartbeat.count()))
        Beat();
      return Call(world_.box(box).callers, "POST", path, "body",
                  {{"Authorization", "Token the-key"},
                   {platform::kAttemptIdField,
                    "odd-" + std::to_string(++calls_)},
                   {platform::kDeadlineField, "2000"}})
                 .status == 200;
    });
  }
  // A target that is listed now is used by all of `boxes`.
  void CheckFollowed(const std::vector<std::string>& boxes) {
    const std::string name = "late-" + std::to_string(++late_);
    world_.AddTarget(name, "late", Good);
    for (const std::string& box : boxes) {
      CHECK_FALSE(world_.box(box).process->Wait(Millis(0)).has_value());
      CHECK_TEXT(Serves(box, "/late/x", kListed), (box + " follows").c_str());
      CHECK_TEXT(Serves(box, "/sound/x", kUsedAgain), (box + " uses").c_str());
    }
    world_.Put(platform::kTargetsTopic, name, "");
    for (const std::string& box : boxes) {
      CHECK_TEXT(WaitFor(kListed, [&] { return !Serves(box, "/late/x", {}); }),
                 (box + " follows a removal").c_str());
    }
  }

 private:
  PlatformWorld world_;
  std::string address_;
  int beat_ = 0;
  int calls_ = 0;
  int late_ = 0;
  std::chrono::steady_clock::time_point last_beat_;
};

TEST_GROUP(OddEntries){};

TEST(OddEntries, BoxesFollowTheListAndUseTheSoundTargets) {
  OddWorld odd;
  const std::vector<std::string> records = OddRecords(odd.address());
  for (size_t i = 0; i < records.size(); ++i)
    odd.PutTarget("odd-" + std::to_string(i), records[i]);
  for (const std::string& key :
       {std::string("\xff\xc3"), std::string("a b&c=d#%"), std::string(),
        std::string(255, 'k'), std::string("\0\n", 2)}) {
    odd.PutTarget(key, RecordWith(odd.address()));
    odd.world().Put(
        platform::kBoxesTopic, key,
        R"({"hall":"h","peers":"127.0.0.1:1","rpc":"127.0.0.1:1"})");
  }
  odd.CheckFollowed({"box-1", "box-2"});
  odd.world().StartBox("box-3");
  CHECK(odd.world().WaitReady("box-3"));
  odd.CheckFollowed({"box-1", "box-2", "box-3"});
}

TEST(OddEntries, AnOddRecordOverASoundOnesKeyLastsForAFewHeartbeats) {
  OddWorld odd;
  const std::string& sound = odd.address();
  for (const std::string& record :
       {std::string("\xff"), RecordWith("127.0.0.1:0"),
        RecordWith("127.0.0.1:1", "born", INT64_MAX),
        RecordWith("127.0.0.1:1", "seq", INT64_MAX),
        RecordWith(sound, "slots", INT32_MAX)}) {
    odd.PutTarget("sound-1", record);
    std::this_thread::sleep_for(std::chrono::milliseconds(kRead.count()));
    for (const char* box : {"box-1", "box-2"})
      CHECK_TEXT(odd.Serves(box, "/sound/x", kUsedAgain), record.c_str());
  }
  odd.CheckFollowed({"box-1", "box-2"});
}

TEST(OddEntries, OddRecordsOfBoxesEndNone) {
  OddWorld odd;
  const std::string nested =
      std::string(kNestedLevels, '[') + "1" + std::string(kNestedLevels, ']');
  const std::string sound =
      R"({"hall":"h","peers":"127.0.0.1:1","rpc":"127.0.0.1:1",)";
  for (
      const std::string& record :
      {nested, std::string("\xff"), std::string("7"),
       sound + R"("processor":1e999})",
       sound + R"("quarantine":)" + nested + "}",
       sound + R"("quarantine":[7]})",
       sound + R"("quarantine":[{"since_s":9223372036854775807,"ends":9}]})",
       sound + R"("stream_origins":[{"pool":70000,"last_ms":-1},{}]})",
       sound +
           R"("stream_origins":[{"pool":1,"version":1,"last_ms":9223372036854775807}]})",
       std::string(R"({"hall":7,"peers":0,"rpc":[]})"),
       std::string(
           R"({"hall":"h","peers":"0.0.0.0:0","rpc":"224.0.0.1:0"})")}) {
    for (const char* key : {"box-1", "box-2", "other"})
      odd.world().Put(platform::kBoxesTopic, key, record);
  }
  odd.world().StartBox("box-3");
  CHECK(odd.world().WaitReady("box-3"));
  odd.CheckFollowed({"box-1", "box-2", "box-3"});
}

}  // namespace
}  // namespace sparbend::testing
