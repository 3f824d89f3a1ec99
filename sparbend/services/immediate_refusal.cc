// The body is never parsed: comparing its Content-Length with the number of
// bytes in the buffer shows whether the client has sent all of it.
#include "sparbend/services/immediate_refusal.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace sparbend {
namespace {

// Holds a header of the usual limit and a body of some tens of thousands of
// bytes. Larger requests are read in a coroutine like any other.
constexpr size_t kMaxRequestBytes = 64 * 1024;

// `*size` is the result of recv.
auto Receive(int socket, size_t max_size, ssize_t* size) -> std::string_view {
  // One buffer is enough: one thread serves all connections, and the bytes are
  // used before the next call.
  static std::array<char, kMaxRequestBytes> buffer;
  *size = recv(socket, buffer.data(), std::min(max_size, buffer.size()),
               MSG_DONTWAIT);
  return {buffer.data(), static_cast<size_t>(std::max<ssize_t>(0, *size))};
}

// The header of the request if `bytes` are exactly one complete request.
auto ParseCompleteRequest(std::string_view bytes)
    -> std::optional<http::request_header<>> {
  http::request_parser<http::empty_body> parser;
  boost::system::error_code error;
  const size_t head = parser.put(asio::buffer(bytes), error);
  if (error || !parser.is_header_done() || parser.chunked())
    return std::nullopt;
  if (parser.get().count(http::field::expect) != 0)
    return std::nullopt;  // the client waits for 100 Continue before it sends
                          // the body
  const uint64_t body = parser.content_length().value_or(0);
  if (body != bytes.size() - head)
    return std::nullopt;
  return std::move(parser.get().base());
}

}  // namespace

auto ReadBufferedInput(int socket) -> BufferedInput {
  BufferedInput input;
  ssize_t size = 0;
  input.bytes = Receive(socket, kMaxRequestBytes, &size);
  if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return input;
  if (size <= 0) {
    input.kind = BufferedInput::Kind::kClosed;
    return input;
  }
  std::optional<http::request_header<>> head =
      ParseCompleteRequest(input.bytes);
  input.kind =
      head ? BufferedInput::Kind::kComplete : BufferedInput::Kind::kIncomplete;
  if (head)
    input.head = std::move(*head);
  return input;
}

auto DiscardArrived(int socket, uint64_t limit) -> uint64_t {
  uint64_t discarded = 0;
  while (discarded < limit) {
    const size_t size =
        ReadAvailable(socket,
                      std::min<uint64_t>(limit - discarded, kMaxRequestBytes))
            .size();
    if (size == 0)
      break;
    discarded += size;
  }
  return discarded;
}

auto ReadAvailable(int socket, size_t max_size) -> std::string_view {
  ssize_t ignored = 0;  // the next read reports an error again
  return Receive(socket, max_size, &ignored);
}

// A refusal has some hundred bytes, which the socket of a connection without
// other answers takes at once.
auto WriteRefusal(int socket, StringResponse response, bool with_body) -> bool {
  response.keep_alive(false);
  response.prepare_payload();
  const std::string bytes = MessageBytes(response, with_body);
  return send(socket, bytes.data(), bytes.size(),
              MSG_DONTWAIT | MSG_NOSIGNAL) ==
         static_cast<ssize_t>(bytes.size());
}

auto WriteAndClose(UniqueFd socket, StringResponse response, bool with_body)
    -> bool {
  return WriteRefusal(socket.value(), std::move(response), with_body);
}

}  // namespace sparbend
