// Symptom: a target that started again under its name was not believed until it
// had counted its signs of life past those of its old life: for up to minutes
// boxes went by the old address, state, hall, prefixes and speed. Cause: its
// count of signs of life starts anew, and whatever counts lower was taken for
// late.
//
// Symptom: bytes of another writer under a target's name left standing what was
// known of that name, and a state that nobody knows was taken for leaving.
#include <vector>

#include "sparbend/core/target_table.h"

#include "testing/properties.h"

namespace sparbend {
namespace {

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
  const char* known;  // "born/beat", with "-" for leaving; empty: nothing
};

auto Tell(const TargetTable& book) -> std::string {
  std::string text;
  for (const auto& [name, known] : book.known())
    text += std::to_string(known.entry.started_at_ms) + "/" +
            std::to_string(known.entry.beat) + (known.entry.leaving ? "-" : "");
  return text;
}

void Play(const Step& step, TargetTable* book) {
  switch (step.kind) {
    case Step::Kind::kPut:
      book->Put(step.entry, step.offset, Millis(0));
      break;
    case Step::Kind::kDrop:
      book->Drop("a", step.offset, Removal::kConfirmed);
      break;
    case Step::Kind::kRefute:
      book->RejectRecord("a", step.offset);
      break;
  }
}

TEST_GROUP(TargetRestarts){};

TEST(TargetRestarts, TheLastBirthIsBelievedInWhateverOrderWordsCome) {
  const std::vector<Row> rows = {
      {"a later birth counts anew",
       {Put(1, Entry(100, 50)), Put(2, Entry(200, 1))},
       "200/1"},
      {"it is not leaving because the old one was",
       {Put(1, Entry(100, 50, true)), Put(2, Entry(200, 1))},
       "200/1"},
      {"a late sign of the old life changes nothing",
       {Put(1, Entry(100, 50)), Put(2, Entry(200, 1)), Put(3, Entry(100, 51))},
       "200/1"},
      {"nor does the old life's drop by a list that is behind",
       {Put(4, Entry(200, 1)), Drop(3)},
       "200/1"},
      {"a birth after a drop",
       {Put(1, Entry(100, 50)), Drop(2), Put(3, Entry(200, 1))},
       "200/1"},
      {"the old life does not come back after its successor's drop",
       {Put(1, Entry(100, 50)), Put(2, Entry(200, 1)), Drop(3),
        Put(4, Entry(100, 60))},
       ""},
      {"a birth read before the drop of the old life",
       {Put(1, Entry(100, 50)), Put(3, Entry(200, 1)), Drop(2)},
       "200/1"},
  };
  for (const Row& row : rows) {
    TargetTable book;
    for (const Step& step : row.steps)
      Play(step, &book);
    STRCMP_EQUAL_TEXT(row.known, Tell(book).c_str(), row.what);
  }
}

TEST(TargetRestarts, ARecordOfNoTargetEndsWhatStoodUnderItsName) {
  const std::vector<Row> rows = {
      {"at once", {Put(1, Entry(100, 5)), RejectRecord(2)}, ""},
      {"until the target tells of itself again",
       {Put(1, Entry(100, 5)), RejectRecord(2), Put(3, Entry(100, 6))},
       "100/6"},
      {"an older one changes nothing",
       {Put(3, Entry(100, 5)), RejectRecord(2)},
       "100/5"},
      {"what was known before does not come back",
       {Put(1, Entry(100, 5)), RejectRecord(2), Put(1, Entry(100, 5))},
       ""},
  };
  for (const Row& row : rows) {
    TargetTable book;
    for (const Step& step : row.steps)
      Play(step, &book);
    STRCMP_EQUAL_TEXT(row.known, Tell(book).c_str(), row.what);
  }
}

// A store that is away excuses a lapse, not a record that names no target.
TEST(TargetRestarts, ARecordOfNoTargetEndsItWhileTheStoreSettlesToo) {
  TargetTable book;
  book.Put(Entry(100, 5), 1, Millis(0));
  CHECK(!book.Drop("a", 2, Removal::kUnconfirmed));
  CHECK(book.RejectRecord("a", 3));
  STRCMP_EQUAL("", Tell(book).c_str());
}

TEST(TargetRestarts, EachLifeHasANumberOfItsOwn) {
  CHECK(IdOf(Entry(100, 1)) != IdOf(Entry(200, 1)));
  CHECK(IdOf(Entry(100, 1)) == IdOf(Entry(100, 9)));
  LONGS_EQUAL(TargetIdOf("a"), IdOf(Entry(0, 1)));
}

// Lives with their signs of life, some of them written late, read in any order
// and some of them not at all: the book ends with the last sign of the last
// life.
TEST(TargetRestarts, EndsWithTheLastSignOfTheLastLife) {
  testing::CheckHolds("last life", [] {
    const auto lives = *rc::gen::container<std::vector<int>>(
        4, rc::gen::inRange(1, 5));  // signs of life in each
    std::vector<std::pair<int64_t, TargetEntry>> records;
    for (size_t life = 0; life < lives.size(); ++life) {
      for (int beat = 1; beat <= lives[life]; ++beat) {
        const auto late = *rc::gen::inRange(0, 3);
        records.emplace_back(
            static_cast<int64_t>(records.size()) * 10 + late * 25,
            Entry(static_cast<int64_t>(life + 1) * 100, beat));
      }
    }
    const TargetEntry last = records.back().second;
    const auto order = *rc::gen::container<std::vector<size_t>>(
        20, rc::gen::inRange<size_t>(0, records.size()));
    TargetTable book;
    for (const size_t i : order)
      book.Put(records[i].second, records[i].first, Millis(0));
    int64_t end = 0;
    for (const auto& [offset, entry] : records)
      end = std::max(end, offset);
    book.Put(last, end + 1, Millis(0));
    for (const size_t i : order)
      book.Put(records[i].second, records[i].first, Millis(0));
    RC_ASSERT(book.known().at("a").entry.started_at_ms == last.started_at_ms);
    RC_ASSERT(book.known().at("a").entry.beat == last.beat);
  });
}

}  // namespace
}  // namespace sparbend
