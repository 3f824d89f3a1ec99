// Guards against a storm of datagrams when many targets are replaced at once.
// The box that learns from an answer that a target is leaving sends this to all
// peers immediately. If each receiver did the same, every leaving target would
// cost datagrams in the square of the number of boxes, and the boxes would
// become overloaded, refusing requests with 503, although traffic had not
// grown.
#include <CppUTest/TestHarness.h>

#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

TEST_GROUP(LeavingTargetGossip){};

TEST(LeavingTargetGossip, IsSentImmediatelyOnlyByTheBoxThatFoundIt) {
  constexpr int kBoxes = 20;
  constexpr int kTargets = 30;
  constexpr int kSteps = 100;
  constexpr Millis kStepInterval(10);
  testing::SharedNodes nodes(kBoxes, testing::EngineTargets(kTargets, 16));
  for (int i = 0; i < kSteps; ++i)
    nodes.Step(kStepInterval);
  // Sent in kSteps without any leaving target.
  const size_t regular_datagrams = nodes.datagrams();
  for (int i = 0; i < kSteps; ++i) {
    if (i < kTargets)
      nodes.at(i % kBoxes)
          .OnTargetLeaving(TargetIdOf("target-" + std::to_string(i)));
    nodes.Step(kStepInterval);
  }
  LONGS_EQUAL(0, nodes.refused());
  for (int box = 0; box < kBoxes; ++box) {
    for (int i = 0; i < kTargets; ++i)
      CHECK(nodes.at(box).IsTargetLeaving(
          TargetIdOf("target-" + std::to_string(i))));
  }
  // The regular datagrams, and one datagram to each peer for each target.
  CHECK(nodes.datagrams() - regular_datagrams <=
        regular_datagrams + kTargets * (kBoxes - 1));
}

}  // namespace
}  // namespace sparbend
