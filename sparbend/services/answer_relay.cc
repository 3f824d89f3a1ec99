// Streams are relayed in complete events. So the client never has a part of an
// event, and an interrupted stream can continue after the last event that the
// client has, at the same target or, where the route allows it, at another.
#include "sparbend/services/answer_relay.h"

#include <algorithm>
#include <array>

#include "sparbend/core/read_spacing.h"
#include "sparbend/kernel/socket_peek.h"
#include "sparbend/services/idle_guard.h"

namespace sparbend {
namespace {

// An answer that is not a stream is buffered up to this size; the rest is
// relayed as it arrives.
constexpr size_t kMaxBufferedAnswerBytes = 1024 * 1024;
// An event is held until it is complete; a longer one ends the answer.
constexpr size_t kMaxEventBytes = 1024 * 1024;
constexpr Millis kExpiryRenewalInterval = Millis(500);
constexpr unsigned kFirstServerError = 500;

// Whether an answer that the end of its connection delimits is complete: the
// target has closed the connection in order. The write of a long request may be
// what the kernel has reported a reset to.
auto EndedInOrder(Connection* connection) -> bool {
  const RequestProgress& written = connection->written;
  return !written.failed &&
         (written.done || !WasReset(connection->stream.socket()));
}

auto ClientDisconnected() -> AttemptResult {
  return Failed(Verdict::kMayHaveRun, "the client disconnected",
                TargetOutcome::kGood);
}

}  // namespace

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

AnswerRelay::AnswerRelay(Kernel* kernel,
                         const Settings& settings,
                         CheckEnd check_end)
    : kernel_(kernel),
      settings_(settings),
      scheduler_(kernel->Find<Scheduler>("scheduler")),
      metrics_(kernel->Find<Metrics>("metrics")),
      client_protocol_(kernel->Find<ClientProtocol>("caller-dialect")),
      continuation_(kernel->Find<StreamContinuation>("stream-continuation")),
      answer_budget_(BodyBudget::AnswersWithin(settings.memory_mb)),
      check_end_(std::move(check_end)) {}

auto AnswerRelay::ReadTimeout(const RequestContext& context) const -> Millis {
  const Millis left = context.deadline - kernel_->Now();
  return std::max(Millis(1), std::min(left, settings_.response_stall_timeout));
}

void AnswerRelay::RenewExpiry(const RequestContext& context,
                              Connection* connection) {
  Millis span = ReadTimeout(context);
  // A repeatable request whose answer has not begun is better tried at another
  // target while there is time and it may run once more.
  const bool may_run_again = context.runs + 1 < context.max_runs;
  if (context.first_byte_limit > Millis(0) && !context.progress.began &&
      may_run_again)
    span = std::min(span, context.first_byte_limit);
  connection->stream.expires_after(std::chrono::milliseconds(span.count()));
  connection->expiry_renewed_at = kernel_->Now();
}

// A read whose bytes are already there completes before its timer is looked at,
// so the deadline is compared after each read, too.
auto AnswerRelay::IsPastDeadline(const RequestContext& context,
                                 const Parser& parser) const -> bool {
  return !parser.is_done() && kernel_->Now() >= context.deadline;
}

auto AnswerRelay::ReadPiece(const RequestContext& context,
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
  if (!error && parser->is_done() && parser->need_eof() &&
      !EndedInOrder(connection))
    error = asio::error::connection_reset;
  if (!error && IsPastDeadline(context, *parser))
    error = beast::error::timeout;
  // Renewing the expiry for each token would cost more than relaying it.
  if (!error &&
      kernel_->Now() - connection->expiry_renewed_at >= kExpiryRenewalInterval)
    RenewExpiry(context, connection);
  *size = piece.size() - parser->get().body().size;
  co_return error;
}

auto AnswerRelay::ReadEvents(const RequestContext& context,
                             Connection* connection,
                             Parser* parser,
                             std::span<char> piece,
                             size_t* size)
    -> asio::awaitable<boost::system::error_code> {
  boost::system::error_code error;
  // If the last read filled the piece, the buffer may hold further events.
  if (*size < piece.size()) {
    if (connection->buffer.size() + piece.size() >
        connection->buffer.max_size()) {
      *size = 0;
      co_return http::error::buffer_overflow;
    }
    const auto [failed, received] =
        co_await connection->stream.socket().async_read_some(
            connection->buffer.prepare(piece.size()), kAwait);
    connection->buffer.commit(received);
    if (failed == asio::error::eof && !EndedInOrder(connection))
      error = asio::error::connection_reset;
    else if (failed == asio::error::eof)
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
  if (!error && IsPastDeadline(context, *parser))
    error = beast::error::timeout;
  *size = piece.size() - parser->get().body().size;
  co_return error;
}

void AnswerRelay::RecordBytes(RequestContext* context) {
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
auto AnswerRelay::RelayPiece(RequestContext* context,
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
  const bool last = ended && progress.meter.step() == EventStep::kGoesOn &&
                    WhyIncomplete(progress.end).empty();
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
  if (progress.held_header && (ready > 0 || last)) {
    progress.began = true;
    const http::response_header<> header = std::move(*progress.held_header);
    progress.held_header.reset();
    co_await context->client->Begin(header, /*length=*/std::nullopt,
                                    /*body_follows=*/true);
  }
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
auto AnswerRelay::WaitForNextRead(const RequestContext& context)
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

auto AnswerRelay::SetTargetState(RequestContext* context,
                                 const Slot& slot,
                                 const Connection& connection)
    -> asio::awaitable<void> {
  AnswerEnd& end = context->progress.end;
  if (!NeedsTargetState(end))
    co_return;
  // Asked before the check: the list may change meanwhile. A target whose entry
  // is gone may have crashed, so that is not enough.
  end.target_leaving = scheduler_->node().HasAnnouncedLeaving(slot.id);
  end.target = co_await check_end_(context, slot, connection.sent_at);
}

auto AnswerRelay::Incomplete(const RequestContext& context,
                             std::string_view why,
                             Connection* connection) const -> AttemptResult {
  AttemptResult result = Failed(
      Verdict::kMayHaveRun, "the answer was interrupted: " + std::string(why),
      TargetOutcome::kFailed);
  // A target that may still run has not shown a crash.
  const AnswerEnd& end = context.progress.end;
  result.interrupted =
      end.framing == Framing::kUntilClose &&
      (!NeedsTargetState(end) || end.target == TargetState::kEnded);
  connection->must_close = true;
  return result;
}

auto AnswerRelay::OutOfOrder(EventStep step,
                             const boost::system::error_code& error)
    -> AttemptResult {
  metrics_->CountRejectedContinuation(ToString(step));
  AttemptResult result =
      Interrupted("the answer does not go on after the last event", error,
                  TargetOutcome::kFailed);
  result.problem = "the answer does not go on after the last event: " +
                   std::string(ToString(step));
  return result;
}

auto AnswerRelay::RelayStream(RequestContext* context,
                              const Slot& slot,
                              Connection* connection,
                              Parser* parser)
    -> asio::awaitable<AttemptResult> {
  std::array<char, kReadBufferBytes> piece;
  AnswerProgress& progress = context->progress;
  IdleGuard guard(&connection->stream.socket());
  BodyReservation reservation(&answer_budget_);
  // All events that have arrived are relayed in one write. That needs `eager`
  // and ReadEvents, because Beast's read operations would wait for more bytes.
  parser->eager(true);
  // Starts as after a read that filled the piece: events may have arrived with
  // the header.
  size_t size = piece.size();
  bool ended = false;  // the last piece was relayed as such
  while (!parser->is_done()) {
    guard.Begin(ReadTimeout(*context));
    const auto error =
        co_await ReadEvents(*context, connection, parser, piece, &size);
    guard.End();
    if (size > 0) {
      RecordBytes(context);
      // Without other framing the end may have to be held for a check.
      ended = parser->is_done() && !error &&
              progress.end.framing != Framing::kUntilClose;
      const bool sent =
          co_await RelayPiece(context, slot, {piece.data(), size}, ended);
      scheduler_->Progress(
          context->id, progress.meter.events() * context->pool->output_weight);
      if (!sent && (!context->once || !context->finish_without_client))
        co_return ClientDisconnected();
    } else if (context->client->holds_header()) {
      co_await context->client->Send({}, true);
    }
    if (progress.meter.step() != EventStep::kGoesOn)
      co_return OutOfOrder(progress.meter.step(), error);
    if (error)
      co_return Interrupted("the answer was interrupted", error,
                            TargetOutcome::kFailed);
    if (!reservation.Grow(progress.incomplete_event.size()))
      co_return Failed(Verdict::kMayHaveRun,
                       "no room for an event of the answer",
                       TargetOutcome::kFailed);
    if (progress.incomplete_event.empty())
      reservation.Release();
    if (progress.incomplete_event.size() > kMaxEventBytes)
      co_return Failed(Verdict::kMayHaveRun,
                       "an event of the answer is longer than " +
                           std::to_string(kMaxEventBytes) + " bytes",
                       TargetOutcome::kFailed);
    // The first event is never held, and a filled piece means that more has
    // arrived.
    const bool may_wait = size > 0 && size < piece.size() &&
                          progress.meter.events() > 0 && !parser->is_done();
    if (may_wait && !co_await WaitForNextRead(*context))
      co_return ClientDisconnected();
  }
  co_await SetTargetState(context, slot, *connection);
  if (!ended)
    co_await RelayPiece(context, slot, {}, /*ended=*/true);
  const std::string_view why = WhyIncomplete(progress.end);
  if (why.empty())
    co_return AttemptResult{true, Verdict::kRan, "", true,
                            TargetOutcome::kGood};
  co_return Incomplete(*context, why, connection);
}

// An answer that is not a stream is read completely, up to
// kMaxBufferedAnswerBytes and while answer_budget_ has room, before the client
// gets a byte of it: if it is interrupted, another attempt can still be made.
// One that is delimited by the end of its connection is taken for complete if
// the connection was closed and not reset (EndedInOrder) and the target is
// known to run on, since nothing in it could show the opposite.
auto AnswerRelay::RelayBuffered(RequestContext* context,
                                const Slot& slot,
                                Connection* connection,
                                Parser* parser)
    -> asio::awaitable<AttemptResult> {
  std::array<char, kReadBufferBytes> piece;
  std::string body;
  BodyReservation reservation(&answer_budget_);
  while (!parser->is_done() && body.size() < kMaxBufferedAnswerBytes &&
         reservation.Grow(body.size() + piece.size())) {
    size_t size = 0;
    const auto error =
        co_await ReadPiece(*context, connection, parser, piece, &size);
    body.append(piece.data(), size);
    if (error)
      co_return Interrupted("the answer was interrupted", error,
                            TargetOutcome::kFailed);
  }
  const AnswerEnd& end = context->progress.end;
  if (parser->is_done()) {
    co_await SetTargetState(context, slot, *connection);
    if (const auto why = WhyIncomplete(end); !why.empty())
      co_return Incomplete(*context, why, connection);
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
  context->progress.meter.Feed(body);
  if (!ended) {
    body = std::string();
    reservation.Release();
  }
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
  if (!ended) {
    co_await SetTargetState(context, slot, *connection);
    if (const auto why = WhyIncomplete(end); !why.empty())
      co_return Incomplete(*context, why, connection);
    co_await context->client->Send({}, false);
  }
  co_return AttemptResult{
      true, Verdict::kRan, "", true,
      failure ? TargetOutcome::kFailed : TargetOutcome::kGood};
}

}  // namespace sparbend
