// What a box needs of the JSON body of a completion request. The body is read
// in one pass and not kept as a document, which may have seventy times its
// size.
//
//   const std::optional<CompletionRequest> request =
//       ReadCompletionRequest(body);
#ifndef SPARBEND_CORE_COMPLETION_REQUEST_H_
#define SPARBEND_CORE_COMPLETION_REQUEST_H_

#include <optional>
#include <string>
#include <string_view>

namespace sparbend {

struct CompletionRequest {
  std::optional<std::string> model;  // none: missing, or not a string
  bool stream = false;
  // The first bytes of the prompt, a string, or else of the list of messages,
  // in JSON without blanks; at most kMaxPromptStartBytes.
  std::string prompt_start;

  auto operator==(const CompletionRequest&) const -> bool = default;
};

inline constexpr size_t kMaxPromptStartBytes = 256;

// Nothing if the body is not a JSON object. Of fields that are given twice, the
// last one counts.
auto ReadCompletionRequest(std::string_view body)
    -> std::optional<CompletionRequest>;

}  // namespace sparbend

#endif  // SPARBEND_CORE_COMPLETION_REQUEST_H_
