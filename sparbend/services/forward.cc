// The verdict changes at two places only: it becomes may-have-run before the
// first byte is handed to the kernel, and ran when the target's answer is
// read to its end. A target may take it back to not-run by saying so itself
// in its answer (field X-Not-Run).
//
// A non-repeatable request gets a fresh connection: on a kept one the target
// may close at the very moment of writing, and then nobody could tell.
//
// Resuming: a broken stream is asked for again from its last whole event. The
// caller may already hold part of the next event; so many bytes of the resumed
// stream are passed over.
#include "sparbend/services/forward.h"

#include <array>
#include <charconv>

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

constexpr size_t kPieceBytes = 16 * 1024;
constexpr uint32_t kAnswerHeaderBytes = 16 * 1024;
constexpr int kMaxResumes = 3;
constexpr Millis kExpiryStep = Millis(500);
constexpr std::string_view kNotRunField = "X-Not-Run";
constexpr std::string_view kTargetStateField = "X-Target-State";
constexpr std::string_view kTargetLoadField = "X-Target-Load";

auto MakeResult(Verdict verdict, std::string problem) -> AttemptResult {
  return {false, verdict, std::move(problem)};
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

// Fields of the target's answer that are for the caller.
auto AnswerHeader(const http::response_header<>& from)
    -> http::response_header<> {
  http::response_header<> header;
  header.result(from.result_int());
  for (const auto& field : from) {
    switch (field.name()) {
      case http::field::connection:
      case http::field::keep_alive:
      case http::field::transfer_encoding:
      case http::field::content_length:
      case http::field::trailer:
      case http::field::upgrade:
      case http::field::proxy_authenticate:
        break;
      default:
        if (field.name() == http::field::unknown)
          header.insert(field.name_string(), field.value());
        else
          header.insert(field.name(), field.value());
    }
  }
  return header;
}

}  // namespace

// What an answer has come to over an attempt and its resumes.
struct Forward::Relay {
  UsageMeter meter;
  int64_t relayed = 0;  // bytes handed to the caller
  int64_t skip = 0;     // bytes of a resumed stream the caller has
  bool metered = false;
  bool began = false;
};

Forward::Forward(Kernel* kernel, const Settings& settings)
    : kernel_(kernel),
      connect_time_(settings.connect_time),
      silence_time_(settings.silence_time) {}

void Forward::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  metrics_ = kernel_->Find<Metrics>("metrics");
}

auto Forward::Connect(Exchange* exchange, const Slot& slot, bool fresh)
    -> asio::awaitable<Result<std::unique_ptr<Connection>>> {
  if (!fresh) {
    if (auto kept = connections_.Take(slot.id))
      co_return kept;
  }
  auto connection =
      std::make_unique<Connection>(co_await asio::this_coro::executor);
  exchange->cancel = [stream = &connection->stream] { stream->cancel(); };
  connection->stream.expires_after(
      std::chrono::milliseconds(connect_time_.count()));
  const auto [error] =
      co_await connection->stream.async_connect(slot.address, kAwait);
  exchange->cancel = nullptr;
  if (error)
    co_return MakeError(Errc::kUnreachable, error.message());
  connection->stream.socket().set_option(tcp::no_delay(true));
  co_return connection;
}

void Forward::RenewExpiry(const Exchange& exchange, Connection* connection) {
  const Millis left = exchange.deadline - kernel_->Now();
  const Millis span = std::max(Millis(1), std::min(left, silence_time_));
  connection->stream.expires_after(std::chrono::milliseconds(span.count()));
  connection->expiry_set = kernel_->Now();
}

auto Forward::Send(Exchange* exchange,
                   const Slot& slot,
                   Connection* connection,
                   const std::string& resume_after)
    -> asio::awaitable<AttemptResult> {
  StringRequest request(exchange->request.method(), exchange->request.target(),
                        11);
  CopyFields(exchange->request, &request);
  request.set(http::field::host, FormatAddress(slot.address));
  request.set("X-Request-Id", exchange->request_id);
  request.set("X-Workspace", exchange->workspace->name);
  if (!exchange->idempotency_key.empty())
    request.set("Idempotency-Key", exchange->idempotency_key);
  if (!resume_after.empty())
    request.set("Last-Event-ID", resume_after);
  request.body() = exchange->request.body();
  request.prepare_payload();
  // The process may have been paused since it was given the slot.
  const Millis now = kernel_->Now();
  if (now >= exchange->deadline)
    co_return MakeResult(Verdict::kNotRun, "its time ran out");
  RenewExpiry(*exchange, connection);
  const auto [error, sent] =
      co_await http::async_write(connection->stream, request, kAwait);
  if (error)
    co_return MakeResult(
        sent == 0 ? Verdict::kNotRun : Verdict::kMayHaveRun,
        "the request could not be sent whole: " + error.message());
  co_return MakeResult(Verdict::kMayHaveRun, "");
}

void Forward::NoteTarget(const Slot& slot,
                         const http::response_header<>& header) {
  if (header[std::string(kTargetStateField)] == "leaving")
    scheduler_->OnTargetLeaving(slot.id);
  const std::string_view load = header[std::string(kTargetLoadField)];
  int running = 0;
  const auto parsed =
      std::from_chars(load.data(), load.data() + load.size(), running);
  if (!load.empty() && parsed.ec == std::errc())
    scheduler_->OnTargetLoad(slot.id, running);
}

void Forward::Account(Exchange* exchange, const Relay& relay) {
  const Pool& pool = *exchange->pool;
  if (pool.kind == PoolKind::kService) {
    exchange->tokens = pool.call_cost;
    return;
  }
  const UsageMeter::Usage usage = relay.meter.FinalUsage();
  // Without the engine's own word, events are the best guess; some of them
  // carry no token.
  const int64_t output =
      usage.completion > 0 ? usage.completion : relay.meter.events();
  exchange->tokens =
      usage.prompt * pool.input_weight + output * pool.output_weight;
}

auto Forward::RelayBody(Exchange* exchange,
                        Connection* connection,
                        Parser* parser,
                        Relay* relay) -> asio::awaitable<AttemptResult> {
  std::array<char, kPieceBytes> piece;
  while (!parser->is_done()) {
    parser->get().body().data = piece.data();
    parser->get().body().size = piece.size();
    auto [error, received] = co_await http::async_read_some(
        connection->stream, connection->buffer, *parser, kAwait);
    if (error && error != http::error::need_buffer)
      co_return MakeResult(Verdict::kMayHaveRun,
                           "the answer broke off: " + error.message());
    // Renewing for each token would cost more than relaying it.
    if (kernel_->Now() - connection->expiry_set >= kExpiryStep)
      RenewExpiry(*exchange, connection);
    const size_t size = piece.size() - parser->get().body().size;
    std::string_view bytes(piece.data(), size);
    const auto skipped = std::min<int64_t>(relay->skip, size);
    relay->skip -= skipped;
    bytes.remove_prefix(static_cast<size_t>(skipped));
    if (relay->metered) {
      relay->meter.Feed(bytes);
      scheduler_->Progress(
          exchange->id, relay->meter.events() * exchange->pool->output_weight);
    }
    if (bytes.empty())
      continue;
    relay->relayed += static_cast<int64_t>(bytes.size());
    const bool sent = co_await exchange->caller->Send(bytes, true);
    if (!sent && !exchange->once)
      co_return MakeResult(Verdict::kMayHaveRun, "the caller left");
  }
  co_await exchange->caller->Send({}, false);
  co_return AttemptResult{true, Verdict::kRan, ""};
}

auto Forward::ReadAnswer(Exchange* exchange,
                         const Slot& slot,
                         Connection* connection,
                         Relay* relay) -> asio::awaitable<AttemptResult> {
  Parser parser;
  parser.header_limit(kAnswerHeaderBytes);
  parser.body_limit(boost::none);
  const auto [error, received] = co_await http::async_read_header(
      connection->stream, connection->buffer, parser, kAwait);
  if (error)
    co_return MakeResult(Verdict::kMayHaveRun,
                         "no proper answer: " + error.message());
  const http::response_header<>& header = parser.get().base();
  NoteTarget(slot, header);
  if (header.count(std::string(kNotRunField)) != 0)
    co_return MakeResult(Verdict::kNotRun, "the target did not run it");
  if (parser.need_eof())
    co_return MakeResult(Verdict::kMayHaveRun,
                         "an answer whose end could not be told");
  if (relay->began && header.result() != http::status::ok)
    co_return MakeResult(Verdict::kMayHaveRun, "the stream was not resumed");
  relay->metered = exchange->pool->kind == PoolKind::kEngine;
  if (!relay->began) {
    std::optional<uint64_t> length;
    if (const auto stated = parser.content_length())
      length = *stated;
    relay->began = true;
    co_await exchange->caller->Begin(AnswerHeader(header), length);
  }
  AttemptResult result =
      co_await RelayBody(exchange, connection, &parser, relay);
  if (result.whole && !parser.get().keep_alive())
    connection->stream.close();
  co_return result;
}

auto Forward::AttemptOnce(Exchange* exchange, const Slot& slot, Relay* relay)
    -> asio::awaitable<AttemptResult> {
  const bool resuming = relay->began;
  Result<std::unique_ptr<Connection>> connection =
      co_await Connect(exchange, slot, exchange->once || resuming);
  if (!connection)
    co_return MakeResult(resuming ? Verdict::kMayHaveRun : Verdict::kNotRun,
                         connection.error().detail);
  exchange->cancel = [stream = &(*connection)->stream] { stream->cancel(); };
  // Named, since g++ 12 destroys a conditional temporary of an awaiting
  // expression twice.
  const std::string resume_after =
      resuming ? relay->meter.last_event_id() : std::string();
  AttemptResult result =
      co_await Send(exchange, slot, connection->get(), resume_after);
  if (result.problem.empty())
    result = co_await ReadAnswer(exchange, slot, connection->get(), relay);
  exchange->cancel = nullptr;
  if (result.whole && (*connection)->stream.socket().is_open())
    connections_.Keep(slot.id, std::move(*connection));
  co_return result;
}

auto Forward::Attempt(Exchange* exchange, const Slot& slot)
    -> asio::awaitable<AttemptResult> {
  Relay relay;
  AttemptResult result = co_await AttemptOnce(exchange, slot, &relay);
  for (int resumes = 0; resumes < kMaxResumes; ++resumes) {
    const bool can_resume = exchange->pool->can_resume && relay.began &&
                            !relay.meter.last_event_id().empty() &&
                            !exchange->caller->gone();
    if (result.whole || !can_resume)
      break;
    metrics_->resumes.Increment();
    relay.skip = relay.relayed - relay.meter.whole_bytes();
    const AttemptResult resumed = co_await AttemptOnce(exchange, slot, &relay);
    result = {resumed.whole, Combine(result.verdict, resumed.verdict),
              resumed.problem};
  }
  Account(exchange, relay);
  co_return result;
}

}  // namespace sparbend
