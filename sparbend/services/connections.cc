// A target that says how long it keeps a resting connection closes it about
// then, perhaps at the moment of the next request; one is used again only in
// the first half of that time.
#include "sparbend/services/connections.h"

#include <algorithm>

#include "sparbend/kernel/socket_peek.h"

namespace sparbend {
namespace {

constexpr size_t kMaxIdlePerTarget = 64;
// All kept by this box: a second's worth of what a busy box opens. Each holds
// a descriptor and some kilobytes.
constexpr size_t kMaxIdle = 512;
constexpr Millis kSweepInterval = Millis(1'000);

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
    --idle_count_;
    // Nothing to read and not closed: the only state a kept one may be in.
    if (PeekSocket(connection->stream.socket()) == SocketState::kNoData) {
      connection->reused = true;
      return connection;
    }
  }
  return nullptr;
}

void Connections::Sweep(Millis now) {
  swept_ = now;
  idle_count_ = 0;
  for (auto& [target, idle] : idle_) {
    std::erase_if(idle, [&](const std::shared_ptr<Connection>& kept) {
      return now - kept->kept_since > RestAllowed(*kept, longest_rest_);
    });
    idle_count_ += idle.size();
  }
}

void Connections::Keep(TargetId target,
                       std::shared_ptr<Connection> connection,
                       Millis now) {
  if (connection->buffer.size() != 0 || connection->suspect)
    return;
  if (now - swept_ >= kSweepInterval)
    Sweep(now);
  std::vector<std::shared_ptr<Connection>>& idle = idle_[target];
  if (idle.size() >= kMaxIdlePerTarget || idle_count_ >= kMaxIdle)
    return;
  connection->stream.expires_never();
  connection->kept_since = now;
  idle.push_back(std::move(connection));
  ++idle_count_;
}

}  // namespace sparbend
