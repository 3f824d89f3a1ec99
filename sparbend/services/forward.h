// The service "forward": makes one attempt at a target. Writes the request,
// relays the answer to the client as it arrives, and reports whether the target
// may have executed the request and what the attempt says about the target.
#ifndef SPARBEND_SERVICES_FORWARD_H_
#define SPARBEND_SERVICES_FORWARD_H_

#include <memory>
#include <string>

#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/ack_watch.h"
#include "sparbend/services/answer_head.h"
#include "sparbend/services/answer_relay.h"
#include "sparbend/services/attempt_result.h"
#include "sparbend/services/connections.h"
#include "sparbend/services/crash_watch.h"
#include "sparbend/services/end_check.h"
#include "sparbend/services/protocol.h"
#include "sparbend/services/request_context.h"
#include "sparbend/services/scheduler.h"
#include "sparbend/services/stream_continuation.h"
#include "sparbend/services/target_probe.h"

namespace sparbend {

class Forward : public Service {
 public:
  Forward(Kernel* kernel, const Settings& settings);

  void Start() override;
  void Stop() override { connections_.CloseIdle(); }

  // Makes one attempt, in which an interrupted stream may be resumed at the
  // same target. Sets the context's `tokens` to the service received so far,
  // and its `cancel` while the attempt can be cancelled. A server error in
  // answer to a repeatable request is kept in `failed_answer` and not sent to
  // the client.
  auto Attempt(RequestContext* context, const Slot& slot)
      -> asio::awaitable<AttemptResult>;
  // Sends the context's `failed_answer` to the client. False if the client is
  // gone.
  auto SendFailed(RequestContext* context) -> asio::awaitable<bool>;
  // Sockets in use towards targets, open attempts included.
  auto target_sockets() const -> size_t { return connections_.open(); }

 private:
  using Parser = AnswerParser;

  // Reuses an idle connection or makes a new one.
  auto Connect(RequestContext* context, const Slot& slot)
      -> asio::awaitable<Result<std::shared_ptr<Connection>>>;
  // Makes a new connection within `span`. Sets the context's `cancel`
  // meanwhile.
  auto Open(RequestContext* context, const Slot& slot, Millis span)
      -> asio::awaitable<Result<std::shared_ptr<Connection>>>;
  // Finds out whether the target still runs once the connection has ended that
  // delimits its answer; the request was sent at `sent_at`.
  auto CheckEnd(RequestContext* context, const Slot& slot, Millis sent_at)
      -> asio::awaitable<TargetState>;
  // Starts to write the request; see Connection::written.
  void StartWrite(RequestContext* context,
                  const Slot& slot,
                  const std::shared_ptr<Connection>& connection);
  // Reads the header of the answer. `complete` in the result means that it is
  // this request's; `parser` then continues with the body.
  auto ReadHeader(const RequestContext& context,
                  const Slot& slot,
                  Connection* connection,
                  std::unique_ptr<Parser>* parser,
                  AnswerFacts* facts) -> asio::awaitable<AttemptResult>;
  auto ReadAnswer(RequestContext* context,
                  const Slot& slot,
                  Connection* connection) -> asio::awaitable<AttemptResult>;
  // Sends the request once and relays the answer, without resuming a stream.
  auto AttemptOnce(RequestContext* context, const Slot& slot)
      -> asio::awaitable<AttemptResult>;
  // How long a connection may have been idle to be reused for the request;
  // zero: a new one is needed.
  auto MaxIdleTime(const RequestContext& context) const -> Millis;
  // Sets the context's `tokens` from the usage of the answer so far.
  void CountTokens(RequestContext* context);
  // Passes on to the scheduler what the target reports about itself.
  void ReportTargetState(const Slot& slot, const AnswerFacts& facts);
  // Whether the target of `slot` has asked for no requests at present.
  auto BacksOff(const Slot& slot) const -> bool;

  Kernel* kernel_;
  Settings settings_;
  Connections connections_;
  EndCheck end_check_;
  AckWatch ack_watch_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Metrics> metrics_;
  std::shared_ptr<ClientProtocol> client_protocol_;
  std::shared_ptr<TargetProtocol> target_protocol_;
  std::shared_ptr<StreamContinuation> continuation_;
  std::shared_ptr<TargetProbe> probe_;
  std::shared_ptr<CrashWatch> crash_watch_;
  std::unique_ptr<AnswerRelay> relay_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_FORWARD_H_
