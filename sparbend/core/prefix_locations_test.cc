#include "sparbend/core/prefix_locations.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr TargetId kFirst = 101;
constexpr TargetId kSecond = 102;

TEST_GROUP(PrefixLocations) {
  PrefixLocations homes;
};

TEST(PrefixLocations, RemembersTellsAndForgets) {
  CHECK(homes.Note(1, kFirst, Millis(0)));
  CHECK(!homes.Note(1, kFirst, Millis(10)));
  homes.UpdateFromPeer({1, kSecond}, Millis(10));
  CHECK(homes.Holds(1, kFirst, Millis(20)));
  CHECK(homes.Holds(1, kSecond, Millis(20)));
  CHECK(!homes.Holds(2, kFirst, Millis(20)));
  // Only what this box made itself is told on, and only for a while.
  LONGS_EQUAL(1, homes.Recent(Millis(20)).size());
  LONGS_EQUAL(0, homes.Recent(Millis(2'000)).size());
  CHECK(!homes.Holds(1, kFirst, Millis(60'000)));
}

TEST(PrefixLocations, StaysWithinItsBound) {
  for (PrefixId prefix = 0; prefix < 30'000; ++prefix)
    homes.Note(prefix, kFirst, Millis(0));
  CHECK(!homes.Holds(0, kFirst, Millis(1)));
  CHECK(homes.Holds(29'999, kFirst, Millis(1)));
}

}  // namespace
}  // namespace sparbend
