// Datagrams by which a box that starts makes itself known to boxes that do not
// list it yet, and by which these confirm that they list it now.
//
//   socket.Send(EncodeIntroduction(message, key));
//   if (IsIntroduction(bytes))
//     const Result<IntroductionMessage> received =
//         DecodeIntroduction(bytes, key);
#ifndef SPARBEND_CORE_INTRODUCTION_MESSAGES_H_
#define SPARBEND_CORE_INTRODUCTION_MESSAGES_H_

#include <string>
#include <string_view>

#include "sparbend/core/errors.h"
#include "sparbend/core/members.h"

namespace sparbend {

enum class IntroductionKind : uint8_t { kIntroduction, kConfirmation };

struct IntroductionMessage {
  IntroductionKind kind = IntroductionKind::kIntroduction;
  BoxEntry sender;  // in a confirmation only its name is used
  uint32_t incarnation = 0;

  auto operator==(const IntroductionMessage&) const -> bool = default;
};

auto EncodeIntroduction(const IntroductionMessage& message,
                        std::string_view key) -> std::string;
// Whether `bytes` begin as an encoded IntroductionMessage does.
auto IsIntroduction(std::string_view bytes) -> bool;
// Errors: kUnauthorised if the message was not made with `key`, kMalformed if
// it does not decode. `bytes` may be anything. The addresses are not checked.
auto DecodeIntroduction(std::string_view bytes, std::string_view key)
    -> Result<IntroductionMessage>;

}  // namespace sparbend

#endif  // SPARBEND_CORE_INTRODUCTION_MESSAGES_H_
