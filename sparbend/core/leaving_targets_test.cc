// A target that leaves was used again when its record had gone and come back.
#include "sparbend/core/leaving_targets.h"

#include <CppUTest/TestHarness.h>

#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr TargetId kTarget = 7;

TEST_GROUP(LeavingTargets){};

TEST(LeavingTargets, AreRememberedForATimeOffTheList) {
  struct Look {
    int64_t at;
    bool listed;
    bool leaving;
  };
  struct Case {
    const char* what;
    Millis kept;
    std::vector<Look> looks;
  };
  const Case cases[] = {
      {"stays listed",
       Millis(1'000),
       {{0, true, true}, {60'000, true, true}, {120'000, true, true}}},
      {"comes back in time",
       Millis(1'000),
       {{0, false, true},
        {999, false, true},
        {999, true, true},
        {5'000, false, true},
        {5'999, false, true}}},
      {"comes back too late",
       Millis(1'000),
       {{0, false, true}, {1'000, false, false}, {1'001, true, false}}},
      {"names are used again", Millis(0), {{0, false, false}}},
  };
  for (const Case& row : cases) {
    LeavingTargets leaving(row.kept);
    CHECK_TEXT(leaving.Add(kTarget), row.what);
    CHECK_TEXT(!leaving.Add(kTarget), row.what);
    for (const Look& look : row.looks) {
      leaving.SetListed([&](TargetId) { return look.listed; }, Millis(look.at));
      CHECK_EQUAL_TEXT(look.leaving, leaving.Contains(kTarget), row.what);
      CHECK_EQUAL_TEXT(look.leaving && look.listed, !leaving.Listed().empty(),
                       row.what);
    }
  }
}

TEST(LeavingTargets, AreKnownBeforeABoxHasThemInItsList) {
  testing::SharedNodes nodes(2, testing::EngineTargets(2, 4));
  Node& behind = nodes.at(1);
  const MemberList listed = behind.members().list();
  MemberList without = listed;
  without.version = 2;
  without.targets.pop_back();
  behind.SetList(without, nodes.now());
  const TargetId target = TargetIdOf("target-1");
  nodes.at(0).OnTargetLeaving(target);
  for (int i = 0; i < 100; ++i)
    nodes.Step(Millis(10));
  MemberList again = listed;
  again.version = 3;
  behind.SetList(again, nodes.now());
  CHECK(behind.IsTargetLeaving(target));
  CHECK(!behind.IsTargetLeaving(TargetIdOf("target-0")));
}

}  // namespace
}  // namespace sparbend
