// A small HTTP/1.1 server over Beast, for everything but clients' requests: the
// admin interface, calls of other boxes, and fake servers in tests.
//
//   HttpServer server(&io, handler, limits);
//   const std::error_code error = server.Listen(endpoint);
#ifndef SPARBEND_KERNEL_HTTP_SERVER_H_
#define SPARBEND_KERNEL_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "sparbend/core/body_budget.h"
#include "sparbend/core/memory_budget.h"
#include "sparbend/kernel/http.h"

namespace sparbend {

// What the peers of a server may take. A request beyond them is refused, if
// its client reads that, and its connection is closed.
struct HttpServerLimits {
  // Connections at a time. A new one takes the place of the one whose state
  // has lasted longest, of those whose request is not being handled and that
  // have nothing to read.
  size_t connections = SIZE_MAX;
  // The header, and the trailers or the header of a chunk.
  size_t header_bytes = 8'192;
  // The body of a request with this header. Not set: 64 MiB.
  std::function<uint64_t(const http::request_header<>&)> body_bytes;
  // What large bodies allocate together; null: no limit.
  std::shared_ptr<BodyBudget> bodies;
  // For the wait for a request, and again for its receipt, its handling and
  // its response together.
  Millis idle_time = Millis(120'000);
  Millis request_time = Millis(120'000);
  // Of the process.
  MemoryBudget memory;
};

// Serves the requests of one listener with a handler.
class HttpServer {
 public:
  using Handler = std::function<asio::awaitable<StringResponse>(StringRequest)>;

  HttpServer(asio::io_context* io,
             Handler handler,
             HttpServerLimits limits = HttpServerLimits());
  ~HttpServer();

  // Binds and starts to accept connections, or returns the error.
  auto Listen(const tcp::endpoint& endpoint) -> std::error_code;
  // The bound address.
  auto address() const -> std::string;
  // Closes the listener; connections that are already open continue.
  void Stop();

 private:
  struct Connection;
  struct State;
  static auto Accept(std::shared_ptr<State> state) -> asio::awaitable<void>;
  static auto Serve(std::shared_ptr<State> state, tcp::socket socket)
      -> asio::awaitable<void>;
  static auto ServeRequest(State* state, Connection* connection)
      -> asio::awaitable<bool>;

  std::shared_ptr<State> state_;
};

}  // namespace sparbend

#endif  // SPARBEND_KERNEL_HTTP_SERVER_H_
