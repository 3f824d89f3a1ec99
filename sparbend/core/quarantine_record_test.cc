#include "sparbend/core/quarantine_record.h"

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr Millis kNow(1'700'000'000'500);

TEST_GROUP(QuarantineRecord){};

TEST(QuarantineRecord, IsReadAsWrittenAndOlderByTheTimeBetween) {
  const std::vector<Suspicion> rows = {{{1, 2, 3}, 4, 5, 6},
                                       {{UINT32_MAX, 0, 1}, 0, 2, 0}};
  Json record = {{"hall", "h"}};
  record["quarantine"] = QuarantineToJson(rows, kNow);
  CHECK(QuarantineFrom(record, kNow) == rows);
  std::vector<Suspicion> older = rows;
  for (Suspicion& row : older)
    row.age_s += 30;
  CHECK(QuarantineFrom(record, kNow + Millis(30'000)) == older);
}

// Times of day may jump, and differ from box to box.
TEST(QuarantineRecord, FromTheFutureIsNew) {
  Json record;
  record["quarantine"] = QuarantineToJson({{{1, 2, 3}, 0, 2, 0}}, kNow);
  const auto read = QuarantineFrom(record, kNow - Millis(5'000));
  LONGS_EQUAL(1, read.size());
  LONGS_EQUAL(0, read.front().age_s);
}

TEST(QuarantineRecord, LeavesOutWhatDoesNotDecode) {
  const char* records[] = {
      "{}",
      "[]",
      "7",
      R"({"quarantine": 7})",
      R"({"quarantine": [7]})",
      R"({"quarantine": [{"workspace": -1, "ends": 2}]})",
      R"({"quarantine": [{"workspace": 4294967296}]})",
      R"({"quarantine": [{"body": "x"}]})",
  };
  for (const char* text : records) {
    const Result<Json> record = ParseJson(text, 1'000);
    CHECK(record.has_value());
    CHECK_TEXT(QuarantineFrom(*record, kNow).empty(), text);
  }
}

TEST(QuarantineRecord, IsBounded) {
  const std::vector<Suspicion> rows(1'000, Suspicion{{1, 2, 3}, 0, 2, 0});
  LONGS_EQUAL(kMostKept, QuarantineToJson(rows, kNow).size());
  Json many = Json::array();
  for (const Suspicion& row : rows)
    many.push_back(QuarantineToJson({row}, kNow).front());
  LONGS_EQUAL(kMostKept,
              QuarantineFrom(Json{{"quarantine", many}}, kNow).size());
}

}  // namespace
}  // namespace sparbend
