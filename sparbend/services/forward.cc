// The verdict changes at two places only: it becomes may-have-run before the
// first byte is handed to the kernel, and ran when the target's answer is
// read to its end. A target may take it back to not-run by saying so itself
// in its answer.
//
// The request is written while the answer is already awaited: a target may
// answer before it has read a long body, and would else be waited for by
// somebody who waits for it. A connection on which that happened ends.
//
// A non-repeatable request gets a fresh connection, or one that rested so
// shortly that the target has no reason to close it: else it may close at the
// very moment of writing, and then nobody could tell.
//
// Streams are sent on in whole events. So the caller never holds a part of
// one, and a broken stream can go on after the last event it has, at the same
// target or, where the route allows, at another.
#include "sparbend/services/forward.h"

#include <netinet/tcp.h>

#include <array>
#include <span>

#include "sparbend/kernel/log.h"
#include "sparbend/services/idle_guard.h"

namespace sparbend {
namespace {

// Of an answer, read at once; each request under way has a buffer or two.
constexpr size_t kPieceBytes = 4 * 1024;
constexpr uint32_t kAnswerHeaderBytes = 16 * 1024;
// A longer answer that is no stream is sent on as it comes.
constexpr size_t kWholeBytes = 1024 * 1024;
constexpr int kMaxResumes = 3;
// Answers on a kept connection that belong to earlier requests.
constexpr int kMostForeign = 2;
constexpr Millis kExpiryStep = Millis(500);
// Unacknowledged bytes and unanswered probes that end a connection: a target
// without power says nothing. Well over a few lost packets' repeats.
constexpr int kUserTimeoutMs = 1'500;
constexpr int kProbeIdleS = 1;
constexpr int kProbeIntervalS = 1;
constexpr int kProbeCount = 2;
constexpr unsigned kFirstServerError = 500;
// A round trip and the reading of its result; a target takes longer to begin a
// request and end under it.
constexpr Millis kDeadAlready = Millis(20);

auto Failed(Verdict verdict, std::string problem, TargetOutcome outcome)
    -> AttemptResult {
  return {false, verdict, std::move(problem), true, outcome};
}

// Whether `error` tells that the other side ended the connection.
auto EndedByPeer(const boost::system::error_code& error) -> bool {
  return error == http::error::partial_message ||
         error == http::error::end_of_stream || error == asio::error::eof ||
         error == asio::error::connection_reset ||
         error == asio::error::connection_aborted ||
         error == asio::error::broken_pipe;
}

auto BrokenOff(const std::string& what,
               const boost::system::error_code& error,
               TargetOutcome outcome) -> AttemptResult {
  AttemptResult result =
      Failed(Verdict::kMayHaveRun, what + ": " + error.message(), outcome);
  result.broke = EndedByPeer(error);
  return result;
}

// A target that refuses a connection at once may be full; one that is silent
// is dead or cut off.
auto OutcomeOf(const Error& error) -> TargetOutcome {
  if (error.code == Errc::kTimeout)
    return TargetOutcome::kNoConnection;
  return error.code == Errc::kRefused ? TargetOutcome::kRefused
                                      : TargetOutcome::kUnreachable;
}

// Why no connection was made.
auto CodeOf(const boost::system::error_code& error) -> Errc {
  if (error == beast::error::timeout)
    return Errc::kTimeout;
  return error == asio::error::connection_refused ? Errc::kRefused
                                                  : Errc::kUnreachable;
}

auto CallerLeft() -> AttemptResult {
  return Failed(Verdict::kMayHaveRun, "the caller left", TargetOutcome::kGood);
}

// Fields of the target's answer that are for the caller.
auto AnswerHeader(const http::response_header<>& from)
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

// The target's "timeout=SECONDS" for a resting connection, or zero.
auto KeepTime(const http::response_header<>& header) -> Millis {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view field = header[http::field::keep_alive];
  const size_t at = field.find(kTimeout);
  if (at == std::string_view::npos)
    return Millis(0);
  const int seconds = std::atoi(std::string(field.substr(at + 8)).c_str());
  return Millis(int64_t{1'000} * std::max(0, seconds));
}

void SetOptions(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int fd = socket.native_handle();
  const auto set = [fd](int option, int value) {
    setsockopt(fd, IPPROTO_TCP, option, &value, sizeof(value));
  };
  set(TCP_USER_TIMEOUT, kUserTimeoutMs);
  set(TCP_KEEPIDLE, kProbeIdleS);
  set(TCP_KEEPINTVL, kProbeIntervalS);
  set(TCP_KEEPCNT, kProbeCount);
}

}  // namespace

// A request being written; lives until its last byte is, or the connection
// ends.
struct Forward::Sending {
  StringRequest request;
  bool done = false;
  bool failed = false;
  size_t sent = 0;  // bytes handed to the kernel, once done
};

Forward::Forward(Kernel* kernel, const Settings& settings)
    : kernel_(kernel),
      settings_(settings),
      connections_(std::max(settings.target_idle_time,
                            settings.once_target_idle_time)) {}

void Forward::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  metrics_ = kernel_->Find<Metrics>("metrics");
  caller_dialect_ = kernel_->Find<ClientProtocol>("caller-dialect");
  dialect_ = kernel_->Find<TargetProtocol>("target-dialect");
  probe_ = kernel_->Find<TargetProbe>("target-probe");
  crash_watch_ = kernel_->Find<CrashWatch>("crash-watch");
}

auto Forward::LongestRest(const RequestContext& exchange) const -> Millis {
  if (exchange.progress.began)
    return Millis(0);
  return exchange.once ? settings_.once_target_idle_time
                       : settings_.target_idle_time;
}

auto Forward::Connect(RequestContext* exchange, const Slot& slot)
    -> asio::awaitable<Result<std::shared_ptr<Connection>>> {
  const Millis rest = LongestRest(*exchange);
  if (rest > Millis(0)) {
    if (auto kept = connections_.Take(slot.id, rest, kernel_->Now()))
      co_return kept;
  }
  auto connection =
      std::make_shared<Connection>(co_await asio::this_coro::executor);
  exchange->cancel = [stream = &connection->stream] { stream->cancel(); };
  connection->stream.expires_after(
      std::chrono::milliseconds(settings_.connect_time.count()));
  const auto [error] =
      co_await connection->stream.async_connect(slot.address, kAwait);
  exchange->cancel = nullptr;
  metrics_->connections.Increment();
  if (error)
    co_return MakeError(CodeOf(error), error.message());
  SetOptions(connection->stream.socket());
  connection->made_at = kernel_->Now();
  co_return connection;
}

auto Forward::LongestSilence(const RequestContext& exchange) const -> Millis {
  const Millis left = exchange.deadline - kernel_->Now();
  return std::max(Millis(1), std::min(left, settings_.response_stall_timeout));
}

void Forward::RenewExpiry(const RequestContext& exchange,
                          Connection* connection) {
  Millis span = LongestSilence(exchange);
  // A repeatable request whose answer has not begun is better off elsewhere
  // while there is time.
  if (exchange.first_byte_limit > Millis(0) && !exchange.progress.began)
    span = std::min(span, exchange.first_byte_limit);
  connection->stream.expires_after(std::chrono::milliseconds(span.count()));
  connection->expiry_set = kernel_->Now();
}

auto Forward::StartSending(RequestContext* exchange,
                           const Slot& slot,
                           const std::shared_ptr<Connection>& connection)
    -> std::shared_ptr<Sending> {
  auto sending = std::make_shared<Sending>();
  const std::string resume_after =
      exchange->progress.began ? exchange->progress.meter.last_event_id() : "";
  sending->request = dialect_->request_head(
      *exchange, slot, exchange->deadline - kernel_->Now(), resume_after);
  sending->request.body() = exchange->request.body();
  sending->request.prepare_payload();
  http::async_write(
      connection->stream, sending->request,
      [sending, connection](boost::system::error_code error, size_t sent) {
        sending->done = true;
        sending->failed = error.failed();
        sending->sent = sent;
        if (error)
          connection->stream.cancel();  // no answer will come
      });
  return sending;
}

void Forward::NoteTarget(const Slot& slot, const AnswerFacts& facts) {
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

// Reads heads until one is this request's. Answers that belong to earlier
// requests are read and thrown away.
auto Forward::ReadHead(const RequestContext& exchange,
                       const Slot& slot,
                       Connection* connection,
                       const Sending& sending,
                       std::unique_ptr<Parser>* parser,
                       AnswerFacts* facts) -> asio::awaitable<AttemptResult> {
  std::array<char, kPieceBytes> piece;
  for (int foreign = 0; foreign <= kMostForeign; ++foreign) {
    *parser = std::make_unique<Parser>();
    Parser& current = **parser;
    current.header_limit(kAnswerHeaderBytes);
    current.body_limit(boost::none);
    const auto [error, received] = co_await http::async_read_header(
        connection->stream, connection->buffer, current, kAwait);
    if (error) {
      if (sending.failed && sending.sent == 0)
        co_return AttemptResult{false, Verdict::kNotRun,
                                "the request could not be sent", false,
                                TargetOutcome::kUnreachable};
      AttemptResult broken =
          BrokenOff("no proper answer", error,
                    connection->reused ? TargetOutcome::kGood
                                       : TargetOutcome::kUnreachable);
      // A kept connection that was dead already breaks as it is used: the
      // request reached nobody, and ended nobody.
      const bool dead_already =
          connection->reused &&
          kernel_->Now() - connection->sent_at < kDeadAlready;
      broken.broke = broken.broke && !dead_already;
      co_return broken;
    }
    *facts = dialect_->read_answer(exchange, current.get().base());
    NoteTarget(slot, *facts);
    if (facts->kind != AnswerFacts::Kind::kForeign)
      co_return AttemptResult{true, Verdict::kMayHaveRun, "", true,
                              TargetOutcome::kGood};
    connection->suspect = true;
    metrics_->foreign_answers.Increment();
    while (!current.is_done() && !current.need_eof()) {
      size_t size = 0;
      if (co_await ReadPiece(exchange, connection, &current, piece, &size))
        break;
    }
    if (!current.is_done())
      break;
  }
  co_return Failed(Verdict::kMayHaveRun,
                   "only answers to other requests came: " + facts->why,
                   TargetOutcome::kFailed);
}

auto Forward::ReadPiece(const RequestContext& exchange,
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
  // Renewing for each token would cost more than relaying it.
  if (!error && kernel_->Now() - connection->expiry_set >= kExpiryStep)
    RenewExpiry(exchange, connection);
  *size = piece.size() - parser->get().body().size;
  co_return error;
}

auto Forward::ReadEvents(Connection* connection,
                         Parser* parser,
                         std::span<char> piece,
                         size_t* size)
    -> asio::awaitable<boost::system::error_code> {
  boost::system::error_code error;
  // A full piece left bytes behind that may be events already.
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

void Forward::Account(RequestContext* exchange) {
  const Pool& pool = *exchange->pool;
  if (pool.kind == PoolKind::kService) {
    exchange->tokens = pool.call_cost;
    return;
  }
  const UsageMeter& meter = exchange->progress.meter;
  const UsageMeter::Usage usage = meter.FinalUsage();
  // Without the engine's own word, the caller's facts and the events are the
  // best guess; some events carry no token.
  const int64_t input =
      usage.prompt > 0 ? usage.prompt : exchange->work.prompt_tokens;
  const int64_t output = usage.completion > 0
                             ? usage.completion
                             : meter.events() * pool.tokens_per_event;
  exchange->tokens = input * pool.input_weight + output * pool.output_weight;
}

void Forward::NoteBytes(RequestContext* exchange) {
  scheduler_->OnBytes(exchange->id);
  if (exchange->first_byte > Millis(0))
    return;
  exchange->first_byte = kernel_->Now();
  metrics_->first_byte_seconds.Observe(
      static_cast<double>((exchange->first_byte - exchange->received).count()) /
      1'000);
}

// Sends on the whole events among what has come.
auto Forward::RelayPiece(RequestContext* exchange, std::string_view bytes)
    -> asio::awaitable<bool> {
  AnswerProgress& progress = exchange->progress;
  const int64_t held_from =
      progress.meter.bytes() - static_cast<int64_t>(progress.held.size());
  progress.meter.Feed(bytes);
  progress.held += bytes;
  const int64_t whole_now = progress.meter.whole_bytes() - held_from;
  if (whole_now <= 0)
    co_return true;
  const std::string ready =
      progress.held.substr(0, static_cast<size_t>(whole_now));
  progress.held.erase(0, static_cast<size_t>(whole_now));
  co_return co_await exchange->caller->Send(ready, true);
}

auto Forward::RelayStream(RequestContext* exchange,
                          Connection* connection,
                          Parser* parser) -> asio::awaitable<AttemptResult> {
  std::array<char, kPieceBytes> piece;
  AnswerProgress& progress = exchange->progress;
  IdleGuard guard(&connection->stream.socket());
  // All events that have come are taken together, and sent on in one write; a
  // reading operation of the library would wait for more.
  parser->eager(true);
  // As if a piece had been full: the head may have come with events.
  size_t size = piece.size();
  while (!parser->is_done()) {
    guard.Begin(LongestSilence(*exchange));
    const auto error = co_await ReadEvents(connection, parser, piece, &size);
    guard.End();
    if (size > 0) {
      NoteBytes(exchange);
      const bool sent = co_await RelayPiece(exchange, {piece.data(), size});
      scheduler_->Progress(exchange->id, progress.meter.events() *
                                             exchange->pool->output_weight);
      if (!sent && (!exchange->once || !exchange->finish_unwatched))
        co_return CallerLeft();
    }
    if (error)
      co_return BrokenOff("the answer broke off", error,
                          TargetOutcome::kFailed);
  }
  if (!progress.held.empty())
    co_await exchange->caller->Send(progress.held, true);
  progress.held.clear();
  co_await exchange->caller->Send({}, false);
  co_return AttemptResult{true, Verdict::kRan, "", true, TargetOutcome::kGood};
}

// Answers that are no streams are read whole before the caller gets a byte,
// so that a broken one can still be made good.
auto Forward::RelayWhole(RequestContext* exchange,
                         Connection* connection,
                         Parser* parser) -> asio::awaitable<AttemptResult> {
  std::array<char, kPieceBytes> piece;
  std::string body;
  while (!parser->is_done() && body.size() < kWholeBytes) {
    size_t size = 0;
    const auto error =
        co_await ReadPiece(*exchange, connection, parser, piece, &size);
    body.append(piece.data(), size);
    if (error)
      co_return BrokenOff("the answer broke off", error,
                          TargetOutcome::kFailed);
  }
  const http::response_header<>& header = parser->get().base();
  const bool failure = header.result_int() >= kFirstServerError;
  if (failure && !exchange->once && parser->is_done()) {
    exchange->failed = FailedAnswer{AnswerHeader(header), std::move(body)};
    co_return Failed(Verdict::kRan, "the target failed it",
                     TargetOutcome::kFailed);
  }
  std::optional<uint64_t> length;
  if (parser->is_done())
    length = body.size();
  http::response_header<> answer = AnswerHeader(header);
  caller_dialect_->dress_answer(*exchange, &answer);
  exchange->progress.began = true;
  co_await exchange->caller->Begin(answer, length);
  if (!body.empty())
    co_await exchange->caller->Send(body, true);
  while (!parser->is_done()) {
    size_t size = 0;
    const auto error =
        co_await ReadPiece(*exchange, connection, parser, piece, &size);
    if (size > 0)
      co_await exchange->caller->Send({piece.data(), size}, true);
    if (error)
      co_return BrokenOff("the answer broke off", error,
                          TargetOutcome::kFailed);
  }
  exchange->progress.meter.Feed(body);
  co_await exchange->caller->Send({}, false);
  co_return AttemptResult{
      true, Verdict::kRan, "", true,
      failure ? TargetOutcome::kFailed : TargetOutcome::kGood};
}

auto Forward::SendFailed(RequestContext* exchange) -> asio::awaitable<bool> {
  FailedAnswer& failed = *exchange->failed;
  caller_dialect_->dress_answer(*exchange, &failed.header);
  if (!co_await exchange->caller->Begin(failed.header, failed.body.size()))
    co_return false;
  if (!failed.body.empty())
    co_await exchange->caller->Send(failed.body, true);
  co_return co_await exchange->caller->Send({}, false);
}

auto Forward::ReadAnswer(RequestContext* exchange,
                         const Slot& slot,
                         Connection* connection,
                         const Sending& sending)
    -> asio::awaitable<AttemptResult> {
  std::unique_ptr<Parser> parser;
  AnswerFacts facts;
  AttemptResult head =
      co_await ReadHead(*exchange, slot, connection, sending, &parser, &facts);
  if (!head.whole)
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
  AnswerProgress& progress = exchange->progress;
  const bool good = header.result() == http::status::ok;
  if (progress.began && !good)
    co_return Failed(Verdict::kMayHaveRun, "the stream was not resumed",
                     TargetOutcome::kFailed);
  connection->keep_time = KeepTime(header);
  const bool stream =
      good && (progress.began || exchange->streaming ||
               header[http::field::content_type].starts_with("text/event"));
  AttemptResult result;
  if (stream) {
    progress.metered = true;
    if (!progress.began) {
      http::response_header<> answer = AnswerHeader(header);
      caller_dialect_->dress_answer(*exchange, &answer);
      progress.began = true;
      std::optional<uint64_t> length;
      if (const auto stated = parser->content_length())
        length = *stated;
      co_await exchange->caller->Begin(answer, length);
    }
    result = co_await RelayStream(exchange, connection, parser.get());
  } else {
    NoteBytes(exchange);
    result = co_await RelayWhole(exchange, connection, parser.get());
  }
  // An answer that came before the request was read leaves bytes on the way.
  if (!parser->get().keep_alive() || parser->need_eof() || !sending.done)
    connection->suspect = true;
  co_return result;
}

auto Forward::AttemptOnce(RequestContext* exchange, const Slot& slot)
    -> asio::awaitable<AttemptResult> {
  const Result<std::shared_ptr<Connection>> connected =
      co_await Connect(exchange, slot);
  if (!connected) {
    const TargetOutcome outcome = OutcomeOf(connected.error());
    if (outcome == TargetOutcome::kRefused)
      crash_watch_->OnRefused(slot);
    co_return AttemptResult{false, Verdict::kNotRun,
                            "no connection: " + connected.error().detail, false,
                            outcome};
  }
  const std::shared_ptr<Connection>& connection = *connected;
  // The process may have been paused since it was given the slot.
  if (kernel_->Now() >= exchange->deadline)
    co_return AttemptResult{false, Verdict::kNotRun, "its time ran out", false,
                            TargetOutcome::kGood};
  // What is known of the target may have changed while the connection was made.
  if (scheduler_->node().IsTargetLeaving(slot.id))
    co_return AttemptResult{false, Verdict::kNotRun, "the target leaves", false,
                            TargetOutcome::kGood};
  if (BacksOff(slot))
    co_return AttemptResult{false, Verdict::kNotRun,
                            "the target turns requests away for now", false,
                            TargetOutcome::kGood};
  if (scheduler_->node().IsListOutOfDate(kernel_->Now()))
    co_return AttemptResult{false, Verdict::kNotRun,
                            "the list of targets is out of date", false,
                            TargetOutcome::kGood};
  exchange->cancel = [stream = &connection->stream] { stream->cancel(); };
  RenewExpiry(*exchange, connection.get());
  connection->sent_at = kernel_->Now();
  const std::shared_ptr<Sending> sending =
      StartSending(exchange, slot, connection);
  AttemptResult result =
      co_await ReadAnswer(exchange, slot, connection.get(), *sending);
  exchange->cancel = nullptr;
  if (result.broke)
    crash_watch_->OnBroken(exchange, slot, *connection);
  else if (result.whole)
    crash_watch_->OnAnswered(slot, connection->sent_at);
  const bool answered =
      result.whole || (result.verdict == Verdict::kRan && exchange->failed);
  if (answered && !connection->suspect && sending->done)
    connections_.Keep(slot.id, connection, kernel_->Now());
  else
    connection->stream.close();
  co_return result;
}

auto Forward::Attempt(RequestContext* exchange, const Slot& slot)
    -> asio::awaitable<AttemptResult> {
  AttemptResult result = co_await AttemptOnce(exchange, slot);
  // The same run may be taken up again where it still goes on.
  for (int resumes = 0; resumes < kMaxResumes; ++resumes) {
    exchange->progress.held.clear();
    exchange->progress.meter.DropPartial();
    const bool can_resume = exchange->pool->can_resume &&
                            exchange->progress.began &&
                            !exchange->progress.meter.last_event_id().empty() &&
                            !exchange->caller->gone();
    if (result.whole || !can_resume)
      break;
    metrics_->resumes.Increment();
    // A target notices the break with its next write; asked before, it says
    // that it has nothing to go on with.
    co_await Sleep(Backoff(resumes + 1, exchange->id));
    const AttemptResult resumed = co_await AttemptOnce(exchange, slot);
    result = {resumed.whole, Combine(result.verdict, resumed.verdict),
              resumed.problem, true, resumed.outcome};
  }
  Account(exchange);
  if (exchange->caller->gone())
    result.outcome = TargetOutcome::kGood;  // it was we who broke off
  scheduler_->OnOutcome(slot.id, result.outcome);
  if (result.outcome == TargetOutcome::kNoConnection)
    probe_->Watch(slot.id, slot.address);
  co_return result;
}

}  // namespace sparbend
