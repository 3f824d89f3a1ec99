// Layout: four bytes that no other datagram begins with (except by chance, in
// its tag), 8 bytes of HMAC-SHA-256, then a flat MessagePack array. A build
// that does not know these messages drops them as unauthorised; its box learns
// of the sender from the platform's list.
#include "sparbend/core/introduction_messages.h"

#include "sparbend/core/digest.h"
#include "sparbend/core/json.h"
#include "sparbend/core/messages.h"

namespace sparbend {
namespace {

constexpr std::string_view kPrefix = "SI1\n";
constexpr size_t kTagBytes = 8;
// Longest name, hall or address.
constexpr size_t kMaxTextBytes = 255;
constexpr size_t kFieldCount = 7;

auto IsText(const Json& field) -> bool {
  return field.is_string() &&
         field.get_ref<const std::string&>().size() <= kMaxTextBytes;
}

// `max` is at most INT64_MAX.
auto IsNumber(const Json& field, int64_t max) -> bool {
  return field.is_number_integer() && field.get<int64_t>() >= 0 &&
         field.get<int64_t>() <= max;
}

}  // namespace

auto EncodeIntroduction(const IntroductionMessage& message,
                        std::string_view key) -> std::string {
  const BoxEntry& box = message.sender;
  const Json flat = Json::array(
      {static_cast<uint32_t>(message.kind), message.incarnation, box.name,
       box.hall, box.peer_address, box.admin_address, box.processor});
  std::string packed;
  Json::to_msgpack(flat, packed);
  return std::string(kPrefix) + HmacTag(key, packed, kTagBytes) + packed;
}

auto IsIntroduction(std::string_view bytes) -> bool {
  return bytes.starts_with(kPrefix);
}

auto DecodeIntroduction(std::string_view bytes, std::string_view key)
    -> Result<IntroductionMessage> {
  if (!IsIntroduction(bytes) || bytes.size() < kPrefix.size() + kTagBytes ||
      bytes.size() > kMaxDatagramBytes)
    return MakeError(Errc::kMalformed, "not an introduction");
  const std::string_view tag = bytes.substr(kPrefix.size(), kTagBytes);
  const std::string_view packed = bytes.substr(kPrefix.size() + kTagBytes);
  if (!ConstantTimeEqual(tag, HmacTag(key, packed, kTagBytes)))
    return MakeError(Errc::kUnauthorised,
                     "the introduction's tag does not match the peer key");
  const Json flat = Json::from_msgpack(packed, /*strict=*/true,
                                       /*allow_exceptions=*/false);
  constexpr auto kMaxKind =
      static_cast<int64_t>(IntroductionKind::kConfirmation);
  const bool valid = flat.is_array() && flat.size() == kFieldCount &&
                     IsNumber(flat[0], kMaxKind) &&
                     IsNumber(flat[1], UINT32_MAX) && IsText(flat[2]) &&
                     IsText(flat[3]) && IsText(flat[4]) && IsText(flat[5]) &&
                     IsNumber(flat[6], INT32_MAX);
  if (!valid)
    return MakeError(Errc::kMalformed,
                     "a field of the introduction is missing or out of range");
  IntroductionMessage message;
  message.kind = flat[0].get<IntroductionKind>();
  message.incarnation = flat[1].get<uint32_t>();
  message.sender.name = flat[2].get<std::string>();
  message.sender.hall = flat[3].get<std::string>();
  message.sender.peer_address = flat[4].get<std::string>();
  message.sender.admin_address = flat[5].get<std::string>();
  message.sender.processor = flat[6].get<int>();
  return message;
}

}  // namespace sparbend
