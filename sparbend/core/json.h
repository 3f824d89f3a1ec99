// The JSON value used throughout, and a reader that checks an object's fields
// against what is expected of them. Every problem is collected with the path
// of its field, so that one pass reports all of them.
//
//   std::vector<Problem> problems;
//   FieldReader reader(object, "limits", &problems);
//   settings.body_bytes = reader.Integer("body_bytes", {1, kMaxBody}, kBody);
//   reader.Finish();  // reports the fields nobody asked for
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

// One thing wrong with a document.
struct Problem {
  std::string path;     // dotted path of the field
  std::string message;  // what is wrong
  std::string hint;     // what to do; may be empty

  auto operator==(const Problem&) const -> bool = default;
};

// All problems in one line, for a log record or an error's detail.
auto Describe(const std::vector<Problem>& problems) -> std::string;

// Inclusive bounds of an integer field.
struct Range {
  int64_t min;
  int64_t max;
};

// Reads one object. A missing field yields the fallback; a wrong one yields
// the fallback and a problem. `object` and `problems` must outlive the reader.
class FieldReader {
 public:
  FieldReader(const Json& object,
              std::string path,
              std::vector<Problem>* problems);

  auto String(std::string_view name, std::string fallback) -> std::string;
  auto RequiredString(std::string_view name) -> std::string;
  auto Integer(std::string_view name, Range range, int64_t fallback) -> int64_t;
  // Whole or with a fraction, zero or more.
  auto Number(std::string_view name, double most, double fallback) -> double;
  auto Bool(std::string_view name, bool fallback) -> bool;
  auto Strings(std::string_view name) -> std::vector<std::string>;
  // The field whatever its type, or nothing.
  auto Any(std::string_view name) -> const Json*;
  // The field when it is an object or an array of objects; nothing if absent.
  auto Object(std::string_view name) -> const Json*;
  auto Objects(std::string_view name) -> std::vector<const Json*>;

  // Reports `message` about field `name`.
  void Report(std::string_view name, std::string message, std::string hint);
  // Reports each field that no call above asked for.
  void Finish();

  auto PathOf(std::string_view name) const -> std::string;

 private:
  auto Find(std::string_view name) -> const Json*;

  const Json& object_;
  std::string path_;
  std::vector<Problem>* problems_;
  std::set<std::string, std::less<>> known_;
};

// Parses `text`; kMalformed rather than an exception. Bounded by `max_bytes`.
auto ParseJson(std::string_view text, size_t max_bytes) -> Result<Json>;

}  // namespace sparbend

#endif  // SPARBEND_CORE_JSON_H_
