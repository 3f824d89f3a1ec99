// Routes by host and path, as the configuration declares them. Built once for
// a configuration and never changed, so that a new one is swapped in whole.
//
//   const RouteRule* rule = table.Find("shop.example", "/orders/17?x=1");
#ifndef SPARBEND_CORE_ROUTE_TABLE_H_
#define SPARBEND_CORE_ROUTE_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "sparbend/core/millis.h"

namespace sparbend {

// What may be done with a request whose attempt failed.
enum class Repeat {
  kFreely,  // may run more than once
  kOnce,    // may run at most once
};

struct PoolWeight {
  std::string pool;
  int64_t weight = 1;

  auto operator==(const PoolWeight&) const -> bool = default;
};

struct RouteRule {
  std::string name;
  std::string host;         // lower case, without a port
  std::string path_prefix;  // begins and ends with a slash
  std::vector<PoolWeight> pools;
  Repeat repeat = Repeat::kOnce;
  bool streaming = false;
  bool resumable = false;  // a broken stream may go on at another target
  bool needs_key = true;
  int max_attempts = 1;      // targets that may run one request
  Millis time_limit;         // longest time a request is held
  Millis latency_objective;  // to the first byte; zero: none

  auto operator==(const RouteRule&) const -> bool = default;

  // The pool for a request; `random` is any number and picks by weight.
  auto PickPool(uint64_t random) const -> const std::string&;
};

class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(std::vector<RouteRule> rules);

  // The rule of `host` whose prefix begins `path` and is the longest, or
  // null. A query is not part of the path. O(slashes in the path * log n).
  auto Find(std::string_view host, std::string_view path) const
      -> const RouteRule*;
  auto size() const -> size_t { return rules_.size(); }
  auto rules() const -> const std::vector<RouteRule>& { return rules_; }

 private:
  std::vector<RouteRule> rules_;
  // Host and prefix to an index in rules_.
  std::map<std::string, std::map<std::string, size_t, std::less<>>, std::less<>>
      by_host_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_ROUTE_TABLE_H_
