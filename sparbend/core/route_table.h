// Declared routes, looked up by host and path. A table is immutable; a new
// configuration replaces it as a whole.
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

// Whether a request may run again after a failed attempt.
enum class Repeat {
  kAllowed,  // may run more than once
  kOnce,     // must run at most once
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
  // An interrupted stream may continue at another target.
  bool resumable = false;
  bool needs_key = true;  // clients must send an API key
  // Maximum number of attempts that may have executed one request. Attempts
  // that certainly did not execute it don't count here; MayRetry() in retry.h
  // limits the number of all attempts.
  int max_attempts = 1;
  Millis time_limit;         // for the complete request; zero: none
  Millis latency_objective;  // for the first byte; zero: none
  // Urgency within the flow of a workspace, from 0, the most urgent, to 100. A
  // priority of the workspace takes precedence.
  int priority = 0;
  // The longest pause between events of a stream that is in time; zero: none.
  Millis pause_objective;

  auto operator==(const RouteRule&) const -> bool = default;

  // Chooses a pool with probability proportional to its weight; the first one
  // if the weights add up to zero. `pools` must not be empty. `random` is a
  // random number or a hash; the same number yields the same pool.
  auto PickPool(uint64_t random) const -> const std::string&;
};

class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(std::vector<RouteRule> rules);

  // Returns the rule of `host` with the longest prefix of `path`, or null if
  // there is none. The query is ignored. O(slashes in the path * log n) for n
  // rules of the host.
  auto Find(std::string_view host, std::string_view path) const
      -> const RouteRule*;
  auto size() const -> size_t { return rules_.size(); }
  auto rules() const -> const std::vector<RouteRule>& { return rules_; }

 private:
  std::vector<RouteRule> rules_;
  // Index in rules_ by host and prefix.
  std::map<std::string, std::map<std::string, size_t, std::less<>>, std::less<>>
      by_host_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_ROUTE_TABLE_H_
