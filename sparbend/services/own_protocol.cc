// The workspace comes from the key alone, so it is known before the body is
// read; the pool is named in the body and is known after.
#include "sparbend/services/own_protocol.h"

#include <charconv>
#include <variant>

#include "sparbend/core/digest.h"
#include "sparbend/core/route.h"

namespace sparbend {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kOnceField = "Sparbend-Once";
constexpr std::string_view kKeyField = "Idempotency-Key";
constexpr size_t kMaxKeyBytes = 200;
constexpr std::string_view kNotRunField = "X-Not-Run";
constexpr std::string_view kTargetStateField = "X-Target-State";
constexpr std::string_view kTargetLoadField = "X-Target-Load";

auto NotRun(int status, std::string reason) -> Refusal {
  return {status, Verdict::kNotRun, std::move(reason), Millis(0)};
}

auto ReadHead(const Settings& settings,
              const http::request_header<>& head,
              RequestContext* exchange) -> std::optional<Refusal> {
  const std::string_view authorization = head[http::field::authorization];
  if (!authorization.starts_with(kBearer))
    return NotRun(401, "no API key: send Authorization: Bearer KEY");
  exchange->workspace = exchange->catalog->FindWorkspaceByKey(
      Sha256Hex(authorization.substr(kBearer.size())));
  if (exchange->workspace == nullptr)
    return NotRun(401, "the API key is not known");
  exchange->idempotency_key = head[std::string(kKeyField)];
  if (exchange->idempotency_key.size() > kMaxKeyBytes)
    return NotRun(400, "the Idempotency-Key is too long");
  exchange->deadline = exchange->received + settings.request_time;
  exchange->queue_until = std::min(
      exchange->received + exchange->workspace->queue_time, exchange->deadline);
  return std::nullopt;
}

auto ReadWhole(RequestContext* exchange) -> std::optional<Refusal> {
  const RouteInput input = {
      exchange->request.method_string(), exchange->request.target(),
      exchange->request.body(), exchange->request[std::string(kOnceField)]};
  const std::variant<Route, Refusal> found =
      FindRoute(*exchange->catalog, *exchange->workspace, input);
  if (const Refusal* refusal = std::get_if<Refusal>(&found))
    return *refusal;
  const Route& route = std::get<Route>(found);
  exchange->pool = exchange->catalog->FindPool(route.pool);
  exchange->model = route.model;
  exchange->once = route.once;
  exchange->streaming = route.streaming;
  exchange->prefix = route.prefix;
  return std::nullopt;
}

// Fields of the caller's request that are for the target.
void CopyFields(const StringRequest& from, StringRequest* to) {
  for (const http::field field :
       {http::field::content_type, http::field::accept,
        http::field::accept_language, http::field::content_encoding}) {
    const auto found = from.find(field);
    if (found != from.end())
      to->set(field, found->value());
  }
}

auto RequestHead(const RequestContext& exchange,
                 const Slot& slot,
                 const std::string& resume_after) -> StringRequest {
  StringRequest request(exchange.request.method(), exchange.request.target(),
                        11);
  CopyFields(exchange.request, &request);
  request.set(http::field::host, FormatAddress(slot.address));
  request.set("X-Request-Id", exchange.request_id);
  request.set("X-Workspace", exchange.workspace->name);
  if (!exchange.idempotency_key.empty())
    request.set("Idempotency-Key", exchange.idempotency_key);
  if (!resume_after.empty())
    request.set("Last-Event-ID", resume_after);
  return request;
}

auto ReadAnswer(const http::response_header<>& header) -> AnswerFacts {
  AnswerFacts facts;
  facts.leaving = header[std::string(kTargetStateField)] == "leaving";
  const std::string_view load = header[std::string(kTargetLoadField)];
  int running = 0;
  const auto parsed =
      std::from_chars(load.data(), load.data() + load.size(), running);
  if (!load.empty() && parsed.ec == std::errc())
    facts.running = running;
  if (header.count(std::string(kNotRunField)) != 0) {
    facts.kind = AnswerFacts::Kind::kNotRun;
    facts.why = "the target did not run it";
  }
  return facts;
}

}  // namespace

auto ProblemResponse(const Refusal& refusal, const std::string& request_id)
    -> StringResponse {
  StringResponse response(static_cast<http::status>(refusal.status), 11);
  response.set(http::field::content_type, "application/problem+json");
  response.set(std::string(kVerdictField), ToString(refusal.verdict));
  response.set(std::string(kRequestField), request_id);
  if (refusal.retry_after > Millis(0)) {
    const int64_t seconds = (refusal.retry_after.count() + 999) / 1'000;
    response.set(http::field::retry_after, std::to_string(seconds));
  }
  response.body() = Json{
      {"status", refusal.status},
      {"title", std::string(http::obsolete_reason(response.result()))},
      {"detail", refusal.reason},
      {"verdict", ToString(refusal.verdict)},
      {"request",
       request_id}}.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

auto MakeOwnCallerDialect(const Settings& settings)
    -> std::shared_ptr<ClientProtocol> {
  auto dialect = std::make_shared<ClientProtocol>();
  dialect->read_head = [settings](const http::request_header<>& head,
                                  RequestContext* exchange) {
    return ReadHead(settings, head, exchange);
  };
  dialect->read_whole = ReadWhole;
  dialect->refusal = [](const Refusal& refusal,
                        const RequestContext& exchange) {
    return ProblemResponse(refusal, exchange.request_id);
  };
  dialect->dress_answer = [](const RequestContext& exchange,
                             http::response_header<>* header) {
    header->set(std::string(kRequestField), exchange.request_id);
    header->set(std::string(kVerdictField), ToString(Verdict::kRan));
  };
  return dialect;
}

auto MakeOwnTargetDialect() -> std::shared_ptr<TargetProtocol> {
  auto dialect = std::make_shared<TargetProtocol>();
  dialect->request_head = [](const RequestContext& exchange, const Slot& slot,
                             Millis /*left*/, const std::string& resume_after) {
    return RequestHead(exchange, slot, resume_after);
  };
  dialect->read_answer = [](const RequestContext& /*exchange*/,
                            const http::response_header<>& header) {
    return ReadAnswer(header);
  };
  return dialect;
}

}  // namespace sparbend
