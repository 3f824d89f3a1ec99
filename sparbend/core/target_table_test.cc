// Records that come, go and lapse, in tables of steps.
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

auto Names(const TargetTable& book) -> std::string {
  std::string names;
  for (const TargetEntry& entry : book.entries(Millis(0)))
    names += entry.name + (entry.leaving ? "-" : "") + " ";
  return names;
}

TEST_GROUP(TargetTable) {
  TargetTable book;
};

TEST(TargetTable, TheNewerOffsetWinsInWhateverOrderRecordsAreRead) {
  CHECK(book.Put(Entry("a"), 1, Millis(0)));
  CHECK(!book.Put(Entry("a"), 2, Millis(0)));  // a sign of life changes nothing
  CHECK(book.Put(Entry("a", true), 3, Millis(0)));
  CHECK(!book.Put(Entry("a"), 1,
                  Millis(0)));  // an old copy does not undo leaving
  STRCMP_EQUAL("a- ", Names(book).c_str());
  CHECK(book.Drop("a", 5, Removal::kFinal));
  CHECK(!book.Put(Entry("a"), 4, Millis(0)));  // nor bring back what is gone
  CHECK(book.Put(Entry("a"), 6, Millis(0)));
  CHECK(!book.Drop("a", 5, Removal::kFinal));
  STRCMP_EQUAL("a ", Names(book).c_str());
}

TEST(TargetTable, ADelayedSignOfLifeUndoesNothing) {
  const auto entry = [](bool leaving, int64_t beat) {
    TargetEntry made = Entry("a", leaving);
    made.beat = beat;
    return made;
  };
  CHECK(book.Put(entry(false, 5), 1, Millis(0)));
  CHECK(book.Put(entry(true, 7), 2, Millis(0)));
  CHECK(!book.Put(entry(false, 6), 3, Millis(0)));  // written late
  STRCMP_EQUAL("a- ", Names(book).c_str());
  CHECK(book.Drop("a", 4, Removal::kFinal));
  CHECK(!book.Put(entry(false, 6), 5, Millis(0)));  // nor does it bring it back
  STRCMP_EQUAL("", Names(book).c_str());
  CHECK(book.Put(entry(false, 8), 6, Millis(0)));
  STRCMP_EQUAL("a ", Names(book).c_str());
}

TEST(TargetTable, WhatAPeerSaidIsGoneIsNotBroughtBackByAnotherThatIsBehind) {
  book.Put(Entry("a"), 3, Millis(0));
  CHECK(book.RetainTold({}, 9));
  CHECK(!book.Put(Entry("a"), 3, Millis(0)));  // told by a box that was cut off
  STRCMP_EQUAL("", Names(book).c_str());
  CHECK(book.Put(Entry("a"), 9, Millis(0)));  // a record written since
  STRCMP_EQUAL("a ", Names(book).c_str());
}

TEST(TargetTable, AListEndsWhatItDoesNotNameUnlessThatIsNewer) {
  book.Put(Entry("old"), 1, Millis(0));
  book.Put(Entry("new"), 9, Millis(0));
  CHECK(book.Retain({}, 5, Removal::kFinal));
  STRCMP_EQUAL("new ", Names(book).c_str());
}

TEST(TargetTable, TargetsThatMayHaveLapsedAreKeptUntilTheyAreEnded) {
  book.Put(Entry("back"), 1, Millis(0));
  book.Put(Entry("gone"), 2, Millis(0));
  book.Put(Entry("unlisted"), 3, Millis(0));
  CHECK(!book.Drop("back", 4, Removal::kDoubtful));
  CHECK(!book.Drop("gone", 5, Removal::kDoubtful));
  CHECK(!book.Retain({}, 6, Removal::kDoubtful));
  STRCMP_EQUAL("back gone unlisted ", Names(book).c_str());
  book.Put(Entry("back"), 6, Millis(0));
  CHECK(book.EndLapsed());
  STRCMP_EQUAL("back ", Names(book).c_str());
  CHECK(!book.EndLapsed());
  // Told by a box that is behind.
  CHECK(!book.Put(Entry("gone"), 2, Millis(0)));
  STRCMP_EQUAL("back ", Names(book).c_str());
}

TEST(TargetTable, AFinalDropEndsWhatWasKept) {
  book.Put(Entry("a"), 1, Millis(0));
  CHECK(!book.Drop("a", 2, Removal::kDoubtful));
  CHECK(book.Drop("a", 3, Removal::kFinal));
  STRCMP_EQUAL("", Names(book).c_str());
}

TEST(TargetTable, AnotherBoxHasJudgedLapsesItself) {
  book.Put(Entry("a"), 1, Millis(0));
  book.Put(Entry("b"), 2, Millis(0));
  book.Put(Entry("c"), 3, Millis(0));
  book.SetLapsed("b", 2);
  book.SetLapsed("c", 2);  // its record is newer than the one told of
  CHECK(book.RetainTold({"b", "c"}, 4));
  STRCMP_EQUAL("b c ", Names(book).c_str());
  CHECK(book.EndLapsed());
  STRCMP_EQUAL("c ", Names(book).c_str());
}

// Whatever order whole lists and single records are read in, the book ends
// where the log does.
TEST(TargetTable, EndsWhereTheLogDoes) {
  testing::CheckHolds("end of the log", [] {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::arbitrary<bool>()));
    TargetTable book;
    std::set<std::string> truth;
    int64_t offset = 0;
    for (const auto& [target, there] : steps) {
      const std::string name = std::to_string(target);
      if (there)
        truth.insert(name);
      else
        truth.erase(name);
      const bool seen = *rc::gen::arbitrary<bool>();
      if (seen && there)
        book.Put(Entry(name), offset, Millis(0));
      else if (seen)
        book.Drop(name, offset, Removal::kFinal);
      ++offset;
    }
    // The list that makes good what was not seen names its records' offsets;
    // any offset below the end will do for the book.
    for (const std::string& name : truth)
      book.Put(Entry(name), offset, Millis(0));
    book.Retain(truth, offset + 1, Removal::kFinal);
    std::set<std::string> names;
    for (const TargetEntry& entry : book.entries(Millis(0)))
      names.insert(entry.name);
    RC_ASSERT(names == truth);
  });
}

}  // namespace
}  // namespace sparbend
