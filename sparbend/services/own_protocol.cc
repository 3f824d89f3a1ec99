// The workspace follows from the API key alone, so it is known before the body
// is read. The pool depends on the body and is known only afterwards.
#include "sparbend/services/own_protocol.h"

#include <charconv>
#include <variant>

#include "sparbend/core/digest.h"
#include "sparbend/core/route.h"

namespace sparbend {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kOnceField = "Sparbend-Once";
constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";
constexpr size_t kMaxIdempotencyKeyBytes = 200;
constexpr std::string_view kNotRunField = "X-Not-Run";
constexpr std::string_view kTargetStateField = "X-Target-State";
constexpr std::string_view kTargetLoadField = "X-Target-Load";
constexpr std::string_view kTargetVersionField = "X-Target-Version";

auto NotRun(int status, std::string reason) -> Refusal {
  return {status, Verdict::kNotRun, std::move(reason), Millis(0)};
}

auto ReadHead(const Settings& settings,
              const http::request_header<>& head,
              RequestContext* context) -> std::optional<Refusal> {
  const std::string_view authorization = head[http::field::authorization];
  if (!authorization.starts_with(kBearer))
    return NotRun(401,
                  "no API key in the Authorization field: send Authorization: "
                  "Bearer KEY");
  context->workspace = context->catalog->FindWorkspaceByKey(
      Sha256Hex(authorization.substr(kBearer.size())));
  if (context->workspace == nullptr)
    return NotRun(401, "the API key belongs to no workspace");
  context->idempotency_key = head[std::string(kIdempotencyKeyField)];
  if (context->idempotency_key.size() > kMaxIdempotencyKeyBytes)
    return NotRun(
        400, "the Idempotency-Key is too long: at most 200 bytes are allowed");
  context->deadline = context->received + settings.request_time;
  context->queue_until = std::min(
      context->received + context->workspace->queue_time, context->deadline);
  return std::nullopt;
}

auto ReadCompleteRequest(RequestContext* context) -> std::optional<Refusal> {
  const RouteInput input = {context->request.method_string(),
                            context->request.target(), *context->body,
                            context->request[std::string(kOnceField)]};
  const std::variant<Route, Refusal> found =
      FindRoute(*context->catalog, *context->workspace, input);
  if (const Refusal* refusal = std::get_if<Refusal>(&found))
    return *refusal;
  const Route& route = std::get<Route>(found);
  context->pool = context->catalog->FindPool(route.pool);
  context->model = route.model;
  context->once = route.once;
  context->streaming = route.streaming;
  context->prefix = route.prefix;
  return std::nullopt;
}

// Copies the fields of the client's request that are for the target.
void CopyFields(const StringRequest& from, StringRequest* to) {
  for (const http::field field :
       {http::field::content_type, http::field::accept,
        http::field::accept_language, http::field::content_encoding}) {
    const auto found = from.find(field);
    if (found != from.end())
      to->set(field, found->value());
  }
}

auto RequestHead(const RequestContext& context,
                 const Slot& slot,
                 const std::string& resume_after) -> StringRequest {
  StringRequest request(context.request.method(), context.request.target(), 11);
  CopyFields(context.request, &request);
  request.set(http::field::host, FormatAddress(slot.address));
  request.set("X-Request-Id", context.request_id);
  request.set("X-Workspace", context.workspace->name);
  if (!context.idempotency_key.empty())
    request.set("Idempotency-Key", context.idempotency_key);
  if (!resume_after.empty())
    request.set("Last-Event-ID", resume_after);
  return request;
}

auto ReadAnswer(const http::response_header<>& header) -> AnswerFacts {
  AnswerFacts facts;
  facts.leaving = header[std::string(kTargetStateField)] == "leaving";
  facts.version = header[std::string(kTargetVersionField)];
  const std::string_view load = header[std::string(kTargetLoadField)];
  int running = 0;
  const auto parsed =
      std::from_chars(load.data(), load.data() + load.size(), running);
  if (!load.empty() && parsed.ec == std::errc())
    facts.running = running;
  if (header.count(std::string(kNotRunField)) != 0) {
    facts.kind = AnswerFacts::Kind::kNotRun;
    facts.why = "the target reports that it did not run the request";
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

auto MakeOwnClientProtocol(const Settings& settings)
    -> std::shared_ptr<ClientProtocol> {
  auto protocol = std::make_shared<ClientProtocol>();
  protocol->read_head = [settings](const http::request_header<>& head,
                                   RequestContext* context) {
    return ReadHead(settings, head, context);
  };
  protocol->read_complete_request = ReadCompleteRequest;
  protocol->refusal = [](const Refusal& refusal,
                         const RequestContext& context) {
    return ProblemResponse(refusal, context.request_id);
  };
  protocol->add_answer_fields = [](const RequestContext& context,
                                   http::response_header<>* header) {
    header->set(std::string(kRequestField), context.request_id);
    header->set(std::string(kVerdictField), ToString(Verdict::kRan));
  };
  return protocol;
}

auto MakeOwnTargetProtocol() -> std::shared_ptr<TargetProtocol> {
  auto protocol = std::make_shared<TargetProtocol>();
  protocol->has_closing_event = true;
  protocol->event_ids = EventIds::kUnique;
  protocol->request_head = [](const RequestContext& context, const Slot& slot,
                              Millis /*time_left*/,
                              const std::string& resume_after) {
    return RequestHead(context, slot, resume_after);
  };
  protocol->read_answer = [](const RequestContext& /*context*/,
                             const http::response_header<>& header) {
    return ReadAnswer(header);
  };
  return protocol;
}

}  // namespace sparbend
