// A target that states how long it keeps an idle connection closes it at about
// that time, possibly just as the next request is sent. A connection is reused
// only within the first half of that time.
#include "sparbend/services/connections.h"

#include <algorithm>

#include "sparbend/kernel/socket_peek.h"

namespace sparbend {
namespace {

constexpr size_t kMaxIdlePerTarget = 64;
// Over all targets: as many as a busy box opens in a second. Each takes a file
// descriptor and some kilobytes.
constexpr size_t kMaxIdle = 512;
constexpr Millis kSweepInterval = Millis(1'000);
// A connection that has been idle for longer may have lost its other end
// without notice. One in use is probed, or waits for an acknowledgement.
constexpr Millis kMaxUnprobedTime = Millis(3'000);
// Connections to one target that HasOpenSince looks at, each with a system call
// or two. On a busy box most have something to read.
constexpr int kMaxLooks = 2;

auto MaxIdleTime(const Connection& connection, Millis max_idle_time) -> Millis {
  if (connection.keep_alive_timeout <= Millis(0))
    return max_idle_time;
  return std::min(max_idle_time,
                  Millis(connection.keep_alive_timeout.count() / 2));
}

}  // namespace

void Connections::Register(TargetId target,
                           const std::shared_ptr<Connection>& connection) {
  std::vector<std::weak_ptr<Connection>>& registered = registered_[target];
  std::erase_if(registered, [](const auto& other) { return other.expired(); });
  registered.push_back(connection);
}

auto Connections::HasOpenSince(TargetId target, Millis at, Millis now) -> bool {
  const auto found = registered_.find(target);
  if (found == registered_.end())
    return false;
  int looks = 0;
  for (const std::weak_ptr<Connection>& registered : found->second) {
    const std::shared_ptr<Connection> connection = registered.lock();
    if (!connection || connection->connected_at > at ||
        !connection->stream.socket().is_open() ||
        (!connection->in_use &&
         now - connection->idle_since > kMaxUnprobedTime))
      continue;
    // A request may be waiting for its answer on the connection.
    if (IsOpenWithoutData(connection->stream.socket()))
      return true;
    if (++looks == kMaxLooks)
      break;
  }
  return false;
}

auto Connections::Take(TargetId target,
                       RequestId request,
                       Millis max_idle_time,
                       Millis now) -> std::shared_ptr<Connection> {
  const auto found = idle_.find(target);
  if (found == idle_.end())
    return nullptr;
  while (!found->second.empty()) {
    // The newest first: if it has been idle for too long, so have all others.
    std::shared_ptr<Connection>& newest = found->second.back();
    if (now - newest->idle_since > MaxIdleTime(*newest, max_idle_time))
      return nullptr;
    std::shared_ptr<Connection> connection = std::move(newest);
    found->second.pop_back();
    --idle_count_;
    if (connection->request == request) {
      connection->CloseInOrder();
      continue;
    }
    // A reusable connection is open and has nothing to read.
    if (PeekSocket(connection->stream.socket()) == SocketState::kNoData) {
      connection->reused = true;
      connection->in_use = true;
      return connection;
    }
  }
  return nullptr;
}

void Connections::Sweep(Millis now) {
  last_sweep_ = now;
  idle_count_ = 0;
  for (auto& [target, idle] : idle_) {
    std::erase_if(idle, [&](const std::shared_ptr<Connection>& kept) {
      const bool expired =
          now - kept->idle_since > MaxIdleTime(*kept, max_idle_time_);
      if (expired)
        kept->CloseInOrder();
      return expired;
    });
    idle_count_ += idle.size();
  }
  std::erase_if(registered_, [](const auto& target) {
    return std::ranges::all_of(
        target.second, [](const auto& other) { return other.expired(); });
  });
}

void Connections::CloseIdle() {
  for (const auto& [target, idle] : idle_) {
    for (const std::shared_ptr<Connection>& kept : idle)
      kept->CloseInOrder();
  }
  idle_.clear();
  idle_count_ = 0;
}

void Connections::Keep(TargetId target,
                       std::shared_ptr<Connection> connection,
                       Millis now) {
  if (connection->buffer.size() != 0 || connection->must_close)
    return;
  if (now - last_sweep_ >= kSweepInterval)
    Sweep(now);
  std::vector<std::shared_ptr<Connection>>& idle = idle_[target];
  if (idle.size() >= kMaxIdlePerTarget || idle_count_ >= kMaxIdle) {
    connection->CloseInOrder();
    return;
  }
  connection->SetKeepAlive(false);
  connection->stream.expires_never();
  connection->idle_since = now;
  connection->in_use = false;
  idle.push_back(std::move(connection));
  ++idle_count_;
}

}  // namespace sparbend
