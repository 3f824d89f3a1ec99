// The active configuration as typed values: pools of targets, and workspaces
// instantiated from templates. A Catalog is immutable and shared by pointer.
//
// A configuration document is a JSON object named `pool/NAME`, `template/NAME`
// or `workspace/NAME` (operators write TOML, which sparbendctl converts). A
// template declares parameters (type, default, bounds) and a workspace body in
// which the string "$p" stands for the value of parameter p.
//
//   const Pool* pool = catalog.FindPoolByModel("some-model");
//   if (pool == nullptr) ...  // no pool serves this model
#ifndef SPARBEND_CORE_CATALOG_H_
#define SPARBEND_CORE_CATALOG_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sparbend/core/json.h"
#include "sparbend/core/millis.h"
#include "sparbend/core/route_table.h"

namespace sparbend {

enum class PoolKind { kEngine, kService };

// Interchangeable targets, and how their work is charged.
struct Pool {
  std::string name;
  PoolKind kind = PoolKind::kEngine;
  std::vector<std::string> models;  // engines: the models served here
  std::string path_prefix;          // services: the path prefix routed here
  int64_t input_weight = 1;         // service tokens per prompt token
  int64_t output_weight = 1;        // service tokens per generated token
  int64_t call_cost = 1;            // service tokens per call, services only
  bool can_resume = false;          // interrupted streams can be resumed
  int64_t memory_tokens = 0;        // KV cache of each engine; 0: unknown
  int connections = 0;              // limit per target over all boxes; 0: none
  int64_t tokens_per_event = 1;     // in one event of a stream, engines only
  // Declared rate at which engines transfer cached prompts (KV blocks) to each
  // other; 0: they can't transfer.
  double kv_transfer_tokens_per_ms = 0;
  // Requests per second that a cold target sustains; 0: targets have no cold
  // phase.
  double cold_requests_per_s = 0;

  auto operator==(const Pool&) const -> bool = default;
};

// Matches requests that must run at most once. An empty field matches any
// value.
struct OnceRule {
  std::string method;
  std::string path_prefix;
  std::string model;

  auto operator==(const OnceRule&) const -> bool = default;
};

struct Workspace {
  uint32_t number = 0;  // stable; assigned by ConfigFold at first acceptance
  std::string name;
  int64_t share = 1;                     // weight against other workspaces
  std::vector<std::string> halls;        // halls that may serve it; empty: all
  std::vector<std::string> pools;        // pools it may use
  std::vector<OnceRule> once;            // requests that must run at most once
  std::vector<std::string> keys_sha256;  // hashes of its API keys, in hex
  int64_t queue_requests = 0;  // maximum length of its queue in one box
  int64_t queue_bytes = 0;     // maximum size of that queue
  Millis queue_time;           // maximum wait in the queue
  // Priority of all its requests, instead of that of the route.
  std::optional<int> priority;

  auto operator==(const Workspace&) const -> bool = default;
};

// Limits on clients' requests and connections, and the capacity that their
// workspaces share. A zero limit means that the box's own setting applies.
struct ClientLimits {
  int64_t header_bytes = 0;  // maximum size of a request's header
  int64_t body_bytes = 0;    // maximum size of a request's body
  Millis receive_time;       // from the first to the last byte of a request
  Millis idle_time;          // a connection without a request
  // Declared capacity of all engines together, in service tokens per second.
  // Workspaces are entitled to their shares of it.
  int64_t tokens_per_second = 0;

  auto operator==(const ClientLimits&) const -> bool = default;
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
          ClientLimits limits);

  auto pools() const -> const Pools& { return pools_; }
  auto workspaces() const -> const Workspaces& { return workspaces_; }
  // Empty if requests are routed to pools by model or path alone.
  auto routes() const -> const RouteTable& { return routes_; }
  auto limits() const -> const ClientLimits& { return limits_; }

  // Each returns null if nothing matches. By name, number or key: O(log n); by
  // model or path: O(pools).
  auto FindPool(const std::string& name) const -> const Pool*;
  auto FindWorkspace(const std::string& name) const -> const Workspace*;
  auto FindWorkspace(uint32_t number) const -> const Workspace*;
  auto FindWorkspaceByKey(const std::string& key_sha256) const
      -> const Workspace*;
  auto FindPoolByModel(const std::string& model) const -> const Pool*;
  auto FindPoolByPath(std::string_view path) const -> const Pool*;

 private:
  Pools pools_;
  Workspaces workspaces_;
  RouteTable routes_;
  ClientLimits limits_;
  std::map<std::string, std::string> workspace_by_key_;
  std::map<uint32_t, std::string> workspace_by_number_;
};

// Returns whether `hall` is one of the halls that may serve `workspace`.
auto MayBeServedIn(const Workspace& workspace, const std::string& hall) -> bool;

// Reads one pool document. The paths of problems begin with `path`.
auto ReadPool(const std::string& name,
              const Json& content,
              const std::string& path,
              std::vector<Problem>* problems) -> Pool;

// Checks one template document by itself, without its workspaces.
void CheckTemplate(const Json& content,
                   const std::string& path,
                   std::vector<Problem>* problems);

// Instantiates a workspace from its document and that of its template. Its
// number is left unset.
auto ReadWorkspace(const std::string& name,
                   const Json& content,
                   const Json& template_content,
                   const std::string& path,
                   std::vector<Problem>* problems) -> Workspace;

// Returns whether `rule` matches a request.
auto Matches(const OnceRule& rule,
             std::string_view method,
             std::string_view path,
             std::string_view model) -> bool;

}  // namespace sparbend

#endif  // SPARBEND_CORE_CATALOG_H_
