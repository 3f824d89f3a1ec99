#include "sparbend/core/loop_delay.h"

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
  CHECK(!delay.OnReturn(*lost, Millis(1'001)));  // returned after its timeout
  CHECK(delay.OnReturn(*again, Millis(1'002)));
  LONGS_EQUAL(2, delay.Latest(Millis(1'010)).count());
  CHECK(!delay.OnReturn(*again, Millis(1'003)));  // duplicate datagram
}

}  // namespace
}  // namespace sparbend
