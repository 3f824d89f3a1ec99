// A kind of pool that the site has once is played as two pools, so that routes
// can move.
#include "testing/soak/deployment.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <sstream>

#include <toml++/toml.h>

namespace sparbend::testing {
namespace {

constexpr const char* kBoxClass = "front";

// Calls `visit` with each table in the list at `name`.
void ForEach(const toml::table& table,
             std::string_view name,
             const std::function<void(const toml::table&)>& visit) {
  const toml::array* list = table[name].as_array();
  for (size_t i = 0; list != nullptr && i < list->size(); ++i) {
    if (const toml::table* entry = (*list)[i].as_table())
      visit(*entry);
  }
}

auto Integer(toml::node_view<const toml::node> node, int fallback) -> int {
  return static_cast<int>(std::lround(node.value<double>().value_or(fallback)));
}

auto MillisAt(toml::node_view<const toml::node> node, Millis fallback)
    -> Millis {
  return Millis(Integer(node, static_cast<int>(fallback.count())));
}

auto PoolsOf(const toml::table& site) -> std::vector<SoakPool> {
  std::vector<SoakPool> pools;
  ForEach(site, "services", [&](const toml::table& service) {
    SoakPool pool;
    pool.streams = service.contains("model");
    pool.targets = 0;
    ForEach(service, "servers", [&](const toml::table& servers) {
      pool.targets += Integer(servers["count"], 1);
    });
    pool.name = "pool-" + std::to_string(pools.size());
    pools.push_back(pool);
  });
  for (const bool streams : {false, true}) {
    const auto first = std::ranges::find(pools, streams, &SoakPool::streams);
    if (first == pools.end() ||
        std::ranges::count(pools, streams, &SoakPool::streams) > 1)
      continue;
    SoakPool second = *first;
    second.name += "b";
    second.targets = std::max(1, first->targets / 2);
    first->targets = std::max(1, first->targets - second.targets);
    pools.push_back(second);
  }
  return pools;
}

// Scales all pools down to `most` targets, with two in each at least.
void Limit(int most, std::vector<SoakPool>* pools) {
  int targets = 0;
  for (const SoakPool& pool : *pools)
    targets += pool.targets;
  constexpr int kLeast = 2;
  for (SoakPool& pool : *pools) {
    if (targets > most)
      pool.targets = pool.targets * most / targets;
    pool.targets = std::max(kLeast, pool.targets);
  }
}

}  // namespace

auto ReadDeployment(const std::string& file, const DeploymentLimits& limits)
    -> Result<Deployment> {
  toml::table site;
  try {
    site = toml::parse_file(file);
  } catch (const toml::parse_error& error) {
    return MakeError(Errc::kMalformed, std::string(error.description()));
  }
  Deployment shape;
  shape.boxes = 0;
  std::set<std::string> halls;
  ForEach(site, "machines", [&](const toml::table& machines) {
    if (machines["class"].value_or<std::string>("") != kBoxClass)
      return;
    shape.boxes += Integer(machines["count"], 1);
    halls.insert(machines["zone"].value_or<std::string>(""));
  });
  shape.pools = PoolsOf(site);
  const auto kinds = std::ranges::count(shape.pools, true, &SoakPool::streams);
  if (shape.boxes == 0 || kinds == 0 || kinds == std::ssize(shape.pools))
    return MakeError(Errc::kInvalid,
                     "needs boxes, and services with and without a model");
  shape.scale = std::min(1.0, static_cast<double>(limits.boxes) / shape.boxes);
  shape.boxes = std::min(shape.boxes, limits.boxes);
  shape.halls = static_cast<int>(halls.size());
  Limit(limits.targets, &shape.pools);
  int classes = 0;
  ForEach(site, "classes", [&](const toml::table&) { ++classes; });
  constexpr int kKinds = 4;  // of routes, each of which has one at least
  const toml::node_view<const toml::node> site_view(site);
  shape.routes = std::max(
      kKinds, classes + Integer(site_view["config"]["idle_routes"], 0));
  shape.workspaces =
      std::max(1, Integer(site_view["tenants"]["count"], shape.workspaces));
  shape.heartbeat =
      MillisAt(site_view["discovery"]["beat_ms"], shape.heartbeat);
  const auto bounds = site_view["bounds"];
  shape.bounds.in_force = MillisAt(bounds["config_ms"], shape.bounds.in_force);
  shape.bounds.contact = MillisAt(bounds["touch_ms"], shape.bounds.contact);
  // The shortest time between two configurations.
  ForEach(site, "troubles", [&](const toml::table& trouble) {
    if (trouble["kind"].value_or<std::string>("") != "config_storm")
      return;
    constexpr double kMsInSecond = 1'000;
    const auto gap = trouble["gap_s"].value<double>();
    if (gap)
      shape.change_interval =
          Millis(static_cast<int64_t>(std::lround(*gap * kMsInSecond)));
  });
  return shape;
}

auto ToString(const Deployment& deployment) -> std::string {
  std::ostringstream line;
  int targets = 0;
  for (const SoakPool& pool : deployment.pools)
    targets += pool.targets;
  line << deployment.boxes << " boxes (scale " << deployment.scale << "), "
       << deployment.halls << " halls, " << targets << " targets in "
       << deployment.pools.size() << " pools, " << deployment.workspaces
       << " workspaces, " << deployment.routes << " routes, a change each "
       << deployment.change_interval.count() << " ms";
  return line.str();
}

}  // namespace sparbend::testing
