// The client retries nothing. If an idle connection turns out to be closed
// before the first byte of the response, the call fails with kOutcomeUnknown,
// like any other interrupted call. To make this rare, idle connections are
// checked before use, and those that the operating system already knows to be
// closed are dropped.
#include "sparbend/kernel/http.h"

#include <charconv>

#include "sparbend/kernel/header_reader.h"
#include "sparbend/kernel/reserved_body.h"
#include "sparbend/kernel/socket_peek.h"

namespace sparbend {
namespace {

constexpr size_t kMaxIdleConnections = 4;
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
// A chunk's size and the ends of lines, besides its extension or the trailers.
constexpr size_t kChunkLineBytes = 1'024;

}  // namespace

auto ParseAddress(const std::string& text) -> Result<tcp::endpoint> {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return MakeError(Errc::kInvalid,
                     "no port in the address, expected IP:PORT: " + text);
  std::string host = text.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']'))
    host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(host, error);
  if (error)
    return MakeError(Errc::kInvalid,
                     "no literal IP address before the port: " + text);
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return MakeError(Errc::kInvalid,
                     "the port is not a number from 0 to 65535: " + text);
  return tcp::endpoint(ip, port);
}

auto FormatAddress(const tcp::endpoint& endpoint) -> std::string {
  const std::string ip = endpoint.address().to_string();
  const bool v6 = endpoint.address().is_v6();
  return (v6 ? "[" + ip + "]" : ip) + ":" + std::to_string(endpoint.port());
}

void SetResetOnClose(tcp::socket* socket, bool reset) {
  boost::system::error_code ignored;
  socket->set_option(asio::socket_base::linger(reset, 0), ignored);
}

auto TryConnect(tcp::endpoint address, Millis timeout)
    -> asio::awaitable<boost::system::error_code> {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(std::chrono::milliseconds(timeout.count()));
  const auto [error] = co_await stream.async_connect(address, kAwait);
  co_return error;
}

// Codes outside of 100 to 599 are none of HTTP (RFC 9110, section 15). Beast
// reads any three digits.
auto ClassifyStatus(const http::response_header<>& head) -> AnswerStatus {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus ||
      head.result() == http::status::switching_protocols)
    return AnswerStatus::kInvalid;
  if (http::to_status_class(status) != http::status_class::informational)
    return AnswerStatus::kFinal;
  // An interim response has no body (RFC 9110, section 15.2), so bytes that it
  // announces would be read as the head of the next one.
  const bool has_body = head.count(http::field::transfer_encoding) != 0 ||
                        (head.count(http::field::content_length) != 0 &&
                         head[http::field::content_length] != "0");
  return has_body ? AnswerStatus::kInvalid : AnswerStatus::kInterim;
}

auto MessageBytes(const StringResponse& response, bool with_body)
    -> std::string {
  http::response_serializer<http::string_body> serializer(response);
  serializer.split(!with_body);
  const auto done = [&] {
    return with_body ? serializer.is_done() : serializer.is_header_done();
  };
  std::string bytes;
  boost::system::error_code error;
  while (!done() && !error) {
    size_t size = 0;
    serializer.next(error,
                    [&](boost::system::error_code&, const auto& buffers) {
                      size = asio::buffer_size(buffers);
                      bytes += beast::buffers_to_string(buffers);
                    });
    serializer.consume(size);
  }
  return bytes;
}

auto JsonResponse(http::status status, const Json& body) -> StringResponse {
  StringResponse response(status, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  response.prepare_payload();
  return response;
}

HttpClient::HttpClient(tcp::endpoint server,
                       std::string agent,
                       AnswerLimits limits)
    : server_(std::move(server)),
      agent_(std::move(agent)),
      limits_(std::move(limits)) {}

auto HttpClient::RoundTrip(beast::tcp_stream* stream,
                           const StringRequest& request,
                           Millis timeout)
    -> asio::awaitable<Result<StringResponse>> {
  stream->expires_after(std::chrono::milliseconds(timeout.count()));
  SetResetOnClose(&stream->socket(), true);
  const auto [written, sent] =
      co_await http::async_write(*stream, request, kAwait);
  bytes_ += sent;
  if (written)
    co_return MakeError(sent == 0 ? Errc::kUnreachable : Errc::kOutcomeUnknown,
                        written.message());
  Result<StringResponse> response = co_await ReadAnswer(stream);
  if (response)
    SetResetOnClose(&stream->socket(), false);
  co_return response;
}

auto HttpClient::ReadAnswer(beast::tcp_stream* stream)
    -> asio::awaitable<Result<StringResponse>> {
  const auto has_room = [this](size_t bytes) {
    return limits_.memory.HasRoom(MemoryBudget::Use::kOwnCall, bytes);
  };
  const auto check = [&](std::string_view) {
    return has_room(0)
               ? boost::system::error_code()
               : make_error_code(boost::system::errc::not_enough_memory);
  };
  beast::flat_buffer buffer(limits_.header_bytes + kChunkLineBytes);
  http::response_parser<ReservedBody> parser;
  parser.header_limit(static_cast<uint32_t>(limits_.header_bytes));
  parser.body_limit(limits_.body_bytes);
  size_t allocated = 0;
  parser.get().body().reserve = [&](size_t bytes) {
    const size_t more = bytes - std::min(bytes, allocated);
    allocated = bytes;
    return has_room(more);
  };
  boost::system::error_code error =
      co_await ReadMessageHeader(stream, &buffer, &parser, check, &bytes_);
  StringResponse response(std::move(parser.get().base()));
  while (!error && !parser.is_done()) {
    const auto [failed, size] =
        co_await http::async_read_some(*stream, buffer, parser, kAwait);
    bytes_ += size;
    error = failed;
  }
  if (error)
    co_return MakeError(Errc::kOutcomeUnknown, error.message());
  // No status that a server chose: it neither confirms the call nor refuses it.
  if (ClassifyStatus(response) != AnswerStatus::kFinal)
    co_return MakeError(Errc::kOutcomeUnknown,
                        "the answer has the invalid status " +
                            std::to_string(response.result_int()));
  // Callers parse it; of small elements, a document may have seventy times the
  // size of its text.
  if (!has_room(MaxParsedBytes(parser.get().body().bytes)))
    co_return MakeError(Errc::kOutcomeUnknown,
                        "there is no memory to parse the answer");
  response.keep_alive(parser.keep_alive());
  response.body() = std::move(parser.get().body().bytes);
  co_return response;
}

auto HttpClient::Call(StringRequest request, Millis timeout)
    -> asio::awaitable<Result<StringResponse>> {
  request.set(http::field::host, FormatAddress(server_));
  request.set(http::field::user_agent, agent_);
  request.prepare_payload();
  std::unique_ptr<beast::tcp_stream> stream;
  while (!idle_connections_.empty() && !stream) {
    stream = std::move(idle_connections_.back());
    idle_connections_.pop_back();
    if (PeekSocket(stream->socket()) != SocketState::kNoData)
      stream.reset();
  }
  if (!stream) {
    stream =
        std::make_unique<beast::tcp_stream>(co_await asio::this_coro::executor);
    stream->expires_after(std::chrono::milliseconds(timeout.count()));
    const auto [error] = co_await stream->async_connect(server_, kAwait);
    if (error)
      co_return MakeError(Errc::kUnreachable, error.message());
    stream->socket().set_option(tcp::no_delay(true));
  }
  Result<StringResponse> response =
      co_await RoundTrip(stream.get(), request, timeout);
  // What interrupted this connection has probably interrupted the others too.
  if (!response)
    idle_connections_.clear();
  if (response && response->keep_alive() &&
      idle_connections_.size() < kMaxIdleConnections) {
    stream->expires_never();
    idle_connections_.push_back(std::move(stream));
  }
  co_return response;
}

auto HttpClient::Get(std::string target, Millis timeout)
    -> asio::awaitable<Result<StringResponse>> {
  co_return co_await Call(StringRequest(http::verb::get, target, 11), timeout);
}

auto HttpClient::Post(std::string target, const Json& body, Millis timeout)
    -> asio::awaitable<Result<StringResponse>> {
  StringRequest request(http::verb::post, target, 11);
  request.set(http::field::content_type, "application/json");
  request.body() = body.dump();
  co_return co_await Call(std::move(request), timeout);
}

auto OpenAcceptor(asio::io_context& io,
                  const tcp::endpoint& endpoint,
                  std::error_code* error) -> tcp::acceptor {
  tcp::acceptor acceptor(io);
  boost::system::error_code failed;
  acceptor.open(endpoint.protocol(), failed);
  if (!failed)
    acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
  if (!failed)
    acceptor.bind(endpoint, failed);
  if (!failed)
    acceptor.listen(tcp::acceptor::max_listen_connections, failed);
  *error = failed;
  return acceptor;
}

}  // namespace sparbend
