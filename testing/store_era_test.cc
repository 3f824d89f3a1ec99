// A store that comes back from an older copy gives out offsets again, so a
// reader that goes on from its own offset misses what now stands below it.
#include <algorithm>
#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

// Within which a box goes by what operators wrote.
constexpr Millis kInForce(5'000);
// Within which all boxes have read a record of a target.
constexpr Millis kListed(2'500);
const std::string kHallKey = std::string(platform::kEvacuationKeyPrefix) + "h";
const std::string kOtherHallKey =
    std::string(platform::kEvacuationKeyPrefix) + "elsewhere";

// A configuration in which the workspace has these keys, in JSON.
auto Declarations(int version, const std::string& keys) -> std::string {
  return R"({"version": )" + std::to_string(version) + R"(,
  "routes": [
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "idempotent", "max-attempts": 2, "timeout-ms": 1500,
     "target-latency-ms": 200, "service": "plain"}],
  "services": [{"name": "plain", "max-conns": 100}],
  "tenants": [{"name": "w", "api-keys": [)" +
         keys + R"(]}]})";
}

class ReturningStore {
 public:
  // `wait_ready`: the boxes are ready when this returns.
  ReturningStore(const std::string& test, int boxes, bool wait_ready = true)
      : world_(test) {
    Configure(3, R"("the-key", "old-key")");
    target_address_ =
        world_.AddTarget("plain-1", "plain", [](const SeenRequest& request) {
          TargetScript script;
          script.pieces = {GoodAnswer(request, "good")};
          return script;
        });
    for (int box = 1; box <= boxes; ++box)
      world_.StartBox("box-" + std::to_string(box));
    for (int box = 1; wait_ready && box <= boxes; ++box)
      CHECK(world_.WaitReady("box-" + std::to_string(box)));
  }

  auto world() -> PlatformWorld& { return world_; }
  void Put(const std::string& key, const std::string& value) {
    world_.Put(platform::kDeclarationsTopic, key, value);
  }
  void Configure(int version, const std::string& keys) {
    Put(platform::kDeclarationKey, Declarations(version, keys));
  }
  void Return(size_t lost,
              const std::vector<std::pair<std::string, std::string>>& again) {
    world_.ReturnFromOlderCopy(platform::kDeclarationsTopic, lost, again);
  }
  auto target_address() const -> const std::string& { return target_address_; }
  auto calls() const -> int { return calls_; }
  // The status that the box answers to a request with `key`.
  auto Status(const std::string& box, const std::string& key) -> int {
    return static_cast<int>(
        Call(world_.box(box).callers, "POST", "/again/x", "body",
             {{"Authorization", "Token " + key},
              {platform::kAttemptIdField, "try-" + std::to_string(++calls_)},
              {platform::kDeadlineField, "2000"}})
            .status);
  }
  auto Becomes(const std::string& box, const std::string& key, int status)
      -> bool {
    return WaitFor(kInForce, [&] { return Status(box, key) == status; });
  }
  auto Stays(const std::string& box,
             const std::string& key,
             int status,
             Millis span) -> bool {
    return !WaitFor(span, [&] { return Status(box, key) != status; });
  }

 private:
  PlatformWorld world_;
  std::string target_address_;
  int calls_ = 0;
};

TEST_GROUP(StoreEra){};

TEST(StoreEra, WhatStandsBelowAReadersOffsetSinceAReturnIsReadAnew) {
  ReturningStore store("store-era", 1);
  LONGS_EQUAL(200, store.Status("box-1", "the-key"));
  store.Put(kOtherHallKey, "{}");
  CHECK(WaitFor(kInForce, [&] {
    return !store.world().Events("box-1", "evacuated-halls").empty();
  }));
  store.Return(1, {{kHallKey, "{}"}});
  CHECK(store.Becomes("box-1", "the-key", 503));
}

// Guards against a box that accepts a key that was taken away, or refuses one
// that was added, after the store's return.
TEST(StoreEra, AChangeAfterTheReturnIsInForceAtAllBoxesWhereverTheLogEnds) {
  constexpr int kBoxes = 3;
  constexpr size_t kLost = 4;
  for (const size_t written_again : {1U, 2U, 4U, 5U}) {
    ReturningStore store("store-era-change", kBoxes);
    for (size_t record = 0; record < kLost; ++record)
      store.Put(kOtherHallKey, "{}");
    CHECK(WaitFor(kInForce, [&] {
      return !store.world().Events("box-3", "evacuated-halls").empty();
    }));
    std::vector<std::pair<std::string, std::string>> again(
        written_again - 1, {kOtherHallKey, "{}"});
    again.insert(again.begin(), {platform::kDeclarationKey,
                                 Declarations(4, R"("the-key", "new-key")")});
    store.Return(kLost, again);
    for (int box = 1; box <= kBoxes; ++box) {
      const std::string name = "box-" + std::to_string(box);
      CHECK_TEXT(store.Becomes(name, "old-key", 401), name.c_str());
      CHECK_TEXT(store.Becomes(name, "new-key", 200), name.c_str());
      LONGS_EQUAL(200, store.Status(name, "the-key"));
    }
  }
}

struct SeveralReturns {
  const char* name;
  bool ready;  // the boxes are ready before the first return
  int returns;
  Millis between;        // two returns
  bool suspended;        // box-3, from before the first return
  Millis resumed;        // box-3, after the change
  size_t written_again;  // records, after each return
};

const SeveralReturns kSeveralReturns[] = {
    {"store-era-twice", true, 2, Millis(800), false, Millis(0), 1},
    {"store-era-in-a-row", true, 4, Millis(50), false, Millis(0), 4},
    {"store-era-suspended", true, 1, Millis(0), true, Millis(3'000), 1},
    {"store-era-suspended-same-end", true, 1, Millis(0), true, Millis(3'000),
     3},
    {"store-era-suspended-twice", true, 2, Millis(1'500), true, Millis(4'000),
     3},
    {"store-era-suspended-briefly", true, 2, Millis(800), true, Millis(100), 4},
    {"store-era-starting", false, 2, Millis(200), false, Millis(0), 2},
};

// Guards against a box that was suspended over one or more returns, or saw them
// in a row, and goes by offsets of an earlier era.
TEST(StoreEra, AChangeAfterSeveralReturnsIsInForceAtAllBoxes) {
  constexpr int kBoxes = 3;
  constexpr size_t kLost = 4;
  for (const SeveralReturns& row : kSeveralReturns) {
    ReturningStore store(row.name, kBoxes, row.ready);
    for (size_t record = 0; record < kLost; ++record)
      store.Put(kOtherHallKey, "{}");
    if (row.ready)
      CHECK(WaitFor(kInForce, [&] {
        return !store.world().Events("box-3", "evacuated-halls").empty();
      }));
    Process& third = *store.world().box("box-3").process;
    if (row.suspended)
      third.Signal(SIGSTOP);
    size_t lost = kLost;
    for (int count = 0; count < row.returns; ++count) {
      if (count > 0)
        std::this_thread::sleep_for(
            std::chrono::milliseconds(row.between.count()));
      store.Return(lost, std::vector<std::pair<std::string, std::string>>(
                             row.written_again, {kOtherHallKey, "{}"}));
      lost = row.written_again;
    }
    store.Configure(4, R"("the-key", "new-key")");
    std::this_thread::sleep_for(std::chrono::milliseconds(row.resumed.count()));
    if (row.suspended)
      third.Signal(SIGCONT);
    for (int box = 1; box <= kBoxes; ++box) {
      const std::string name = "box-" + std::to_string(box);
      const std::string text = std::string(row.name) + " " + name;
      CHECK_TEXT(store.Becomes(name, "old-key", 401), text.c_str());
      CHECK_TEXT(store.Becomes(name, "new-key", 200), text.c_str());
    }
  }
}

// Guards against a box that starts while the store lacks the newest version,
// and goes by the one before it.
TEST(StoreEra, ABoxThatStartsAfterTheReturnGetsTheNewestVersionFromItsPeers) {
  for (const bool log_is_shorter : {true, false}) {
    ReturningStore store("store-era-start", 2);
    store.Configure(4, R"("the-key")");
    CHECK(store.Becomes("box-1", "old-key", 401));
    CHECK(store.Becomes("box-2", "old-key", 401));
    if (log_is_shorter)
      store.Return(1, {});
    else
      store.Return(1, {{kOtherHallKey, "{}"}});
    store.world().StartBox("box-3");
    CHECK(store.world().WaitReady("box-3"));
    CHECK(store.Becomes("box-3", "old-key", 401));
    LONGS_EQUAL(401, store.Status("box-1", "old-key"));
  }
}

// Guards against new work in a hall because the copy lacks the order to
// evacuate it.
TEST(StoreEra, AHallStaysEvacuatedUntilTheOrderIsWrittenAgain) {
  ReturningStore store("store-era-hall", 1);
  store.Put(kHallKey, "{}");
  CHECK(store.Becomes("box-1", "the-key", 503));
  store.Return(1, {});
  CHECK(store.Stays("box-1", "the-key", 503, Millis(1'500)));
  store.Put(kHallKey, "{}");
  CHECK(store.Stays("box-1", "the-key", 503, Millis(3'000)));
  store.Put(kHallKey, "");
  CHECK(store.Becomes("box-1", "the-key", 200));
}

// The same at a box that learns of the return from a peer before it reads the
// store.
TEST(StoreEra, AHallStaysEvacuatedAtABoxThatPeersInformFirst) {
  ReturningStore store("store-era-hall-peer", 2);
  store.Put(kHallKey, "{}");
  CHECK(store.Becomes("box-1", "the-key", 503));
  CHECK(store.Becomes("box-2", "the-key", 503));
  StoreFault fault;
  fault.refuses = true;
  fault.only_agent = "box-2";
  store.world().SetFault(fault);
  std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
  store.Return(1, {});
  CHECK(WaitFor(kInForce, [&] {
    return !store.world().Events("box-2", "operators-log-returned").empty();
  }));
  store.world().SetFault(StoreFault());
  CHECK(store.Stays("box-2", "the-key", 503, Millis(1'000)));
  store.Put(kHallKey, "{}");
  CHECK(store.Stays("box-1", "the-key", 503, Millis(3'500)));
  LONGS_EQUAL(503, store.Status("box-2", "the-key"));
}

// Guards against requests to a target whose removal stands at a lower offset
// than its record did before the return.
TEST(StoreEra, ATargetThatIsRemovedAfterTheReturnGetsNoMoreRequests) {
  constexpr size_t kLost = 4;
  for (const size_t written_again : {0U, 1U, 2U}) {
    ReturningStore store("store-era-removal", 2);
    PlatformWorld& world = store.world();
    for (size_t record = 1; record < kLost; ++record)
      world.Put(platform::kTargetsTopic, "other", "{}");
    world.ListTarget("plain-1", "plain", store.target_address(), "ready",
                     /*sign_of_life=*/2);
    std::this_thread::sleep_for(std::chrono::milliseconds(kListed.count()));
    std::vector<std::pair<std::string, std::string>> again(written_again,
                                                           {"other", "{}"});
    again.emplace_back("plain-1", "");
    world.ReturnFromOlderCopy(platform::kTargetsTopic, kLost, again);
    CHECK(store.Becomes("box-1", "the-key", 503));
    CHECK(store.Becomes("box-2", "the-key", 503));
  }
}

// Guards against refused requests because the copy lacks the record of a target
// that lives.
TEST(StoreEra, ATargetThatTheCopyLacksIsUsedUntilItHasWrittenItsRecordAgain) {
  ReturningStore store("store-era-target", 1);
  PlatformWorld& world = store.world();
  const std::string address =
      world.AddTarget("plain-2", "plain", [](const SeenRequest& request) {
        TargetScript script;
        script.pieces = {GoodAnswer(request, "good")};
        return script;
      });
  world.Put(platform::kTargetsTopic, "plain-1", "");
  CHECK(WaitFor(kInForce, [&] {
    return store.Status("box-1", "the-key") == 200 &&
           !world.SeenOf("try-" + std::to_string(store.calls())).empty() &&
           world.SeenOf("try-" + std::to_string(store.calls()))[0].target ==
               "plain-2";
  }));
  world.ReturnFromOlderCopy(platform::kTargetsTopic, 2, {{"plain-1", ""}});
  CHECK(store.Stays("box-1", "the-key", 200, Millis(1'500)));
  world.ListTarget("plain-2", "plain", address, "ready", /*sign_of_life=*/2);
  CHECK(store.Stays("box-1", "the-key", 200, Millis(4'000)));
}

// Guards against boxes that start after the return and do not know of this one.
TEST(StoreEra, ABoxWritesItsOwnRecordAgainIfTheCopyLacksIt) {
  ReturningStore store("store-era-own-record", 2);
  PlatformWorld& world = store.world();
  for (const char* box : {"box-1", "box-2"}) {
    CHECK(WaitFor(kInForce,
                  [&] { return world.HasRecord(platform::kBoxesTopic, box); }));
  }
  world.ReturnFromOlderCopy(platform::kBoxesTopic, SIZE_MAX, {});
  for (const char* box : {"box-1", "box-2"}) {
    CHECK(WaitFor(kInForce,
                  [&] { return world.HasRecord(platform::kBoxesTopic, box); }));
  }
}

// Guards against a box that reaches neither its peers nor the store over a
// return, for longer than the time in which records are written again, and goes
// by what it knew.
TEST(StoreEra, ABoxThatWasCutOffOverTheReturnTakesTheChange) {
  constexpr int kBoxes = 3;
  constexpr size_t kLost = 4;
  constexpr Millis kCutOff(4'000);
  for (const size_t written_again : {0U, 3U, 6U}) {
    ReturningStore store("store-era-cut-off", kBoxes);
    for (size_t record = 0; record < kLost; ++record)
      store.Put(kOtherHallKey, "{}");
    CHECK(WaitFor(kInForce, [&] {
      return !store.world().Events("box-3", "evacuated-halls").empty();
    }));
    StoreFault fault;
    fault.refuses = true;
    fault.only_agent = "box-3";
    store.world().SetFault(fault);
    for (const char* peer : {"box-1", "box-2"})
      store.world().box(peer).process->Signal(SIGSTOP);
    store.Return(kLost, std::vector<std::pair<std::string, std::string>>(
                            written_again, {kOtherHallKey, "{}"}));
    store.Configure(4, R"("the-key", "new-key")");
    std::this_thread::sleep_for(std::chrono::milliseconds(kCutOff.count()));
    for (const char* peer : {"box-1", "box-2"})
      store.world().box(peer).process->Signal(SIGCONT);
    store.world().SetFault(StoreFault());
    for (int box = 1; box <= kBoxes; ++box) {
      const std::string name = "box-" + std::to_string(box);
      CHECK_TEXT(store.Becomes(name, "old-key", 401), name.c_str());
      CHECK_TEXT(store.Becomes(name, "new-key", 200), name.c_str());
    }
  }
}

// Guards against a change, a target or a box that is lost when all topics lack
// their last seconds at once.
TEST(StoreEra, AllTopicsMayComeBackFromACopyAtOnce) {
  constexpr int kBoxes = 3;
  ReturningStore store("store-era-topics", kBoxes);
  PlatformWorld& world = store.world();
  for (int box = 1; box <= kBoxes; ++box)
    CHECK(WaitFor(kInForce, [&] {
      return world.HasRecord(platform::kBoxesTopic,
                             "box-" + std::to_string(box));
    }));
  const std::map<std::string, size_t> copy = world.TopicSizes();
  store.Configure(4, R"("the-key")");
  const std::string address =
      world.AddTarget("plain-2", "plain", [](const SeenRequest& request) {
        TargetScript script;
        script.pieces = {GoodAnswer(request, "good")};
        return script;
      });
  for (int box = 1; box <= kBoxes; ++box)
    CHECK(store.Becomes("box-" + std::to_string(box), "old-key", 401));
  std::this_thread::sleep_for(std::chrono::milliseconds(kListed.count()));
  world.ReturnFromCopy(copy);
  CHECK(store.Stays("box-1", "old-key", 401, Millis(500)));
  store.Configure(4, R"("the-key")");
  world.ListTarget("plain-1", "plain", store.target_address(), "ready",
                   /*sign_of_life=*/2);
  world.ListTarget("plain-2", "plain", address, "ready", /*sign_of_life=*/2);
  store.Configure(5, R"("the-key", "new-key")");
  for (int box = 1; box <= kBoxes; ++box) {
    const std::string name = "box-" + std::to_string(box);
    CHECK_TEXT(store.Becomes(name, "new-key", 200), name.c_str());
    LONGS_EQUAL(401, store.Status(name, "old-key"));
    CHECK_TEXT(store.Stays(name, "the-key", 200, Millis(1'000)), name.c_str());
    CHECK(WaitFor(kInForce, [&] {
      return world.HasRecord(platform::kBoxesTopic, name);
    }));
  }
  // The target that the copy lacked is still used.
  world.Put(platform::kTargetsTopic, "plain-1", "");
  std::this_thread::sleep_for(std::chrono::milliseconds(kListed.count()));
  for (int box = 1; box <= kBoxes; ++box)
    LONGS_EQUAL(200, store.Status("box-" + std::to_string(box), "the-key"));
}

// Guards against a fleet that reads the store beyond its rate when all boxes
// find that it came back. The users' store of 295 boxes answers 16,000 reads a
// second.
TEST(StoreEra, AllBoxesReadAnewWithinTheRateOfTheStore) {
  constexpr int kBoxes = 24;
  constexpr int kMaxCallsPerBox = 16'000 / 295;
  constexpr std::chrono::milliseconds kLook(100);
  constexpr size_t kLooksPerSecond = 10;
  constexpr size_t kLooks = 50;
  ReturningStore store("store-era-reads", kBoxes);
  store.Put(kOtherHallKey, "{}");
  std::this_thread::sleep_for(std::chrono::milliseconds(kListed.count()));
  const auto busiest_second = [&] {
    std::vector<int> calls;
    int most = 0;
    while (calls.size() < kLooks) {
      calls.push_back(store.world().store_calls());
      if (calls.size() > kLooksPerSecond)
        most = std::max(
            most, calls.back() - calls[calls.size() - 1 - kLooksPerSecond]);
      std::this_thread::sleep_for(kLook);
    }
    return most;
  };
  const int before = busiest_second();
  store.world().ReturnFromCopy({{platform::kDeclarationsTopic, 1}});
  const int after = busiest_second();
  std::cout << kBoxes << " boxes, calls in the busiest second: " << before
            << " before the return, " << after << " after it\n";
  CHECK(after <= kBoxes * kMaxCallsPerBox);
}

}  // namespace
}  // namespace sparbend::testing
