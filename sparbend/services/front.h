// The service "front": accepts callers, reads and checks their requests, and
// hands each to the runner. Refuses what is malformed, unknown or too much
// before it costs anybody else anything.
#ifndef SPARBEND_SERVICES_FRONT_H_
#define SPARBEND_SERVICES_FRONT_H_

#include <memory>
#include <string>
#include <variant>

#include "sparbend/kernel/http.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/config.h"
#include "sparbend/services/runner.h"

namespace sparbend {

class Front : public Service {
 public:
  Front(Kernel* kernel, const Settings& settings, uint32_t incarnation);

  void Start() override;
  void Stop() override;

  // Stops accepting; connections end after the request under way.
  void Drain();
  auto connections() const -> int64_t { return connections_; }
  auto address() const -> std::string;

 private:
  using Parser = http::request_parser<http::string_body>;
  struct Session;

  auto Accept() -> asio::awaitable<void>;
  auto Serve(tcp::socket socket) -> asio::awaitable<void>;
  auto ServeOne(Session* session) -> asio::awaitable<bool>;
  auto ReadHeader(Session* session, Parser* parser)
      -> asio::awaitable<std::optional<Refusal>>;
  auto ReadBody(Session* session, Parser* parser)
      -> asio::awaitable<std::optional<Refusal>>;
  auto CheckHeader(const Parser& parser, Exchange* exchange)
      -> std::optional<Refusal>;
  auto CheckWhole(StringRequest request, Exchange* exchange)
      -> std::optional<Refusal>;
  auto RefuseEarly(Session* session,
                   const std::string& request_id,
                   const Refusal& refusal) -> asio::awaitable<bool>;

  Kernel* kernel_;
  Settings settings_;
  std::string id_prefix_;
  uint64_t next_id_ = 1;
  tcp::acceptor acceptor_;
  int64_t connections_ = 0;
  bool draining_ = false;
  std::shared_ptr<ConfigService> config_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Runner> runner_;
  std::shared_ptr<Metrics> metrics_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_FRONT_H_
