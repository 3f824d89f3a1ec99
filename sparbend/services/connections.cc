#include "sparbend/services/connections.h"

#include "sparbend/kernel/socket_peek.h"

namespace sparbend {
namespace {

constexpr size_t kMaxIdlePerTarget = 64;

}  // namespace

auto Connections::Take(TargetId target) -> std::unique_ptr<Connection> {
  const auto found = idle_.find(target);
  if (found == idle_.end())
    return nullptr;
  while (!found->second.empty()) {
    std::unique_ptr<Connection> connection = std::move(found->second.back());
    found->second.pop_back();
    // Nothing to read and not closed: the only state a kept one may be in.
    if (PeekSocket(connection->stream.socket()) == SocketState::kQuiet)
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
