// The service "admin": health and readiness for load balancers, metrics, and
// JSON-RPC for operators and for other boxes.
//
//   GET /healthz   200 while the process runs
//   GET /readyz    200 while clients may be sent to this box, otherwise 503
//   GET /metrics   metrics in the Prometheus text format
//   POST /rpc      JSON-RPC 2.0: operators with the admin token (status,
//                  explain, lift, drain; history and get where the box replays
//                  the configuration log), boxes with the peer proof (records,
//                  snapshot and ledger where it replays that log, and the
//                  methods that other services add)
//   POST /claim    a claim to decide, from boxes with the peer proof; plain
//                  HTTP, since a handler of the JSON-RPC library can't wait
#ifndef SPARBEND_SERVICES_ADMIN_H_
#define SPARBEND_SERVICES_ADMIN_H_

#include <memory>
#include <string>

#include "sparbend/kernel/http_server.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/rpc.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/claims.h"
#include "sparbend/services/config.h"
#include "sparbend/services/frontend.h"
#include "sparbend/services/metrics.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

class Admin : public Service {
 public:
  // `drain` starts the planned stop of the box.
  Admin(Kernel* kernel, const Settings& settings, std::function<void()> drain);

  void Start() override;
  void Stop() override;

  void SetDraining() { draining_ = true; }
  // Adds a JSON-RPC method that other boxes may call.
  void AddPeerMethod(const std::string& name, RpcServer::Method method) {
    peer_rpc_.Add(name, std::move(method));
  }
  // Address of the admin server once started.
  auto address() const -> std::string { return server_.address(); }
  // Address at which other boxes call this one, once started.
  auto peer_rpc_address() const -> std::string {
    return settings_.peer_rpc_address.empty() ? server_.address()
                                              : peer_server_.address();
  }

 private:
  // Why clients should not be sent to this box now; empty if they may.
  auto NotReadyReason() const -> std::string;
  auto Handle(StringRequest request) -> asio::awaitable<StringResponse>;
  auto HandleClaim(const StringRequest& request)
      -> asio::awaitable<StringResponse>;
  // Whether the request has a valid peer proof.
  auto HasPeerProof(const StringRequest& request) const -> bool;
  auto HandleRpc(const StringRequest& request) -> StringResponse;
  void AddOperatorMethods();
  void AddConfigLogMethods();
  void Listen(HttpServer* server, const std::string& address);
  auto ServerLimits() const -> HttpServerLimits;
  // Whether the request has the admin token.
  auto IsOperator(const http::request_header<>& header) const -> bool;
  auto Status() const -> Json;
  // The blocked requests.
  auto Quarantined() const -> Json;
  // Releases the blocked requests of a workspace.
  auto ReleaseQuarantined(const std::string& name) -> Json;
  // Why the requests of a workspace wait on this box.
  auto Explain(const std::string& workspace) const -> Json;
  // The newest decisions on configuration changes, at most `max_decisions`.
  auto History(int64_t max_decisions) const -> Json;
  // The configuration document `name`, or all if `name` is empty.
  auto Documents(const std::string& name) const -> Json;

  Kernel* kernel_;
  Settings settings_;
  std::function<void()> drain_;
  std::shared_ptr<BodyBudget> call_bodies_;  // large ones, of both servers
  HttpServer server_;
  HttpServer peer_server_;  // used if peers have an address of their own
  RpcServer operator_rpc_;
  RpcServer peer_rpc_;
  bool draining_ = false;
  std::shared_ptr<CatalogSource> config_;
  std::shared_ptr<ConfigService>
      config_log_;  // null if the box does not replay the log
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Runner> runner_;
  std::shared_ptr<Claims> claims_;
  std::shared_ptr<Metrics> metrics_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_ADMIN_H_
