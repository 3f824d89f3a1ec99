// Records that appear, are removed and expire, in different orders.
#include "sparbend/core/target_table.h"

#include "testing/properties.h"

namespace sparbend {
namespace {

auto At(int64_t offset) -> LogPosition {
  return {1, offset};
}

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
  CHECK(table.Put(Entry("a"), At(1), Millis(0)));
  CHECK(!table.Put(Entry("a"), At(2), Millis(0)));  // only a new heartbeat
  CHECK(table.Put(Entry("a", true), At(3), Millis(0)));
  // An older record does not undo leaving, ...
  CHECK(!table.Put(Entry("a"), At(1), Millis(0)));
  STRCMP_EQUAL("a- ", Names(table).c_str());
  CHECK(table.Drop("a", At(5), Removal::kConfirmed));
  // ... nor a removal.
  CHECK(!table.Put(Entry("a"), At(4), Millis(0)));
  CHECK(table.Put(Entry("a"), At(6), Millis(0)));
  CHECK(!table.Drop("a", At(5), Removal::kConfirmed));
  STRCMP_EQUAL("a ", Names(table).c_str());
}

TEST(TargetTable, DelayedHeartbeatIsIgnored) {
  const auto entry = [](bool leaving, int64_t beat) {
    TargetEntry with_beat = Entry("a", leaving);
    with_beat.beat = beat;
    return with_beat;
  };
  CHECK(table.Put(entry(false, 5), At(1), Millis(0)));
  CHECK(table.Put(entry(true, 7), At(2), Millis(0)));
  // A delayed record does not undo leaving, ...
  CHECK(!table.Put(entry(false, 6), At(3), Millis(0)));
  STRCMP_EQUAL("a- ", Names(table).c_str());
  CHECK(table.Drop("a", At(4), Removal::kConfirmed));
  // ... nor a removal.
  CHECK(!table.Put(entry(false, 6), At(5), Millis(0)));
  STRCMP_EQUAL("", Names(table).c_str());
  CHECK(table.Put(entry(false, 8), At(6), Millis(0)));
  STRCMP_EQUAL("a ", Names(table).c_str());
}

TEST(TargetTable, TargetRemovedByAPeersListIsNotRestoredByAStalePeer) {
  table.Put(Entry("a"), At(3), Millis(0));
  CHECK(table.RetainFromPeer({}, At(9), Removal::kConfirmed));
  // Reported by a box that was cut off.
  CHECK(!table.Put(Entry("a"), At(3), Millis(0)));
  STRCMP_EQUAL("", Names(table).c_str());
  CHECK(table.Put(Entry("a"), At(9), Millis(0)));  // a newer record
  STRCMP_EQUAL("a ", Names(table).c_str());
}

TEST(TargetTable, FullListRemovesUnnamedTargetsUnlessTheyAreNewer) {
  table.Put(Entry("old"), At(1), Millis(0));
  table.Put(Entry("new"), At(9), Millis(0));
  CHECK(table.Retain({}, At(5), Removal::kConfirmed));
  STRCMP_EQUAL("new ", Names(table).c_str());
}

TEST(TargetTable, TargetsWhoseRecordsMayHaveExpiredAreKeptUntilRemoved) {
  table.Put(Entry("back"), At(1), Millis(0));
  table.Put(Entry("gone"), At(2), Millis(0));
  table.Put(Entry("unlisted"), At(3), Millis(0));
  CHECK(!table.Drop("back", At(4), Removal::kUnconfirmed));
  CHECK(!table.Drop("gone", At(5), Removal::kUnconfirmed));
  CHECK(!table.Retain({}, At(6), Removal::kUnconfirmed));
  STRCMP_EQUAL("back gone unlisted ", Names(table).c_str());
  table.Put(Entry("back"), At(6), Millis(0));
  CHECK(table.RemoveExpiredTargets());
  STRCMP_EQUAL("back ", Names(table).c_str());
  CHECK(!table.RemoveExpiredTargets());
  // Reported by a box that is behind.
  CHECK(!table.Put(Entry("gone"), At(2), Millis(0)));
  STRCMP_EQUAL("back ", Names(table).c_str());
}

TEST(TargetTable, ConfirmedDropRemovesAKeptTarget) {
  table.Put(Entry("a"), At(1), Millis(0));
  CHECK(!table.Drop("a", At(2), Removal::kUnconfirmed));
  CHECK(table.Drop("a", At(3), Removal::kConfirmed));
  STRCMP_EQUAL("", Names(table).c_str());
}

TEST(TargetTable, PeersListDecidesWhichRecordsMayHaveExpired) {
  table.Put(Entry("a"), At(1), Millis(0));
  table.Put(Entry("b"), At(2), Millis(0));
  table.Put(Entry("c"), At(3), Millis(0));
  table.SetRecordExpired("b", At(2));
  table.SetRecordExpired("c", At(2));  // ignored: the known record is newer
  CHECK(table.RetainFromPeer({"b", "c"}, At(4), Removal::kConfirmed));
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
        table.Put(Entry(name), At(offset), Millis(0));
      else if (seen)
        table.Drop(name, At(offset), Removal::kConfirmed);
      ++offset;
    }
    // A full list gives the offset of each of its records. Any offset that is
    // below its end and not below those read before has the same effect.
    for (const std::string& name : expected)
      table.Put(Entry(name), At(offset), Millis(0));
    table.Retain(expected, At(offset + 1), Removal::kConfirmed);
    std::set<std::string> names;
    for (const TargetEntry& entry : table.entries(Millis(0)))
      names.insert(entry.name);
    RC_ASSERT(names == expected);
  });
}

// Guards against an entry that outlives its target, as its removal stands at a
// lower offset than the entry itself after the store came back from a copy.
TEST(TargetTable, ARemovalOfALaterEraIsNewerAtALowerOffset) {
  TargetTable table;
  table.Put(Entry("a"), {1, 45}, Millis(0));
  table.Put(Entry("b"), {1, 46}, Millis(0));
  CHECK(table.Drop("a", {2, 31}, Removal::kConfirmed));
  STRCMP_EQUAL("b ", Names(table).c_str());
  CHECK(table.Retain({}, {2, 32}, Removal::kConfirmed));
  STRCMP_EQUAL("", Names(table).c_str());
  CHECK(!table.Put(Entry("a"), {1, 47}, Millis(0)));
  CHECK(table.Put(Entry("a"), {2, 33}, Millis(0)));
}

// Guards against a live target that is removed, as a peer that knows nothing
// else than the copy does not list it.
TEST(TargetTable, APeersListOfALaterEraMayLackTargetsForAWhile) {
  for (const bool listed_anew : {false, true}) {
    TargetTable table;
    table.Put(Entry("a"), {1, 45}, Millis(0));
    table.Put(Entry("b"), {2, 3}, Millis(0));
    if (listed_anew) {
      CHECK(table.RetainFromPeer({}, {2, 9}, Removal::kUnconfirmed));
    } else {
      CHECK(!table.DropFromPeer("a", {2, 8}, Removal::kUnconfirmed));
      CHECK(table.DropFromPeer("b", {2, 8}, Removal::kUnconfirmed));
    }
    STRCMP_EQUAL("a ", Names(table).c_str());
    CHECK(table.RetainFromPeer({}, {2, 9}, Removal::kConfirmed));
    STRCMP_EQUAL("", Names(table).c_str());
  }
}

}  // namespace
}  // namespace sparbend
