// The service "forward": one attempt at one target. Writes the request,
// relays the answer as it comes, and says what is known of the request's
// fate.
#ifndef SPARBEND_SERVICES_FORWARD_H_
#define SPARBEND_SERVICES_FORWARD_H_

#include <memory>
#include <string>

#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/connections.h"
#include "sparbend/services/crash_watch.h"
#include "sparbend/services/protocol.h"
#include "sparbend/services/request_context.h"
#include "sparbend/services/scheduler.h"
#include "sparbend/services/target_probe.h"

namespace sparbend {

struct AttemptResult {
  bool whole = false;  // the target's own answer reached its end
  Verdict verdict = Verdict::kNotRun;
  std::string problem;   // why it is not whole
  bool arrived = false;  // some byte may have reached the target
  TargetOutcome outcome = TargetOutcome::kGood;  // what it says of the target
  bool broke = false;  // the other side ended the connection before the answer
  // For which the target asked for no requests.
  Millis retry_after = Millis(0);
};

class Forward : public Service {
 public:
  Forward(Kernel* kernel, const Settings& settings);

  void Start() override;

  // Makes one attempt. `exchange->tokens` grows with the service received;
  // `exchange->cancel` is set while it can be cut short. A failure of a
  // repeatable request is kept in `exchange->failed`, not sent on.
  auto Attempt(RequestContext* exchange, const Slot& slot)
      -> asio::awaitable<AttemptResult>;
  // Sends on the failure kept before.
  auto SendFailed(RequestContext* exchange) -> asio::awaitable<bool>;

 private:
  using Parser = http::response_parser<http::buffer_body>;
  struct Sending;

  auto Connect(RequestContext* exchange, const Slot& slot)
      -> asio::awaitable<Result<std::shared_ptr<Connection>>>;
  auto StartSending(RequestContext* exchange,
                    const Slot& slot,
                    const std::shared_ptr<Connection>& connection)
      -> std::shared_ptr<Sending>;
  auto ReadHead(const RequestContext& exchange,
                const Slot& slot,
                Connection* connection,
                const Sending& sending,
                std::unique_ptr<Parser>* parser,
                AnswerFacts* facts) -> asio::awaitable<AttemptResult>;
  auto ReadAnswer(RequestContext* exchange,
                  const Slot& slot,
                  Connection* connection,
                  const Sending& sending) -> asio::awaitable<AttemptResult>;
  auto RelayWhole(RequestContext* exchange,
                  Connection* connection,
                  Parser* parser) -> asio::awaitable<AttemptResult>;
  auto RelayStream(RequestContext* exchange,
                   Connection* connection,
                   Parser* parser) -> asio::awaitable<AttemptResult>;
  auto RelayPiece(RequestContext* exchange, std::string_view bytes)
      -> asio::awaitable<bool>;
  auto ReadPiece(const RequestContext& exchange,
                 Connection* connection,
                 Parser* parser,
                 std::span<char> piece,
                 size_t* size) -> asio::awaitable<boost::system::error_code>;
  // The same for a stream's events, without a timer for each.
  auto ReadEvents(Connection* connection,
                  Parser* parser,
                  std::span<char> piece,
                  size_t* size) -> asio::awaitable<boost::system::error_code>;
  auto AttemptOnce(RequestContext* exchange, const Slot& slot)
      -> asio::awaitable<AttemptResult>;
  auto LongestRest(const RequestContext& exchange) const -> Millis;
  void NoteBytes(RequestContext* exchange);
  void Account(RequestContext* exchange);
  void NoteTarget(const Slot& slot, const AnswerFacts& facts);
  // Whether the target asked for no requests for now.
  auto BacksOff(const Slot& slot) const -> bool;

  // How long the target may be silent now.
  auto LongestSilence(const RequestContext& exchange) const -> Millis;
  // Gives the target until its silence is too long or the deadline passes.
  void RenewExpiry(const RequestContext& exchange, Connection* connection);

  Kernel* kernel_;
  Settings settings_;
  Connections connections_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Metrics> metrics_;
  std::shared_ptr<ClientProtocol> caller_dialect_;
  std::shared_ptr<TargetProtocol> dialect_;
  std::shared_ptr<TargetProbe> probe_;
  std::shared_ptr<CrashWatch> crash_watch_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_FORWARD_H_
