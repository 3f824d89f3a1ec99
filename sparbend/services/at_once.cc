// The body is never parsed: its stated length against what lies in the buffer
// tells whether the caller has sent all of it.
#include "sparbend/services/at_once.h"

#include <array>

namespace sparbend {
namespace {

// A head within its usual limit and a body of some tens of thousands of bytes;
// what is larger takes the usual way.
constexpr size_t kMostBytes = 64 * 1024;

auto BytesOf(tcp::socket* socket, boost::system::error_code* error)
    -> std::string_view {
  // One thread serves all connections, and the bytes are used at once.
  static std::array<char, kMostBytes> buffer;
  socket->non_blocking(true, *error);
  const size_t size = socket->read_some(asio::buffer(buffer), *error);
  return {buffer.data(), size};
}

// The head of the one request that `bytes` hold wholly, if they do.
auto WholeRequest(std::string_view bytes)
    -> std::optional<http::request_header<>> {
  http::request_parser<http::empty_body> parser;
  boost::system::error_code error;
  const size_t head = parser.put(asio::buffer(bytes), error);
  if (error || !parser.is_header_done() || parser.chunked())
    return std::nullopt;
  if (parser.get().count(http::field::expect) != 0)
    return std::nullopt;  // the body comes once it is asked for
  const uint64_t body = parser.content_length().value_or(0);
  if (body != bytes.size() - head)
    return std::nullopt;
  return std::move(parser.get().base());
}

}  // namespace

auto ReadArrived(tcp::socket* socket) -> Arrived {
  Arrived arrived;
  boost::system::error_code error;
  arrived.bytes = BytesOf(socket, &error);
  if (error == asio::error::would_block)
    return arrived;
  if (error) {
    arrived.kind = Arrived::Kind::kLeft;
    return arrived;
  }
  std::optional<http::request_header<>> head = WholeRequest(arrived.bytes);
  arrived.kind = head ? Arrived::Kind::kWhole : Arrived::Kind::kPart;
  if (head)
    arrived.head = std::move(*head);
  return arrived;
}

auto AnswerAndClose(tcp::socket* socket, StringResponse response) -> bool {
  response.keep_alive(false);
  response.prepare_payload();
  boost::system::error_code error;
  http::write(*socket, response, error);
  boost::system::error_code ignored;
  socket->shutdown(tcp::socket::shutdown_both, ignored);
  socket->close(ignored);
  return !error;
}

}  // namespace sparbend
