// The JSON type used throughout, and a reader that checks the fields of an
// object for type and range. It collects each problem with the path of its
// field, so that one pass reports all of them.
//
//   std::vector<Problem> problems;
//   FieldReader reader(object, "limits", &problems);
//   settings.body_bytes = reader.Integer("body_bytes", {1, kMaxBodyBytes},
//                                        kDefaultBodyBytes);
//   reader.Finish();  // reports fields that no call above has read
#ifndef SPARBEND_CORE_JSON_H_
#define SPARBEND_CORE_JSON_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "sparbend/core/errors.h"

namespace sparbend {

using Json = nlohmann::json;

// An error in a document.
struct Problem {
  std::string path;     // dotted path of the field
  std::string message;  // what is wrong
  std::string hint;     // how to mend it; may be empty

  auto operator==(const Problem&) const -> bool = default;
};

// Formats all problems in one line, for a log line or Error::detail.
auto Describe(const std::vector<Problem>& problems) -> std::string;

// Inclusive bounds of an integer field.
struct Range {
  int64_t min;
  int64_t max;
};

// Reads the fields of one object. A missing field yields the fallback, or an
// empty value if the function takes none; a field of the wrong type or out of
// range yields the same and a problem. `object` and `problems` must outlive the
// reader.
class FieldReader {
 public:
  FieldReader(const Json& object,
              std::string path,
              std::vector<Problem>* problems);

  auto String(std::string_view name, std::string fallback) -> std::string;
  // Also reports a problem if the field is missing.
  auto RequiredString(std::string_view name) -> std::string;
  auto Integer(std::string_view name, Range range, int64_t fallback) -> int64_t;
  // A number from 0 to `max`, with or without a fraction.
  auto Number(std::string_view name, double max, double fallback) -> double;
  auto Bool(std::string_view name, bool fallback) -> bool;
  auto Strings(std::string_view name) -> std::vector<std::string>;
  // The field, or null if absent. Accepts all types, so it reports no problem.
  auto Any(std::string_view name) -> const Json*;
  // The field if it is an object; null otherwise.
  auto Object(std::string_view name) -> const Json*;
  // The elements of the field if it is an array of objects; empty otherwise.
  auto Objects(std::string_view name) -> std::vector<const Json*>;

  // Adds a problem with field `name`.
  void Report(std::string_view name, std::string message, std::string hint);
  // Reports each field that no call above has read.
  void Finish();

  // The dotted path of field `name`.
  auto PathOf(std::string_view name) const -> std::string;

 private:
  auto Find(std::string_view name) -> const Json*;

  const Json& object_;
  std::string path_;
  std::vector<Problem>* problems_;
  std::set<std::string, std::less<>> known_names_;
};

// Whether `text` is valid UTF-8. Json stores other strings as well, but dump()
// throws for them.
auto IsUtf8(const std::string& text) -> bool;

// Parses `text`. Fails with kMalformed, without an exception, if it is not JSON
// or longer than `max_bytes`.
auto ParseJson(std::string_view text, size_t max_bytes) -> Result<Json>;
// An upper bound of what the document of a text allocates.
auto MaxParsedBytes(std::string_view text) -> size_t;

}  // namespace sparbend

#endif  // SPARBEND_CORE_JSON_H_
