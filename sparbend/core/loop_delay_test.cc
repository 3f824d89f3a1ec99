#include "sparbend/core/loop_delay.h"

#include <algorithm>
#include <deque>
#include <utility>

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

TEST_GROUP(LoopDelay) {
  LoopDelay delay{41};
};

TEST(LoopDelay, LatestIsTheDelayOfTheLastProbeOrOfTheOneInFlight) {
  const auto first = delay.Next(Millis(1'000));
  CHECK(first.has_value());
  CHECK(!delay.Next(Millis(1'050)));  // one probe is in flight
  LONGS_EQUAL(50, delay.Latest(Millis(1'050)).count());
  CHECK(delay.OnReturn(*first, Millis(1'080)));
  LONGS_EQUAL(80, delay.Latest(Millis(5'000)).count());
  const auto second = delay.Next(Millis(5'000));
  LONGS_EQUAL(80, delay.Latest(Millis(5'010)).count());
  LONGS_EQUAL(200, delay.Latest(Millis(5'200)).count());
  CHECK(delay.OnReturn(*second, Millis(5'201)));
  LONGS_EQUAL(201, delay.Latest(Millis(5'300)).count());
}

TEST(LoopDelay, LostProbeIsReplacedAndUnknownProbesAreIgnored) {
  const auto lost = delay.Next(Millis(0));
  CHECK(!delay.OnReturn(*lost + 1, Millis(1)));
  CHECK(!delay.OnReturn(*lost - 1, Millis(1)));
  CHECK(!delay.Next(Millis(999)));
  const auto again = delay.Next(Millis(1'000));
  CHECK(again.has_value());
  CHECK(delay.OnReturn(*again, Millis(1'002)));
  LONGS_EQUAL(2, delay.Latest(Millis(1'010)).count());
  CHECK(!delay.OnReturn(*again, Millis(1'003)));  // duplicate datagram
  CHECK(!delay.OnReturn(*lost, Millis(1'004)));   // reordered
}

// Guards against ages of peers' messages that are understated by a box whose
// datagrams wait for many seconds: it took lists 20 s old for fresh.
TEST(LoopDelay, DelaysOfManySecondsAreMeasured) {
  constexpr int64_t kDelayMs = 9'500;
  std::deque<std::pair<uint64_t, int64_t>> sent;  // number, time
  for (int64_t now = 0; now < 30'000; now += 50) {
    if (const auto probe = delay.Next(Millis(now)))
      sent.emplace_back(*probe, now);
    while (!sent.empty() && sent.front().second + kDelayMs <= now) {
      CHECK(delay.OnReturn(sent.front().first, Millis(now)));
      sent.pop_front();
    }
    const int64_t latest = delay.Latest(Millis(now)).count();
    CHECK(latest >= std::min(now, kDelayMs));
    CHECK(latest <= kDelayMs + 1'050);
  }
  CHECK(sent.size() <= 11);  // one a second
}

TEST(LoopDelay, OneProbeMeasuresTwoDelays) {
  LoopDelay read_delay;
  const auto probe = delay.Next(Millis(1'000));
  read_delay.OnSent(*probe, Millis(1'000));
  CHECK(read_delay.OnReturn(*probe, Millis(1'010)));
  CHECK(!read_delay.OnReturn(*probe, Millis(1'011)));  // duplicate datagram
  CHECK(delay.OnReturn(*probe, Millis(1'400)));
  LONGS_EQUAL(10, read_delay.Latest(Millis(1'500)).count());
  LONGS_EQUAL(400, delay.Latest(Millis(1'500)).count());
}

}  // namespace
}  // namespace sparbend
