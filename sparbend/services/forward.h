// The service "forward": one attempt at one target. Writes the request,
// relays the answer as it comes, resumes a broken stream where the target
// can, and says what is known of the request's fate.
#ifndef SPARBEND_SERVICES_FORWARD_H_
#define SPARBEND_SERVICES_FORWARD_H_

#include <memory>
#include <string>

#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/connections.h"
#include "sparbend/services/exchange.h"
#include "sparbend/services/scheduler.h"

namespace sparbend {

struct AttemptResult {
  bool whole = false;  // the target's own answer reached its end
  Verdict verdict = Verdict::kNotRun;
  std::string problem;  // why it is not whole
};

class Forward : public Service {
 public:
  Forward(Kernel* kernel, const Settings& settings);

  void Start() override;

  // Makes one attempt. `exchange->tokens` grows with the service received;
  // `exchange->cancel` is set while it can be cut short.
  auto Attempt(Exchange* exchange, const Slot& slot)
      -> asio::awaitable<AttemptResult>;

 private:
  using Parser = http::response_parser<http::buffer_body>;
  struct Relay;

  auto Connect(Exchange* exchange, const Slot& slot, bool fresh)
      -> asio::awaitable<Result<std::unique_ptr<Connection>>>;
  auto Send(Exchange* exchange,
            const Slot& slot,
            Connection* connection,
            const std::string& resume_after) -> asio::awaitable<AttemptResult>;
  auto ReadAnswer(Exchange* exchange,
                  const Slot& slot,
                  Connection* connection,
                  Relay* relay) -> asio::awaitable<AttemptResult>;
  auto RelayBody(Exchange* exchange,
                 Connection* connection,
                 Parser* parser,
                 Relay* relay) -> asio::awaitable<AttemptResult>;
  auto AttemptOnce(Exchange* exchange, const Slot& slot, Relay* relay)
      -> asio::awaitable<AttemptResult>;
  void Account(Exchange* exchange, const Relay& relay);
  void NoteTarget(const Slot& slot, const http::response_header<>& header);

  // Gives the target until its silence is too long or the deadline passes.
  void RenewExpiry(const Exchange& exchange, Connection* connection);

  Kernel* kernel_;
  Millis connect_time_;
  Millis silence_time_;
  Connections connections_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Metrics> metrics_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_FORWARD_H_
