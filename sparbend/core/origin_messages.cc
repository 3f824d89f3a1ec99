// Layout: four bytes that no other datagram begins with (except by chance, in
// its tag), 8 bytes of HMAC-SHA-256, then a flat MessagePack array of numbers.
// A build that does not know these messages drops them as unauthorised.
//
// Replayed messages do no harm: a report is true whenever it arrives, and an
// answer counts only for an open question.
#include "sparbend/core/origin_messages.h"

#include "sparbend/core/digest.h"
#include "sparbend/core/json.h"
#include "sparbend/core/messages.h"

namespace sparbend {
namespace {

constexpr std::string_view kPrefix = "SO1\n";
constexpr size_t kTagBytes = 8;
constexpr int64_t kMaxNumber = INT64_MAX;
// Origins that one answer names at most, so that it fits into a datagram.
constexpr size_t kMaxPossible = 64;

// Takes numbers from a flat array; once one is missing or out of bounds, `ok`
// is false and all further ones read as zero.
class Numbers {
 public:
  explicit Numbers(const Json& flat) : flat_(flat) { ok_ = flat_.is_array(); }

  auto Take(int64_t max = UINT32_MAX) -> int64_t {
    if (!ok_ || next_ >= flat_.size() || !flat_[next_].is_number_integer()) {
      ok_ = false;
      return 0;
    }
    const auto value = flat_[next_++].get<int64_t>();
    ok_ = value >= 0 && value <= max;
    return ok_ ? value : 0;
  }
  auto TakeOrigin() -> StreamOrigin {
    const auto pool = static_cast<PoolId>(Take(UINT16_MAX));
    return {pool, static_cast<VersionId>(Take())};
  }
  auto ok() const -> bool { return ok_; }
  auto at_end() const -> bool { return next_ == flat_.size(); }

 private:
  const Json& flat_;
  size_t next_ = 0;
  bool ok_ = true;
};

auto TakeRecord(Numbers& in) -> OriginRecord {
  OriginRecord record;
  record.stream = static_cast<StreamKey>(in.Take(kMaxNumber));
  record.route = static_cast<RouteId>(in.Take());
  record.origin = in.TakeOrigin();
  record.left_ms = static_cast<uint32_t>(in.Take());
  return record;
}

}  // namespace

auto EncodeOriginMessage(const OriginMessage& message, std::string_view key)
    -> std::string {
  Json flat = Json::array({static_cast<uint32_t>(message.kind), message.sender,
                           message.question, message.stream, message.route,
                           message.records.size()});
  for (const OriginRecord& record : message.records)
    flat.insert(flat.end(), {record.stream, record.route, record.origin.pool,
                             record.origin.version, record.left_ms});
  const size_t possible = std::min(message.possible.size(), kMaxPossible);
  flat.push_back(possible);
  auto origin = message.possible.begin();
  for (size_t i = 0; i < possible; ++i, ++origin)
    flat.insert(flat.end(), {origin->pool, origin->version});
  std::string packed;
  Json::to_msgpack(flat, packed);
  return std::string(kPrefix) + HmacTag(key, packed, kTagBytes) + packed;
}

auto IsOriginMessage(std::string_view bytes) -> bool {
  return bytes.starts_with(kPrefix);
}

auto DecodeOriginMessage(std::string_view bytes, std::string_view key)
    -> Result<OriginMessage> {
  if (!IsOriginMessage(bytes) || bytes.size() < kPrefix.size() + kTagBytes ||
      bytes.size() > kMaxDatagramBytes)
    return MakeError(Errc::kMalformed, "not a message on origins of streams");
  const std::string_view tag = bytes.substr(kPrefix.size(), kTagBytes);
  const std::string_view packed = bytes.substr(kPrefix.size() + kTagBytes);
  if (!ConstantTimeEqual(tag, HmacTag(key, packed, kTagBytes)))
    return MakeError(Errc::kUnauthorised,
                     "the message's tag does not match the peer key");
  const Json flat = Json::from_msgpack(packed, /*strict=*/true,
                                       /*allow_exceptions=*/false);
  Numbers in(flat);
  OriginMessage message;
  message.kind = static_cast<OriginMessageKind>(
      in.Take(static_cast<int64_t>(OriginMessageKind::kAnswer)));
  message.sender = static_cast<BoxId>(in.Take());
  message.question = static_cast<uint32_t>(in.Take());
  message.stream = static_cast<StreamKey>(in.Take(kMaxNumber));
  message.route = static_cast<RouteId>(in.Take());
  const int64_t records = in.Take(kMaxRecordsPerReport);
  for (int64_t i = 0; i < records && in.ok(); ++i)
    message.records.push_back(TakeRecord(in));
  const int64_t possible = in.Take(kMaxPossible);
  for (int64_t i = 0; i < possible && in.ok(); ++i)
    message.possible.insert(in.TakeOrigin());
  if (!in.ok() || !in.at_end())
    return MakeError(Errc::kMalformed,
                     "a number of the message is missing or out of range");
  return message;
}

}  // namespace sparbend
