// The service "front": accepts clients' connections, reads and checks their
// requests, and passes each to the runner. Refuses requests that are malformed,
// unauthorized or beyond the limits before they use anything that is shared
// with other requests.
#ifndef SPARBEND_SERVICES_FRONTEND_H_
#define SPARBEND_SERVICES_FRONTEND_H_

#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "sparbend/core/arriving_bodies.h"
#include "sparbend/core/body_budget.h"
#include "sparbend/core/client_connections.h"
#include "sparbend/kernel/http.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/reserved_body.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/catalog_source.h"
#include "sparbend/services/client_acceptor.h"
#include "sparbend/services/forward.h"
#include "sparbend/services/protocol.h"
#include "sparbend/services/runner.h"

namespace sparbend {

class Frontend : public Service {
 public:
  Frontend(Kernel* kernel, const Settings& settings, uint32_t incarnation);

  void Start() override;
  void Stop() override;

  // Prepares for a planned stop: connections are closed after their current
  // request. New connections are still accepted and served.
  void Leave() { leaving_ = true; }
  // Stops accepting and closes idle connections. New requests on the others are
  // refused.
  void Drain();
  // Refuses the requests that are still arriving. To be called once this box
  // starts no more requests.
  void RefuseArriving();
  // Connections with a request that has no complete answer or is arriving, and
  // those that have not been read yet.
  auto unfinished() const -> size_t;
  auto address() const -> std::string;

 private:
  using Parser = http::request_parser<ReservedBody>;
  struct Arrival;
  struct Session;

  // Connections that were not kept or not taken as usual, by cause.
  struct ClosedConnections {
    int64_t idle = 0;
    int64_t slow = 0;
    int64_t spared = 0;      // chosen, and kept as bytes had arrived
    int64_t over_limit = 0;  // accepted in the reserve
    int64_t unread = 0;      // closed without an answer
  };

  // Makes room for a connection that has been accepted, and records it.
  // Nothing if it has to be closed unread.
  auto Admit(ClientConnections::Place* place) -> std::optional<ConnectionId>;
  // Closes the connection of `room`, unless a last look shows that bytes have
  // arrived on it: then it is served. Returns whether it closes.
  auto CloseUnlessArrived(const ClientConnections::Room& room) -> bool;
  // Closes connections that send slowly while memory is scarce.
  void CloseSlowForMemory();
  // Closes idle connections while there are more than the limit.
  void CloseAboveLimit();
  // Ends the wait or read of a session, which then closes its connection. Bytes
  // that have been read by then are not lost: the session is served.
  void Evict(Session* session);
  void DropReserved(ConnectionId id);
  void CloseForDescriptors(const std::string& error);
  void LogClosedConnections(const ClientConnections::Room& last);
  void SetConnectionGauges();
  // Records the state of a session's connection. One that was evicted is
  // recorded again, as its request arrived in time.
  void SetState(Session* session, ClientConnections::State state);
  // The workspace's name for logs; empty if the configuration lacks it.
  auto NameOf(WorkspaceId workspace) const -> std::string;

  // Refuses a request whose header has arrived and shows that it must be
  // refused, without a coroutine. Any other connection is served.
  void ServeOrRefuse(UnreadConnection connection);
  auto Serve(std::unique_ptr<Session> session) -> asio::awaitable<void>;
  // `buffered`: the number of bytes that were read after the header.
  void RefuseArrived(UnreadConnection connection,
                     const Arrival& arrival,
                     const Refusal& refusal,
                     size_t buffered);
  // Refuses the request on an accepted connection that has not been read yet.
  void RefuseUnread(UnreadConnection connection);
  // The refusal by a box that can't take the request now. Counts the request as
  // demand if its pool is known; its workspace must be known then.
  auto RefuseForOverload(const RequestContext& context, std::string reason)
      -> Refusal;
  // Serves a connection whose first request is refused. `received` are the
  // bytes that have already been read from it.
  auto ServeRefused(UnreadConnection connection, std::string received)
      -> asio::awaitable<void>;
  // Serves requests until the connection ends, then removes its records.
  auto ServeConnection(Session* session) -> asio::awaitable<void>;
  void RemoveSession(Session* session);
  // Serves one request. False if no other may follow on the connection.
  auto ServeRequest(Session* session) -> asio::awaitable<bool>;
  // ReadHeader and ReadBody return a refusal if the request can't be read, and
  // set `closed` of the session if the client is gone.
  auto ReadHeader(Session* session, Arrival* arrival)
      -> asio::awaitable<std::optional<Refusal>>;
  // Closes slow connections while memory is scarce. An error if there is none
  // for a request.
  auto CheckMemory() -> boost::system::error_code;
  auto ReadBody(Session* session, Arrival* arrival)
      -> asio::awaitable<std::optional<Refusal>>;
  // A request whose body is counted as it is read.
  auto NewArrival() -> std::unique_ptr<Arrival>;
  // Reserves `bytes` for the body in place of what was reserved for it; false
  // if there is no room.
  auto ReserveBody(Arrival* arrival, size_t bytes) -> bool;
  // Ends a request whose body arrives slowly, so that there is room for others.
  void EndSlowBody(std::optional<ConnectionId> connection);
  auto ReadRest(Session* session, Parser* parser)
      -> asio::awaitable<boost::system::error_code>;
  // Records that the client disconnected before its request was run.
  void RecordClientLeft(const RequestContext& context);
  // Whether the client has disconnected; records it if so.
  auto HasClientLeft(Session& session, const RequestContext& context) -> bool;
  void AssignId(RequestContext* context);
  // Returns the refusal if the header alone shows that the request must be
  // refused. Sets the fields of `context` that are known from it.
  auto CheckHeader(const http::request_header<>& head, RequestContext* context)
      -> std::optional<Refusal>;
  // Refuses a request that has not been read to its end, and ends the
  // connection. `rest`: the bytes of the request that have not been read; none
  // if their number is unknown.
  auto RefuseEarly(Session* session,
                   Arrival* arrival,
                   const Refusal& refusal,
                   std::optional<uint64_t> rest) -> asio::awaitable<bool>;
  // Reads and discards what follows of a refused request, as RefuseEarly.
  auto DiscardRest(Session* session, std::optional<uint64_t> rest)
      -> asio::awaitable<void>;
  // Discards the rest of a refused request, then closes the connection.
  auto DiscardAndClose(std::unique_ptr<Session> session,
                       std::optional<uint64_t> rest) -> asio::awaitable<void>;
  // `waited`: how long the connection waited to be read after it was accepted.
  void RecordRefusal(const RequestContext& context,
                     const Refusal& refusal,
                     Millis waited);
  auto Refuse(ClientStream* client,
              const RequestContext& context,
              const Refusal& refusal) -> asio::awaitable<bool>;
  // Records how far the box has read ahead of the client.
  void RecordBacklog(const RequestContext& context, const ClientStream& client);
  // The refusal of a request that was still arriving when its session was
  // evicted.
  auto EvictedRefusal() const -> Refusal;
  auto WaitForRequest(Session* session) -> asio::awaitable<bool>;
  auto limits() const -> ClientLimits;
  void SetLimits(Parser* parser) const;
  void SetLimits(Session* session) const;

  Kernel* kernel_;
  Settings settings_;
  std::string id_prefix_;
  uint64_t next_id_ = 1;
  std::shared_ptr<SendBudget> send_budget_;
  BodyBudget body_budget_;
  ArrivingBodies arriving_bodies_;
  ClientConnections connections_;
  // Sessions by connection, except evicted ones.
  std::unordered_map<ConnectionId, Session*> sessions_;
  ClosedConnections closed_;  // since the last line about them
  Millis last_closed_log_;
  std::set<Session*> idle_sessions_;  // that wait for a request
  size_t open_sessions_ = 0;
  bool leaving_ = false;
  bool draining_ = false;
  std::shared_ptr<CatalogSource> config_;
  std::shared_ptr<ClientProtocol> protocol_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Runner> runner_;
  std::shared_ptr<Forward> forward_;
  std::shared_ptr<Metrics> metrics_;
  std::unique_ptr<ClientAcceptor> acceptor_;  // null before Start
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_FRONTEND_H_
