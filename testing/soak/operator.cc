// The first key of each workspace and the first half of the first routes never
// change, so that requests for them are allowed by all versions.
#include "testing/soak/operator.h"

#include <algorithm>
#include <array>

#include "sparbend/core/json.h"

namespace sparbend::testing {
namespace {

constexpr std::array<const char*, 4> kKinds = {"once", "again", "stream",
                                               "resumed"};
constexpr size_t kMostKeys = 4;   // of a workspace
constexpr int kMostMore = 8;      // routes beyond the first
constexpr size_t kPastDrawn = 4;  // of the newest that were taken away
constexpr size_t kNewestDrawn = 3;

auto DrawBelow(std::mt19937_64* random, size_t end) -> size_t {
  return static_cast<size_t>((*random)() % end);
}

// One of the last `count` of `all`.
template <typename T>
auto OneOfLast(std::mt19937_64* random, const std::vector<T>& all, size_t count)
    -> const T& {
  const size_t drawn = std::min(count, all.size());
  return all[all.size() - 1 - DrawBelow(random, drawn)];
}

}  // namespace

SoakOperator::SoakOperator(const Deployment& deployment)
    : deployment_(deployment),
      keys_(static_cast<size_t>(deployment.workspaces)) {
  for (std::vector<std::string>& keys : keys_)
    keys.push_back("key-" + std::to_string(next_key_++));
  std::mt19937_64 random(0);
  for (int route = 0; route < deployment.routes; ++route)
    AddRoute(&random);
}

void SoakOperator::AddRoute(std::mt19937_64* random) {
  Route route;
  route.number = next_route_++;
  route.kind =
      static_cast<SoakRoute>(static_cast<size_t>(route.number) % kKinds.size());
  route.path = "/" + std::string(kKinds[static_cast<size_t>(route.kind)]) +
               "/" + std::to_string(route.number) + "/";
  route.pools = {DrawPool(random, route.kind >= SoakRoute::kStream)};
  route.resumable = route.kind == SoakRoute::kResumed;
  routes_.push_back(route);
}

void SoakOperator::AddKey(std::mt19937_64* random) {
  keys_[DrawBelow(random, keys_.size())].push_back("key-" +
                                                   std::to_string(next_key_++));
}

auto SoakOperator::DrawPool(std::mt19937_64* random, bool streams)
    -> std::string {
  std::vector<std::string> names;
  for (const SoakPool& pool : deployment_.pools) {
    if (pool.streams == streams)
      names.push_back(pool.name);
  }
  return names[DrawBelow(random, names.size())];
}

void SoakOperator::ChangeRoute(std::mt19937_64* random, Route* route) {
  const bool streams = route->kind >= SoakRoute::kStream;
  const std::string pool = DrawPool(random, streams);
  enum Kind { kMove, kSplit, kResumable, kEnd };
  const auto kind = streams && deployment_.processes
                        ? static_cast<Kind>(DrawBelow(random, kEnd))
                        : kMove;
  if (kind == kResumable && route->kind == SoakRoute::kResumed)
    route->resumable = !route->resumable;
  else if (kind == kSplit)
    route->pools.insert(pool);
  else
    route->pools = {pool};
}

void SoakOperator::Change(std::mt19937_64* random) {
  enum Kind { kAddKey, kRemoveKey, kAddRoute, kRemoveRoute, kMoveRoute, kEnd };
  const std::lock_guard lock(mutex_);
  version_ += 1 + static_cast<int>(DrawBelow(random, 3));
  const auto first = static_cast<size_t>(deployment_.routes);
  switch (static_cast<Kind>(DrawBelow(random, kEnd))) {
    case kRemoveRoute:
      if (routes_.size() > first) {
        const auto route =
            routes_.begin() +
            static_cast<std::ptrdiff_t>(
                first + DrawBelow(random, routes_.size() - first));
        past_routes_.push_back(*route);
        routes_.erase(route);
        return;
      }
      [[fallthrough]];
    case kAddRoute:
      if (routes_.size() < first + kMostMore) {
        AddRoute(random);
        return;
      }
      [[fallthrough]];
    case kMoveRoute:
      ChangeRoute(
          random,
          &routes_[first / 2 + DrawBelow(random, routes_.size() - first / 2)]);
      return;
    case kRemoveKey: {
      std::vector<std::string>& keys = keys_[DrawBelow(random, keys_.size())];
      if (keys.size() > 1) {
        const auto key =
            keys.begin() + 1 +
            static_cast<std::ptrdiff_t>(DrawBelow(random, keys.size() - 1));
        past_keys_.push_back(*key);
        keys.erase(key);
        return;
      }
      AddKey(random);
      return;
    }
    default: {
      AddKey(random);
      const auto full = std::ranges::find_if(
          keys_, [](const auto& keys) { return keys.size() > kMostKeys; });
      if (full != keys_.end()) {
        past_keys_.push_back((*full)[1]);
        full->erase(full->begin() + 1);
      }
      return;
    }
  }
}

auto SoakOperator::Document() -> std::string {
  const std::lock_guard lock(mutex_);
  Json routes = Json::array();
  for (const Route& route : routes_) {
    const bool repeats =
        route.kind == SoakRoute::kAgain || route.kind == SoakRoute::kResumed;
    const bool streams = route.kind >= SoakRoute::kStream;
    routes.push_back(
        {{"name", "route-" + std::to_string(route.number)},
         {"host", "127.0.0.1"},
         {"path-prefix", route.path},
         {"kind",
          streams ? "streaming" : (repeats ? "idempotent" : "non_idempotent")},
         {"max-attempts", repeats ? 2 : 1},
         {"timeout-ms", 3'000},
         {"target-latency-ms", 500},
         {"resumable", route.resumable},
         {"service", *route.pools.begin()}});
    if (route.pools.size() == 1)
      continue;
    Json split = Json::array();
    for (const std::string& pool : route.pools)
      split.push_back({{"service", pool}, {"weight", 1}});
    routes.back()["traffic-split"] = split;
  }
  Json pools = Json::array();
  for (const SoakPool& pool : deployment_.pools) {
    Json entry = {{"name", pool.name}, {"max-conns", 100}};
    if (pool.streams)
      entry["engine"] = {{"kv-capacity", 100'000}, {"stride", 1}};
    pools.push_back(entry);
  }
  Json workspaces = Json::array();
  for (size_t i = 0; i < keys_.size(); ++i)
    workspaces.push_back(
        {{"name", "w-" + std::to_string(i)}, {"api-keys", keys_[i]}});
  return Json{{"version", version_},
              {"routes", routes},
              {"services", pools},
              {"tenants", workspaces}}
      .dump();
}

auto SoakOperator::Allowed() -> ConfigVersion {
  const std::lock_guard lock(mutex_);
  ConfigVersion allowed;
  for (const Route& route : routes_)
    allowed.pools[route.path + "x"] = route.pools;
  for (const std::vector<std::string>& keys : keys_)
    allowed.tokens.insert(keys.begin(), keys.end());
  return allowed;
}

auto SoakOperator::Draw(std::mt19937_64* random) -> Asked {
  const std::lock_guard lock(mutex_);
  const auto one_in = [&](size_t chances) {
    return DrawBelow(random, chances) == 0;
  };
  const Route* route = &routes_[DrawBelow(random, routes_.size())];
  if (one_in(4))
    route = &OneOfLast(random, routes_, kNewestDrawn);
  if (!past_routes_.empty() && one_in(8))
    route = &OneOfLast(random, past_routes_, kPastDrawn);
  const std::vector<std::string>& keys = keys_[DrawBelow(random, keys_.size())];
  const std::string* key = &keys.front();
  if (one_in(3))
    key = &keys.back();
  if (!past_keys_.empty() && one_in(8))
    key = &OneOfLast(random, past_keys_, kPastDrawn);
  Asked asked;
  asked.route = route->kind;
  asked.path = route->path + "x";
  asked.token = *key;
  return asked;
}

}  // namespace sparbend::testing
