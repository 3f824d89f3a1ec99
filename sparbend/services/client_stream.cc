// An interrupted answer ends without its last chunk, or is shorter than its
// Content-Length, and the connection is closed. No client takes such an answer
// for complete. Where only the end of the connection delimits the answer, the
// connection is reset unless the answer is complete, also if the process exits.
//
// A write is first tried without waiting. It nearly always succeeds, and then
// costs one system call and no turn of the event loop. Only the rest of a write
// to a slow client is copied. It is kept within the budget, so that the box
// reads on from the target, or else waited for and limited in time.
#include "sparbend/services/client_stream.h"

#include <array>
#include <charconv>

#include "sparbend/kernel/socket_peek.h"

namespace sparbend {
namespace {

constexpr unsigned kHttp11 = 11;  // the first version with chunked encoding
constexpr std::string_view kChunkEnd = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
// Hexadecimal digits of the largest size, and the end of the line.
constexpr size_t kMaxChunkHeadBytes = 2 * sizeof(size_t) + 2;

// Writes the line that begins a chunk of `size` bytes, and returns its length.
auto WriteChunkHead(size_t size, std::span<char, kMaxChunkHeadBytes> line)
    -> size_t {
  char* end =
      std::to_chars(line.data(), line.data() + line.size(), size, 16).ptr;
  *end++ = '\r';
  *end++ = '\n';
  return static_cast<size_t>(end - line.data());
}

// The bytes of the header of `message`, with the empty line that ends it.
template <class Message>
auto HeaderBytes(const Message& message) -> std::string {
  http::response_serializer<typename Message::body_type> serializer(message);
  serializer.split(true);
  std::string bytes;
  boost::system::error_code error;
  serializer.next(error, [&](boost::system::error_code&, const auto& buffers) {
    bytes = beast::buffers_to_string(buffers);
  });
  return bytes;
}

}  // namespace

// Outlives the ClientStream while the handler of the wait is pending.
struct ClientStream::WatchState {
  bool active = true;
  std::function<void()> on_gone;
};

ClientStream::ClientStream(beast::tcp_stream* stream,
                           ClientHttp http,
                           Millis send_time,
                           std::shared_ptr<SendBudget> budget)
    : stream_(stream),
      http_(http),
      send_time_(send_time),
      send_guard_(&stream->socket()),
      backlog_(&stream->socket(), std::move(budget), send_time) {}

ClientStream::~ClientStream() {
  EndWatch();
  boost::system::error_code ignored;
  if (framing_ == Framing::kUntilClose && !complete_)
    stream_->socket().close(ignored);
}

void ClientStream::SetResetOnClose(bool reset) {
  boost::system::error_code ignored;
  stream_->socket().set_option(asio::socket_base::linger(reset, 0), ignored);
}

auto ClientStream::Write(std::span<const asio::const_buffer> buffers, bool more)
    -> asio::awaitable<bool> {
  gone_ = gone_ || backlog_.failed();
  if (gone_)
    co_return false;
  tcp::socket& socket = stream_->socket();
  boost::system::error_code error;
  size_t sent = 0;
  if (!backlog_.pending()) {
    if (!socket.non_blocking())
      socket.non_blocking(true, error);
    sent = socket.write_some(buffers, error);
    if (error == asio::error::would_block)
      error = {};
  }
  if (!error && sent < asio::buffer_size(buffers))
    error = co_await WriteSlowly(beast::buffers_to_string(buffers).substr(sent),
                                 more);
  gone_ = gone_ || error;
  co_return !error;
}

auto ClientStream::WriteSlowly(std::string bytes, bool more)
    -> asio::awaitable<boost::system::error_code> {
  if (more && backlog_.Take(bytes.size(), [&](std::string* backlog) {
        backlog->append(bytes);
      }))
    co_return boost::system::error_code();
  if (!co_await backlog_.Drain())
    co_return asio::error::broken_pipe;
  send_guard_.Begin(send_time_);
  const auto [error, size] = co_await asio::async_write(
      stream_->socket(), asio::buffer(bytes), kAwait);
  send_guard_.End();
  co_return error;
}

void ClientStream::DecideKeepAlive() {
  began_ = true;
  if (may_keep_alive_ && !may_keep_alive_())
    http_.keep_alive = false;
}

auto ClientStream::Answer(StringResponse response) -> asio::awaitable<bool> {
  DecideKeepAlive();
  response.version(http_.version);
  response.keep_alive(http_.keep_alive);
  response.prepare_payload();
  const std::string bytes = MessageBytes(response, /*with_body=*/!http_.head);
  const std::array<asio::const_buffer, 1> buffers = {asio::buffer(bytes)};
  complete_ = co_await Write(buffers, /*more=*/false);
  co_return complete_;
}

auto ClientStream::Begin(const Header& header,
                         std::optional<uint64_t> length,
                         bool body_follows) -> asio::awaitable<bool> {
  DecideKeepAlive();
  const bool takes_chunks = http_.version >= kHttp11;
  framing_ = length || http_.head ? Framing::kLength
             : takes_chunks       ? Framing::kChunked
                                  : Framing::kUntilClose;
  if (framing_ == Framing::kUntilClose) {
    http_.keep_alive = false;
    SetResetOnClose(true);
  }
  http::response<http::empty_body> answer;
  answer.base() = header;
  answer.version(http_.version);
  answer.keep_alive(http_.keep_alive);
  if (length)
    answer.content_length(*length);
  else
    answer.chunked(framing_ == Framing::kChunked);
  held_header_ = HeaderBytes(answer);
  if (body_follows)
    co_return !gone_;
  const std::string bytes = std::exchange(held_header_, {});
  const std::array<asio::const_buffer, 1> buffers = {asio::buffer(bytes)};
  co_return co_await Write(buffers, /*more=*/true);
}

auto ClientStream::Send(std::string_view piece, bool more)
    -> asio::awaitable<bool> {
  if (gone_ || framing_ == Framing::kNone)
    co_return false;
  const bool chunked = framing_ == Framing::kChunked;
  std::array<char, kMaxChunkHeadBytes> chunk_head;
  std::array<asio::const_buffer, 5> buffers;
  size_t count = 0;
  buffers[count++] = asio::buffer(held_header_);
  if (!piece.empty()) {
    if (chunked)
      buffers[count++] = asio::buffer(chunk_head.data(),
                                      WriteChunkHead(piece.size(), chunk_head));
    buffers[count++] = asio::buffer(piece);
    if (chunked)
      buffers[count++] = asio::buffer(kChunkEnd);
  }
  if (chunked && !more)
    buffers[count++] = asio::buffer(kLastChunk);
  const std::span<const asio::const_buffer> used(buffers.data(), count);
  bool sent = asio::buffer_size(used) == 0 || co_await Write(used, more);
  held_header_.clear();
  if (sent && !more)
    sent = co_await Flush();
  complete_ = sent && !more;
  if (complete_ && framing_ == Framing::kUntilClose)
    SetResetOnClose(false);
  co_return sent;
}

auto ClientStream::Flush() -> asio::awaitable<bool> {
  const bool taken = co_await backlog_.Drain();
  gone_ = gone_ || !taken;
  co_return taken;
}

void ClientStream::Watch(std::function<void()> on_gone) {
  watch_ = std::make_shared<WatchState>();
  watch_->on_gone = std::move(on_gone);
  stream_->socket().async_wait(
      tcp::socket::wait_read,
      [this, watch = watch_](boost::system::error_code error) {
        if (!watch->active || error ||
            PeekSocket(stream_->socket()) != SocketState::kClosed)
          return;
        gone_ = true;
        watch->on_gone();
      });
}

void ClientStream::EndWatch() {
  if (!watch_ || !watch_->active)
    return;
  watch_->active = false;
  boost::system::error_code ignored;
  stream_->socket().cancel(ignored);
}

}  // namespace sparbend
