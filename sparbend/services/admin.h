// The service "admin": health and readiness for the balancer, metrics, and
// JSON-RPC for operators and for the other boxes.
//
//   GET /healthz   200 while the process runs
//   GET /readyz    200 while callers may be sent here
//   GET /metrics   Prometheus text
//   POST /rpc      JSON-RPC 2.0: operators with the admin token (status, get,
//                  history, explain, drain), boxes with the peer proof
//                  (records, snapshot, ledger)
//   POST /claim    boxes: a claim to decide; plain HTTP, since the JSON-RPC
//                  library's handler cannot wait
#ifndef SPARBEND_SERVICES_ADMIN_H_
#define SPARBEND_SERVICES_ADMIN_H_

#include <memory>
#include <string>

#include "sparbend/kernel/http.h"
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
  // `drain` begins the planned stop of the box.
  Admin(Kernel* kernel, const Settings& settings, std::function<void()> drain);

  void Start() override;
  void Stop() override;

  void SetDraining() { draining_ = true; }
  // Adds a method that other boxes may call.
  void AddPeerMethod(const std::string& name, RpcServer::Method method) {
    peer_rpc_.Add(name, std::move(method));
  }
  auto address() const -> std::string { return server_.address(); }
  // Where other boxes call this one.
  auto peer_rpc_address() const -> std::string {
    return settings_.peer_rpc_address.empty() ? server_.address()
                                              : peer_server_.address();
  }

 private:
  // Why callers should not be sent here now; empty when they may.
  auto WhyNotReady() const -> std::string;
  auto Handle(StringRequest request) -> asio::awaitable<StringResponse>;
  auto HandleClaim(const StringRequest& request)
      -> asio::awaitable<StringResponse>;
  auto FromPeer(const StringRequest& request) const -> bool;
  auto HandleRpc(const StringRequest& request) -> StringResponse;
  void AddOperatorMethods();
  void AddFoldMethods();
  void Listen(HttpServer* server, const std::string& address);
  auto Status() const -> Json;
  auto Quarantined() const -> Json;
  auto Lift(const std::string& name) -> Json;
  auto Explain(const std::string& workspace) const -> Json;
  auto History(int64_t most) const -> Json;
  auto Documents(const std::string& name) const -> Json;

  Kernel* kernel_;
  Settings settings_;
  std::function<void()> drain_;
  HttpServer server_;
  HttpServer peer_server_;  // where boxes call on an address of their own
  RpcServer operator_rpc_;
  RpcServer peer_rpc_;
  bool draining_ = false;
  std::shared_ptr<CatalogSource> config_;
  std::shared_ptr<ConfigService> fold_;  // null without the own log
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Runner> runner_;
  std::shared_ptr<Claims> claims_;
  std::shared_ptr<Metrics> metrics_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_ADMIN_H_
