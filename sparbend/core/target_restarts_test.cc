// Guards against two failures of TargetTable:
//
// A target that restarted under its name was ignored, for up to minutes, until
// its heartbeat number exceeded that of its previous incarnation; meanwhile
// boxes used the old address, state, hall, prefixes and speed. Heartbeats
// restart from the beginning with the process, and a lower number was taken for
// a late record.
//
// A record written under a target's name by another writer left the previous
// entry of that name in place, and an unknown state was taken for leaving.
#include <vector>

#include "sparbend/core/target_table.h"

#include "testing/properties.h"

namespace sparbend {
namespace {

auto At(int64_t offset) -> LogPosition {
  return {1, offset};
}

auto Entry(int64_t started_at_ms, int64_t beat, bool leaving = false)
    -> TargetEntry {
  TargetEntry entry;
  entry.name = "a";
  entry.started_at_ms = started_at_ms;
  entry.beat = beat;
  entry.leaving = leaving;
  return entry;
}

struct Step {
  enum class Kind { kPut, kDrop, kRefute };
  Kind kind = Kind::kPut;
  int64_t offset = 0;
  TargetEntry entry;
};

auto Put(int64_t offset, TargetEntry entry) -> Step {
  return {Step::Kind::kPut, offset, std::move(entry)};
}

auto Drop(int64_t offset) -> Step {
  return {Step::Kind::kDrop, offset, {}};
}

auto RejectRecord(int64_t offset) -> Step {
  return {Step::Kind::kRefute, offset, {}};
}

struct Row {
  const char* what;
  std::vector<Step> steps;
  const char* known;  // "started_at_ms/beat", then "-" if leaving; empty: none
};

// The known entries, as in Row::known.
auto Describe(const TargetTable& table) -> std::string {
  std::string text;
  for (const auto& [name, known] : table.known())
    text += std::to_string(known.entry.started_at_ms) + "/" +
            std::to_string(known.entry.beat) + (known.entry.leaving ? "-" : "");
  return text;
}

void Apply(const Step& step, TargetTable* table) {
  switch (step.kind) {
    case Step::Kind::kPut:
      table->Put(step.entry, At(step.offset), Millis(0));
      break;
    case Step::Kind::kDrop:
      table->Drop("a", At(step.offset), Removal::kConfirmed);
      break;
    case Step::Kind::kRefute:
      table->RejectRecord("a", At(step.offset));
      break;
  }
}

TEST_GROUP(TargetRestarts){};

TEST(TargetRestarts, TheLatestIncarnationWinsInAnyOrderOfRecords) {
  const std::vector<Row> rows = {
      {"a later incarnation restarts the heartbeats",
       {Put(1, Entry(100, 50)), Put(2, Entry(200, 1))},
       "200/1"},
      {"it is not leaving because the old one was",
       {Put(1, Entry(100, 50, true)), Put(2, Entry(200, 1))},
       "200/1"},
      {"a late heartbeat of the old incarnation has no effect",
       {Put(1, Entry(100, 50)), Put(2, Entry(200, 1)), Put(3, Entry(100, 51))},
       "200/1"},
      {"nor has its drop by an outdated list",
       {Put(4, Entry(200, 1)), Drop(3)},
       "200/1"},
      {"a start after a drop",
       {Put(1, Entry(100, 50)), Drop(2), Put(3, Entry(200, 1))},
       "200/1"},
      {"the old incarnation does not return after its successor's drop",
       {Put(1, Entry(100, 50)), Put(2, Entry(200, 1)), Drop(3),
        Put(4, Entry(100, 60))},
       ""},
      {"a start read before the drop of the old incarnation",
       {Put(1, Entry(100, 50)), Put(3, Entry(200, 1)), Drop(2)},
       "200/1"},
  };
  for (const Row& row : rows) {
    TargetTable table;
    for (const Step& step : row.steps)
      Apply(step, &table);
    STRCMP_EQUAL_TEXT(row.known, Describe(table).c_str(), row.what);
  }
}

TEST(TargetRestarts, ARejectedRecordRemovesTheEntryOfItsName) {
  const std::vector<Row> rows = {
      {"immediately", {Put(1, Entry(100, 5)), RejectRecord(2)}, ""},
      {"until the target writes a record again",
       {Put(1, Entry(100, 5)), RejectRecord(2), Put(3, Entry(100, 6))},
       "100/6"},
      {"an older record has no effect",
       {Put(3, Entry(100, 5)), RejectRecord(2)},
       "100/5"},
      {"a record read before does not return",
       {Put(1, Entry(100, 5)), RejectRecord(2), Put(1, Entry(100, 5))},
       ""},
  };
  for (const Row& row : rows) {
    TargetTable table;
    for (const Step& step : row.steps)
      Apply(step, &table);
    STRCMP_EQUAL_TEXT(row.known, Describe(table).c_str(), row.what);
  }
}

// While the store is unavailable, a removed record is uncertain and does not
// remove its target. A record that is not a target's does remove it.
TEST(TargetRestarts, ARejectedRecordRemovesTheEntryDuringAStoreOutage) {
  TargetTable table;
  table.Put(Entry(100, 5), At(1), Millis(0));
  CHECK(!table.Drop("a", At(2), Removal::kUnconfirmed));
  CHECK(table.RejectRecord("a", At(3)));
  STRCMP_EQUAL("", Describe(table).c_str());
}

// Guards against a record of another writer whose start time or heartbeat is
// too high, and which made all later records of the live target stale.
TEST(TargetRestarts, AnOddRecordDoesNotOutlastTheTargetsOwnHeartbeats) {
  const std::vector<Row> rows = {
      {"a start in the far future",
       {Put(1, Entry(100, 5)), Put(2, Entry(INT64_MAX, 5)),
        Put(3, Entry(100, 6)), Put(4, Entry(100, 7)), Put(5, Entry(100, 8)),
        Put(6, Entry(100, 9))},
       "100/9"},
      {"a heartbeat that is too high",
       {Put(1, Entry(100, 5)), Put(2, Entry(100, INT64_MAX, true)),
        Put(3, Entry(100, 6)), Put(4, Entry(100, 7)), Put(5, Entry(100, 8))},
       "100/8"},
      {"a removal in between",
       {Put(1, Entry(INT64_MAX, 5)), RejectRecord(2), Put(3, Entry(100, 6)),
        Put(4, Entry(100, 7)), Put(5, Entry(100, 8)), Put(6, Entry(100, 9))},
       "100/9"},
      {"delayed records with one of the later incarnation among them",
       {Put(1, Entry(200, 1)), Put(2, Entry(100, 6)), Put(3, Entry(100, 7)),
        Put(4, Entry(200, 2)), Put(5, Entry(100, 8)), Put(6, Entry(100, 9))},
       "200/2"},
      {"one record that is read repeatedly",
       {Put(1, Entry(200, 1)), Put(2, Entry(100, 6)), Put(2, Entry(100, 6)),
        Put(2, Entry(100, 6)), Put(2, Entry(100, 6))},
       "200/1"},
  };
  for (const Row& row : rows) {
    TargetTable table;
    for (const Step& step : row.steps)
      Apply(step, &table);
    STRCMP_EQUAL_TEXT(row.known, Describe(table).c_str(), row.what);
  }
}

TEST(TargetRestarts, EachIncarnationHasItsOwnId) {
  CHECK(IdOf(Entry(100, 1)) != IdOf(Entry(200, 1)));
  CHECK(IdOf(Entry(100, 1)) == IdOf(Entry(100, 9)));
  LONGS_EQUAL(TargetIdOf("a"), IdOf(Entry(0, 1)));
}

// The heartbeats of several incarnations, some written late, are read in any
// order, and some not at all. The table ends with the last heartbeat of the
// last incarnation.
TEST(TargetRestarts, EndsWithTheLastHeartbeatOfTheLastIncarnation) {
  testing::CheckHolds("last incarnation", [] {
    const auto heartbeats = *rc::gen::container<std::vector<int>>(
        4, rc::gen::inRange(1, 5));  // count for each incarnation
    std::vector<std::pair<int64_t, TargetEntry>> records;
    for (size_t incarnation = 0; incarnation < heartbeats.size();
         ++incarnation) {
      for (int beat = 1; beat <= heartbeats[incarnation]; ++beat) {
        const auto delay = *rc::gen::inRange(0, 3);
        records.emplace_back(
            static_cast<int64_t>(records.size()) * 10 + delay * 25,
            Entry(static_cast<int64_t>(incarnation + 1) * 100, beat));
      }
    }
    const TargetEntry last = records.back().second;
    const auto order = *rc::gen::container<std::vector<size_t>>(
        20, rc::gen::inRange<size_t>(0, records.size()));
    TargetTable table;
    for (const size_t i : order)
      table.Put(records[i].second, At(records[i].first), Millis(0));
    int64_t end = 0;
    for (const auto& [offset, entry] : records)
      end = std::max(end, offset);
    table.Put(last, At(end + 1), Millis(0));
    for (const size_t i : order)
      table.Put(records[i].second, At(records[i].first), Millis(0));
    RC_ASSERT(table.known().at("a").entry.started_at_ms == last.started_at_ms);
    RC_ASSERT(table.known().at("a").entry.beat == last.beat);
  });
}

}  // namespace
}  // namespace sparbend
