// Every prefix ends with a slash, so the candidates for a path are its cuts
// behind each slash, the longest first. That needs no scan over the routes,
// however many there are. Of two rules with one host and prefix the first
// one given stands.
#include "sparbend/core/route_table.h"

#include <algorithm>
#include <cctype>

namespace sparbend {
namespace {

auto LowerWithoutPort(std::string_view host) -> std::string {
  std::string lower(host.substr(0, host.find(':')));
  std::ranges::transform(lower, lower.begin(), [](unsigned char letter) {
    return static_cast<char>(std::tolower(letter));
  });
  return lower;
}

}  // namespace

auto RouteRule::PickPool(uint64_t random) const -> const std::string& {
  int64_t sum = 0;
  for (const PoolWeight& entry : pools)
    sum += entry.weight;
  if (sum <= 0)
    return pools.front().pool;
  auto left = static_cast<int64_t>(random % static_cast<uint64_t>(sum));
  for (const PoolWeight& entry : pools) {
    if (left < entry.weight)
      return entry.pool;
    left -= entry.weight;
  }
  return pools.back().pool;
}

RouteTable::RouteTable(std::vector<RouteRule> rules)
    : rules_(std::move(rules)) {
  for (size_t i = 0; i < rules_.size(); ++i)
    by_host_[LowerWithoutPort(rules_[i].host)].emplace(rules_[i].path_prefix,
                                                       i);
}

auto RouteTable::Find(std::string_view host, std::string_view path) const
    -> const RouteRule* {
  const auto prefixes = by_host_.find(LowerWithoutPort(host));
  if (prefixes == by_host_.end())
    return nullptr;
  std::string_view cut = path.substr(0, path.find('?'));
  while (true) {
    const size_t slash = cut.rfind('/');
    if (slash == std::string_view::npos)
      return nullptr;
    const auto found = prefixes->second.find(cut.substr(0, slash + 1));
    if (found != prefixes->second.end())
      return &rules_[found->second];
    cut = cut.substr(0, slash);
  }
}

}  // namespace sparbend
