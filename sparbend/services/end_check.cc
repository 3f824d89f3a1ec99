// When a process exits, the kernel closes its sockets one after the other, the
// listening one among them. So a socket that is still open shows that the
// process runs only if it stays open for a while.
//
// A connection that was made before the request was sent belongs to the process
// that took it. If none stays open, a new connection tells: one that is refused
// shows that no process listens, and one that stays open that a process does.
// One that is closed shows neither: a listening socket that is closed resets
// the connections that it has not accepted, and a target resets those for which
// it has no room. Whether it still listens then shows which of the two it was.
//
// A successor that listens at the address by the time of the new connection
// can't be told from the process itself.
#include "sparbend/services/end_check.h"

#include "sparbend/kernel/socket_peek.h"

namespace sparbend {
namespace {

// The kernel closes the sockets of a process one after the other, hundreds of
// them within some milliseconds. The end of a stream is no later than the pause
// between two of its events would make it; a plain answer is held this long.
constexpr Millis kSettlingTime = Millis(15);
// Between two looks at connections meanwhile: once they have closed, the new
// connection has to come before a successor listens.
constexpr Millis kLookInterval = Millis(3);

}  // namespace

auto EndCheck::StaysOpen(const Slot& slot, Millis at) -> asio::awaitable<bool> {
  const Millis settled = kernel_->Now() + kSettlingTime;
  while (connections_->HasOpenSince(slot.id, at, kernel_->Now())) {
    if (kernel_->Now() >= settled)
      co_return true;
    co_await Sleep(kLookInterval);
  }
  co_return false;
}

auto EndCheck::Run(RequestContext* context, const Slot& slot, Millis sent_at)
    -> asio::awaitable<TargetState> {
  if (co_await StaysOpen(slot, sent_at))
    co_return TargetState::kRunning;
  constexpr int kTries = 2;
  for (int i = 0; i < kTries; ++i) {
    const Result<std::shared_ptr<Connection>> opened =
        co_await open_(context, slot);
    if (!opened)
      co_return opened.error().code == Errc::kRefused ? TargetState::kEnded
                                                      : TargetState::kUnknown;
    co_await Sleep(kSettlingTime);
    const std::shared_ptr<Connection>& connection = *opened;
    if (PeekSocket(connection->stream.socket()) != SocketState::kNoData)
      continue;
    connections_->Keep(slot.id, connection, kernel_->Now());
    break;
  }
  co_return TargetState::kRunning;
}

}  // namespace sparbend
