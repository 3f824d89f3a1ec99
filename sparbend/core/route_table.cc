// Each prefix ends with a slash, so the candidates for a path are its parts up
// to each slash, tried from the longest. No scan over the rules is needed,
// however many there are. If two rules have the same host and prefix, the first
// one applies.
#include "sparbend/core/route_table.h"

#include <algorithm>
#include <cctype>

namespace sparbend {
namespace {

auto NormalizeHost(std::string_view host) -> std::string {
  std::string lower(host.substr(0, host.find(':')));
  std::ranges::transform(lower, lower.begin(), [](unsigned char letter) {
    return static_cast<char>(std::tolower(letter));
  });
  return lower;
}

}  // namespace

auto RouteRule::PickPool(uint64_t random) const -> const std::string& {
  int64_t total_weight = 0;
  for (const PoolWeight& entry : pools)
    total_weight += entry.weight;
  if (total_weight <= 0)
    return pools.front().pool;
  auto remaining =
      static_cast<int64_t>(random % static_cast<uint64_t>(total_weight));
  for (const PoolWeight& entry : pools) {
    if (remaining < entry.weight)
      return entry.pool;
    remaining -= entry.weight;
  }
  return pools.back().pool;
}

RouteTable::RouteTable(std::vector<RouteRule> rules)
    : rules_(std::move(rules)) {
  for (size_t i = 0; i < rules_.size(); ++i)
    by_host_[NormalizeHost(rules_[i].host)].emplace(rules_[i].path_prefix, i);
}

auto RouteTable::Find(std::string_view host, std::string_view path) const
    -> const RouteRule* {
  const auto prefixes = by_host_.find(NormalizeHost(host));
  if (prefixes == by_host_.end())
    return nullptr;
  std::string_view candidate = path.substr(0, path.find('?'));
  while (true) {
    const size_t slash = candidate.rfind('/');
    if (slash == std::string_view::npos)
      return nullptr;
    const auto found = prefixes->second.find(candidate.substr(0, slash + 1));
    if (found != prefixes->second.end())
      return &rules_[found->second];
    candidate = candidate.substr(0, slash);
  }
}

}  // namespace sparbend
