// Formats log lines: one JSON object with its fields in the order of their
// names, without building a JSON tree.
//
//   FormatLogLine({{"request", id}, {"status", 503}})
//       -> {"request":"a-1","status":503}
#ifndef SPARBEND_CORE_LOG_LINE_H_
#define SPARBEND_CORE_LOG_LINE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sparbend/core/json.h"

namespace sparbend {

// One field. Refers to its name and to a string value, which must outlive it.
class LogField {
 public:
  template <class T>
  LogField(std::string_view name, const T& value) : name_(name) {
    if constexpr (std::same_as<T, bool>)
      value_ = value;
    else if constexpr (std::unsigned_integral<T>)
      value_ = uint64_t{value};
    else if constexpr (std::integral<T>)
      value_ = int64_t{value};
    else if constexpr (std::convertible_to<const T&, std::string_view>)
      value_ = std::string_view(value);
    else
      value_ = Json(value);
  }

  auto name() const -> std::string_view { return name_; }
  // Appends the value as JSON. Bytes that are not UTF-8 are replaced.
  void AppendValue(std::string* line) const;

 private:
  std::string_view name_;
  std::variant<bool, int64_t, uint64_t, std::string_view, Json> value_;
};

// Returns the same bytes as Json::dump does for an object with these fields.
// Their names must differ and need no escaping.
auto FormatLogLine(std::vector<LogField> fields) -> std::string;

}  // namespace sparbend

#endif  // SPARBEND_CORE_LOG_LINE_H_
