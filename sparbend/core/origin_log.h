// The origins of streams as boxes write them to the platform's store, so that
// streams may go on after the end of all boxes. A record of the log holds many
// streams.
//
//   unwritten.Add(rows);
//   Append(unwritten.Take(now, wall_now));
//   if (const auto records = DecodeOriginLogRecord(bytes, wall_now))
//     exchange.AddPersisted(*records, now);
//
// Does no I/O and reads no clock.
#ifndef SPARBEND_CORE_ORIGIN_LOG_H_
#define SPARBEND_CORE_ORIGIN_LOG_H_

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sparbend/core/millis.h"
#include "sparbend/core/origin_messages.h"
#include "sparbend/core/stream_origin_table.h"

namespace sparbend {

// Streams in one record, some 22 kB.
inline constexpr size_t kMaxStreamsPerLogRecord = 1'000;
// Streams that wait to be written; the oldest ones are dropped first.
inline constexpr size_t kMaxUnwrittenStreams = 16'384;

// `wall_now` is the Unix time at which `left_ms` of the records counts.
auto EncodeOriginLogRecord(const std::vector<OriginRecord>& records,
                           Millis wall_now) -> std::string;
// The streams whose clients may still come back, with the time left at
// `wall_now`. Nothing if `bytes`, which may be anything, are not a record.
auto DecodeOriginLogRecord(std::string_view bytes, Millis wall_now)
    -> std::optional<std::vector<OriginRecord>>;

// How long a box collects streams before it appends a record, as one of `boxes`
// that do.
auto OriginAppendInterval(size_t boxes) -> Millis;

// The streams that began at this box and are not written yet.
class UnwrittenOrigins {
 public:
  void Add(const std::vector<StreamOriginTable::Row>& rows);
  // Removes the oldest streams and returns a record of them; empty if the
  // clients of all have given up.
  auto Take(Millis now, Millis wall_now) -> std::string;
  auto empty() const -> bool { return rows_.empty(); }
  auto size() const -> size_t { return rows_.size(); }

 private:
  std::deque<StreamOriginTable::Row> rows_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_ORIGIN_LOG_H_
