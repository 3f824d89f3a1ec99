#include "sparbend/core/load_table.h"

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr TargetId kFirst = 101;
constexpr TargetId kSecond = 102;

auto Load(TargetId target, uint32_t waiting) -> TargetLoad {
  return {target, 1, waiting, 10};
}

TEST_GROUP(LoadTable) {
  LoadTable book;
};

TEST(LoadTable, CountsARequestFromItsSendingToItsEnd) {
  book.Start(1, Load(kFirst, 500), Millis(10));
  book.Start(2, Load(kFirst, 700), Millis(20));
  LONGS_EQUAL(1'200, book.Own(kFirst).waiting_tokens);
  LONGS_EQUAL(90, book.FirstByte(1, Millis(100))->count());
  CHECK(!book.FirstByte(1, Millis(200)));
  LONGS_EQUAL(700, book.Own(kFirst).waiting_tokens);
  LONGS_EQUAL(2, book.Own(kFirst).running);
  book.Finish(1);
  book.Finish(2);
  book.Finish(2);
  CHECK(book.OwnRows().empty());
}

TEST(LoadTable, PeersWordsReplaceEachOtherAndAge) {
  book.UpdateFromPeer(7, {Load(kFirst, 100), Load(kSecond, 50)}, Millis(1'000));
  book.UpdateFromPeer(8, {Load(kFirst, 10)}, Millis(1'000));
  LONGS_EQUAL(110, book.Total(kFirst).waiting_tokens);
  book.UpdateFromPeer(7, {Load(kSecond, 60)}, Millis(1'100));
  LONGS_EQUAL(10, book.Total(kFirst).waiting_tokens);
  LONGS_EQUAL(60, book.Total(kSecond).waiting_tokens);
  // Box 8 was not heard for two seconds, box 7 was.
  book.Expire(Millis(3'050));
  LONGS_EQUAL(0, book.Total(kFirst).waiting_tokens);
  LONGS_EQUAL(60, book.Total(kSecond).waiting_tokens);
}

TEST(LoadTable, OwnLoadIsTheSumOfWhatRuns) {
  testing::CheckHolds("sum of what runs", [] {
    LoadTable book;
    std::map<uint64_t, std::pair<TargetLoad, bool>> running;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 3)));
    for (const auto& [id, what] : steps) {
      const auto request = static_cast<uint64_t>(id);
      if (what == 0 && !running.contains(request)) {
        const TargetLoad load = Load(id % 2 == 0 ? kFirst : kSecond, 5);
        book.Start(request, load, Millis(0));
        running[request] = {load, false};
      } else if (what == 1) {
        book.FirstByte(request, Millis(0));
        if (running.contains(request))
          running[request].second = true;
      } else if (what == 2) {
        book.Finish(request);
        running.erase(request);
      }
    }
    for (const TargetId target : {kFirst, kSecond}) {
      TargetLoad sum{target, 0, 0, 0};
      for (const auto& [request, state] : running) {
        if (state.first.target != target)
          continue;
        sum.running += 1;
        sum.waiting_tokens += state.second ? 0 : state.first.waiting_tokens;
        sum.memory_tokens += state.first.memory_tokens;
      }
      RC_ASSERT(book.Own(target) == sum);
    }
  });
}

}  // namespace
}  // namespace sparbend
