#include "sparbend/core/fair_usage.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr PoolId kEngines = 1;
constexpr PoolId kServices = 2;

TEST_GROUP(FairUsage) {
  FairUsage usage;
  static constexpr Flow kA{kEngines, 1};
  static constexpr Flow kB{kEngines, 2};
};

TEST(FairUsage, SumsOwnAndToldAndFades) {
  usage.Charge(kA, 1'000, Millis(0));
  usage.UpdateFromPeer(7, {{kA, 500}, {kB, 300}}, Millis(0));
  LONGS_EQUAL(1'500, usage.Of(kA, Millis(0)));
  int64_t sum = 0;
  const auto amounts = usage.Amounts(kEngines, Millis(0));
  for (const FlowValue& amount : amounts)
    sum += amount.value;
  LONGS_EQUAL(900, sum / static_cast<int64_t>(amounts.size()));
  CHECK(usage.Amounts(kServices, Millis(0)).empty());
  CHECK(usage.Of(kA, Millis(2'000)) < 600);
  usage.UpdateFromPeer(7, {}, Millis(0));
  LONGS_EQUAL(0, usage.Of(kB, Millis(0)));
  usage.Charge(kA, -5'000, Millis(0));
  LONGS_EQUAL(0, usage.Of(kA, Millis(0)));
}

TEST(FairUsage, TellsTheLargestFirst) {
  usage.Charge(kA, 10, Millis(0));
  usage.Charge(kB, 20, Millis(0));
  const std::vector<FlowValue> values = usage.OwnValues(1, Millis(0));
  LONGS_EQUAL(1, values.size());
  CHECK(values[0].flow == kB);
}

}  // namespace
}  // namespace sparbend
