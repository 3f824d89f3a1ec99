#include "sparbend/core/quarantine_record.h"

#include <algorithm>

namespace sparbend {
namespace {

constexpr int64_t kMillisPerSecond = 1'000;
constexpr Range kUint32Range = {0, UINT32_MAX};

auto ParseRow(const Json& json, int64_t now_s) -> std::optional<Suspicion> {
  std::vector<Problem> problems;
  FieldReader reader(json, "quarantine", &problems);
  const auto number = [&](std::string_view name) {
    return static_cast<uint32_t>(reader.Integer(name, kUint32Range, 0));
  };
  Suspicion row;
  row.suspect.workspace = number("workspace");
  row.suspect.path = number("path");
  row.suspect.body = number("body");
  row.cleared = number("cleared");
  row.ends = number("ends");
  const int64_t since_s = reader.Integer("since_s", {0, INT64_MAX}, 0);
  // The clock of the box that wrote the row may be ahead of this box's clock.
  row.age_s = static_cast<uint32_t>(
      std::clamp<int64_t>(now_s - since_s, 0, UINT32_MAX));
  return problems.empty() ? std::optional(row) : std::nullopt;
}

}  // namespace

auto QuarantineToJson(const std::vector<Suspicion>& rows, Millis wall_now)
    -> Json {
  Json json = Json::array();
  for (const Suspicion& row : rows) {
    if (json.size() == kMaxPersistedRows)
      break;
    json.push_back(
        {{"workspace", row.suspect.workspace},
         {"path", row.suspect.path},
         {"body", row.suspect.body},
         {"cleared", row.cleared},
         {"ends", row.ends},
         {"since_s", wall_now.count() / kMillisPerSecond - row.age_s}});
  }
  return json;
}

auto QuarantineFrom(const Json& record, Millis wall_now)
    -> std::vector<Suspicion> {
  std::vector<Suspicion> rows;
  std::vector<Problem> problems;
  FieldReader reader(record, "box", &problems);
  for (const Json* json : reader.Objects("quarantine")) {
    const auto row = ParseRow(*json, wall_now.count() / kMillisPerSecond);
    if (row && rows.size() < kMaxPersistedRows)
      rows.push_back(*row);
  }
  return rows;
}

}  // namespace sparbend
