// Boxes as pure nodes whose store comes back from an older copy: its log then
// ends below the position that the boxes have read to.
#include <CppUTest/TestHarness.h>

#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr LogPosition kBefore{1, 57};
constexpr LogPosition kReturned{2, 50};

auto IdOfBox(int box) -> BoxId {
  return BoxIdOf("box-" + std::to_string(box));
}

// Both boxes use version 9 at kBefore, and know that of each other.
auto TwoBoxes() -> std::unique_ptr<testing::SharedNodes> {
  auto nodes =
      std::make_unique<testing::SharedNodes>(2, std::vector<TargetEntry>());
  for (int box = 0; box < 2; ++box) {
    nodes->at(box).SetConfigPosition(kBefore, 9);
    nodes->at(box).SetDirectory(1, nodes->now());
  }
  for (int step = 0; step < 40; ++step)
    nodes->Step(Millis(50));
  return nodes;
}

TEST_GROUP(ConfigAfterReturn){};

// Guards against a box that takes itself for up to date, as its offset is the
// higher one.
TEST(ConfigAfterReturn, ABoxThatReadsTheNewEraIsAheadOfOneAtAHigherOffset) {
  const auto nodes = TwoBoxes();
  nodes->at(0).SetConfigPosition(kReturned, 9);
  nodes->Step(Millis(1));
  CHECK(nodes->at(1).HighestConfigPosition().first == kReturned);
  const std::optional<BoxId> source =
      nodes->at(1).ConfigSource({}, nodes->now());
  CHECK(source == IdOfBox(0));
  CHECK(nodes->at(1).pending_changes().OldestAge(nodes->now() + Millis(9)) >
        Millis(0));
}

// Guards against a box that reads nothing while a peer of another era confirms
// its own configuration.
TEST(ConfigAfterReturn, AConfirmationCountsInItsOwnEraAlone) {
  for (const bool same_era : {false, true}) {
    const auto nodes = TwoBoxes();
    nodes->at(0).SetConfigPosition(same_era ? kBefore : kReturned, 9);
    nodes->Step(Millis(1));
    nodes->at(0).OnConfigConfirmed(nodes->now());
    for (int step = 0; step < 20; ++step)
      nodes->Step(Millis(25));
    CHECK_EQUAL(same_era, !nodes->at(1).IsConfigUnconfirmed(nodes->now()));
  }
}

// Guards against a box that starts after the return and runs the version of the
// copy while all others run a later one.
TEST(ConfigAfterReturn, ABoxAtTheVersionOfTheCopyAsksOneWithALaterVersion) {
  const auto nodes = TwoBoxes();
  nodes->at(0).SetConfigPosition(kReturned, 9);
  nodes->at(1).SetConfigPosition(kReturned, 8);
  for (int step = 0; step < 20; ++step)
    nodes->Step(Millis(50));
  LONGS_EQUAL(9, nodes->at(1).HighestConfigVersion(nodes->now()));
  CHECK(nodes->at(1).ConfigSource({}, nodes->now()) == IdOfBox(0));
  CHECK(!nodes->at(0).ConfigSource({}, nodes->now()));
}

// Guards against targets that count as uncertain long after the return, as the
// box learns of the era only when it reads the store itself.
TEST(ConfigAfterReturn, RecordsAreUncertainFromTheFirstReportOfTheNewEra) {
  const auto nodes = TwoBoxes();
  Node& informed = nodes->at(1);
  const auto uncertain = [&] {
    return informed.store_availability().RecordsMayHaveExpired(nodes->now());
  };
  CHECK(!uncertain());
  nodes->at(0).SetConfigPosition(kReturned, 9);
  nodes->Step(Millis(1));
  CHECK(uncertain());
  for (Millis t; t < StoreAvailability::kRewriteTime; t = t + Millis(50))
    nodes->Step(Millis(50));
  CHECK(!uncertain());
  informed.OnStoreEra(kReturned.era, nodes->now());
  CHECK(!uncertain());
}

}  // namespace
}  // namespace sparbend
