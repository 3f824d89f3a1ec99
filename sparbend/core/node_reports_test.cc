// What boxes of the policy kShared tell each other, and when.
#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

#include "sparbend/core/node.h"
#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

using testing::EngineCatalog;
using testing::EngineTargets;
using testing::SharedNodes;

TEST_GROUP(NodeReports){};

// A box that sends to more targets than a datagram can name: its word comes in
// parts, and nothing is left out.
TEST(NodeReports, NameAllTargetsHoweverManyABoxUses) {
  constexpr int kTargets = 300;
  constexpr int kSlots = 64;
  SharedNodes nodes(2, EngineTargets(kTargets, kSlots));
  Node& sender = nodes.at(0);
  sender.SetCatalog(EngineCatalog());
  for (int i = 0; i < 2 * kTargets; ++i) {
    QueuedRequest request;
    request.id = static_cast<uint64_t>(i) + 1;
    request.flow = {PoolIdOf("engines"), 1};
    request.arrived = nodes.now();
    request.work.prompt_tokens = 20'000;
    request.work.prefixes = {{static_cast<PrefixId>(i) + 1'000'000, 15'000}};
    request.work.first_byte_due = nodes.now() + Millis(800);
    sender.ingress_scheduler().TryStart(request, nodes.now());
  }
  const Effects effects = sender.Run(nodes.now());
  CHECK(effects.datagrams.size() > 1);
  for (const Effects::Outgoing& outgoing : effects.datagrams) {
    CHECK(outgoing.bytes.size() <= kMaxDatagramBytes);
    CHECK(!nodes.at(1).OnDatagram(outgoing.bytes, nodes.now()));
  }
  const LoadTable& known = nodes.at(1).ingress_scheduler().placement().loads();
  const LoadTable& sent = sender.ingress_scheduler().placement().loads();
  for (int i = 0; i < kTargets; ++i) {
    const TargetId target = TargetIdOf("target-" + std::to_string(i));
    LONGS_EQUAL(sent.Own(target).running, known.Total(target).running);
  }
  CHECK(nodes.at(1).members().IsLive(BoxIdOf("box-0"), nodes.now()));
}

TEST(NodeReports, TheFirstToHaveAVersionTellsItAtOnce) {
  SharedNodes nodes(2, {});
  nodes.Step(Millis(1'000));
  nodes.at(0).SetConfigOffset(7);
  const std::vector<int> spoke = nodes.Step(Millis(1));
  LONGS_EQUAL(1, spoke.size());
  LONGS_EQUAL(0, spoke[0]);
  LONGS_EQUAL(0, nodes.refused());
  LONGS_EQUAL(7, nodes.at(1).HighestOffset().first);
  // Who heard it from somebody has nothing to tell at once.
  nodes.at(1).SetConfigOffset(7);
  CHECK(nodes.Step(Millis(1)).empty());
}

// All begin to speak at the same moment, as after news that all tell on.
TEST(NodeReports, OfBoxesInStepComeApart) {
  constexpr int kBoxes = 20;
  constexpr int64_t kSlotMs = 50;
  constexpr Millis kJudgedFrom(18'000);
  constexpr Millis kEnd(20'000);
  SharedNodes nodes(kBoxes, {});
  std::map<int64_t, size_t> speaking;  // boxes, by slot
  while (nodes.now() < kEnd) {
    const std::vector<int> spoke = nodes.Step(Millis(10));
    if (!spoke.empty() && nodes.now() >= kJudgedFrom)
      speaking[nodes.now().count() / kSlotMs] += spoke.size();
  }
  size_t most = 0;
  for (const auto& [slot, boxes] : speaking)
    most = std::max(most, boxes);
  CHECK(most > 0);
  CHECK(most <= kBoxes / 2);
}

}  // namespace
}  // namespace sparbend
