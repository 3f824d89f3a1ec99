// Which datagrams boxes send to each other under the policy kShared, and when.
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

// A box with running requests at more targets than fit into one datagram sends
// its load report in parts, and no target is missing.
TEST(NodeReports, NameAllTargetsThatABoxUses) {
  constexpr int kTargetCount = 300;
  constexpr int kSlotsPerTarget = 64;
  SharedNodes nodes(2, EngineTargets(kTargetCount, kSlotsPerTarget));
  Node& sender = nodes.at(0);
  sender.SetCatalog(EngineCatalog());
  for (int i = 0; i < 2 * kTargetCount; ++i) {
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
  for (int i = 0; i < kTargetCount; ++i) {
    const TargetId target = TargetIdOf("target-" + std::to_string(i));
    LONGS_EQUAL(sent.Own(target).running, known.Total(target).running);
  }
  CHECK(nodes.at(1).members().IsLive(BoxIdOf("box-0"), nodes.now()));
}

TEST(NodeReports, TheFirstBoxWithAConfigPositionSendsItImmediately) {
  constexpr LogPosition kPosition{1, 7};
  SharedNodes nodes(2, {});
  nodes.Step(Millis(1'000));
  nodes.at(0).SetConfigPosition(kPosition, 0);
  const std::vector<int> senders = nodes.Step(Millis(1));
  LONGS_EQUAL(1, senders.size());
  LONGS_EQUAL(0, senders[0]);
  LONGS_EQUAL(0, nodes.refused());
  CHECK(nodes.at(1).HighestConfigPosition().first == kPosition);
  // A box that has received the position from a peer does not send it again.
  nodes.at(1).SetConfigPosition(kPosition, 0);
  CHECK(nodes.Step(Millis(1)).empty());
}

// All boxes send their first load report in the same step, as after a change
// that makes all of them send. Jitter must spread their later reports: boxes
// that stay in step all send in the same counting window, so no window may have
// more sends than half the number of boxes.
TEST(NodeReports, LoadReportsOfBoxesInStepSpreadOut) {
  constexpr int kBoxes = 20;
  constexpr int64_t kCountingWindowMs = 50;
  // The time of SharedNodes starts at 10 s. Sends are counted from 8 s later,
  // by when they must have spread out.
  constexpr Millis kMeasuredFrom(18'000);
  constexpr Millis kEnd(20'000);
  SharedNodes nodes(kBoxes, {});
  std::map<int64_t, size_t> sends_by_window;
  while (nodes.now() < kEnd) {
    const std::vector<int> senders = nodes.Step(Millis(10));
    if (!senders.empty() && nodes.now() >= kMeasuredFrom)
      sends_by_window[nodes.now().count() / kCountingWindowMs] +=
          senders.size();
  }
  size_t largest = 0;
  for (const auto& [window, sends] : sends_by_window)
    largest = std::max(largest, sends);
  CHECK(largest > 0);
  CHECK(largest <= kBoxes / 2);
}

}  // namespace
}  // namespace sparbend
