#include "sparbend/core/fair_usage.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr PoolId kEnginePool = 1;
constexpr PoolId kServicePool = 2;

TEST_GROUP(FairUsage) {
  FairUsage usage;
  static constexpr Flow kFlowA{kEnginePool, 1};
  static constexpr Flow kFlowB{kEnginePool, 2};
};

TEST(FairUsage, ValuesAddOwnAndPeerAmountsDecayAndAreNeverNegative) {
  usage.Charge(kFlowA, 1'000, Millis(0));
  usage.UpdateFromPeer(/*from=*/7, {{kFlowA, 500}, {kFlowB, 300}}, Millis(0));
  LONGS_EQUAL(1'500, usage.ValueOf(kFlowA, Millis(0)));
  int64_t sum = 0;
  const auto amounts = usage.Amounts(kEnginePool, Millis(0));
  for (const FlowValue& amount : amounts)
    sum += amount.value;
  // The mean of 1,500 (flow A) and 300 (flow B).
  LONGS_EQUAL(900, sum / static_cast<int64_t>(amounts.size()));
  CHECK(usage.Amounts(kServicePool, Millis(0)).empty());
  // After one time constant, 1,500 / e = 552 remain.
  CHECK(usage.ValueOf(kFlowA, Millis(2'000)) < 600);
  // A new report replaces the previous one of the same box.
  usage.UpdateFromPeer(/*from=*/7, {}, Millis(0));
  LONGS_EQUAL(0, usage.ValueOf(kFlowB, Millis(0)));
  // Taking back more than was charged leaves zero.
  usage.Charge(kFlowA, -5'000, Millis(0));
  LONGS_EQUAL(0, usage.ValueOf(kFlowA, Millis(0)));
}

TEST(FairUsage, OwnValuesStartWithTheLargest) {
  usage.Charge(kFlowA, 10, Millis(0));
  usage.Charge(kFlowB, 20, Millis(0));
  const std::vector<FlowValue> values = usage.OwnValues(1, Millis(0));
  LONGS_EQUAL(1, values.size());
  CHECK(values[0].flow == kFlowB);
}

}  // namespace
}  // namespace sparbend
