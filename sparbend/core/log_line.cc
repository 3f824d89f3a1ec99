// Nearly all strings are printable ASCII and are copied. The others, and values
// that are neither strings nor integers, are left to the JSON library.
#include "sparbend/core/log_line.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace sparbend {
namespace {

constexpr size_t kUsualLineBytes = 512;

auto Dump(const Json& value) -> std::string {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto IsPlain(char byte) -> bool {
  return byte >= ' ' && byte <= '~' && byte != '"' && byte != '\\';
}

void Append(std::string_view text, std::string* line) {
  if (!std::ranges::all_of(text, IsPlain)) {
    *line += Dump(Json(text));
    return;
  }
  *line += '"';
  *line += text;
  *line += '"';
}

void Append(bool value, std::string* line) {
  *line += value ? "true" : "false";
}

void Append(const Json& value, std::string* line) {
  *line += Dump(value);
}

template <std::integral T>
void Append(T value, std::string* line) {
  std::array<char, 24> digits;  // enough for 64 bits and a sign
  const auto written =
      std::to_chars(digits.data(), digits.data() + digits.size(), value);
  line->append(digits.data(), written.ptr);
}

}  // namespace

void LogField::AppendValue(std::string* line) const {
  std::visit([line](const auto& value) { Append(value, line); }, value_);
}

auto FormatLogLine(std::vector<LogField> fields) -> std::string {
  std::ranges::sort(fields, {}, &LogField::name);
  std::string line;
  line.reserve(kUsualLineBytes);
  for (const LogField& field : fields) {
    line += line.empty() ? '{' : ',';
    Append(field.name(), &line);
    line += ':';
    field.AppendValue(&line);
  }
  line += line.empty() ? "{}" : "}";
  return line;
}

}  // namespace sparbend
