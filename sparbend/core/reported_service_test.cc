// Guards against reports that lose value on their way to other boxes.
#include <iostream>
#include <string>

#include <CppUTest/TestHarness.h>

#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr Millis kStep(10);
constexpr Millis kSettling(14'000);  // several time constants of the decay
constexpr Millis kSpan(2'000);
constexpr int64_t kTokensPerStep = 1'000;  // at each box

TEST_GROUP(ReportedService){};

// What is known of a flow that is served at a steady rate, over boxes and time.
TEST(ReportedService, OfASteadyFlowIsNotTooLow) {
  struct Case {
    const char* what;
    int boxes;
    int halls;
    int serving;  // boxes that serve the flow
  };
  for (const Case& row : {
           Case{"9 boxes", 9, 3, 9},
           Case{"60 boxes", 60, 3, 60},
           Case{"295 boxes", 295, 5, 295},
           Case{"one of 295 boxes", 295, 5, 1},
       }) {
    const Flow flow{PoolIdOf("engines"), 1};
    testing::SharedNodes nodes(row.boxes, testing::EngineTargets(4, 16),
                               row.halls);
    double known = 0;
    int64_t samples = 0;
    for (const Millis end = nodes.now() + kSettling + kSpan;
         nodes.now() < end;) {
      for (int box = 0; box < row.serving; ++box)
        nodes.at(box).ingress_scheduler().fair_shares().RecordServed(
            flow, kTokensPerStep, nodes.now());
      nodes.Step(kStep);
      if (nodes.now() < end - kSpan)
        continue;
      for (int box = 0; box < row.boxes; ++box) {
        known += static_cast<double>(
            nodes.at(box).ingress_scheduler().fair_shares().RecentService(
                flow, nodes.now()));
        ++samples;
      }
    }
    // A steady rate shows up as the amount of two seconds.
    const double served =
        static_cast<double>(row.serving * kTokensPerStep * 2'000) /
        static_cast<double>(kStep.count());
    const double part = known / static_cast<double>(samples) / served;
    const std::string seen =
        std::string(row.what) + ": " + std::to_string(part) + " is known";
    std::cout << seen << "\n";
    CHECK_TEXT(part > 0.9 && part < 1.1, seen.c_str());
  }
}

}  // namespace
}  // namespace sparbend
