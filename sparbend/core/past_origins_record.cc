#include "sparbend/core/past_origins_record.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sparbend {

auto PastOriginsToJson(const PastOrigins& past, Millis now, Millis wall_now)
    -> Json {
  std::vector<std::pair<Millis, StreamOrigin>> latest_first;
  for (const auto& [origin, last] : past)
    latest_first.emplace_back(last, origin);
  std::ranges::sort(latest_first, std::greater());
  if (latest_first.size() > kMaxPersistedOrigins)
    latest_first.resize(kMaxPersistedOrigins);
  Json json = Json::array();
  for (const auto& [last, origin] : latest_first)
    json.push_back({{"pool", origin.pool},
                    {"version", origin.version},
                    {"last_ms", (wall_now - (now - last)).count()}});
  return json;
}

auto PastOriginsFrom(const Json& record, Millis now, Millis wall_now)
    -> PastOrigins {
  PastOrigins past;
  std::vector<Problem> problems;
  FieldReader reader(record, "box", &problems);
  for (const Json* json : reader.Objects("stream_origins")) {
    std::vector<Problem> row_problems;
    FieldReader row(*json, "stream_origins", &row_problems);
    const StreamOrigin origin = {
        static_cast<PoolId>(row.Integer("pool", {0, UINT16_MAX}, 0)),
        static_cast<VersionId>(row.Integer("version", {0, UINT32_MAX}, 0))};
    const Millis last(row.Integer("last_ms", {0, INT64_MAX}, 0));
    if (!row_problems.empty() || past.size() == kMaxPersistedOrigins)
      continue;
    // The clock of the box that wrote the record may be ahead of this box's.
    past[origin] = now - std::max(Millis(0), wall_now - last);
  }
  return past;
}

}  // namespace sparbend
