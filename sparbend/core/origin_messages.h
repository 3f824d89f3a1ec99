// Datagrams by which boxes exchange the origins of streams: reports of
// streams that began, questions about a stream, and the answers to them.
//
//   socket.Send(EncodeOriginMessage(message, key));
//   if (IsOriginMessage(bytes))
//     const Result<OriginMessage> received = DecodeOriginMessage(bytes, key);
#ifndef SPARBEND_CORE_ORIGIN_MESSAGES_H_
#define SPARBEND_CORE_ORIGIN_MESSAGES_H_

#include <string>
#include <string_view>
#include <vector>

#include "sparbend/core/errors.h"
#include "sparbend/core/ids.h"
#include "sparbend/core/stream_origin.h"

namespace sparbend {

enum class OriginMessageKind : uint8_t { kReport, kQuestion, kAnswer };

// The origin of one stream.
struct OriginRecord {
  StreamKey stream = 0;
  RouteId route = 0;
  StreamOrigin origin;
  uint32_t left_ms = 0;  // how much longer its client may come back

  auto operator==(const OriginRecord&) const -> bool = default;
};

struct OriginMessage {
  OriginMessageKind kind = OriginMessageKind::kReport;
  BoxId sender = 0;
  // Of the question that is asked or answered; unused in a report, as are the
  // next two.
  uint32_t question = 0;
  StreamKey stream = 0;  // zero: only the possible origins are asked for
  RouteId route = 0;
  // In a report: streams that began. In an answer: the stream, if it is known.
  std::vector<OriginRecord> records;
  // In an answer: the origins that a stream of the route may have.
  StreamOrigins possible;

  auto operator==(const OriginMessage&) const -> bool = default;
};

// Records that fit into one report.
inline constexpr size_t kMaxRecordsPerReport = 40;

auto EncodeOriginMessage(const OriginMessage& message, std::string_view key)
    -> std::string;
// Whether `bytes` begin as an encoded OriginMessage does.
auto IsOriginMessage(std::string_view bytes) -> bool;
// Errors: kUnauthorised if the message was not made with `key`, kMalformed if
// it does not decode. `bytes` may be anything.
auto DecodeOriginMessage(std::string_view bytes, std::string_view key)
    -> Result<OriginMessage>;

}  // namespace sparbend

#endif  // SPARBEND_CORE_ORIGIN_MESSAGES_H_
