#include "testing/crowd.h"

#include <algorithm>
#include <array>

#include "sparbend/kernel/kernel.h"
#include "testing/harness.h"

namespace sparbend::testing {
namespace {

constexpr size_t kWriteBytes = 64 * 1024;
constexpr Millis kLongestWait(60'000);
// Nothing is sent for so long once the other side has stopped reading.
constexpr Millis kStalled(2'000);

auto Repeat(const std::string& piece, int64_t bytes) -> std::string {
  const size_t most =
      std::min(kWriteBytes, static_cast<size_t>(std::max<int64_t>(0, bytes)));
  std::string repeated = piece;
  while (!piece.empty() && repeated.size() + piece.size() <= most)
    repeated += piece;
  return repeated;
}

}  // namespace

Crowd::Crowd(const std::string& address, const CrowdScript& script)
    : io_(1),
      script_(script),
      pieces_(script.pause > Millis(0)
                  ? script.piece
                  : Repeat(script.piece, script.piece_bytes)),
      sending_(script.clients) {
  for (int i = 0; i < script_.clients; ++i)
    asio::co_spawn(io_, Play(*ParseAddress(address)), asio::detached);
  thread_ = std::thread([this] { io_.run(); });
}

Crowd::~Crowd() {
  io_.stop();
  thread_.join();
}

void Crowd::WaitUntilSettled() {
  int64_t sent = -1;
  WaitFor(kLongestWait, [&] {
    const int64_t before = sent;
    sent = sent_;
    return sending_ == 0 || (before == sent &&
                             !WaitFor(kStalled, [&] { return sent_ != sent; }));
  });
}

auto Crowd::Write(tcp::socket* socket, const std::string& bytes)
    -> asio::awaitable<bool> {
  const auto [error, size] =
      co_await asio::async_write(*socket, asio::buffer(bytes), kAwait);
  sent_ += static_cast<int64_t>(size);
  co_return !error;
}

auto Crowd::Play(tcp::endpoint address) -> asio::awaitable<void> {
  tcp::socket socket(io_);
  const auto [unconnected] = co_await socket.async_connect(address, kAwait);
  bool open = !unconnected && co_await Write(&socket, script_.begin);
  int64_t left = script_.piece_bytes;
  while (open && left > 0) {
    open = co_await Write(&socket, pieces_);
    left -= static_cast<int64_t>(pieces_.size());
    co_await Sleep(script_.pause);
  }
  if (open)
    open = co_await Write(&socket, script_.end);
  --sending_;
  std::array<char, 4096> discarded;
  while (open && script_.reads) {
    const auto [error, size] =
        co_await socket.async_read_some(asio::buffer(discarded), kAwait);
    open = !error;
  }
  // Keeps the connection open until the crowd goes.
  if (open)
    open_.push_back(std::move(socket));
}

}  // namespace sparbend::testing
