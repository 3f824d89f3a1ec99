#include "sparbend/services/admin.h"

#include "sparbend/core/digest.h"
#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

// The largest call is a claim record, or the parameters of an RPC in JSON.
constexpr uint64_t kMaxCallBytes = 2 * kMaxRecordBytes;
// Of a request that shows no credentials, whose body nothing reads.
constexpr uint64_t kMaxUnauthorizedBytes = 4 * 1024;
// Large calls at a time, at both addresses.
constexpr size_t kMaxCallsTotalBytes = 16 * kMaxCallBytes;
// Boxes give up a call after some seconds.
constexpr Millis kCallTime = Millis(10'000);

auto TextResponse(http::status status, std::string body) -> StringResponse {
  StringResponse response(status, 11);
  response.set(http::field::content_type, "text/plain; version=0.0.4");
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

// The string parameter `name` of an RPC; empty if it is missing or no string.
auto StringParameter(const std::string& params, const char* name)
    -> std::string {
  const Result<Json> parsed = ParseJson(params, kMaxRecordBytes);
  const bool given = parsed && parsed->is_object() && parsed->contains(name) &&
                     parsed->at(name).is_string();
  return given ? parsed->at(name).get<std::string>() : "";
}

// The integer parameter `name` of an RPC; `fallback` if it is missing or no
// integer.
auto IntegerParameter(const std::string& params,
                      const char* name,
                      int64_t fallback) -> int64_t {
  const Result<Json> parsed = ParseJson(params, kMaxRecordBytes);
  const bool given = parsed && parsed->is_object() && parsed->contains(name) &&
                     parsed->at(name).is_number_integer();
  return given ? parsed->at(name).get<int64_t>() : fallback;
}

auto ToJson(const Decision& decision) -> Json {
  return Json{
      {"offset", decision.offset},    {"outcome", ToString(decision.outcome)},
      {"change", decision.change_id}, {"document", decision.document},
      {"author", decision.author},    {"reason", decision.reason},
      {"cause", decision.cause},      {"revision", decision.revision}};
}

}  // namespace

Admin::Admin(Kernel* kernel,
             const Settings& settings,
             std::function<void()> drain)
    : kernel_(kernel),
      settings_(settings),
      drain_(std::move(drain)),
      call_bodies_(std::make_shared<BodyBudget>(kMaxCallsTotalBytes)),
      server_(
          &kernel->io(),
          [this](StringRequest request) { return Handle(std::move(request)); },
          ServerLimits()),
      peer_server_(
          &kernel->io(),
          [this](StringRequest request) { return Handle(std::move(request)); },
          ServerLimits()) {}

auto Admin::ServerLimits() const -> HttpServerLimits {
  HttpServerLimits limits;
  limits.connections =
      ClientConnections::OwnConnectionsWithin(settings_.max_fds);
  limits.body_bytes = [this](const http::request_header<>& header) {
    // The peer proof covers the body, so it is checked once that is read.
    const bool may_be_authorized =
        IsOperator(header) || header.count(std::string(kPeerProofField)) != 0;
    return may_be_authorized ? kMaxCallBytes : kMaxUnauthorizedBytes;
  };
  limits.bodies = call_bodies_;
  limits.request_time = kCallTime;
  limits.memory = kernel_->memory();
  return limits;
}

auto Admin::IsOperator(const http::request_header<>& header) const -> bool {
  return !settings_.admin_token.empty() &&
         ConstantTimeEqual(header[http::field::authorization],
                           "Bearer " + settings_.admin_token);
}

void Admin::Start() {
  config_ = kernel_->Find<CatalogSource>("config");
  config_log_ = kernel_->Find<ConfigService>("config");
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  runner_ = kernel_->Find<Runner>("runner");
  claims_ = kernel_->Find<Claims>("claims");
  metrics_ = kernel_->Find<Metrics>("metrics");
  AddOperatorMethods();
  if (config_log_)
    AddConfigLogMethods();
  Listen(&server_, settings_.admin_address);
  if (!settings_.peer_rpc_address.empty())
    Listen(&peer_server_, settings_.peer_rpc_address);
}

void Admin::Listen(HttpServer* server, const std::string& address) {
  const std::error_code error = server->Listen(*ParseAddress(address));
  if (!error)
    return;
  Log(LogLevel::kError, "listen-failed",
      {{"address", address}, {"error", error.message()}});
  kernel_->Stop();
}

void Admin::Stop() {
  server_.Stop();
  peer_server_.Stop();
}

void Admin::AddOperatorMethods() {
  operator_rpc_.Add("status",
                    [this](const std::string&) { return Status().dump(); });
  operator_rpc_.Add("explain", [this](const std::string& params) {
    return Explain(StringParameter(params, "workspace")).dump();
  });
  operator_rpc_.Add("lift", [this](const std::string& params) {
    return ReleaseQuarantined(StringParameter(params, "workspace")).dump();
  });
  operator_rpc_.Add("drain", [this](const std::string&) {
    drain_();
    return Json{{"draining", true}}.dump();
  });
}

// Methods whose answers come from the replayed configuration log.
void Admin::AddConfigLogMethods() {
  operator_rpc_.Add("history", [this](const std::string& params) {
    return History(IntegerParameter(params, "most", 50)).dump();
  });
  operator_rpc_.Add("get", [this](const std::string& params) {
    return Documents(StringParameter(params, "document")).dump();
  });
  peer_rpc_.Add("records", [this](const std::string& params) {
    return config_log_->RecordsFrom(IntegerParameter(params, "from", 1)).dump();
  });
  peer_rpc_.Add("snapshot", [this](const std::string&) {
    if (!config_log_->ready())
      return Json::object().dump();
    return EncodeSnapshotRecord(config_log_->fold());
  });
  peer_rpc_.Add("ledger", [this](const std::string&) {
    return scheduler_->node().ledger().Export().dump();
  });
}

auto Admin::NotReadyReason() const -> std::string {
  if (draining_)
    return "draining";
  if (!config_->ready())
    return config_->not_ready_reason();
  if (!scheduler_->node().IsAcquainted(kernel_->Now()))
    return "the other boxes have not reported yet";
  return scheduler_->overload().busy() ? "this box is overloaded" : "";
}

auto Admin::Handle(StringRequest request) -> asio::awaitable<StringResponse> {
  const std::string_view path = request.target();
  if (path == "/healthz")
    co_return TextResponse(http::status::ok, "ok\n");
  if (path == "/readyz") {
    const std::string why_not = NotReadyReason();
    co_return TextResponse(
        why_not.empty() ? http::status::ok : http::status::service_unavailable,
        why_not.empty() ? "ready\n" : why_not + "\n");
  }
  if (path == "/metrics")
    co_return TextResponse(http::status::ok, metrics_->Render());
  if (path == "/rpc" && request.method() == http::verb::post)
    co_return HandleRpc(request);
  if (path == "/claim" && request.method() == http::verb::post)
    co_return co_await HandleClaim(request);
  co_return TextResponse(http::status::not_found, "unknown path or method\n");
}

auto Admin::HasPeerProof(const StringRequest& request) const -> bool {
  return ConstantTimeEqual(request[std::string(kPeerProofField)],
                           PeerProof(settings_.peer_key, request.body()));
}

auto Admin::HandleClaim(const StringRequest& request)
    -> asio::awaitable<StringResponse> {
  if (!HasPeerProof(request))
    co_return TextResponse(http::status::unauthorized,
                           "the peer proof is missing or wrong\n");
  if (!claims_)
    co_return TextResponse(http::status::not_found,
                           "this box does not decide claims\n");
  const Result<ClaimRecord> record = DecodeClaim(request.body());
  if (!record)
    co_return TextResponse(http::status::bad_request,
                           "the body is not a claim record\n");
  const ClaimAnswer answer = co_await claims_->DecideHere(*record);
  co_return JsonResponse(http::status::ok, ToJson(answer));
}

auto Admin::HandleRpc(const StringRequest& request) -> StringResponse {
  RpcServer* server = nullptr;
  if (HasPeerProof(request))
    server = &peer_rpc_;
  else if (IsOperator(request))
    server = &operator_rpc_;
  if (server == nullptr)
    return TextResponse(
        http::status::unauthorized,
        "the admin token or the peer proof is missing or wrong\n");
  StringResponse response(http::status::ok, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = server->Handle(request.body());
  return response;
}

auto Admin::Status() const -> Json {
  Node& node = scheduler_->node();
  const Millis now = kernel_->Now();
  Json boxes = Json::array();
  for (const BoxEntry& box : node.members().list().boxes) {
    const BoxId id = BoxIdOf(box.name);
    boxes.push_back({{"name", box.name},
                     {"hall", box.hall},
                     {"live", node.members().IsLive(id, now)},
                     {"offset", node.ConfigPositionOf(id).offset}});
  }
  Json targets = Json::array();
  for (const TargetEntry& target : node.members().list().targets) {
    const TargetId id = IdOf(target);
    const auto allocator = node.members().AllocatorOf(id, target.hall, now);
    const BoxEntry* box = allocator ? node.members().Find(*allocator) : nullptr;
    targets.push_back(
        {{"name", target.name},
         {"hall", target.hall},
         {"pool", target.pool},
         {"version", target.version},
         {"slots", target.slots},
         {"leaving", node.IsTargetLeaving(id)},
         {"allocator", box == nullptr ? "" : box->name},
         {"held", node.ingress_scheduler().leases().Free(id) +
                      node.ingress_scheduler().leases().InFlight(id)},
         {"in_flight", node.ingress_scheduler().leases().InFlight(id)}});
  }
  Json workspaces = Json::array();
  for (const auto& [name, workspace] : config_->catalog()->workspaces()) {
    for (const std::string& pool : workspace.pools) {
      const Flow flow = {PoolIdOf(pool), workspace.number};
      workspaces.push_back(
          {{"name", name},
           {"pool", pool},
           {"share", workspace.share},
           {"service", node.ledger().RawService(flow) / kServiceUnit},
           {"queued", node.ingress_scheduler().queues().Count(flow)}});
    }
  }
  return Json{{"box", settings_.name},
              {"hall", settings_.hall},
              {"version", SPARBEND_VERSION},
              {"policy", ToString(settings_.policy)},
              {"ready", NotReadyReason().empty()},
              {"draining", draining_},
              {"offset", config_->version()},
              {"digest", config_log_ ? config_log_->fold().Digest() : ""},
              {"queued", node.ingress_scheduler().queues().total()},
              {"in_flight", node.ingress_scheduler().in_flight()},
              {"boxes", boxes},
              {"targets", targets},
              {"workspaces", workspaces},
              {"quarantined", Quarantined()}};
}

auto Admin::Quarantined() const -> Json {
  Json requests = Json::array();
  const Millis now = kernel_->Now();
  for (const Quarantine::Blocked& blocked :
       scheduler_->node().quarantine().ListBlocked(now)) {
    const Workspace* workspace =
        config_->catalog()->FindWorkspace(blocked.suspect.workspace);
    requests.push_back(
        {{"fingerprint", ToString(blocked.suspect)},
         {"kind", IsPart(blocked.suspect) ? "part" : "request"},
         {"workspace", workspace == nullptr ? "" : workspace->name},
         {"ends", blocked.ends},
         {"for_ms", blocked.span.count()}});
  }
  return requests;
}

auto Admin::ReleaseQuarantined(const std::string& name) -> Json {
  const Workspace* workspace = config_->catalog()->FindWorkspace(name);
  if (workspace == nullptr)
    return Json{{"known", false}, {"lifted", 0}};
  return Json{{"known", true},
              {"lifted", scheduler_->LiftQuarantine(workspace->number)}};
}

auto Admin::Explain(const std::string& name) const -> Json {
  Node& node = scheduler_->node();
  const Workspace* workspace = config_->catalog()->FindWorkspace(name);
  if (workspace == nullptr)
    return Json{{"workspace", name}, {"known", false}};
  Json pools = Json::array();
  for (const std::string& pool : workspace->pools) {
    const Flow flow = {PoolIdOf(pool), workspace->number};
    const auto refusal = node.ingress_scheduler().CheckServable(flow);
    const QueuedRequest* first = node.ingress_scheduler().queues().Front(flow);
    std::string why =
        "no request of this workspace waits for this pool on this box";
    if (refusal)
      why = refusal->reason;
    else if (first != nullptr)
      why =
          "all slots in the permitted halls are in use; the workspace with "
          "the least normalised service is served next";
    pools.push_back(
        {{"pool", pool},
         {"queued_here", node.ingress_scheduler().queues().Count(flow)},
         {"waiting_ms",
          first == nullptr ? 0 : (kernel_->Now() - first->arrived).count()},
         {"service_per_share", node.ledger().Service(flow) / kServiceUnit},
         {"lift", node.ledger().ServiceOffsetOf(flow) / kServiceUnit},
         {"why", why}});
  }
  return Json{{"workspace", name},
              {"known", true},
              {"share", workspace->share},
              {"halls", workspace->halls},
              {"pools", pools}};
}

auto Admin::History(int64_t max_decisions) const -> Json {
  Json decisions = Json::array();
  const auto& all = config_log_->fold().decisions();
  const size_t count = std::min(
      all.size(), static_cast<size_t>(std::max<int64_t>(0, max_decisions)));
  for (size_t i = all.size() - count; i < all.size(); ++i)
    decisions.push_back(ToJson(all[i]));
  return Json{{"decisions", decisions}};
}

auto Admin::Documents(const std::string& name) const -> Json {
  Json documents = Json::object();
  for (const auto& [document, state] : config_log_->fold().documents()) {
    if (name.empty() || name == document)
      documents[document] = {{"revision", state.revision},
                             {"content", state.content}};
  }
  return Json{{"offset", config_log_->version()}, {"documents", documents}};
}

}  // namespace sparbend
