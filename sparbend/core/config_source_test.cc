// Guards against boxes that all ask one peer for a new configuration, and keep
// asking it while it is dead or leaving: none of them then gets the
// configuration until they reach the store.
#include <CppUTest/TestHarness.h>

#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr int kHalls = 3;
constexpr LogPosition kOldPosition{1, 3};
constexpr LogPosition kNewPosition{1, 7};

void Run(testing::SharedNodes* nodes, Millis span) {
  constexpr Millis kStep(50);
  for (Millis t; t < span; t = t + kStep)
    nodes->Step(kStep);
}

auto IdOfBox(int box) -> BoxId {
  return BoxIdOf("box-" + std::to_string(box));
}

// All boxes know kOldPosition; then those below `informed` read kNewPosition.
void Inform(testing::SharedNodes* nodes, int informed) {
  for (int box = 0; box < nodes->size(); ++box)
    nodes->at(box).SetConfigPosition(kOldPosition, 0);
  Run(nodes, Millis(3'000));
  for (int box = 0; box < informed; ++box)
    nodes->at(box).SetConfigPosition(kNewPosition, 0);
  Run(nodes, Millis(300));
}

TEST_GROUP(ConfigSource){};

TEST(ConfigSource, BoxesThatAreBehindAskDifferentPeers) {
  struct Case {
    int boxes;
    int informed;
  };
  for (const Case& fleet : {Case{9, 3}, Case{60, 6}, Case{300, 15}}) {
    testing::SharedNodes nodes(fleet.boxes, {}, kHalls);
    Inform(&nodes, fleet.informed);
    std::map<BoxId, int> callers;
    const int behind = fleet.boxes - fleet.informed;
    for (int box = fleet.informed; box < fleet.boxes; ++box) {
      const auto source = nodes.at(box).ConfigSource({}, nodes.now());
      CHECK(source.has_value());
      CHECK(nodes.at(box).ConfigPositionOf(*source) == kNewPosition);
      ++callers[*source];
    }
    LONGS_EQUAL(fleet.informed, callers.size());
    for (const auto& [box, count] : callers)
      CHECK(count <= 3 * behind / fleet.informed);
    // A box that is not behind asks nobody.
    CHECK(!nodes.at(0).ConfigSource({}, nodes.now()));
  }
}

TEST(ConfigSource, DeadLeavingAndExcludedPeersAreNotAsked) {
  testing::SharedNodes nodes(9, {}, kHalls);
  Inform(&nodes, 4);
  nodes.Kill(0);
  nodes.at(1).Leave();
  Run(&nodes, kMemberTimeout + Millis(500));
  for (int box = 4; box < nodes.size(); ++box) {
    const Node& node = nodes.at(box);
    std::set<BoxId> asked;
    while (const auto source = node.ConfigSource(asked, nodes.now()))
      CHECK(asked.insert(*source).second);
    CHECK(asked == (std::set<BoxId>{IdOfBox(2), IdOfBox(3)}));
  }
}

TEST(ConfigSource, PeersOfTheSameHallComeFirst) {
  testing::SharedNodes nodes(9, {}, kHalls);
  Inform(&nodes, kHalls);  // one box of each hall
  for (int box = kHalls; box < nodes.size(); ++box) {
    const auto source = nodes.at(box).ConfigSource({}, nodes.now());
    CHECK(source == IdOfBox(box % kHalls));
    CHECK(nodes.hall(box) == nodes.hall(box % kHalls));
  }
}

}  // namespace
}  // namespace sparbend
