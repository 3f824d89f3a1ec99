// Symptom. A quarter of the engines is replaced within half a second. For two
// seconds after, 52 boxes of 59 are behind their work at 2 to 35 requests in
// flight, answer 503 and are not ready; the bytes that boxes send rise from 7
// to 27 MB a second, their processor time threefold, with no more requests.
//
// Cause. A box learns of a leaving target by its answer and tells all peers at
// once. Each of them took that for news of its own and told all peers at once
// as well: boxes squared datagrams a target.
//
// What settled it: 56 answers "another target has the address" in the 0.75 s in
// which the boxes fall behind, 3 in the four seconds around; no other event of
// the logs comes at that time.
#include <CppUTest/TestHarness.h>

#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

TEST_GROUP(LeavingNews){};

TEST(LeavingNews, IsToldAtOnceByItsFinderAlone) {
  constexpr int kBoxes = 20;
  constexpr int kTargets = 30;
  constexpr int kSteps = 100;
  constexpr Millis kStep(10);
  testing::SharedNodes nodes(kBoxes, testing::EngineTargets(kTargets, 16));
  for (int i = 0; i < kSteps; ++i)
    nodes.Step(kStep);
  const size_t quiet = nodes.datagrams();
  for (int i = 0; i < kSteps; ++i) {
    if (i < kTargets)
      nodes.at(i % kBoxes)
          .OnTargetLeaving(TargetIdOf("target-" + std::to_string(i)));
    nodes.Step(kStep);
  }
  LONGS_EQUAL(0, nodes.refused());
  for (int box = 0; box < kBoxes; ++box) {
    for (int i = 0; i < kTargets; ++i)
      CHECK(nodes.at(box).IsTargetLeaving(
          TargetIdOf("target-" + std::to_string(i))));
  }
  // The usual words, and one word to each peer for each target.
  CHECK(nodes.datagrams() - quiet <= quiet + kTargets * (kBoxes - 1));
}

}  // namespace
}  // namespace sparbend
