// A record: the format's number (1 byte), the Unix time at which it was made
// (8), and for each stream its key (8), route (4), pool (2), version (4) and
// the time left in ms (4), big end first. Records of another format are
// skipped by readers.
//
// A record states facts that do not change, so one that is written twice or
// lost does not lead to a wrong answer. A clock that is ahead or behind changes
// only for how long a stream is known.
#include "sparbend/core/origin_log.h"

#include <algorithm>

namespace sparbend {
namespace {

constexpr uint64_t kFormat = 1;
constexpr size_t kHeadBytes = 1 + 8;
constexpr size_t kStreamBytes = 8 + 4 + 2 + 4 + 4;
// Of all boxes together: a fifth of the writes that a store takes from a fleet
// of 9 boxes, and less in larger ones.
constexpr int64_t kAppendsPerSecond = 80;
constexpr Millis kMinAppendInterval(100);

void Put(uint64_t number, int size, std::string* bytes) {
  for (int shift = 8 * (size - 1); shift >= 0; shift -= 8)
    *bytes += static_cast<char>(number >> shift & 0xff);
}

auto Take(size_t size, std::string_view* bytes) -> uint64_t {
  uint64_t number = 0;
  for (const char byte : bytes->substr(0, size))
    number = number << 8 | static_cast<unsigned char>(byte);
  bytes->remove_prefix(size);
  return number;
}

}  // namespace

auto EncodeOriginLogRecord(const std::vector<OriginRecord>& records,
                           Millis wall_now) -> std::string {
  std::string bytes;
  Put(kFormat, 1, &bytes);
  Put(static_cast<uint64_t>(wall_now.count()), 8, &bytes);
  for (const OriginRecord& record : records) {
    Put(record.stream, 8, &bytes);
    Put(record.route, 4, &bytes);
    Put(record.origin.pool, 2, &bytes);
    Put(record.origin.version, 4, &bytes);
    Put(record.left_ms, 4, &bytes);
  }
  return bytes;
}

auto DecodeOriginLogRecord(std::string_view bytes, Millis wall_now)
    -> std::optional<std::vector<OriginRecord>> {
  if (bytes.size() < kHeadBytes ||
      (bytes.size() - kHeadBytes) % kStreamBytes != 0 ||
      Take(1, &bytes) != kFormat)
    return std::nullopt;
  const uint64_t made = Take(8, &bytes);
  const auto wall = static_cast<uint64_t>(wall_now.count());
  // The clock of the box that wrote the record may be ahead of this box's.
  const uint64_t age = wall > made ? wall - made : 0;
  std::vector<OriginRecord> records;
  while (!bytes.empty()) {
    OriginRecord record;
    record.stream = Take(8, &bytes);
    record.route = static_cast<RouteId>(Take(4, &bytes));
    record.origin.pool = static_cast<PoolId>(Take(2, &bytes));
    record.origin.version = static_cast<VersionId>(Take(4, &bytes));
    const uint64_t left = Take(4, &bytes);
    if (left <= age)
      continue;
    record.left_ms = static_cast<uint32_t>(left - age);
    records.push_back(record);
  }
  return records;
}

auto OriginAppendInterval(size_t boxes) -> Millis {
  return std::max(kMinAppendInterval, Millis(static_cast<int64_t>(boxes) *
                                             1'000 / kAppendsPerSecond));
}

void UnwrittenOrigins::Add(const std::vector<StreamOriginTable::Row>& rows) {
  rows_.insert(rows_.end(), rows.begin(), rows.end());
  while (rows_.size() > kMaxUnwrittenStreams)
    rows_.pop_front();
}

auto UnwrittenOrigins::Take(Millis now, Millis wall_now) -> std::string {
  std::vector<OriginRecord> records;
  while (!rows_.empty() && records.size() < kMaxStreamsPerLogRecord) {
    const auto& [stream, entry] = rows_.front();
    const int64_t left = (entry.expires - now).count();
    if (left > 0)
      records.push_back(
          {stream, entry.route, entry.origin,
           static_cast<uint32_t>(std::min<int64_t>(left, UINT32_MAX))});
    rows_.pop_front();
  }
  return records.empty() ? std::string()
                         : EncodeOriginLogRecord(records, wall_now);
}

}  // namespace sparbend
