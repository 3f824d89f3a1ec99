#include "sparbend/core/quarantine_record.h"

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr Millis kWallTime(1'700'000'000'500);

TEST_GROUP(QuarantineRecord){};

TEST(QuarantineRecord, RoundTripAddsTheElapsedTimeToAges) {
  const std::vector<Suspicion> rows = {{{1, 2, 3}, 4, 5, 6},
                                       {{UINT32_MAX, 0, 1}, 0, 2, 0}};
  Json record = {{"hall", "h"}};
  record["quarantine"] = QuarantineToJson(rows, kWallTime);
  CHECK(QuarantineFrom(record, kWallTime) == rows);
  std::vector<Suspicion> older = rows;
  for (Suspicion& row : older)
    row.age_s += 30;
  CHECK(QuarantineFrom(record, kWallTime + Millis(30'000)) == older);
}

// Wall clocks may jump, and differ between boxes.
TEST(QuarantineRecord, RowFromTheFutureHasAgeZero) {
  Json record;
  record["quarantine"] = QuarantineToJson({{{1, 2, 3}, 0, 2, 0}}, kWallTime);
  const auto read = QuarantineFrom(record, kWallTime - Millis(5'000));
  LONGS_EQUAL(1, read.size());
  LONGS_EQUAL(0, read.front().age_s);
}

TEST(QuarantineRecord, SkipsMalformedRows) {
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
    CHECK_TEXT(QuarantineFrom(*record, kWallTime).empty(), text);
  }
}

TEST(QuarantineRecord, BoundsTheNumberOfRows) {
  const std::vector<Suspicion> rows(1'000, Suspicion{{1, 2, 3}, 0, 2, 0});
  LONGS_EQUAL(kMaxPersistedRows, QuarantineToJson(rows, kWallTime).size());
  Json many = Json::array();
  for (const Suspicion& row : rows)
    many.push_back(QuarantineToJson({row}, kWallTime).front());
  LONGS_EQUAL(kMaxPersistedRows,
              QuarantineFrom(Json{{"quarantine", many}}, kWallTime).size());
}

}  // namespace
}  // namespace sparbend
