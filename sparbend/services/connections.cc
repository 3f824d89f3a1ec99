// A target that says how long it keeps a resting connection closes it about
// then, perhaps at the moment of the next request; one is used again only in
// the first half of that time.
#include "sparbend/services/connections.h"

#include <algorithm>

#include "sparbend/kernel/socket_peek.h"

namespace sparbend {
namespace {

constexpr size_t kMaxIdlePerTarget = 64;

auto RestAllowed(const Connection& connection, Millis longest_rest) -> Millis {
  if (connection.keep_time <= Millis(0))
    return longest_rest;
  return std::min(longest_rest, Millis(connection.keep_time.count() / 2));
}

}  // namespace

auto Connections::Take(TargetId target, Millis longest_rest, Millis now)
    -> std::shared_ptr<Connection> {
  const auto found = idle_.find(target);
  if (found == idle_.end())
    return nullptr;
  while (!found->second.empty()) {
    // The newest first; when that one has rested too long, all have.
    std::shared_ptr<Connection>& newest = found->second.back();
    if (now - newest->kept_since > RestAllowed(*newest, longest_rest))
      return nullptr;
    std::shared_ptr<Connection> connection = std::move(newest);
    found->second.pop_back();
    // Nothing to read and not closed: the only state a kept one may be in.
    if (PeekSocket(connection->stream.socket()) == SocketState::kQuiet) {
      connection->reused = true;
      return connection;
    }
  }
  return nullptr;
}

void Connections::Keep(TargetId target,
                       std::shared_ptr<Connection> connection,
                       Millis now) {
  std::vector<std::shared_ptr<Connection>>& idle = idle_[target];
  if (connection->buffer.size() != 0 || connection->suspect)
    return;
  // Those that rested longest are the first to be of no use.
  std::erase_if(idle, [&](const std::shared_ptr<Connection>& kept) {
    return kept->keep_time > Millis(0) &&
           now - kept->kept_since > kept->keep_time;
  });
  if (idle.size() >= kMaxIdlePerTarget)
    return;
  connection->stream.expires_never();
  connection->kept_since = now;
  idle.push_back(std::move(connection));
}

}  // namespace sparbend
