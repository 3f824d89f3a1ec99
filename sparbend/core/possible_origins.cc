#include "sparbend/core/possible_origins.h"

#include <algorithm>
#include <string>

namespace sparbend {
namespace {

auto LeadsTo(const RouteRule& rule, PoolId pool) -> bool {
  return std::ranges::any_of(rule.pools, [&](const PoolWeight& part) {
    return PoolIdOf(part.pool) == pool;
  });
}

}  // namespace

auto ListOrigins(const RouteTable& routes,
                 const std::vector<TargetEntry>& targets) -> OriginsByRoute {
  std::map<std::string, std::set<VersionId>> versions;
  for (const TargetEntry& target : targets)
    versions[target.pool].insert(VersionIdOf(target.version));
  OriginsByRoute origins;
  for (const RouteRule& rule : routes.rules()) {
    if (!rule.resumable)
      continue;
    StreamOrigins& of_route = origins[RouteIdOf(rule.name)];
    for (const PoolWeight& part : rule.pools) {
      for (const VersionId version : versions[part.pool])
        of_route.insert({PoolIdOf(part.pool), version});
    }
  }
  return origins;
}

auto PossibleOrigins::Update(const OriginsByRoute& present, Millis now)
    -> std::vector<RouteId> {
  std::vector<RouteId> newly_several;
  for (auto& [route, origins] : routes_) {
    const auto found = present.find(route);
    for (auto& [origin, last] : origins) {
      const bool is_present =
          found != present.end() && found->second.contains(origin);
      if (!is_present && !last)
        last = now;
    }
    std::erase_if(origins, [&](const auto& entry) {
      return entry.second && now - *entry.second > kOriginRetention;
    });
  }
  for (const auto& [route, origins] : present) {
    LastPossible& known = routes_[route];
    const size_t before = known.size();
    for (const StreamOrigin& origin : origins)
      known[origin].reset();
    if (before <= 1 && known.size() > 1)
      newly_several.push_back(route);
  }
  std::erase_if(routes_,
                [](const auto& route) { return route.second.empty(); });
  return newly_several;
}

auto PossibleOrigins::AddPast(const RouteTable& routes,
                              const PastOrigins& past,
                              Millis now) -> std::vector<RouteId> {
  std::vector<RouteId> newly_several;
  for (const RouteRule& rule : routes.rules()) {
    const RouteId route = RouteIdOf(rule.name);
    for (const auto& [origin, last] : past) {
      if (!rule.resumable || !LeadsTo(rule, origin.pool) ||
          now - last > kOriginRetention)
        continue;
      LastPossible& known = routes_[route];
      const auto [entry, added] = known.try_emplace(origin, last);
      if (!added && entry->second)
        entry->second = std::max(*entry->second, last);
      if (added && known.size() == 2)
        newly_several.push_back(route);
    }
  }
  return newly_several;
}

auto PossibleOrigins::OfAllRoutes(Millis now) const -> PastOrigins {
  PastOrigins past;
  for (const auto& [route, origins] : routes_) {
    for (const StreamOrigin& origin : Of(route, now)) {
      const Millis last = origins.at(origin).value_or(now);
      const auto [entry, added] = past.try_emplace(origin, last);
      entry->second = std::max(entry->second, last);
    }
  }
  return past;
}

auto PossibleOrigins::Of(RouteId route, Millis now) const -> StreamOrigins {
  StreamOrigins origins;
  const auto found = routes_.find(route);
  if (found == routes_.end())
    return origins;
  for (const auto& [origin, last] : found->second) {
    if (!last || now - *last <= kOriginRetention)
      origins.insert(origin);
  }
  return origins;
}

}  // namespace sparbend
