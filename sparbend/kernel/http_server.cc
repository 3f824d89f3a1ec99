// Connections that may be closed are listed in the order in which they entered
// their state, so the first has been in it for longest. One whose request is
// being handled is not listed.
//
// Load: peers that connect and send nothing, or stop short of the end of a
// request, at hundreds of connections; none of them has shown credentials.
#include "sparbend/kernel/http_server.h"

#include <iterator>
#include <list>
#include <optional>
#include <utility>

#include "sparbend/kernel/header_reader.h"
#include "sparbend/kernel/reserved_body.h"
#include "sparbend/kernel/socket_peek.h"

namespace sparbend {
namespace {

constexpr uint64_t kMaxBodyBytes = 64 * 1024 * 1024;
// A chunk's size and the ends of lines, besides its extension or the trailers.
constexpr size_t kChunkLineBytes = 1'024;
// For one new connection.
constexpr int kMaxLooksPerAccept = 8;

void SetExpiry(beast::tcp_stream* stream, Millis time) {
  stream->expires_after(std::chrono::milliseconds(time.count()));
}

// The answer to a request that could not be read; status 0: none.
auto ReadErrorStatus(const boost::system::error_code& error) -> http::status {
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow)
    return http::status::request_header_fields_too_large;
  if (error == http::error::body_limit)
    return http::status::payload_too_large;
  if (error == boost::system::errc::not_enough_memory)
    return http::status::service_unavailable;
  return http::status::unknown;
}

}  // namespace

struct HttpServer::Connection {
  explicit Connection(tcp::socket socket) : stream(std::move(socket)) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::optional<std::list<Connection*>::iterator> listed;
  bool evicted = false;  // closed to make room, and not counted any more
};

struct HttpServer::State {
  State(asio::io_context* io, Handler handler, HttpServerLimits limits)
      : io(io),
        acceptor(*io),
        handler(std::move(handler)),
        limits(std::move(limits)) {}

  // The connection enters a state in which it may be closed: it waits for a
  // request, reads it or writes its answer.
  void List(Connection* connection) {
    Unlist(connection);
    waiting.push_back(connection);
    connection->listed = std::prev(waiting.end());
  }
  void Unlist(Connection* connection) {
    if (connection->listed)
      waiting.erase(*connection->listed);
    connection->listed.reset();
  }
  // Closes connections until there is room for one more, if there are any to
  // close. Returns whether there is.
  auto MakeRoom() -> bool {
    for (int looks = 0; open >= limits.connections && !waiting.empty() &&
                        looks < kMaxLooksPerAccept;
         ++looks) {
      Connection* oldest = waiting.front();
      if (PeekSocket(oldest->stream.socket()) == SocketState::kData) {
        List(oldest);
        continue;
      }
      Unlist(oldest);
      oldest->evicted = true;
      oldest->stream.close();
      --open;
    }
    return open < limits.connections;
  }

  asio::io_context* io;
  tcp::acceptor acceptor;
  Handler handler;
  HttpServerLimits limits;
  size_t open = 0;                 // connections
  std::list<Connection*> waiting;  // the longest first
};

HttpServer::HttpServer(asio::io_context* io,
                       Handler handler,
                       HttpServerLimits limits)
    : state_(
          std::make_shared<State>(io, std::move(handler), std::move(limits))) {}

HttpServer::~HttpServer() {
  Stop();
}

auto HttpServer::Listen(const tcp::endpoint& endpoint) -> std::error_code {
  std::error_code error;
  state_->acceptor = OpenAcceptor(*state_->io, endpoint, &error);
  if (!error)
    asio::co_spawn(*state_->io, Accept(state_), asio::detached);
  return error;
}

auto HttpServer::address() const -> std::string {
  boost::system::error_code error;
  return FormatAddress(state_->acceptor.local_endpoint(error));
}

void HttpServer::Stop() {
  boost::system::error_code ignored;
  state_->acceptor.close(ignored);
}

auto HttpServer::Accept(std::shared_ptr<State> state) -> asio::awaitable<void> {
  while (state->acceptor.is_open()) {
    auto [error, socket] = co_await state->acceptor.async_accept(kAwait);
    if (error == asio::error::operation_aborted)
      co_return;
    // One that is not taken is closed here.
    if (!error && state->MakeRoom())
      asio::co_spawn(*state->io, Serve(state, std::move(socket)),
                     asio::detached);
  }
}

auto HttpServer::Serve(std::shared_ptr<State> state, tcp::socket socket)
    -> asio::awaitable<void> {
  Connection connection(std::move(socket));
  ++state->open;
  boost::system::error_code ignored;
  connection.stream.socket().set_option(tcp::no_delay(true), ignored);
  connection.buffer.max_size(state->limits.header_bytes + kChunkLineBytes);
  bool open = true;
  while (open)
    open = co_await ServeRequest(state.get(), &connection);
  state->Unlist(&connection);
  if (!connection.evicted)
    --state->open;
}

// Serves one request. False if no other may follow on the connection.
auto HttpServer::ServeRequest(State* state, Connection* connection)
    -> asio::awaitable<bool> {
  const HttpServerLimits& limits = state->limits;
  http::request_parser<ReservedBody> parser;
  size_t held = 0;
  const std::shared_ptr<void> release(nullptr, [&](void*) {
    if (limits.bodies)
      limits.bodies->Release(&held);
  });
  parser.header_limit(static_cast<uint32_t>(limits.header_bytes));
  parser.get().body().reserve = [&](size_t bytes) {
    if (limits.bodies && bytes < held)
      limits.bodies->Shrink(&held, bytes);
    return limits.memory.HasRoom(MemoryBudget::Use::kOwnCall,
                                 bytes - std::min(bytes, held)) &&
           (!limits.bodies || limits.bodies->Grow(&held, bytes));
  };
  bool began = false;
  const auto check = [&](std::string_view unparsed) {
    if (!began && !unparsed.empty()) {
      began = true;
      SetExpiry(&connection->stream, limits.request_time);
    }
    return limits.memory.HasRoom(MemoryBudget::Use::kOwnCall, 0)
               ? boost::system::error_code()
               : make_error_code(boost::system::errc::not_enough_memory);
  };
  state->List(connection);
  SetExpiry(&connection->stream, limits.idle_time);
  boost::system::error_code error = co_await ReadMessageHeader(
      &connection->stream, &connection->buffer, &parser, check);
  // Without trailers, which are no part of the header (RFC 9110, 6.5.1).
  StringRequest request(std::move(parser.get().base()));
  parser.body_limit(limits.body_bytes ? limits.body_bytes(request)
                                      : kMaxBodyBytes);
  while (!error && !parser.is_done()) {
    const auto [failed, size] = co_await http::async_read_some(
        connection->stream, connection->buffer, parser, kAwait);
    error = failed;
  }
  const http::status refusal = ReadErrorStatus(error);
  if (error && refusal == http::status::unknown)
    co_return false;
  const bool keep = !error && parser.keep_alive();
  StringResponse response(refusal, 11);
  if (!error) {
    state->Unlist(connection);
    request.body() = std::move(parser.get().body().bytes);
    response = co_await state->handler(std::move(request));
    state->List(connection);
  }
  response.keep_alive(keep);
  response.prepare_payload();
  const auto [written, sent] =
      co_await http::async_write(connection->stream, response, kAwait);
  co_return keep && !written;
}

}  // namespace sparbend
