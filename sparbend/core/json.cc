// The calls that read fields define which names are known, so no separate list
// of names must be kept in step with them. The hint for an unknown field is the
// known name with the smallest edit distance.
//
// The texts of problems are stored in the replicated state of the configuration
// (Decision::cause in config_fold.h) and hashed with it. A changed text makes
// boxes of the old and the new version differ in the digest of that state.
#include "sparbend/core/json.h"

#include <algorithm>
#include <numeric>

namespace sparbend {
namespace {

// In edits: characters that are inserted, deleted or replaced. A known name
// farther than this from an unknown one is not suggested.
constexpr size_t kMaxHintDistance = 3;
// Of a value with its place in an array, while that grows, or of a name with
// its node, on a 64-bit machine. Their texts come on top.
constexpr size_t kMaxBytesPerValue = 96;

auto EditDistance(std::string_view a, std::string_view b) -> size_t {
  std::vector<size_t> distances(b.size() + 1);
  std::iota(distances.begin(), distances.end(), 0);
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = distances[0];
    distances[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t substituted = diagonal + (a[i - 1] != b[j - 1]);
      diagonal = distances[j];
      distances[j] =
          std::min({distances[j] + 1, distances[j - 1] + 1, substituted});
    }
  }
  return distances.back();
}

auto ClosestName(std::string_view name, const auto& names) -> std::string {
  std::string best;
  size_t best_distance = kMaxHintDistance + 1;
  for (const std::string& candidate : names) {
    const size_t distance = EditDistance(name, candidate);
    if (distance < best_distance) {
      best = candidate;
      best_distance = distance;
    }
  }
  return best;
}

}  // namespace

auto Describe(const std::vector<Problem>& problems) -> std::string {
  std::string text;
  for (const Problem& problem : problems) {
    if (!text.empty())
      text += "; ";
    text += problem.path + ": " + problem.message;
    if (!problem.hint.empty())
      text += " (" + problem.hint + ")";
  }
  return text;
}

FieldReader::FieldReader(const Json& object,
                         std::string path,
                         std::vector<Problem>* problems)
    : object_(object), path_(std::move(path)), problems_(problems) {
  if (!object_.is_object())
    problems_->push_back({path_, "must be a table", ""});
}

auto FieldReader::PathOf(std::string_view name) const -> std::string {
  return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

void FieldReader::Report(std::string_view name,
                         std::string message,
                         std::string hint) {
  problems_->push_back({PathOf(name), std::move(message), std::move(hint)});
}

auto FieldReader::Find(std::string_view name) -> const Json* {
  known_names_.emplace(name);
  if (!object_.is_object())
    return nullptr;
  const auto found = object_.find(std::string(name));
  return found == object_.end() ? nullptr : &*found;
}

auto FieldReader::String(std::string_view name, std::string fallback)
    -> std::string {
  const Json* value = Find(name);
  if (value == nullptr)
    return fallback;
  if (value->is_string())
    return value->get<std::string>();
  Report(name, "must be a string", "put it in quotes");
  return fallback;
}

auto FieldReader::RequiredString(std::string_view name) -> std::string {
  const Json* value = Find(name);
  if (value == nullptr)
    Report(name, "is missing", "add it");
  return String(name, "");
}

auto FieldReader::Integer(std::string_view name, Range range, int64_t fallback)
    -> int64_t {
  const Json* value = Find(name);
  if (value == nullptr)
    return fallback;
  const std::string bounds =
      "from " + std::to_string(range.min) + " to " + std::to_string(range.max);
  if (!value->is_number_integer()) {
    Report(name, "must be a whole number", bounds);
    return fallback;
  }
  const int64_t number = value->get<int64_t>();
  if (number >= range.min && number <= range.max)
    return number;
  Report(name, "is out of bounds", bounds);
  return fallback;
}

auto FieldReader::Number(std::string_view name, double max, double fallback)
    -> double {
  const Json* value = Find(name);
  if (value == nullptr)
    return fallback;
  const double number = value->is_number() ? value->get<double>() : -1;
  if (number >= 0 && number <= max)
    return number;
  Report(name, "must be a number of the allowed size",
         "from 0 to " + std::to_string(max));
  return fallback;
}

auto FieldReader::Bool(std::string_view name, bool fallback) -> bool {
  const Json* value = Find(name);
  if (value == nullptr)
    return fallback;
  if (value->is_boolean())
    return value->get<bool>();
  Report(name, "must be true or false", "without quotes");
  return fallback;
}

auto FieldReader::Strings(std::string_view name) -> std::vector<std::string> {
  const Json* value = Find(name);
  if (value == nullptr)
    return {};
  const auto is_string = [](const Json& item) { return item.is_string(); };
  if (value->is_array() && std::ranges::all_of(*value, is_string))
    return value->get<std::vector<std::string>>();
  Report(name, "must be a list of strings", "[\"a\", \"b\"]");
  return {};
}

auto FieldReader::Any(std::string_view name) -> const Json* {
  return Find(name);
}

auto FieldReader::Object(std::string_view name) -> const Json* {
  const Json* value = Find(name);
  if (value == nullptr || value->is_object())
    return value;
  Report(name, "must be a table", "");
  return nullptr;
}

auto FieldReader::Objects(std::string_view name) -> std::vector<const Json*> {
  const Json* value = Find(name);
  if (value == nullptr)
    return {};
  const auto is_object = [](const Json& item) { return item.is_object(); };
  if (!value->is_array() || !std::ranges::all_of(*value, is_object)) {
    Report(name, "must be a list of tables", "");
    return {};
  }
  std::vector<const Json*> objects;
  for (const Json& item : *value)
    objects.push_back(&item);
  return objects;
}

void FieldReader::Finish() {
  if (!object_.is_object())
    return;
  for (const auto& [name, value] : object_.items()) {
    if (known_names_.contains(name))
      continue;
    const std::string suggestion = ClosestName(name, known_names_);
    Report(
        name, "is not a known field",
        suggestion.empty() ? "remove it" : "did you mean " + suggestion + "?");
  }
}

auto IsUtf8(const std::string& text) -> bool {
  const auto is_ascii = [](char byte) {
    return static_cast<unsigned char>(byte) < 0x80;
  };
  if (std::ranges::all_of(text, is_ascii))
    return true;
  const Json json(text);
  return json.dump(-1, ' ', false, Json::error_handler_t::ignore) ==
         json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto ParseJson(std::string_view text, size_t max_bytes) -> Result<Json> {
  if (text.size() > max_bytes)
    return MakeError(Errc::kMalformed, "the text exceeds the size limit");
  Json parsed = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (parsed.is_discarded())
    return MakeError(Errc::kMalformed, "the text is not valid JSON");
  return parsed;
}

// Each value but the first, and each name, comes with one of these. Those
// within strings are counted, too.
auto MaxParsedBytes(std::string_view text) -> size_t {
  const auto values = std::ranges::count_if(text, [](char c) {
    return c == ',' || c == ':' || c == '[' || c == '{';
  });
  return text.size() + (static_cast<size_t>(values) + 1) * kMaxBytesPerValue;
}

}  // namespace sparbend
