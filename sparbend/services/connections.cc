#include "sparbend/services/connections.h"

namespace sparbend {
namespace {

constexpr size_t kMaxIdlePerTarget = 64;

// Nothing to read and not closed: the only state a kept one may be in.
auto IsQuiet(tcp::socket& socket) -> bool {
  char byte = 0;
  boost::system::error_code error;
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

}  // namespace

auto Connections::Take(TargetId target) -> std::unique_ptr<Connection> {
  const auto found = idle_.find(target);
  if (found == idle_.end())
    return nullptr;
  while (!found->second.empty()) {
    std::unique_ptr<Connection> connection = std::move(found->second.back());
    found->second.pop_back();
    if (IsQuiet(connection->stream.socket()))
      return connection;
  }
  return nullptr;
}

void Connections::Keep(TargetId target,
                       std::unique_ptr<Connection> connection) {
  std::vector<std::unique_ptr<Connection>>& idle = idle_[target];
  if (idle.size() >= kMaxIdlePerTarget || connection->buffer.size() != 0)
    return;
  connection->stream.expires_never();
  idle.push_back(std::move(connection));
}

}  // namespace sparbend
