// The verdict changes at two places only: it becomes may-have-run before the
// first byte is passed to the kernel, and ran when the target's answer has been
// read to its end. A target may reset it to not-run by stating so in its
// answer.
//
// The request is written and the answer read at the same time: a target may
// answer before it has read a long body, and waiting for the end of the write
// first could then block both sides. A connection on which the answer ended
// before the write is closed.
//
// A request that must not be repeated gets a new connection, or one that has
// been idle so briefly that the target has no reason to close it. Otherwise the
// target might close the connection just as the request is written, and whether
// the request was executed would be unknown.
//
// Streams are relayed in complete events. So the client never has a part of an
// event, and an interrupted stream can continue after the last event that the
// client has, at the same target or, where the route allows it, at another.
#include "sparbend/services/forward.h"

#include <netinet/tcp.h>

#include <array>
#include <span>

#include "sparbend/core/read_spacing.h"
#include "sparbend/kernel/log.h"
#include "sparbend/services/idle_guard.h"

namespace sparbend {
namespace {

// Bytes of an answer that one read takes. Each active request has one or two
// buffers of this size.
constexpr size_t kReadBufferBytes = 4 * 1024;
constexpr uint32_t kMaxAnswerHeaderBytes = 16 * 1024;
// An answer that is not a stream is buffered up to this size; the rest is
// relayed as it arrives.
constexpr size_t kMaxBufferedAnswerBytes = 1024 * 1024;
constexpr int kMaxResumes = 3;  // of a stream in one attempt
// Interim responses, and answers to earlier requests on a reused connection,
// that are skipped before the answer.
constexpr int kMaxSkippedAnswers = 2;
constexpr unsigned kFirstFinalStatus = 200;
constexpr Millis kExpiryRenewalInterval = Millis(500);
// TCP user timeout and keep-alive probes. A target that has lost power does not
// close its connections, so they end when bytes stay unacknowledged or probes
// unanswered. The times leave room for the retransmission of a few lost
// packets.
constexpr int kTcpUserTimeoutMs = 1'500;
constexpr int kTcpKeepAliveIdleSeconds = 1;
constexpr int kTcpKeepAliveIntervalSeconds = 1;
constexpr int kTcpKeepAliveProbes = 2;
constexpr unsigned kFirstServerError = 500;
constexpr std::string_view kEventType = "text/event-stream";
// A reused connection that breaks within this time after the request was sent
// had been closed before: the time is enough for a round trip and for reading
// its result, and a target takes longer to begin a request and crash while
// executing it.
constexpr Millis kStaleConnectionErrorTime = Millis(20);

auto Failed(Verdict verdict, std::string problem, TargetOutcome outcome)
    -> AttemptResult {
  return {false, verdict, std::move(problem), true, outcome};
}

// Whether `error` means that the target closed the connection.
auto ClosedByTarget(const boost::system::error_code& error) -> bool {
  return error == http::error::partial_message ||
         error == http::error::end_of_stream || error == asio::error::eof ||
         error == asio::error::connection_reset ||
         error == asio::error::connection_aborted ||
         error == asio::error::broken_pipe;
}

auto Interrupted(const std::string& what,
                 const boost::system::error_code& error,
                 TargetOutcome outcome) -> AttemptResult {
  AttemptResult result =
      Failed(Verdict::kMayHaveRun, what + ": " + error.message(), outcome);
  result.interrupted = ClosedByTarget(error);
  return result;
}

// A target that refuses a connection immediately may be full; one that does not
// respond is down or cut off.
auto OutcomeOf(const Error& error) -> TargetOutcome {
  if (error.code == Errc::kTimeout)
    return TargetOutcome::kNoConnection;
  return error.code == Errc::kRefused ? TargetOutcome::kRefused
                                      : TargetOutcome::kUnreachable;
}

// The error code for a failure to connect.
auto ConnectErrorCode(const boost::system::error_code& error) -> Errc {
  if (error == beast::error::timeout)
    return Errc::kTimeout;
  return error == asio::error::connection_refused ? Errc::kRefused
                                                  : Errc::kUnreachable;
}

// To be called once the header is read.
template <class Parser>
auto FramingOf(const Parser& parser) -> Framing {
  if (parser.chunked())
    return Framing::kChunked;
  return parser.need_eof() ? Framing::kUntilClose : Framing::kLength;
}

// Whether the body has no transfer coding but chunks. Another one, which no
// request of a box allows, would reach the client undecoded, as the field that
// names it ends with the connection.
auto IsDecodable(const http::response_header<>& header) -> bool {
  const auto [first, last] = header.equal_range(http::field::transfer_encoding);
  return first == last || (std::next(first) == last &&
                           beast::iequals(first->value(), "chunked"));
}

auto ClientDisconnected() -> AttemptResult {
  return Failed(Verdict::kMayHaveRun, "the client disconnected",
                TargetOutcome::kGood);
}

// The status and the fields of the target's answer that are for the client:
// all but those of the connection.
auto ClientAnswerHeader(const http::response_header<>& from)
    -> http::response_header<> {
  http::response_header<> header;
  header.result(from.result_int());
  header.reason(from.reason());
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

// How long the target keeps an idle connection open, from "timeout=SECONDS" in
// the Keep-Alive field; zero if it is not stated.
auto KeepAliveTimeout(const http::response_header<>& header) -> Millis {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view field = header[http::field::keep_alive];
  const size_t at = field.find(kTimeout);
  if (at == std::string_view::npos)
    return Millis(0);
  const int seconds = std::atoi(std::string(field.substr(at + 8)).c_str());
  return Millis(int64_t{1'000} * std::max(0, seconds));
}

// Whether the target of `slot` may continue the request's stream, if it has
// one.
auto MayContinueAt(const RequestContext& context, const Slot& slot) -> bool {
  const std::optional<StreamOrigin>& origin = context.progress.origin;
  return !origin || origin->version == VersionIdOf(slot.version);
}

void SetOptions(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int fd = socket.native_handle();
  const auto set = [fd](int option, int value) {
    setsockopt(fd, IPPROTO_TCP, option, &value, sizeof(value));
  };
  set(TCP_USER_TIMEOUT, kTcpUserTimeoutMs);
  set(TCP_KEEPIDLE, kTcpKeepAliveIdleSeconds);
  set(TCP_KEEPINTVL, kTcpKeepAliveIntervalSeconds);
  set(TCP_KEEPCNT, kTcpKeepAliveProbes);
}

}  // namespace

// A request that is being written. Lives until its last byte is written or the
// connection ends.
struct Forward::RequestWrite {
  StringRequest request;
  bool done = false;
  bool failed = false;
  size_t sent = 0;  // bytes passed to the kernel; set when done
};

Forward::Forward(Kernel* kernel, const Settings& settings)
    : kernel_(kernel),
      settings_(settings),
      connections_(std::max(settings.target_idle_time,
                            settings.once_target_idle_time)) {}

void Forward::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  metrics_ = kernel_->Find<Metrics>("metrics");
  client_protocol_ = kernel_->Find<ClientProtocol>("caller-dialect");
  target_protocol_ = kernel_->Find<TargetProtocol>("target-dialect");
  probe_ = kernel_->Find<TargetProbe>("target-probe");
  crash_watch_ = kernel_->Find<CrashWatch>("crash-watch");
  continuation_ = kernel_->Find<StreamContinuation>("stream-continuation");
}

auto Forward::MaxIdleTime(const RequestContext& context) const -> Millis {
  if (context.progress.began)
    return Millis(0);
  return context.once ? settings_.once_target_idle_time
                      : settings_.target_idle_time;
}

auto Forward::Connect(RequestContext* context, const Slot& slot)
    -> asio::awaitable<Result<std::shared_ptr<Connection>>> {
  const Millis max_idle_time = MaxIdleTime(*context);
  if (max_idle_time > Millis(0)) {
    if (auto idle = connections_.Take(slot.id, max_idle_time, kernel_->Now()))
      co_return idle;
  }
  auto connection = connections_.New(co_await asio::this_coro::executor);
  context->cancel = [stream = &connection->stream] { stream->cancel(); };
  connection->stream.expires_after(
      std::chrono::milliseconds(settings_.connect_time.count()));
  const auto [error] =
      co_await connection->stream.async_connect(slot.address, kAwait);
  context->cancel = nullptr;
  metrics_->connections.Increment();
  if (error)
    co_return MakeError(ConnectErrorCode(error), error.message());
  SetOptions(connection->stream.socket());
  connection->connected_at = kernel_->Now();
  co_return connection;
}

auto Forward::ReadTimeout(const RequestContext& context) const -> Millis {
  const Millis left = context.deadline - kernel_->Now();
  return std::max(Millis(1), std::min(left, settings_.response_stall_timeout));
}

void Forward::RenewExpiry(const RequestContext& context,
                          Connection* connection) {
  Millis span = ReadTimeout(context);
  // A repeatable request whose answer has not begun is better tried at another
  // target while there is time.
  if (context.first_byte_limit > Millis(0) && !context.progress.began)
    span = std::min(span, context.first_byte_limit);
  connection->stream.expires_after(std::chrono::milliseconds(span.count()));
  connection->expiry_renewed_at = kernel_->Now();
}

auto Forward::StartWrite(RequestContext* context,
                         const Slot& slot,
                         const std::shared_ptr<Connection>& connection)
    -> std::shared_ptr<RequestWrite> {
  auto write = std::make_shared<RequestWrite>();
  const std::string resume_after =
      context->progress.began ? context->progress.meter.last_event_id() : "";
  write->request = target_protocol_->request_head(
      *context, slot, context->deadline - kernel_->Now(), resume_after);
  write->request.body() = context->request.body();
  write->request.prepare_payload();
  http::async_write(
      connection->stream, write->request,
      [write, connection](boost::system::error_code error, size_t sent) {
        write->done = true;
        write->failed = error.failed();
        write->sent = sent;
        if (error)
          connection->stream.cancel();  // no answer will come
      });
  return write;
}

void Forward::ReportTargetState(const Slot& slot, const AnswerFacts& facts) {
  if (facts.leaving)
    scheduler_->OnTargetLeaving(slot.id);
  if (facts.running)
    scheduler_->OnTargetLoad(slot.id, *facts.running);
  if (facts.retry_after > Millis(0)) {
    scheduler_->OnRetryAfter(slot.id, facts.retry_after);
    metrics_->backoffs_asked.Increment();
  }
}

auto Forward::BacksOff(const Slot& slot) const -> bool {
  const Node& node = scheduler_->node();
  return node.entry().placement().backoff().Left(slot.id, kernel_->Now()) >
         Millis(0);
}

// Reads headers until one is this request's. Interim responses, and answers to
// earlier requests with their bodies, are discarded.
auto Forward::ReadHeader(const RequestContext& context,
                         const Slot& slot,
                         Connection* connection,
                         const RequestWrite& write,
                         std::unique_ptr<Parser>* parser,
                         AnswerFacts* facts) -> asio::awaitable<AttemptResult> {
  std::array<char, kReadBufferBytes> piece;
  for (int skipped = 0; skipped <= kMaxSkippedAnswers; ++skipped) {
    *parser = std::make_unique<Parser>();
    Parser& current = **parser;
    current.header_limit(kMaxAnswerHeaderBytes);
    current.body_limit(boost::none);
    current.skip(context.head);
    const auto [error, received] = co_await http::async_read_header(
        connection->stream, connection->buffer, current, kAwait);
    if (error) {
      if (write.failed && write.sent == 0)
        co_return AttemptResult{
            false, Verdict::kNotRun,
            "the request could not be written to the connection", false,
            TargetOutcome::kUnreachable};
      AttemptResult broken =
          Interrupted("no valid answer header received", error,
                      connection->reused ? TargetOutcome::kGood
                                         : TargetOutcome::kUnreachable);
      // A stale connection, which was closed already, breaks as soon as it is
      // used: the request reached no process, so it crashed none.
      const bool was_stale =
          connection->reused &&
          kernel_->Now() - connection->sent_at < kStaleConnectionErrorTime;
      broken.interrupted = broken.interrupted && !was_stale;
      co_return broken;
    }
    if (current.get().result_int() < kFirstFinalStatus)
      continue;
    *facts = target_protocol_->read_answer(context, current.get().base());
    ReportTargetState(slot, *facts);
    if (facts->kind != AnswerFacts::Kind::kOtherRequest)
      co_return AttemptResult{true, Verdict::kMayHaveRun, "", true,
                              TargetOutcome::kGood};
    connection->must_close = true;
    metrics_->foreign_answers.Increment();
    while (!current.is_done() && !current.need_eof()) {
      size_t size = 0;
      if (co_await ReadPiece(context, connection, &current, piece, &size))
        break;
    }
    if (!current.is_done())
      break;
  }
  co_return Failed(Verdict::kMayHaveRun,
                   "received no answer to this request: " + facts->why,
                   TargetOutcome::kFailed);
}

auto Forward::ReadPiece(const RequestContext& context,
                        Connection* connection,
                        Parser* parser,
                        std::span<char> piece,
                        size_t* size)
    -> asio::awaitable<boost::system::error_code> {
  parser->get().body().data = piece.data();
  parser->get().body().size = piece.size();
  auto [error, received] = co_await http::async_read_some(
      connection->stream, connection->buffer, *parser, kAwait);
  if (error == http::error::need_buffer)
    error = {};
  // Renewing the expiry for each token would cost more than relaying it.
  if (!error &&
      kernel_->Now() - connection->expiry_renewed_at >= kExpiryRenewalInterval)
    RenewExpiry(context, connection);
  *size = piece.size() - parser->get().body().size;
  co_return error;
}

auto Forward::ReadEvents(Connection* connection,
                         Parser* parser,
                         std::span<char> piece,
                         size_t* size)
    -> asio::awaitable<boost::system::error_code> {
  boost::system::error_code error;
  // If the last read filled the piece, the buffer may hold further events.
  if (*size < piece.size()) {
    const auto [failed, received] =
        co_await connection->stream.socket().async_read_some(
            connection->buffer.prepare(piece.size()), kAwait);
    connection->buffer.commit(received);
    if (failed == asio::error::eof)
      parser->put_eof(error);
    else
      error = failed;
  }
  parser->get().body().data = piece.data();
  parser->get().body().size = piece.size();
  if (!error && !parser->is_done())
    connection->buffer.consume(parser->put(connection->buffer.data(), error));
  if (error == http::error::need_buffer || error == http::error::need_more)
    error = {};
  *size = piece.size() - parser->get().body().size;
  co_return error;
}

void Forward::CountTokens(RequestContext* context) {
  const Pool& pool = *context->pool;
  if (pool.kind == PoolKind::kService) {
    context->tokens = pool.call_cost;
    return;
  }
  const UsageMeter& meter = context->progress.meter;
  const UsageMeter::Usage usage = meter.FinalUsage();
  // If the engine reports no usage, the best estimate is the prompt length that
  // the client stated and the number of events, some of which carry no token.
  const int64_t input =
      usage.prompt > 0 ? usage.prompt : context->work.prompt_tokens;
  const int64_t output = usage.completion > 0
                             ? usage.completion
                             : meter.events() * pool.tokens_per_event;
  context->tokens = input * pool.input_weight + output * pool.output_weight;
}

void Forward::RecordBytes(RequestContext* context) {
  scheduler_->OnBytes(context->id);
  if (context->first_byte > Millis(0))
    return;
  context->first_byte = kernel_->Now();
  metrics_->first_byte_seconds.Observe(
      static_cast<double>((context->first_byte - context->received).count()) /
      1'000);
}

// Relays the events that are complete with `bytes`, and keeps the rest. The end
// of a complete stream leaves in one write with its last events.
auto Forward::RelayPiece(RequestContext* context,
                         const Slot& slot,
                         std::string_view bytes,
                         bool ended) -> asio::awaitable<bool> {
  AnswerProgress& progress = context->progress;
  std::string& incomplete = progress.incomplete_event;
  const int64_t event_start =
      progress.meter.bytes() - static_cast<int64_t>(incomplete.size());
  const int64_t events_before = progress.meter.events();
  progress.meter.Feed(bytes);
  if (progress.meter.events() > events_before)
    continuation_->OnEvent(context, slot);
  progress.end.position = progress.meter.position();
  const bool last = ended && WhyIncomplete(progress.end).empty();
  // Usually whole events arrive, and nothing has to be copied.
  const bool whole = incomplete.empty();
  if (!whole)
    incomplete += bytes;
  const std::string_view all = whole ? bytes : std::string_view(incomplete);
  const int64_t complete_bytes = progress.meter.whole_bytes() - event_start;
  const size_t ready =
      last ? all.size()
           : static_cast<size_t>(std::max<int64_t>(0, complete_bytes));
  bool sent = true;
  if (ready > 0 || last || context->client->holds_header())
    sent = co_await context->client->Send(all.substr(0, ready), !last);
  if (whole)
    incomplete = bytes.substr(ready);
  else
    incomplete.erase(0, ready);
  co_return sent;
}

// Nothing can be cancelled while the stream is not being read, so the client is
// checked afterwards.
auto Forward::WaitForNextRead(const RequestContext& context)
    -> asio::awaitable<bool> {
  const Millis pause_objective =
      context.route == nullptr ? Millis(0) : context.route->pause_objective;
  const Millis spacing =
      ReadSpacing(scheduler_->overload().busy(), pause_objective);
  if (spacing <= Millis(0))
    co_return true;
  co_await Sleep(TimeToNextRead(kernel_->Now(), spacing));
  co_return !context.client->gone() ||
      (context.once && context.finish_without_client);
}

auto Forward::RelayStream(RequestContext* context,
                          const Slot& slot,
                          Connection* connection,
                          Parser* parser) -> asio::awaitable<AttemptResult> {
  std::array<char, kReadBufferBytes> piece;
  AnswerProgress& progress = context->progress;
  IdleGuard guard(&connection->stream.socket());
  // All events that have arrived are relayed in one write. That needs `eager`
  // and ReadEvents, because Beast's read operations would wait for more bytes.
  parser->eager(true);
  // Starts as after a read that filled the piece: events may have arrived with
  // the header.
  size_t size = piece.size();
  bool ended = false;  // the last piece was relayed as such
  while (!parser->is_done()) {
    guard.Begin(ReadTimeout(*context));
    const auto error = co_await ReadEvents(connection, parser, piece, &size);
    guard.End();
    if (size > 0) {
      RecordBytes(context);
      ended = parser->is_done() && !error;
      const bool sent =
          co_await RelayPiece(context, slot, {piece.data(), size}, ended);
      scheduler_->Progress(
          context->id, progress.meter.events() * context->pool->output_weight);
      if (!sent && (!context->once || !context->finish_without_client))
        co_return ClientDisconnected();
    } else if (context->client->holds_header()) {
      co_await context->client->Send({}, true);
    }
    if (error)
      co_return Interrupted("the answer was interrupted", error,
                            TargetOutcome::kFailed);
    // The first event is never held, and a filled piece means that more has
    // arrived.
    const bool may_wait = size > 0 && size < piece.size() &&
                          progress.meter.events() > 0 && !parser->is_done();
    if (may_wait && !co_await WaitForNextRead(*context))
      co_return ClientDisconnected();
  }
  if (!ended)
    co_await RelayPiece(context, slot, {}, /*ended=*/true);
  const std::string_view why = WhyIncomplete(progress.end);
  if (why.empty())
    co_return AttemptResult{true, Verdict::kRan, "", true,
                            TargetOutcome::kGood};
  AttemptResult incomplete = Failed(
      Verdict::kMayHaveRun, "the answer was interrupted: " + std::string(why),
      TargetOutcome::kFailed);
  incomplete.interrupted = progress.end.framing == Framing::kUntilClose;
  connection->must_close = true;
  co_return incomplete;
}

// An answer that is not a stream is read completely, up to
// kMaxBufferedAnswerBytes, before the client gets a byte of it: if it is
// interrupted, another attempt can still be made. One that is delimited by the
// end of its connection is taken for complete if the connection was closed and
// not reset, since nothing in it could show the opposite.
auto Forward::RelayBuffered(RequestContext* context,
                            Connection* connection,
                            Parser* parser) -> asio::awaitable<AttemptResult> {
  std::array<char, kReadBufferBytes> piece;
  std::string body;
  while (!parser->is_done() && body.size() < kMaxBufferedAnswerBytes) {
    size_t size = 0;
    const auto error =
        co_await ReadPiece(*context, connection, parser, piece, &size);
    body.append(piece.data(), size);
    if (error)
      co_return Interrupted("the answer was interrupted", error,
                            TargetOutcome::kFailed);
  }
  const http::response_header<>& header = parser->get().base();
  const bool failure = header.result_int() >= kFirstServerError;
  if (failure && !context->once && parser->is_done()) {
    context->failed_answer =
        FailedAnswer{ClientAnswerHeader(header), std::move(body)};
    co_return Failed(Verdict::kRan, "the target answered with a server error",
                     TargetOutcome::kFailed);
  }
  std::optional<uint64_t> length;
  if (context->head && parser->content_length())
    length = *parser->content_length();
  else if (!context->head && parser->is_done())
    length = body.size();
  http::response_header<> answer = ClientAnswerHeader(header);
  client_protocol_->add_answer_fields(*context, &answer);
  context->progress.began = true;
  co_await context->client->Begin(answer, length, /*body_follows=*/true);
  co_await context->client->Send(body, !parser->is_done());
  const bool ended = parser->is_done();
  while (!parser->is_done()) {
    size_t size = 0;
    const auto error =
        co_await ReadPiece(*context, connection, parser, piece, &size);
    if (size > 0)
      co_await context->client->Send({piece.data(), size}, true);
    if (error)
      co_return Interrupted("the answer was interrupted", error,
                            TargetOutcome::kFailed);
  }
  context->progress.meter.Feed(body);
  if (!ended)
    co_await context->client->Send({}, false);
  co_return AttemptResult{
      true, Verdict::kRan, "", true,
      failure ? TargetOutcome::kFailed : TargetOutcome::kGood};
}

auto Forward::SendFailed(RequestContext* context) -> asio::awaitable<bool> {
  FailedAnswer& failed = *context->failed_answer;
  client_protocol_->add_answer_fields(*context, &failed.header);
  co_await context->client->Begin(failed.header, failed.body.size(),
                                  /*body_follows=*/true);
  co_return co_await context->client->Send(failed.body, false);
}

auto Forward::ReadAnswer(RequestContext* context,
                         const Slot& slot,
                         Connection* connection,
                         const RequestWrite& write)
    -> asio::awaitable<AttemptResult> {
  std::unique_ptr<Parser> parser;
  AnswerFacts facts;
  AttemptResult head =
      co_await ReadHeader(*context, slot, connection, write, &parser, &facts);
  if (!head.complete)
    co_return head;
  if (facts.kind == AnswerFacts::Kind::kNotRun) {
    AttemptResult refused =
        Failed(Verdict::kNotRun, facts.why, TargetOutcome::kGood);
    refused.retry_after = facts.retry_after;
    co_return refused;
  }
  if (facts.kind == AnswerFacts::Kind::kInvalid)
    co_return Failed(Verdict::kMayHaveRun, facts.why, TargetOutcome::kFailed);
  const http::response_header<>& header = parser->get().base();
  if (!IsDecodable(header))
    co_return Failed(Verdict::kMayHaveRun,
                     "the answer has an unknown transfer coding",
                     TargetOutcome::kFailed);
  AnswerProgress& progress = context->progress;
  progress.end = {FramingOf(*parser), StreamPosition::kNoStream,
                  target_protocol_->has_closing_event &&
                      context->pool->kind == PoolKind::kEngine};
  const bool good = header.result() == http::status::ok;
  if (progress.began && !good)
    co_return Failed(Verdict::kMayHaveRun,
                     "the target did not resume the stream",
                     TargetOutcome::kFailed);
  // The target may have been restarted with other software since it began the
  // stream.
  if (progress.began && facts.version != progress.stated_version)
    co_return Failed(Verdict::kMayHaveRun,
                     "the target has another software version than when it "
                     "began the stream",
                     TargetOutcome::kFailed);
  progress.stated_version = facts.version;
  connection->keep_alive_timeout = KeepAliveTimeout(header);
  const std::string_view type = header[http::field::content_type];
  const bool of_events =
      type.empty()
          ? context->streaming
          : beast::iequals(type.substr(0, kEventType.size()), kEventType);
  const bool stream = good && (progress.began || of_events);
  AttemptResult result;
  if (stream) {
    progress.is_stream = true;
    if (!progress.began) {
      http::response_header<> answer = ClientAnswerHeader(header);
      client_protocol_->add_answer_fields(*context, &answer);
      progress.began = true;
      // No length is promised, even if the target states one: another answer
      // may continue the stream. Events that arrived with the header leave with
      // it.
      co_await context->client->Begin(
          answer, /*length=*/std::nullopt,
          /*body_follows=*/connection->buffer.size() > 0);
    }
    result = co_await RelayStream(context, slot, connection, parser.get());
  } else {
    RecordBytes(context);
    result = co_await RelayBuffered(context, connection, parser.get());
  }
  metrics_->CountTargetAnswer(ToString(progress.end.framing),
                              ToString(progress.end.position),
                              result.verdict == Verdict::kRan);
  // If the answer ended before the request was written, bytes of the request
  // are still on the way.
  if (!parser->get().keep_alive() || parser->need_eof() || !write.done)
    connection->must_close = true;
  co_return result;
}

auto Forward::AttemptOnce(RequestContext* context, const Slot& slot)
    -> asio::awaitable<AttemptResult> {
  context->progress.end = AnswerEnd();
  const Result<std::shared_ptr<Connection>> connected =
      co_await Connect(context, slot);
  if (!connected) {
    const TargetOutcome outcome = OutcomeOf(connected.error());
    if (outcome == TargetOutcome::kRefused)
      crash_watch_->OnConnectionRefused(slot);
    co_return AttemptResult{false, Verdict::kNotRun,
                            "no connection: " + connected.error().detail, false,
                            outcome};
  }
  const std::shared_ptr<Connection>& connection = *connected;
  // The box's process may have been paused since it acquired the slot.
  if (kernel_->Now() >= context->deadline)
    co_return AttemptResult{false, Verdict::kNotRun,
                            "the request's deadline passed before it was sent",
                            false, TargetOutcome::kGood};
  if (!MayContinueAt(*context, slot))
    co_return AttemptResult{false, Verdict::kNotRun,
                            "the target has another software version than the "
                            "one that began the stream",
                            false, TargetOutcome::kGood};
  // The state of the target may have changed while the connection was made.
  if (scheduler_->node().IsTargetLeaving(slot.id))
    co_return AttemptResult{false, Verdict::kNotRun, "the target is leaving",
                            false, TargetOutcome::kGood};
  if (BacksOff(slot))
    co_return AttemptResult{false, Verdict::kNotRun,
                            "the target has asked for no requests at present",
                            false, TargetOutcome::kGood};
  if (scheduler_->node().IsListOutOfDate(kernel_->Now()))
    co_return AttemptResult{false, Verdict::kNotRun,
                            "the list of targets is out of date", false,
                            TargetOutcome::kGood};
  context->cancel = [stream = &connection->stream] { stream->cancel(); };
  RenewExpiry(*context, connection.get());
  connection->sent_at = kernel_->Now();
  const std::shared_ptr<RequestWrite> write =
      StartWrite(context, slot, connection);
  AttemptResult result =
      co_await ReadAnswer(context, slot, connection.get(), *write);
  context->cancel = nullptr;
  if (result.interrupted)
    crash_watch_->OnInterrupted(context, slot, *connection);
  else if (result.complete)
    crash_watch_->OnAnswered(slot, connection->sent_at);
  const bool answered = result.complete || (result.verdict == Verdict::kRan &&
                                            context->failed_answer);
  if (answered && !connection->must_close && write->done)
    connections_.Keep(slot.id, connection, kernel_->Now());
  else
    connection->stream.close();
  co_return result;
}

auto Forward::Attempt(RequestContext* context, const Slot& slot)
    -> asio::awaitable<AttemptResult> {
  AttemptResult result = co_await AttemptOnce(context, slot);
  // A target that continues the execution may let its stream be resumed.
  for (int resumes = 0; resumes < kMaxResumes; ++resumes) {
    context->progress.incomplete_event.clear();
    context->progress.meter.BeginContinuation();
    const bool can_resume = context->pool->can_resume &&
                            context->progress.began &&
                            !context->progress.meter.last_event_id().empty() &&
                            !context->client->gone();
    if (result.complete || !can_resume)
      break;
    metrics_->resumes.Increment();
    // A target notices the broken connection only at its next write. Before
    // that it would answer that there is no stream to resume.
    co_await Sleep(Backoff(resumes + 1, context->id));
    const AttemptResult resumed = co_await AttemptOnce(context, slot);
    result = {resumed.complete, Combine(result.verdict, resumed.verdict),
              resumed.problem, true, resumed.outcome};
  }
  CountTokens(context);
  // If the client is gone, this box ended the attempt, not the target.
  if (context->client->gone())
    result.outcome = TargetOutcome::kGood;
  scheduler_->OnOutcome(slot.id, result.outcome);
  if (result.outcome == TargetOutcome::kNoConnection)
    probe_->Watch(slot.id, slot.address);
  co_return result;
}

}  // namespace sparbend
