// Reads the body of a target's answer and relays it to the client as it
// arrives. The service "forward" has read the header before.
//
//   AnswerRelay relay(kernel, settings);  // once the services have started
//   const AttemptResult result =
//       co_await relay.RelayStream(context, slot, connection, parser);
#ifndef SPARBEND_SERVICES_ANSWER_RELAY_H_
#define SPARBEND_SERVICES_ANSWER_RELAY_H_

#include <functional>
#include <memory>
#include <span>
#include <string_view>

#include "sparbend/core/body_budget.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/answer_head.h"
#include "sparbend/services/attempt_result.h"
#include "sparbend/services/connections.h"
#include "sparbend/services/metrics.h"
#include "sparbend/services/protocol.h"
#include "sparbend/services/request_context.h"
#include "sparbend/services/scheduler.h"
#include "sparbend/services/stream_continuation.h"

namespace sparbend {

class AnswerRelay {
 public:
  using Parser = AnswerParser;

  // Bytes of an answer that one read takes. Each active request has one or two
  // buffers of this size.
  static constexpr size_t kReadBufferBytes = 4 * 1024;

  // Finds out whether the target still runs to which the request was sent at a
  // time, once the connection has ended that delimits its answer.
  using CheckEnd = std::function<
      asio::awaitable<TargetState>(RequestContext*, const Slot&, Millis)>;

  AnswerRelay(Kernel* kernel, const Settings& settings, CheckEnd check_end);

  // Relays an answer that is not a stream. It is collected first if there is
  // room.
  auto RelayBuffered(RequestContext* context,
                     const Slot& slot,
                     Connection* connection,
                     Parser* parser) -> asio::awaitable<AttemptResult>;
  // Relays a stream of events.
  auto RelayStream(RequestContext* context,
                   const Slot& slot,
                   Connection* connection,
                   Parser* parser) -> asio::awaitable<AttemptResult>;
  // Reads up to `piece.size()` bytes of the body into `piece`; sets `size` to
  // their number. Fails with beast::error::timeout once the request's deadline
  // has passed, unless the body is complete.
  auto ReadPiece(const RequestContext& context,
                 Connection* connection,
                 Parser* parser,
                 std::span<char> piece,
                 size_t* size) -> asio::awaitable<boost::system::error_code>;
  // Records that bytes of the answer have arrived.
  void RecordBytes(RequestContext* context);
  // Sets the connection to expire after ReadTimeout, or after the limit for the
  // first byte if that is shorter and the answer has not begun.
  void RenewExpiry(const RequestContext& context, Connection* connection);

 private:
  // Relays a piece of a stream. `ended`: no bytes of the answer follow.
  auto RelayPiece(RequestContext* context,
                  const Slot& slot,
                  std::string_view bytes,
                  bool ended) -> asio::awaitable<bool>;
  // The answer has ended. If the state of its target decides whether it is
  // complete, sets that in the context's progress.
  auto SetTargetState(RequestContext* context,
                      const Slot& slot,
                      const Connection& connection) -> asio::awaitable<void>;
  // The result of an answer that ended and is not complete for the reason
  // `why`. The connection can't be reused.
  auto Incomplete(const RequestContext& context,
                  std::string_view why,
                  Connection* connection) const -> AttemptResult;
  // The result of an attempt with an event that does not go on after the last
  // one. `error`: what the read of it failed with, if it did.
  auto OutOfOrder(EventStep step, const boost::system::error_code& error)
      -> AttemptResult;
  // While the box is busy, waits until streams are read again. False if the
  // client left meanwhile and the request is not run for anyone else.
  auto WaitForNextRead(const RequestContext& context) -> asio::awaitable<bool>;
  // Reads as ReadPiece does, for streams: takes all bytes that have arrived,
  // and sets no timer for each read.
  auto ReadEvents(const RequestContext& context,
                  Connection* connection,
                  Parser* parser,
                  std::span<char> piece,
                  size_t* size) -> asio::awaitable<boost::system::error_code>;
  // Whether an answer that is not complete yet has to end.
  auto IsPastDeadline(const RequestContext& context, const Parser& parser) const
      -> bool;
  // How long the target may send nothing before the attempt ends.
  auto ReadTimeout(const RequestContext& context) const -> Millis;

  Kernel* kernel_;
  Settings settings_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Metrics> metrics_;
  std::shared_ptr<ClientProtocol> client_protocol_;
  std::shared_ptr<StreamContinuation> continuation_;
  BodyBudget answer_budget_;
  CheckEnd check_end_;
};

// The status and the fields of the target's answer that are for the client:
// all but those of the connection.
auto ClientAnswerHeader(const http::response_header<>& from)
    -> http::response_header<>;

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_ANSWER_RELAY_H_
