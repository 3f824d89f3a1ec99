// Accepts clients' connections as soon as they arrive, and passes on as many in
// each turn of the event loop as the box can serve (core/accept_queue). Not a
// service of the kernel: the frontend owns it.
//
//   ClientAcceptor acceptor(kernel, metrics, hooks);
//   if (std::error_code error = acceptor.Listen(endpoint)) ...
//   kernel->Spawn("front-accept", acceptor.Run());
#ifndef SPARBEND_SERVICES_CLIENT_ACCEPTOR_H_
#define SPARBEND_SERVICES_CLIENT_ACCEPTOR_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "sparbend/core/accept_queue.h"
#include "sparbend/kernel/http.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/services/metrics.h"

namespace sparbend {

struct ClientAcceptorHooks {
  // Whether one more connection may be accepted while `waiting` accepted ones
  // have not been read yet.
  std::function<bool(size_t waiting)> may_accept;
  // Takes over a connection whose requests are to be served.
  std::function<void(tcp::socket)> serve;
  // Takes over a connection whose request is to be refused immediately, because
  // it has waited too long (`waited` since it was accepted) or the box stops.
  std::function<void(tcp::socket, Millis waited)> refuse;
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
  auto address() const -> std::string;

 private:
  struct WaitingConnection {
    tcp::socket socket;
    Millis accepted_at;
  };

  // Queues an accepted connection, or closes it if the hooks don't allow more.
  void Add(tcp::socket socket);
  // Accepts connections from the listen queue, up to a number per turn.
  void AcceptPending();
  // Serves and refuses the connections that are due in this turn.
  void ServeTurn();
  void Serve(uint64_t client);
  void Refuse(uint64_t client);
  void LogLongWait();

  Kernel* kernel_;
  std::shared_ptr<Metrics> metrics_;
  ClientAcceptorHooks hooks_;
  tcp::acceptor acceptor_;
  AcceptQueue accept_queue_;
  // By the client's number in accept_queue_.
  std::unordered_map<uint64_t, WaitingConnection> waiting_;
  Millis last_long_wait_log_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CLIENT_ACCEPTOR_H_
