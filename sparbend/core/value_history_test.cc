#include "sparbend/core/value_history.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

TEST_GROUP(ValueHistory){};

TEST(ValueHistory, MeanWeighsEachSampleByTheTimeUntilTheNext) {
  ValueHistory history;
  DOUBLES_EQUAL(0, history.Mean(Millis(0), Millis(1'000)), 0);
  // The one at 120 is too close to the one before it.
  for (const int64_t at : {100, 120, 200, 900, 1'500})
    history.Record(static_cast<double>(at), Millis(at));
  const struct {
    int64_t from;
    int64_t to;
    double mean;
  } cases[] = {
      {0, 100, 0},            // before the first
      {0, 200, 50},           // half of it before the first
      {100, 200, 100},        // a whole step
      {150, 250, 150},        // halves of two steps
      {200, 900, 200},        // ends where the next one begins
      {800, 1'600, 887.5},    // 200 for 100, 900 for 600, 1,500 for 100
      {1'600, 2'600, 1'500},  // after the last
  };
  for (const auto& row : cases)
    DOUBLES_EQUAL(row.mean, history.Mean(Millis(row.from), Millis(row.to)),
                  1e-9);
  // Earlier ones are dropped once they are older than the retention.
  history.Record(1, Millis(1'500) + ValueHistory::kRetention);
  DOUBLES_EQUAL(0, history.Mean(Millis(1'400), Millis(1'500)), 0);
  DOUBLES_EQUAL(1'500, history.Mean(Millis(1'500), Millis(1'600)), 1e-9);
}

}  // namespace
}  // namespace sparbend
