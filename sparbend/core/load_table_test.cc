#include "sparbend/core/load_table.h"

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr TargetId kFirstTarget = 101;
constexpr TargetId kSecondTarget = 102;

auto Load(TargetId target, uint32_t waiting_tokens) -> TargetLoad {
  return {target, 1, waiting_tokens, 10};
}

TEST_GROUP(LoadTable) {
  LoadTable table;
};

TEST(LoadTable, CountsARequestUntilItFinishes) {
  table.Start(1, Load(kFirstTarget, 500), Millis(10));
  table.Start(2, Load(kFirstTarget, 700), Millis(20));
  LONGS_EQUAL(1'200, table.Own(kFirstTarget).waiting_tokens);
  LONGS_EQUAL(90, table.OnFirstByte(1, Millis(100))->count());
  CHECK(!table.OnFirstByte(1, Millis(200)));
  LONGS_EQUAL(700, table.Own(kFirstTarget).waiting_tokens);
  LONGS_EQUAL(2, table.Own(kFirstTarget).running);
  table.Finish(1);
  table.Finish(2);
  table.Finish(2);
  CHECK(table.OwnRows().empty());
}

TEST(LoadTable, PeerReportsReplaceEarlierOnesAndExpire) {
  table.UpdateFromPeer(7, {Load(kFirstTarget, 100), Load(kSecondTarget, 50)},
                       Millis(1'000));
  table.UpdateFromPeer(8, {Load(kFirstTarget, 10)}, Millis(1'000));
  LONGS_EQUAL(110, table.Total(kFirstTarget).waiting_tokens);
  table.UpdateFromPeer(7, {Load(kSecondTarget, 60)}, Millis(1'100));
  LONGS_EQUAL(10, table.Total(kFirstTarget).waiting_tokens);
  LONGS_EQUAL(60, table.Total(kSecondTarget).waiting_tokens);
  // The report of box 8 is more than two seconds old, that of box 7 is not.
  table.Expire(Millis(3'050));
  LONGS_EQUAL(0, table.Total(kFirstTarget).waiting_tokens);
  LONGS_EQUAL(60, table.Total(kSecondTarget).waiting_tokens);
}

TEST(LoadTable, OwnLoadIsTheSumOfRunningRequests) {
  testing::CheckHolds("own load is the sum of running requests", [] {
    LoadTable table;
    std::map<uint64_t, std::pair<TargetLoad, bool>> running;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 3)));
    for (const auto& [id, action] : steps) {
      const auto request = static_cast<uint64_t>(id);
      if (action == 0 && !running.contains(request)) {
        const TargetLoad load =
            Load(id % 2 == 0 ? kFirstTarget : kSecondTarget, 5);
        table.Start(request, load, Millis(0));
        running[request] = {load, false};
      } else if (action == 1) {
        table.OnFirstByte(request, Millis(0));
        if (running.contains(request))
          running[request].second = true;
      } else if (action == 2) {
        table.Finish(request);
        running.erase(request);
      }
    }
    for (const TargetId target : {kFirstTarget, kSecondTarget}) {
      TargetLoad sum{target, 0, 0, 0};
      for (const auto& [request, state] : running) {
        if (state.first.target != target)
          continue;
        sum.running += 1;
        sum.waiting_tokens += state.second ? 0 : state.first.waiting_tokens;
        sum.memory_tokens += state.first.memory_tokens;
      }
      RC_ASSERT(table.Own(target) == sum);
    }
  });
}

}  // namespace
}  // namespace sparbend
