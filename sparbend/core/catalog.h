// The declarations in force, as typed values: pools of targets and the
// workspaces made from templates. Immutable once built; shared by pointer.
//
// A declaration document is a JSON object named `pool/NAME`, `template/NAME`
// or `workspace/NAME` (operators write TOML; sparbendctl converts). A template
// holds parameters (type, default, bounds) and a workspace body in which the
// string "$p" stands for parameter p.
#ifndef SPARBEND_CORE_CATALOG_H_
#define SPARBEND_CORE_CATALOG_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sparbend/core/json.h"
#include "sparbend/core/millis.h"
#include "sparbend/core/route_table.h"

namespace sparbend {

enum class PoolKind { kEngine, kService };

// Targets that can stand in for each other, and how their work is charged.
struct Pool {
  std::string name;
  PoolKind kind = PoolKind::kEngine;
  std::vector<std::string> models;  // engines: the models served here
  std::string path_prefix;          // services: the path that leads here
  int64_t input_weight = 1;         // service tokens per prompt token
  int64_t output_weight = 1;        // service tokens per generated token
  int64_t call_cost = 1;            // service tokens per call, services only
  bool can_resume = false;          // a broken stream can be taken up again
  int64_t memory_tokens = 0;        // of each engine, tokens; 0: not known
  int connections = 0;              // to each target, of all boxes; 0: any
  int64_t tokens_per_event = 1;     // of a stream, engines only
  // Tokens of cached prompts that engines hand to each other in a
  // millisecond, as declared; 0: they can't.
  double kv_transfer_tokens_per_ms = 0;
  // Requests a second that a target bears while it is cold; 0: none is cold.
  double cold_requests_per_s = 0;

  auto operator==(const Pool&) const -> bool = default;
};

// Names requests that must run at most once. Empty fields match everything.
struct OnceRule {
  std::string method;
  std::string path_prefix;
  std::string model;

  auto operator==(const OnceRule&) const -> bool = default;
};

struct Workspace {
  uint32_t number = 0;  // stable, given by the fold at first acceptance
  std::string name;
  int64_t share = 1;               // weight against other workspaces
  std::vector<std::string> halls;  // where it may be served; empty: anywhere
  std::vector<std::string> pools;  // pools it may use
  std::vector<OnceRule> once;      // requests that may never be repeated
  std::vector<std::string> keys_sha256;
  int64_t queue_requests = 0;  // bounds of its queue in one box
  int64_t queue_bytes = 0;
  Millis queue_time;  // longest wait in the queue

  auto operator==(const Workspace&) const -> bool = default;
};

// What callers may send, how long they may take and what they may expect;
// zero: the box's own settings hold.
struct CallerLimits {
  int64_t header_bytes = 0;
  int64_t body_bytes = 0;
  Millis receive_time;  // a request, first byte to last
  Millis idle_time;     // a connection without a request
  // Service tokens that all engines together make in a second, as declared;
  // what workspaces have a right to is their part of it.
  int64_t tokens_per_second = 0;

  auto operator==(const CallerLimits&) const -> bool = default;
};

class Catalog {
 public:
  using Pools = std::map<std::string, Pool>;
  using Workspaces = std::map<std::string, Workspace>;

  Catalog() = default;
  Catalog(Pools pools, Workspaces workspaces);
  Catalog(Pools pools,
          Workspaces workspaces,
          RouteTable routes,
          CallerLimits limits);

  auto pools() const -> const Pools& { return pools_; }
  auto workspaces() const -> const Workspaces& { return workspaces_; }
  // Empty where requests find their pool by model or path alone.
  auto routes() const -> const RouteTable& { return routes_; }
  auto limits() const -> const CallerLimits& { return limits_; }

  // Each is null when there is none. O(log n) or O(pools).
  auto FindPool(const std::string& name) const -> const Pool*;
  auto FindWorkspace(const std::string& name) const -> const Workspace*;
  auto FindWorkspace(uint32_t number) const -> const Workspace*;
  auto WorkspaceOfKey(const std::string& key_sha256) const -> const Workspace*;
  auto PoolOfModel(const std::string& model) const -> const Pool*;
  auto PoolOfPath(std::string_view path) const -> const Pool*;

 private:
  Pools pools_;
  Workspaces workspaces_;
  RouteTable routes_;
  CallerLimits limits_;
  std::map<std::string, std::string> workspace_of_key_;
  std::map<uint32_t, std::string> workspace_of_number_;
};

// Whether `workspace` may be served in `hall`.
auto MayServeIn(const Workspace& workspace, const std::string& hall) -> bool;

// Reads one pool document; problems carry paths under `path`.
auto ReadPool(const std::string& name,
              const Json& content,
              const std::string& path,
              std::vector<Problem>* problems) -> Pool;

// Checks one template document on its own.
void CheckTemplate(const Json& content,
                   const std::string& path,
                   std::vector<Problem>* problems);

// Makes a workspace of its document and its template's, number unset.
auto ReadWorkspace(const std::string& name,
                   const Json& content,
                   const Json& template_content,
                   const std::string& path,
                   std::vector<Problem>* problems) -> Workspace;

// Whether `rule` covers a request.
auto Matches(const OnceRule& rule,
             std::string_view method,
             std::string_view path,
             std::string_view model) -> bool;

}  // namespace sparbend

#endif  // SPARBEND_CORE_CATALOG_H_
