// Accepts clients' connections as soon as they arrive, and passes on as many in
// each turn of the event loop as the box can serve (core/accept_queue).
// Connections for which there is no room are passed on to be refused. Not a
// service of the kernel: the frontend owns it.
//
//   ClientAcceptor acceptor(kernel, metrics, hooks);
//   if (std::error_code error = acceptor.Listen(endpoint)) ...
//   kernel->Spawn("front-accept", acceptor.Run());
#ifndef SPARBEND_SERVICES_CLIENT_ACCEPTOR_H_
#define SPARBEND_SERVICES_CLIENT_ACCEPTOR_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "sparbend/core/accept_queue.h"
#include "sparbend/core/client_connections.h"
#include "sparbend/kernel/http.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/unique_fd.h"
#include "sparbend/services/metrics.h"

namespace sparbend {

// A connection that was accepted and not read yet. The event loop does not know
// its socket: registering it costs a small box more than refusing the request.
struct UnreadConnection {
  // Passes the socket on to the event loop.
  auto TakeSocket(asio::io_context& io) -> tcp::socket {
    return {io, protocol, socket.Release()};
  }

  UniqueFd socket;
  tcp protocol = tcp::v4();
  ConnectionId id = 0;
  ClientConnections::Place place = ClientConnections::Place::kRegular;
  Millis accepted_at;
};

struct ClientAcceptorHooks {
  // Decides on a connection that has been accepted, and records it. Nothing:
  // it is closed.
  std::function<std::optional<ConnectionId>(ClientConnections::Place* place)>
      admit;
  // Takes over a connection whose requests are to be served.
  std::function<void(UnreadConnection)> serve;
  // Takes over a connection whose request is to be refused immediately, because
  // it has waited too long, there is no room for it, or the box stops.
  std::function<void(UnreadConnection)> refuse;
  // The process can't open another file descriptor.
  std::function<void(const std::string& error)> on_lack_of_descriptors;
};

class ClientAcceptor {
 public:
  ClientAcceptor(Kernel* kernel,
                 std::shared_ptr<Metrics> metrics,
                 ClientAcceptorHooks hooks);

  auto Listen(const tcp::endpoint& endpoint) -> std::error_code;
  // Runs until Close. Then the connections that still wait are refused.
  auto Run() -> asio::awaitable<void>;
  // Stops listening. Connections in the kernel's listen queue are accepted
  // first, so that Run refuses them.
  void Close();
  // Closes a connection of the reserve that has not been passed on yet. False
  // if there is none with this id.
  auto DropReserved(ConnectionId id) -> bool;
  auto address() const -> std::string;
  // Connections that have been accepted and not passed on yet.
  auto waiting() const -> size_t { return waiting_.size() + reserved_.size(); }

 private:
  // Queues an accepted connection, or closes it if the hooks don't admit it.
  void Add(UniqueFd socket);
  // Accepts connections from the listen queue, up to a number per turn.
  // Returns how many.
  auto AcceptPending() -> int;
  // Defers the next accept after `error`, and reports a lack of descriptors.
  void OnAcceptError(const boost::system::error_code& error);
  // Serves and refuses the connections that are due in this turn.
  void ServeTurn();
  void Serve(uint64_t client);
  void Refuse(uint64_t client);
  void RefuseReserved();
  void LogLongWait();

  Kernel* kernel_;
  std::shared_ptr<Metrics> metrics_;
  ClientAcceptorHooks hooks_;
  tcp::acceptor acceptor_;
  tcp protocol_ = tcp::v4();  // of acceptor_
  AcceptQueue accept_queue_;
  // By the client's number in accept_queue_.
  std::unordered_map<uint64_t, UnreadConnection> waiting_;
  std::deque<UnreadConnection> reserved_;  // to be refused, oldest first
  Millis next_accept_;  // no connection is accepted before, after an error
  Millis last_long_wait_log_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CLIENT_ACCEPTOR_H_
