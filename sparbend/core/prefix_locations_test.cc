#include "sparbend/core/prefix_locations.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr TargetId kFirstTarget = 101;
constexpr TargetId kSecondTarget = 102;

TEST_GROUP(PrefixLocations) {
  PrefixLocations locations;
};

TEST(PrefixLocations, RecordsReportsAndExpiresLocations) {
  CHECK(locations.Record(1, kFirstTarget, Millis(0)));
  CHECK(!locations.Record(1, kFirstTarget, Millis(10)));
  locations.UpdateFromPeer({1, kSecondTarget}, Millis(10));
  CHECK(locations.Holds(1, kFirstTarget, Millis(20)));
  CHECK(locations.Holds(1, kSecondTarget, Millis(20)));
  CHECK(!locations.Holds(2, kFirstTarget, Millis(20)));
  // Only locations that this box recorded itself are sent to peers, and only
  // for a while.
  LONGS_EQUAL(1, locations.Recent(Millis(20)).size());
  LONGS_EQUAL(0, locations.Recent(Millis(2'000)).size());
  CHECK(!locations.Holds(1, kFirstTarget, Millis(60'000)));
}

TEST(PrefixLocations, DropsTheLeastRecentlyUsedPrefixes) {
  for (PrefixId prefix = 0; prefix < 30'000; ++prefix)
    locations.Record(prefix, kFirstTarget, Millis(0));
  CHECK(!locations.Holds(0, kFirstTarget, Millis(1)));
  CHECK(locations.Holds(29'999, kFirstTarget, Millis(1)));
}

}  // namespace
}  // namespace sparbend
