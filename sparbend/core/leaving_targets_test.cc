// Guards against requests that are sent to a leaving target again after its
// record was missing from the list for a while and came back.
#include "sparbend/core/leaving_targets.h"

#include <CppUTest/TestHarness.h>

#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr TargetId kTarget = 7;

TEST_GROUP(LeavingTargets){};

TEST(LeavingTargets, AreRetainedForATimeOffTheList) {
  struct ListUpdate {
    int64_t at_ms;
    bool listed;   // whether the list names the target
    bool leaving;  // expected after the update
  };
  struct Case {
    const char* what;
    Millis retention;
    std::vector<ListUpdate> updates;
  };
  const Case cases[] = {
      {"stays listed",
       Millis(1'000),
       {{0, true, true}, {60'000, true, true}, {120'000, true, true}}},
      {"listed again within the retention time",
       Millis(1'000),
       {{0, false, true},
        {999, false, true},
        {999, true, true},
        {5'000, false, true},
        {5'999, false, true}}},
      {"listed again after the retention time",
       Millis(1'000),
       {{0, false, true}, {1'000, false, false}, {1'001, true, false}}},
      {"no retention, for ids that are reused", Millis(0), {{0, false, false}}},
  };
  for (const Case& row : cases) {
    LeavingTargets leaving(row.retention);
    CHECK_TEXT(leaving.Add(kTarget), row.what);
    CHECK_TEXT(!leaving.Add(kTarget), row.what);
    for (const ListUpdate& update : row.updates) {
      leaving.SetListed([&](TargetId) { return update.listed; },
                        Millis(update.at_ms));
      CHECK_EQUAL_TEXT(update.leaving, leaving.Contains(kTarget), row.what);
      CHECK_EQUAL_TEXT(update.leaving && update.listed,
                       !leaving.Listed().empty(), row.what);
    }
  }
}

TEST(LeavingTargets, AreRememberedByABoxWhoseListLacksThem) {
  testing::SharedNodes nodes(2, testing::EngineTargets(2, 4));
  Node& stale_node = nodes.at(1);
  const MemberList full_list = stale_node.members().list();
  MemberList shorter_list = full_list;
  shorter_list.version = 2;
  shorter_list.targets.pop_back();
  stale_node.SetList(shorter_list, nodes.now());
  const TargetId target = TargetIdOf("target-1");
  nodes.at(0).OnTargetLeaving(target);
  for (int i = 0; i < 100; ++i)
    nodes.Step(Millis(10));
  MemberList newer_list = full_list;
  newer_list.version = 3;
  stale_node.SetList(newer_list, nodes.now());
  CHECK(stale_node.IsTargetLeaving(target));
  CHECK(!stale_node.IsTargetLeaving(TargetIdOf("target-0")));
}

}  // namespace
}  // namespace sparbend
