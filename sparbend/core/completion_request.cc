// Load: bodies of 4 MB that consist of brackets, commas or digits.
//
// The handler knows how deep it is and which field of the top level it is in;
// it keeps nothing of other fields.
#include "sparbend/core/completion_request.h"

#include <algorithm>

#include "sparbend/core/json.h"

namespace sparbend {
namespace {

enum class Field { kOther, kModel, kStream, kPrompt, kMessages };

auto FieldOf(std::string_view key) -> Field {
  if (key == "model")
    return Field::kModel;
  if (key == "stream")
    return Field::kStream;
  if (key == "prompt")
    return Field::kPrompt;
  return key == "messages" ? Field::kMessages : Field::kOther;
}

// Called by the parser; returning false ends it.
class Handler : public Json::json_sax_t {
 public:
  auto null() -> bool override { return Scalar("null"); }
  auto boolean(bool value) -> bool override {
    if (depth_ == 1 && field_ == Field::kStream)
      stream_ = value;
    return Scalar(value ? "true" : "false");
  }
  auto number_integer(number_integer_t value) -> bool override {
    return Scalar(std::to_string(value));
  }
  auto number_unsigned(number_unsigned_t value) -> bool override {
    return Scalar(std::to_string(value));
  }
  auto number_float(number_float_t, const string_t& text) -> bool override {
    return Scalar(text);
  }
  auto string(string_t& value) -> bool override {
    if (depth_ == 1 && field_ == Field::kModel)
      model_ = value;
    if (depth_ == 1 && field_ == Field::kPrompt)
      prompt_ = value.substr(0, kMaxPromptStartBytes);
    Append("\"");
    Append(value);
    return Scalar("\"");
  }
  auto binary(binary_t&) -> bool override { return false; }
  auto start_object(size_t) -> bool override { return Open("{"); }
  auto key(string_t& value) -> bool override {
    if (depth_ == 1) {
      Enter(FieldOf(value));
      return true;
    }
    Append("\"");
    Append(value);
    Append("\":");
    return true;
  }
  auto end_object() -> bool override { return Close("}"); }
  auto start_array(size_t) -> bool override { return Open("["); }
  auto end_array() -> bool override { return Close("]"); }
  auto parse_error(size_t, const std::string&, const Json::exception&)
      -> bool override {
    return false;
  }

  auto Result() && -> CompletionRequest {
    return {std::move(model_), stream_,
            prompt_ ? std::move(*prompt_) : std::move(messages_)};
  }

 private:
  // The values of an earlier field of that name don't count any more.
  void Enter(Field field) {
    field_ = field;
    if (field == Field::kModel)
      model_.reset();
    if (field == Field::kStream)
      stream_ = false;
    if (field == Field::kPrompt)
      prompt_.reset();
    if (field == Field::kMessages)
      messages_.clear();
  }
  // The body itself must be an object.
  auto Open(std::string_view bracket) -> bool {
    if (depth_ == 0 && bracket != "{")
      return false;
    if (depth_++ > 0)
      Append(bracket);
    return true;
  }
  auto Close(std::string_view bracket) -> bool {
    if (--depth_ > 0)
      Append(bracket);
    return true;
  }
  auto Scalar(std::string_view text) -> bool {
    Append(text);
    Append(",");
    return depth_ > 0;
  }
  void Append(std::string_view text) {
    if (field_ == Field::kMessages)
      messages_ += text.substr(0, kMaxPromptStartBytes - messages_.size());
  }

  size_t depth_ = 0;
  Field field_ = Field::kOther;  // of the top level
  std::optional<std::string> model_;
  bool stream_ = false;
  std::optional<std::string> prompt_;
  std::string messages_;
};

}  // namespace

auto ReadCompletionRequest(std::string_view body)
    -> std::optional<CompletionRequest> {
  Handler handler;
  if (!Json::sax_parse(body.begin(), body.end(), &handler))
    return std::nullopt;
  return std::move(handler).Result();
}

}  // namespace sparbend
