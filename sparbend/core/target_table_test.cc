// Records that appear, are removed and expire, in different orders.
#include "sparbend/core/target_table.h"

#include "testing/properties.h"

namespace sparbend {
namespace {

auto Entry(const std::string& name, bool leaving = false) -> TargetEntry {
  TargetEntry entry;
  entry.name = name;
  entry.leaving = leaving;
  return entry;
}

// The names of the targets, those of leaving ones followed by "-".
auto Names(const TargetTable& table) -> std::string {
  std::string names;
  for (const TargetEntry& entry : table.entries(Millis(0)))
    names += entry.name + (entry.leaving ? "-" : "") + " ";
  return names;
}

TEST_GROUP(TargetTable) {
  TargetTable table;
};

TEST(TargetTable, HigherOffsetWinsInAnyOrder) {
  CHECK(table.Put(Entry("a"), 1, Millis(0)));
  CHECK(!table.Put(Entry("a"), 2, Millis(0)));  // only a new heartbeat
  CHECK(table.Put(Entry("a", true), 3, Millis(0)));
  // An older record does not undo leaving, ...
  CHECK(!table.Put(Entry("a"), 1, Millis(0)));
  STRCMP_EQUAL("a- ", Names(table).c_str());
  CHECK(table.Drop("a", 5, Removal::kConfirmed));
  // ... nor a removal.
  CHECK(!table.Put(Entry("a"), 4, Millis(0)));
  CHECK(table.Put(Entry("a"), 6, Millis(0)));
  CHECK(!table.Drop("a", 5, Removal::kConfirmed));
  STRCMP_EQUAL("a ", Names(table).c_str());
}

TEST(TargetTable, DelayedHeartbeatIsIgnored) {
  const auto entry = [](bool leaving, int64_t beat) {
    TargetEntry with_beat = Entry("a", leaving);
    with_beat.beat = beat;
    return with_beat;
  };
  CHECK(table.Put(entry(false, 5), 1, Millis(0)));
  CHECK(table.Put(entry(true, 7), 2, Millis(0)));
  // A delayed record does not undo leaving, ...
  CHECK(!table.Put(entry(false, 6), 3, Millis(0)));
  STRCMP_EQUAL("a- ", Names(table).c_str());
  CHECK(table.Drop("a", 4, Removal::kConfirmed));
  // ... nor a removal.
  CHECK(!table.Put(entry(false, 6), 5, Millis(0)));
  STRCMP_EQUAL("", Names(table).c_str());
  CHECK(table.Put(entry(false, 8), 6, Millis(0)));
  STRCMP_EQUAL("a ", Names(table).c_str());
}

TEST(TargetTable, TargetRemovedByAPeersListIsNotRestoredByAStalePeer) {
  table.Put(Entry("a"), 3, Millis(0));
  CHECK(table.RetainFromPeer({}, 9));
  // Reported by a box that was cut off.
  CHECK(!table.Put(Entry("a"), 3, Millis(0)));
  STRCMP_EQUAL("", Names(table).c_str());
  CHECK(table.Put(Entry("a"), 9, Millis(0)));  // a newer record
  STRCMP_EQUAL("a ", Names(table).c_str());
}

TEST(TargetTable, FullListRemovesUnnamedTargetsUnlessTheyAreNewer) {
  table.Put(Entry("old"), 1, Millis(0));
  table.Put(Entry("new"), 9, Millis(0));
  CHECK(table.Retain({}, 5, Removal::kConfirmed));
  STRCMP_EQUAL("new ", Names(table).c_str());
}

TEST(TargetTable, TargetsWhoseRecordsMayHaveExpiredAreKeptUntilRemoved) {
  table.Put(Entry("back"), 1, Millis(0));
  table.Put(Entry("gone"), 2, Millis(0));
  table.Put(Entry("unlisted"), 3, Millis(0));
  CHECK(!table.Drop("back", 4, Removal::kUnconfirmed));
  CHECK(!table.Drop("gone", 5, Removal::kUnconfirmed));
  CHECK(!table.Retain({}, 6, Removal::kUnconfirmed));
  STRCMP_EQUAL("back gone unlisted ", Names(table).c_str());
  table.Put(Entry("back"), 6, Millis(0));
  CHECK(table.RemoveExpiredTargets());
  STRCMP_EQUAL("back ", Names(table).c_str());
  CHECK(!table.RemoveExpiredTargets());
  // Reported by a box that is behind.
  CHECK(!table.Put(Entry("gone"), 2, Millis(0)));
  STRCMP_EQUAL("back ", Names(table).c_str());
}

TEST(TargetTable, ConfirmedDropRemovesAKeptTarget) {
  table.Put(Entry("a"), 1, Millis(0));
  CHECK(!table.Drop("a", 2, Removal::kUnconfirmed));
  CHECK(table.Drop("a", 3, Removal::kConfirmed));
  STRCMP_EQUAL("", Names(table).c_str());
}

TEST(TargetTable, PeersListDecidesWhichRecordsMayHaveExpired) {
  table.Put(Entry("a"), 1, Millis(0));
  table.Put(Entry("b"), 2, Millis(0));
  table.Put(Entry("c"), 3, Millis(0));
  table.SetRecordExpired("b", 2);
  table.SetRecordExpired("c", 2);  // ignored: the known record is newer
  CHECK(table.RetainFromPeer({"b", "c"}, 4));
  STRCMP_EQUAL("b c ", Names(table).c_str());
  CHECK(table.RemoveExpiredTargets());
  STRCMP_EQUAL("c ", Names(table).c_str());
}

// Some records of the log are read in order, the others are missed. A full list
// at the end brings the table to the state of the log.
TEST(TargetTable, FullListRestoresMissedRecords) {
  testing::CheckHolds("end of the log", [] {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::arbitrary<bool>()));
    TargetTable table;
    std::set<std::string> expected;
    int64_t offset = 0;
    for (const auto& [target, exists] : steps) {
      const std::string name = std::to_string(target);
      if (exists)
        expected.insert(name);
      else
        expected.erase(name);
      const bool seen = *rc::gen::arbitrary<bool>();
      if (seen && exists)
        table.Put(Entry(name), offset, Millis(0));
      else if (seen)
        table.Drop(name, offset, Removal::kConfirmed);
      ++offset;
    }
    // A full list gives the offset of each of its records. Any offset that is
    // below its end and not below those read before has the same effect.
    for (const std::string& name : expected)
      table.Put(Entry(name), offset, Millis(0));
    table.Retain(expected, offset + 1, Removal::kConfirmed);
    std::set<std::string> names;
    for (const TargetEntry& entry : table.entries(Millis(0)))
      names.insert(entry.name);
    RC_ASSERT(names == expected);
  });
}

}  // namespace
}  // namespace sparbend
