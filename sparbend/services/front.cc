// Checks come in the order of their cost: connection count, header size,
// key, queue bounds; only then is the body read, and only then parsed. A
// request refused with its body unread ends the connection.
#include "sparbend/services/front.h"

#include <charconv>

#include "sparbend/core/digest.h"
#include "sparbend/core/route.h"
#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kOnceField = "Sparbend-Once";
constexpr std::string_view kKeyField = "Idempotency-Key";
// What is still read, and thrown away, of a request refused early.
constexpr std::chrono::seconds kLingerTime(1);
constexpr size_t kLingerBytes = 16 * 1024 * 1024;
constexpr size_t kMaxKeyBytes = 200;
constexpr Millis kRetryAfterStart = Millis(2'000);
constexpr Millis kRetryAfterFull = Millis(1'000);

auto NotRun(int status, std::string reason, Millis retry_after = Millis(0))
    -> Refusal {
  return {status, Verdict::kNotRun, std::move(reason), retry_after};
}

auto Hex(uint32_t number) -> std::string {
  std::array<char, 8> digits;
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
  return {digits.data(), end.ptr};
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

struct Front::Session {
  explicit Session(tcp::socket socket) : stream(std::move(socket)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool closed = false;
};

Front::Front(Kernel* kernel, const Settings& settings, uint32_t incarnation)
    : kernel_(kernel),
      settings_(settings),
      id_prefix_(settings.name + "-" + Hex(incarnation) + "-"),
      acceptor_(kernel->io()) {}

void Front::Start() {
  config_ = kernel_->Find<ConfigService>("config");
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  runner_ = kernel_->Find<Runner>("runner");
  metrics_ = kernel_->Find<Metrics>("metrics");
  std::error_code error;
  acceptor_ = OpenAcceptor(kernel_->io(),
                           *ParseAddress(settings_.caller_address), &error);
  if (error) {
    Log(LogLevel::kError, "listen-failed",
        {{"address", settings_.caller_address}, {"error", error.message()}});
    kernel_->Stop();
    return;
  }
  kernel_->Spawn("front-accept", Accept());
}

void Front::Stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void Front::Drain() {
  draining_ = true;
  Stop();
}

auto Front::address() const -> std::string {
  boost::system::error_code error;
  return FormatAddress(acceptor_.local_endpoint(error));
}

auto Front::Accept() -> asio::awaitable<void> {
  while (acceptor_.is_open()) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwait);
    if (error == asio::error::operation_aborted)
      co_return;
    if (error) {
      co_await Sleep(Millis(10));  // out of descriptors, most likely
      continue;
    }
    if (connections_ >= settings_.connections)
      continue;  // closed at once: the balancer tries another box
    kernel_->Spawn("front-connection", Serve(std::move(socket)));
  }
}

auto Front::Serve(tcp::socket socket) -> asio::awaitable<void> {
  ++connections_;
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  Session session(std::move(socket));
  while (!draining_ && co_await ServeOne(&session)) {
  }
  session.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  --connections_;
}

auto Front::RefuseEarly(Session* session,
                        const std::string& request_id,
                        const Refusal& refusal) -> asio::awaitable<bool> {
  Log(LogLevel::kInfo, "request-refused",
      {{"request", request_id},
       {"status", refusal.status},
       {"verdict", ToString(refusal.verdict)},
       {"reason", refusal.reason}});
  metrics_->CountAnswer(refusal.status, ToString(refusal.verdict));
  Caller caller(&session->stream, request_id, /*keep_alive=*/false,
                settings_.send_time);
  co_await caller.Refuse(refusal);
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

auto Front::ReadHeader(Session* session, Parser* parser)
    -> asio::awaitable<std::optional<Refusal>> {
  parser->header_limit(static_cast<uint32_t>(settings_.header_bytes));
  parser->body_limit(static_cast<uint64_t>(settings_.body_bytes));
  session->stream.expires_after(
      std::chrono::milliseconds(settings_.idle_time.count()));
  // Wait for the first byte under the idle time, then read under another.
  if (session->buffer.size() == 0) {
    const auto [error, size] = co_await session->stream.async_read_some(
        session->buffer.prepare(4096), kAwait);
    session->buffer.commit(size);
    if (error) {
      session->closed = true;
      co_return std::nullopt;
    }
  }
  session->stream.expires_after(
      std::chrono::milliseconds(settings_.receive_time.count()));
  const auto [error, size] = co_await http::async_read_header(
      session->stream, session->buffer, *parser, kAwait);
  if (!error)
    co_return std::nullopt;
  const auto refusal = RefusalOfRead(error, /*any_byte=*/true);
  session->closed = !refusal;
  co_return refusal;
}

auto Front::ReadBody(Session* session, Parser* parser)
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

auto Front::CheckHeader(const Parser& parser, Exchange* exchange)
    -> std::optional<Refusal> {
  if (!config_->ready())
    return NotRun(503, config_->why_not_ready(), kRetryAfterStart);
  if (draining_)
    return NotRun(503, "this box is stopping", kRetryAfterFull);
  const std::string_view authorization =
      parser.get()[http::field::authorization];
  if (!authorization.starts_with(kBearer))
    return NotRun(401, "no API key: send Authorization: Bearer KEY");
  exchange->catalog = config_->catalog();
  exchange->workspace = exchange->catalog->WorkspaceOfKey(
      Sha256Hex(authorization.substr(kBearer.size())));
  if (exchange->workspace == nullptr)
    return NotRun(401, "the API key is not known");
  if (const auto full =
          scheduler_->node().entry().WhyFull(*exchange->workspace))
    return full;
  exchange->idempotency_key = parser.get()[std::string(kKeyField)];
  if (exchange->idempotency_key.size() > kMaxKeyBytes)
    return NotRun(400, "the Idempotency-Key is too long");
  return std::nullopt;
}

auto Front::CheckWhole(StringRequest request, Exchange* exchange)
    -> std::optional<Refusal> {
  exchange->request = std::move(request);
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

auto Front::ServeOne(Session* session) -> asio::awaitable<bool> {
  Exchange exchange;
  exchange.id = next_id_++;
  exchange.request_id = id_prefix_ + std::to_string(exchange.id);
  Parser parser;
  std::optional<Refusal> refusal = co_await ReadHeader(session, &parser);
  if (!refusal && !session->closed)
    refusal = CheckHeader(parser, &exchange);
  if (!refusal && !session->closed)
    refusal = co_await ReadBody(session, &parser);
  if (session->closed)
    co_return false;
  if (refusal)
    co_return co_await RefuseEarly(session, exchange.request_id, *refusal);
  const bool keep_alive = parser.get().keep_alive() && !draining_;
  Caller caller(&session->stream, exchange.request_id, keep_alive,
                settings_.send_time);
  exchange.caller = &caller;
  exchange.received = kernel_->Now();
  exchange.deadline = exchange.received + settings_.request_time;
  refusal = CheckWhole(parser.release(), &exchange);
  if (refusal) {
    Log(LogLevel::kInfo, "request-refused",
        {{"request", exchange.request_id},
         {"workspace", exchange.workspace->name},
         {"status", refusal->status},
         {"reason", refusal->reason}});
    metrics_->CountAnswer(refusal->status, ToString(refusal->verdict));
    co_await caller.Refuse(*refusal);
    co_return caller.reusable();
  }
  session->stream.expires_never();
  co_await runner_->Run(&exchange);
  co_return caller.reusable();
}

}  // namespace sparbend
