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
// An attempt that is given up must not reach its target later, when nobody
// waits for it and the target may be leaving. So the connection is reset unless
// the exchange was complete, also if the box's process is killed. The kernel
// must not end it before, since it does so without a reset. So it probes a
// connection only from when the target has acknowledged the request (AckWatch)
// until the exchange is complete: a probe of an idle connection could be what
// is not answered once a request is on it.
//
// A request that must not be repeated gets a new connection, or one that has
// been idle so briefly that the target has no reason to close it. Otherwise the
// target might close the connection just as the request is written, and whether
// the request was executed would be unknown.
#include "sparbend/services/forward.h"

#include <netinet/tcp.h>

#include <array>

#include "sparbend/kernel/socket_peek.h"

namespace sparbend {
namespace {

constexpr uint32_t kMaxAnswerHeaderBytes = 16 * 1024;
constexpr int kMaxResumes = 3;  // of a stream in one attempt
// Interim responses, and answers to earlier requests on a reused connection,
// that are skipped before the answer.
constexpr int kMaxSkippedAnswers = 2;
// TCP user timeout and keep-alive probes. A target that has lost power does not
// close its connections, so they end when bytes stay unacknowledged or probes
// unanswered. The times leave room for the retransmission of a few lost
// packets.
constexpr int kTcpUserTimeoutMs = 1'500;
constexpr int kTcpKeepAliveIdleSeconds = 1;
constexpr int kTcpKeepAliveIntervalSeconds = 1;
constexpr int kTcpKeepAliveProbes = 2;
constexpr std::string_view kEventType = "text/event-stream";
// A reused connection that breaks within this time after the request was sent
// had been closed before: the time is enough for a round trip and for reading
// its result, and a target takes longer to begin a request and crash while
// executing it.
constexpr Millis kStaleConnectionErrorTime = Millis(20);

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

// A request that is being written. Lives until its last byte is written or the
// connection ends.
struct RequestWrite {
  http::request<http::span_body<const char>> request;
  std::shared_ptr<const std::string> body;  // that the request refers to
};

void SetOptions(Connection* connection) {
  tcp::socket& socket = connection->stream.socket();
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  SetResetOnClose(&socket, true);
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

Forward::Forward(Kernel* kernel, const Settings& settings)
    : kernel_(kernel),
      settings_(settings),
      connections_(
          std::max(settings.target_idle_time, settings.once_target_idle_time)),
      end_check_(kernel,
                 &connections_,
                 [this](RequestContext* context, const Slot& slot) {
                   const Millis left = context->deadline - kernel_->Now();
                   return Open(
                       context, slot,
                       std::clamp(left, Millis(1), settings_.connect_time));
                 }),
      ack_watch_(kernel) {}

void Forward::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  metrics_ = kernel_->Find<Metrics>("metrics");
  client_protocol_ = kernel_->Find<ClientProtocol>("caller-dialect");
  target_protocol_ = kernel_->Find<TargetProtocol>("target-dialect");
  probe_ = kernel_->Find<TargetProbe>("target-probe");
  crash_watch_ = kernel_->Find<CrashWatch>("crash-watch");
  continuation_ = kernel_->Find<StreamContinuation>("stream-continuation");
  relay_ = std::make_unique<AnswerRelay>(
      kernel_, settings_,
      [this](RequestContext* context, const Slot& slot, Millis sent_at) {
        return CheckEnd(context, slot, sent_at);
      });
  continuation_->SetHasOpenSince([this](TargetId target, Millis at) {
    return connections_.HasOpenSince(target, at, kernel_->Now());
  });
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
    if (auto idle = connections_.Take(slot.id, context->id, max_idle_time,
                                      kernel_->Now()))
      co_return idle;
  }
  co_return co_await Open(context, slot, settings_.connect_time);
}

auto Forward::Open(RequestContext* context, const Slot& slot, Millis span)
    -> asio::awaitable<Result<std::shared_ptr<Connection>>> {
  auto connection = connections_.New(co_await asio::this_coro::executor);
  context->cancel = [stream = &connection->stream] { stream->cancel(); };
  connection->stream.expires_after(std::chrono::milliseconds(span.count()));
  const auto [error] =
      co_await connection->stream.async_connect(slot.address, kAwait);
  context->cancel = nullptr;
  metrics_->connections.Increment();
  if (error)
    co_return MakeError(ConnectErrorCode(error), error.message());
  SetOptions(connection.get());
  connection->connected_at = kernel_->Now();
  connections_.Register(slot.id, connection);
  co_return connection;
}

auto Forward::CheckEnd(RequestContext* context,
                       const Slot& slot,
                       Millis sent_at) -> asio::awaitable<TargetState> {
  const TargetState state = co_await end_check_.Run(context, slot, sent_at);
  metrics_->CountEndCheck(ToString(state));
  co_return state;
}

void Forward::StartWrite(RequestContext* context,
                         const Slot& slot,
                         const std::shared_ptr<Connection>& connection) {
  connection->written = {};
  connection->request = context->id;
  const auto write = std::make_shared<RequestWrite>();
  const std::string resume_after =
      context->progress.began ? context->progress.meter.last_event_id() : "";
  if (!resume_after.empty())
    ++context->progress.resumes;
  write->body = context->body;
  write->request.base() =
      target_protocol_
          ->request_head(*context, slot, context->deadline - kernel_->Now(),
                         resume_after)
          .base();
  write->request.body() = {write->body->data(), write->body->size()};
  write->request.prepare_payload();
  http::async_write(
      connection->stream, write->request,
      [write, connection](boost::system::error_code error, size_t sent) {
        connection->written = {
            .done = true, .failed = error.failed(), .sent = sent};
        if (error)
          connection->stream.cancel();  // no answer will come
      });
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
                         std::unique_ptr<Parser>* parser,
                         AnswerFacts* facts) -> asio::awaitable<AttemptResult> {
  std::array<char, AnswerRelay::kReadBufferBytes> piece;
  for (int skipped = 0; skipped <= kMaxSkippedAnswers; ++skipped) {
    *parser = std::make_unique<Parser>();
    Parser& current = **parser;
    current.header_limit(kMaxAnswerHeaderBytes);
    current.body_limit(boost::none);
    current.skip(context.head);
    if (const auto error =
            co_await ReadAnswerHead(connection, &current, kernel_->memory())) {
      if (connection->written.failed && connection->written.sent == 0)
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
    const http::response_header<>& head = current.get().base();
    const AnswerStatus status = ClassifyStatus(head);
    if (status == AnswerStatus::kInvalid)
      co_return Failed(Verdict::kMayHaveRun,
                       "the answer has the invalid status " +
                           std::to_string(head.result_int()),
                       TargetOutcome::kFailed);
    if (status == AnswerStatus::kInterim)
      continue;
    *facts = target_protocol_->read_answer(context, head);
    ReportTargetState(slot, *facts);
    if (facts->kind != AnswerFacts::Kind::kOtherRequest)
      co_return AttemptResult{true, Verdict::kMayHaveRun, "", true,
                              TargetOutcome::kGood};
    connection->must_close = true;
    metrics_->foreign_answers.Increment();
    while (!current.is_done() && !current.need_eof()) {
      size_t size = 0;
      if (co_await relay_->ReadPiece(context, connection, &current, piece,
                                     &size))
        break;
    }
    if (!current.is_done())
      break;
  }
  co_return Failed(Verdict::kMayHaveRun,
                   "received no answer to this request: " + facts->why,
                   TargetOutcome::kFailed);
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

auto Forward::SendFailed(RequestContext* context) -> asio::awaitable<bool> {
  FailedAnswer& failed = *context->failed_answer;
  client_protocol_->add_answer_fields(*context, &failed.header);
  co_await context->client->Begin(failed.header, failed.body.size(),
                                  /*body_follows=*/true);
  co_return co_await context->client->Send(failed.body, false);
}

auto Forward::ReadAnswer(RequestContext* context,
                         const Slot& slot,
                         Connection* connection)
    -> asio::awaitable<AttemptResult> {
  std::unique_ptr<Parser> parser;
  AnswerFacts facts;
  AttemptResult head =
      co_await ReadHeader(*context, slot, connection, &parser, &facts);
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
  if (progress.began && !good) {
    metrics_->CountRejectedContinuation("status");
    co_return Failed(Verdict::kMayHaveRun,
                     "the target did not resume the stream",
                     TargetOutcome::kFailed);
  }
  // The target may have been restarted with other software since it began the
  // stream.
  if (progress.began && facts.version != progress.stated_version) {
    metrics_->CountRejectedContinuation("version");
    co_return Failed(Verdict::kMayHaveRun,
                     "the target has another software version than when it "
                     "began the stream",
                     TargetOutcome::kFailed);
  }
  progress.stated_version = facts.version;
  connection->keep_alive_timeout = KeepAliveTimeout(header);
  const std::string_view type = header[http::field::content_type];
  const bool of_events =
      type.empty()
          ? context->streaming
          : beast::iequals(type.substr(0, kEventType.size()), kEventType);
  // The id of the last event that the client had before this request.
  const std::string after =
      context->ResumesStream() ? context->resumes.last_event_id : "";
  const bool success = header.result_int() / 100 == 2;
  const bool stream = good && of_events;
  if (success && !stream && (progress.began || !after.empty())) {
    metrics_->CountRejectedContinuation("no-stream");
    co_return Failed(Verdict::kMayHaveRun,
                     "the answer does not continue the stream: it is none",
                     TargetOutcome::kFailed);
  }
  AttemptResult result;
  if (stream) {
    progress.is_stream = true;
    if (!progress.began) {
      http::response_header<> answer = ClientAnswerHeader(header);
      client_protocol_->add_answer_fields(*context, &answer);
      // The protocol states the order of ids for its streaming routes.
      progress.meter.BeginStream(
          context->streaming ? target_protocol_->event_ids : EventIds::kUnique,
          after);
      // No length is promised, even if the target states one: another answer
      // may continue the stream. Events that arrived with the header leave with
      // it.
      progress.began = after.empty();
      if (progress.began)
        co_await context->client->Begin(
            answer, /*length=*/std::nullopt,
            /*body_follows=*/connection->buffer.size() > 0);
      else
        progress.held_header = std::move(answer);
    }
    result =
        co_await relay_->RelayStream(context, slot, connection, parser.get());
  } else {
    relay_->RecordBytes(context);
    result =
        co_await relay_->RelayBuffered(context, slot, connection, parser.get());
  }
  metrics_->CountTargetAnswer(ToString(progress.end.framing),
                              ToString(progress.end.position),
                              result.verdict == Verdict::kRan);
  // If the answer ended before the request was written, bytes of the request
  // are still on the way.
  if (!parser->get().keep_alive() || parser->need_eof() ||
      !connection->written.done)
    connection->must_close = true;
  co_return result;
}

auto Forward::AttemptOnce(RequestContext* context, const Slot& slot)
    -> asio::awaitable<AttemptResult> {
  context->progress.end = AnswerEnd();
  context->progress.meter.BeginContinuation();
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
  context->connected_at = connection->connected_at;
  if (!co_await continuation_->MayContinueAt(*context, slot))
    co_return AttemptResult{false, Verdict::kNotRun,
                            "the target is not known to have the software "
                            "version that began the stream",
                            false, TargetOutcome::kGood};
  // The box's process may have been paused since it acquired the slot.
  if (kernel_->Now() >= context->deadline)
    co_return AttemptResult{false, Verdict::kNotRun,
                            "the request's deadline passed before it was sent",
                            false, TargetOutcome::kGood};
  if (scheduler_->sending_ended())
    co_return AttemptResult{false, Verdict::kNotRun,
                            "this box stops before it could be sent", false,
                            TargetOutcome::kGood};
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
  relay_->RenewExpiry(*context, connection.get());
  connection->sent_at = kernel_->Now();
  if (const auto on_write = std::exchange(context->on_write, nullptr))
    on_write();
  StartWrite(context, slot, connection);
  ack_watch_.OnSent(connection);
  AttemptResult result = co_await ReadAnswer(context, slot, connection.get());
  context->cancel = nullptr;
  if (!result.complete)
    result.unacknowledged =
        std::max(connection->unacknowledged,
                 UnacknowledgedBytes(connection->stream.socket()));
  if (result.unacknowledged > 0)
    metrics_->unacknowledged_requests.Increment();
  if (result.interrupted)
    crash_watch_->OnInterrupted(context, slot, *connection);
  else if (result.complete)
    crash_watch_->OnAnswered(slot, connection->sent_at);
  const bool answered = result.complete || (result.verdict == Verdict::kRan &&
                                            context->failed_answer);
  if (!answered || !connection->written.done)
    connection->stream.close();
  else if (connection->must_close)
    connection->CloseInOrder();
  else
    connections_.Keep(slot.id, connection, kernel_->Now());
  co_return result;
}

auto Forward::Attempt(RequestContext* context, const Slot& slot)
    -> asio::awaitable<AttemptResult> {
  AttemptResult result = co_await AttemptOnce(context, slot);
  // A target that continues the execution may let its stream be resumed.
  for (int resumes = 0; resumes < kMaxResumes; ++resumes) {
    context->progress.incomplete_event.clear();
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
    result = {.complete = resumed.complete,
              .verdict = Combine(result.verdict, resumed.verdict),
              .problem = resumed.problem,
              .may_have_arrived = true,
              .outcome = resumed.outcome,
              .unacknowledged = resumed.unacknowledged};
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
