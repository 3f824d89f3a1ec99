// The service "front": accepts callers, reads and checks their requests, and
// hands each to the runner. Refuses what is malformed, unknown or too much
// before it costs anybody else anything.
#ifndef SPARBEND_SERVICES_FRONTEND_H_
#define SPARBEND_SERVICES_FRONTEND_H_

#include <memory>
#include <random>
#include <set>
#include <string>

#include "sparbend/kernel/http.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/catalog_source.h"
#include "sparbend/services/client_acceptor.h"
#include "sparbend/services/protocol.h"
#include "sparbend/services/runner.h"

namespace sparbend {

class Frontend : public Service {
 public:
  Frontend(Kernel* kernel, const Settings& settings, uint32_t incarnation);

  void Start() override;
  void Stop() override;

  // A planned stop is near: connections end after the request under way, new
  // ones are still served.
  void Leave() { leaving_ = true; }
  // Stops accepting and ends connections that rest; new requests on the
  // others are refused.
  void Drain();
  auto connections() const -> int64_t { return connections_; }
  auto address() const -> std::string;

 private:
  using Parser = http::request_parser<http::string_body>;
  struct Session;

  auto MayTake(size_t waiting) -> bool;
  auto Serve(tcp::socket socket) -> asio::awaitable<void>;
  // Refuses a caller that waited for `waited` and was not read yet.
  void RefuseUnread(tcp::socket socket, Millis waited);
  // The refusal of a request whose workspace is known, by a box that is behind
  // its work.
  auto BehindWork(const RequestContext& exchange) -> Refusal;
  // Serves a connection whose first request is refused; `arrived` was read of
  // it already.
  auto ServeRefused(tcp::socket socket, std::string arrived)
      -> asio::awaitable<void>;
  auto ServeAll(Session* session) -> asio::awaitable<void>;
  auto ServeOne(Session* session) -> asio::awaitable<bool>;
  auto ReadHeader(Session* session, Parser* parser)
      -> asio::awaitable<std::optional<Refusal>>;
  auto ReadBody(Session* session, Parser* parser)
      -> asio::awaitable<std::optional<Refusal>>;
  void NoteCallerLeft(const RequestContext& exchange);
  auto CallerLeft(Session& session, const RequestContext& exchange) -> bool;
  void AssignId(RequestContext* exchange);
  auto CheckHeader(const http::request_header<>& head, RequestContext* exchange)
      -> std::optional<Refusal>;
  auto RefuseEarly(Session* session,
                   const RequestContext& exchange,
                   const Refusal& refusal) -> asio::awaitable<bool>;
  // `waited`: for how long the caller was connected before it was read.
  void NoteRefusal(const RequestContext& exchange,
                   const Refusal& refusal,
                   Millis waited);
  auto Refuse(ClientStream* caller,
              const RequestContext& exchange,
              const Refusal& refusal) -> asio::awaitable<bool>;
  auto WaitForRequest(Session* session) -> asio::awaitable<bool>;
  auto limits() const -> ClientLimits;

  Kernel* kernel_;
  Settings settings_;
  std::string id_prefix_;
  uint64_t next_id_ = 1;
  int64_t connections_ = 0;
  std::set<Session*> resting_;  // connections that wait for a request
  bool leaving_ = false;
  bool draining_ = false;
  std::shared_ptr<CatalogSource> config_;
  std::shared_ptr<ClientProtocol> dialect_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Runner> runner_;
  std::shared_ptr<Metrics> metrics_;
  std::unique_ptr<ClientAcceptor> accepting_;  // once started
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_FRONTEND_H_
