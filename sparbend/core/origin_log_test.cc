// The log of streams' origins: records that are read back, malformed ones, and
// what a box collects before it writes, against an oracle.
#include "sparbend/core/origin_log.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr Millis kWall(1'790'000'000'000);

auto RandomRecord() -> OriginRecord {
  return {*rc::gen::arbitrary<StreamKey>(),
          *rc::gen::arbitrary<RouteId>(),
          {*rc::gen::arbitrary<PoolId>(), *rc::gen::arbitrary<VersionId>()},
          *rc::gen::inRange<uint32_t>(1, 200'000)};
}

TEST_GROUP(OriginLogRecord){};

TEST(OriginLogRecord, IsReadBackWithTheTimeLeft) {
  testing::CheckHolds("records are read back", [] {
    std::vector<OriginRecord> written;
    const int count = *rc::gen::inRange(0, 30);
    for (int i = 0; i < count; ++i)
      written.push_back(RandomRecord());
    // Negative: the writer's clock is ahead.
    const int age = *rc::gen::inRange(-100'000, 200'000);
    std::vector<OriginRecord> expected;
    for (OriginRecord record : written) {
      const int64_t left = int64_t{record.left_ms} - std::max(age, 0);
      record.left_ms = static_cast<uint32_t>(std::max<int64_t>(left, 0));
      if (left > 0)
        expected.push_back(record);
    }
    const auto read = DecodeOriginLogRecord(
        EncodeOriginLogRecord(written, kWall), kWall + Millis(age));
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == expected);
  });
}

TEST(OriginLogRecord, MalformedIsSkipped) {
  const std::string good =
      EncodeOriginLogRecord({{1, 2, {3, 4}, 5'000}}, kWall);
  struct Case {
    const char* what;
    std::string bytes;
  };
  const Case cases[] = {
      {"empty", ""},
      {"no time", good.substr(0, 1)},
      {"cut", good.substr(0, good.size() - 1)},
      {"too long", good + "x"},
      {"another format", std::string(1, '\2') + good.substr(1)},
      {"text", "{\"streams\": []}"},
  };
  for (const Case& row : cases)
    CHECK_TEXT(!DecodeOriginLogRecord(row.bytes, kWall), row.what);
  testing::CheckHolds("any bytes are read without harm", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    const auto read = DecodeOriginLogRecord(bytes, kWall);
    RC_ASSERT(!read || read->size() <= bytes.size());
  });
}

TEST_GROUP(UnwrittenOrigins){};

// Streams are written in order, each once, without those that have expired.
TEST(UnwrittenOrigins, AreAsAnOracleKeepsThem) {
  testing::CheckHolds("all streams are taken", [] {
    UnwrittenOrigins unwritten;
    std::deque<StreamOriginTable::Row> oracle;
    StreamKey last = 0;
    Millis now;
    const auto steps = *rc::gen::container<std::vector<int>>(
        20, rc::gen::inRange<int>(-1, 3'000));
    for (const int step : steps) {
      now = now + Millis(1'000);
      std::vector<StreamOriginTable::Row> rows;
      for (int i = 0; i < step; ++i)
        rows.push_back({++last, {{1, 2}, 3, now + Millis(i % 5 * 1'000)}});
      unwritten.Add(rows);
      oracle.insert(oracle.end(), rows.begin(), rows.end());
      while (oracle.size() > kMaxUnwrittenStreams)
        oracle.pop_front();
      if (step >= 0)
        continue;
      std::vector<OriginRecord> expected;
      while (!oracle.empty() && expected.size() < kMaxStreamsPerLogRecord) {
        const auto& [stream, entry] = oracle.front();
        if (entry.expires > now)
          expected.push_back(
              {stream, entry.route, entry.origin,
               static_cast<uint32_t>((entry.expires - now).count())});
        oracle.pop_front();
      }
      const std::string record = unwritten.Take(now, kWall);
      RC_ASSERT(record.empty() == expected.empty());
      if (!record.empty())
        RC_ASSERT(DecodeOriginLogRecord(record, kWall) == expected);
    }
    RC_ASSERT(unwritten.size() == oracle.size());
  });
}

TEST(UnwrittenOrigins, AllBoxesTogetherWriteSeldom) {
  struct Case {
    size_t boxes;
    int64_t most_per_s;
  };
  // The users' stores take 400 writes a second for 9 boxes, 1,200 for some 85.
  const Case cases[] = {{1, 10}, {3, 30}, {9, 90}, {85, 120}, {300, 120}};
  for (const Case& row : cases)
    CHECK_COMPARE(static_cast<int64_t>(row.boxes) * 1'000, <=,
                  row.most_per_s * OriginAppendInterval(row.boxes).count());
}

}  // namespace
}  // namespace sparbend
