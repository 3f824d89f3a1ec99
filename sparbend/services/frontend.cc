// Checks come in the order of their cost: connection count, header size,
// key, queue bounds; only then is the body read, and only then parsed. A
// request refused with its body unread ends the connection.
#include "sparbend/services/frontend.h"

#include "sparbend/core/digest.h"
#include "sparbend/kernel/log.h"
#include "sparbend/kernel/socket_peek.h"
#include "sparbend/services/at_once.h"

namespace sparbend {
namespace {

// What is still read, and thrown away, of a request refused early.
constexpr std::chrono::seconds kLingerTime(1);
constexpr size_t kLingerBytes = 16 * 1024 * 1024;
constexpr Millis kRetryAfterStart = Millis(1'000);
constexpr Millis kRetryAfterStop = Millis(50);
// A box is flooded alone, as the balancer spreads callers unevenly: another
// takes the caller at once.
constexpr Millis kRetryAfterFlood = Millis(20);
constexpr size_t kFirstReadBytes = 8'192;

auto NotRun(int status, std::string reason, Millis retry_after = Millis(0))
    -> Refusal {
  return {status, Verdict::kNotRun, std::move(reason), retry_after};
}

// The refusal for a request that could not be read, or nothing when the
// caller simply closed its connection.
auto RefusalOfRead(const boost::system::error_code& error, bool any_byte)
    -> std::optional<Refusal> {
  if (error == http::error::header_limit)
    return NotRun(431, "the header is too large");
  if (error == http::error::body_limit)
    return NotRun(413, "the body is too large");
  if (error == beast::error::timeout)
    return any_byte ? std::optional(NotRun(408, "the request came too slowly"))
                    : std::nullopt;
  const bool malformed =
      error.category() == make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message;
  return malformed
             ? std::optional(NotRun(400, "not HTTP/1.1: " + error.message()))
             : std::nullopt;
}

}  // namespace

struct Frontend::Session {
  explicit Session(tcp::socket socket) : stream(std::move(socket)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool closed = false;
  bool refused = false;  // its next request is, since it waited too long
};

Frontend::Frontend(Kernel* kernel,
                   const Settings& settings,
                   uint32_t incarnation)
    : kernel_(kernel),
      settings_(settings),
      id_prefix_(settings.name + "-" + ToHex(incarnation) + "-") {}

void Frontend::Start() {
  config_ = kernel_->Find<CatalogSource>("config");
  dialect_ = kernel_->Find<ClientProtocol>("caller-dialect");
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  runner_ = kernel_->Find<Runner>("runner");
  metrics_ = kernel_->Find<Metrics>("metrics");
  AcceptingHooks hooks;
  hooks.may_take = [this](size_t waiting) { return MayTake(waiting); };
  hooks.serve = [this](tcp::socket socket) {
    kernel_->Spawn("front-connection", Serve(std::move(socket)));
  };
  hooks.refuse = [this](tcp::socket socket, Millis waited) {
    RefuseUnread(std::move(socket), waited);
  };
  accepting_ =
      std::make_unique<ClientAcceptor>(kernel_, metrics_, std::move(hooks));
  if (const std::error_code error =
          accepting_->Listen(*ParseAddress(settings_.client_address))) {
    Log(LogLevel::kError, "listen-failed",
        {{"address", settings_.client_address}, {"error", error.message()}});
    kernel_->Stop();
    return;
  }
  kernel_->Spawn("front-accept", accepting_->Run());
}

void Frontend::Stop() {
  if (accepting_)
    accepting_->Close();
}

void Frontend::Drain() {
  leaving_ = true;
  draining_ = true;
  Stop();
  boost::system::error_code ignored;
  for (Session* session : resting_)
    session->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

// The configuration's limits where it sets them, else the settings'.
auto Frontend::limits() const -> ClientLimits {
  const ClientLimits& declared = config_->catalog()->limits();
  ClientLimits limits;
  limits.header_bytes = declared.header_bytes > 0 ? declared.header_bytes
                                                  : settings_.header_bytes;
  limits.body_bytes =
      declared.body_bytes > 0 ? declared.body_bytes : settings_.body_bytes;
  limits.receive_time = declared.receive_time > Millis(0)
                            ? declared.receive_time
                            : settings_.receive_time;
  limits.idle_time =
      declared.idle_time > Millis(0) ? declared.idle_time : settings_.idle_time;
  return limits;
}

auto Frontend::address() const -> std::string {
  return accepting_->address();
}

auto Frontend::MayTake(size_t waiting) -> bool {
  const int64_t held = connections_ + static_cast<int64_t>(waiting);
  if (held < settings_.connections)
    return true;
  metrics_->connections_refused.Increment();
  Log(LogLevel::kWarning, "connection-refused",
      {{"reason", "too many connections"}, {"connections", held}});
  return false;
}

auto Frontend::Serve(tcp::socket socket) -> asio::awaitable<void> {
  Session session(std::move(socket));
  co_await ServeAll(&session);
}

auto Frontend::ServeRefused(tcp::socket socket, std::string arrived)
    -> asio::awaitable<void> {
  Session session(std::move(socket));
  session.refused = true;
  asio::buffer_copy(session.buffer.prepare(arrived.size()),
                    asio::buffer(arrived));
  session.buffer.commit(arrived.size());
  co_await ServeAll(&session);
}

auto Frontend::ServeAll(Session* session) -> asio::awaitable<void> {
  ++connections_;
  boost::system::error_code ignored;
  session->stream.socket().set_option(tcp::no_delay(true), ignored);
  while ((session->refused || !draining_) && co_await ServeOne(session)) {
  }
  session->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  --connections_;
}

// What is refused here counts as asked: else a workspace whose callers reach a
// box that is behind is taken to ask for little, and nobody yields to it.
auto Frontend::BehindWork(const RequestContext& exchange) -> Refusal {
  if (exchange.pool != nullptr)
    scheduler_->node().ingress_scheduler().RecordRefusal(
        {PoolIdOf(exchange.pool->name), exchange.workspace->number},
        exchange.work, exchange.received);
  return NotRun(503, "this box is behind its work", kRetryAfterFlood);
}

// A caller that has waited for too long is told so from what it has sent,
// without a coroutine or a look at the body. One whose request is still on its
// way, or that waits for leave to send its body, is read to its end first.
void Frontend::RefuseUnread(tcp::socket socket, Millis waited) {
  const Arrived arrived = ReadArrived(&socket);
  RequestContext exchange;
  AssignId(&exchange);
  switch (arrived.kind) {
    case Arrived::Kind::kNothing:
      kernel_->Spawn("front-connection", Serve(std::move(socket)));
      return;
    case Arrived::Kind::kPart:
      kernel_->Spawn(
          "front-connection",
          ServeRefused(std::move(socket), std::string(arrived.bytes)));
      return;
    case Arrived::Kind::kLeft:
      NoteCallerLeft(exchange);
      return;
    case Arrived::Kind::kWhole:
      break;
  }
  std::optional<Refusal> refusal = CheckHeader(arrived.head, &exchange);
  if (!refusal)
    refusal = BehindWork(exchange);
  NoteRefusal(exchange, *refusal, waited);
  if (!AnswerAndClose(&socket, dialect_->refusal(*refusal, exchange)))
    metrics_->caller_left.Increment();
}

void Frontend::NoteRefusal(const RequestContext& exchange,
                           const Refusal& refusal,
                           Millis waited) {
  Log(LogLevel::kInfo, "request-refused",
      {{"request", exchange.request_id},
       {"caller_id", exchange.caller_id},
       {"workspace",
        exchange.workspace == nullptr ? "" : exchange.workspace->name},
       {"status", refusal.status},
       {"verdict", ToString(refusal.verdict)},
       {"reason", refusal.reason},
       {"waited_ms", waited.count()},
       {"configuration", config_->version()}});
  metrics_->CountAnswer(refusal.status, ToString(refusal.verdict));
}

auto Frontend::Refuse(ClientStream* caller,
                      const RequestContext& exchange,
                      const Refusal& refusal) -> asio::awaitable<bool> {
  NoteRefusal(exchange, refusal, /*waited=*/Millis(0));
  co_return co_await caller->Answer(dialect_->refusal(refusal, exchange));
}

auto Frontend::RefuseEarly(Session* session,
                           const RequestContext& exchange,
                           const Refusal& refusal) -> asio::awaitable<bool> {
  ClientStream caller(&session->stream, /*keep_alive=*/false,
                      settings_.send_time);
  co_await Refuse(&caller, exchange, refusal);
  // The rest of the request is unread; closing now could reset the answer
  // before the caller has it, so the sending side goes first.
  boost::system::error_code ignored;
  session->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  std::array<char, 4096> rest;
  session->stream.expires_after(kLingerTime);
  size_t taken = 0;
  while (taken < kLingerBytes) {
    const auto [error, size] =
        co_await session->stream.async_read_some(asio::buffer(rest), kAwait);
    if (error)
      break;
    taken += size;
  }
  co_return false;
}

// Waits for the first byte of a request; false when there will be none.
auto Frontend::WaitForRequest(Session* session) -> asio::awaitable<bool> {
  if (session->buffer.size() != 0)
    co_return true;
  session->stream.expires_after(
      std::chrono::milliseconds(limits().idle_time.count()));
  resting_.insert(session);
  const auto [error, size] = co_await session->stream.async_read_some(
      session->buffer.prepare(kFirstReadBytes), kAwait);
  resting_.erase(session);
  session->buffer.commit(size);
  co_return !error;
}

auto Frontend::ReadHeader(Session* session, Parser* parser)
    -> asio::awaitable<std::optional<Refusal>> {
  if (!co_await WaitForRequest(session)) {
    session->closed = true;
    co_return std::nullopt;
  }
  const ClientLimits bounds = limits();
  parser->header_limit(static_cast<uint32_t>(bounds.header_bytes));
  parser->body_limit(static_cast<uint64_t>(bounds.body_bytes));
  session->stream.expires_after(
      std::chrono::milliseconds(bounds.receive_time.count()));
  const auto [error, size] = co_await http::async_read_header(
      session->stream, session->buffer, *parser, kAwait);
  if (!error)
    co_return std::nullopt;
  const auto refusal = RefusalOfRead(error, /*any_byte=*/true);
  session->closed = !refusal;
  co_return refusal;
}

auto Frontend::ReadBody(Session* session, Parser* parser)
    -> asio::awaitable<std::optional<Refusal>> {
  if (parser->get()[http::field::expect] == "100-continue") {
    http::response<http::empty_body> proceed(http::status::continue_, 11);
    const auto [error, sent] =
        co_await http::async_write(session->stream, proceed, kAwait);
    session->closed = error.failed();
  }
  if (session->closed)
    co_return std::nullopt;
  const auto [error, size] = co_await http::async_read(
      session->stream, session->buffer, *parser, kAwait);
  if (!error)
    co_return std::nullopt;
  const auto refusal = RefusalOfRead(error, /*any_byte=*/true);
  session->closed = !refusal;
  co_return refusal;
}

// A box that fell behind reads requests whose callers have given up; running
// them would only keep it behind.
auto Frontend::CallerLeft(Session& session, const RequestContext& exchange)
    -> bool {
  if (PeekSocket(session.stream.socket()) != SocketState::kClosed)
    return false;
  NoteCallerLeft(exchange);
  return true;
}

void Frontend::NoteCallerLeft(const RequestContext& exchange) {
  metrics_->caller_left.Increment();
  Log(LogLevel::kInfo, "caller-left-unheard",
      {{"request", exchange.request_id}, {"caller_id", exchange.caller_id}});
}

void Frontend::AssignId(RequestContext* exchange) {
  exchange->id = next_id_++;
  exchange->request_id = id_prefix_ + std::to_string(exchange->id);
}

auto Frontend::CheckHeader(const http::request_header<>& head,
                           RequestContext* exchange) -> std::optional<Refusal> {
  exchange->received = kernel_->Now();
  if (!config_->ready())
    return NotRun(503, config_->not_ready_reason(), kRetryAfterStart);
  if (draining_)
    return NotRun(503, "this box is stopping", kRetryAfterStop);
  exchange->catalog = config_->catalog();
  if (auto refusal = dialect_->read_head(head, exchange))
    return refusal;
  if (scheduler_->overload().saturated())
    return BehindWork(*exchange);
  return scheduler_->node().ingress_scheduler().CheckQueueLimits(
      *exchange->workspace);
}

auto Frontend::ServeOne(Session* session) -> asio::awaitable<bool> {
  RequestContext exchange;
  AssignId(&exchange);
  Parser parser;
  std::optional<Refusal> refusal = co_await ReadHeader(session, &parser);
  bool early = refusal.has_value();  // the rest can't be read
  if (!refusal && !session->closed) {
    refusal = CheckHeader(parser.get().base(), &exchange);
    if (!refusal && session->refused)
      refusal = BehindWork(exchange);
    const std::optional<Refusal> unread = co_await ReadBody(session, &parser);
    early = unread.has_value();
    if (unread)
      refusal = unread;
  }
  if (session->closed)
    co_return false;
  if (early)
    co_return co_await RefuseEarly(session, exchange, *refusal);
  if (CallerLeft(*session, exchange))
    co_return false;
  const bool keep_alive = parser.get().keep_alive() && !session->refused &&
                          !leaving_ && !scheduler_->overload().busy();
  ClientStream caller(&session->stream, keep_alive, settings_.send_time);
  exchange.caller = &caller;
  exchange.request = parser.release();
  if (!refusal)
    refusal = dialect_->read_whole(&exchange);
  if (refusal) {
    co_await Refuse(&caller, exchange, *refusal);
    co_return caller.reusable();
  }
  session->stream.expires_never();
  co_await runner_->Run(&exchange);
  co_return caller.reusable();
}

}  // namespace sparbend
