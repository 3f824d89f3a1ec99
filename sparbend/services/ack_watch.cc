// Checks each request once kAckTime after it was sent, when most have been
// answered. Those that are still being acknowledged are checked again after
// the same time. Bytes that the target has no room for count as acknowledged:
// they are not on the way.
#include "sparbend/services/ack_watch.h"

#include "sparbend/kernel/log.h"
#include "sparbend/kernel/socket_peek.h"

namespace sparbend {
namespace {

// Shorter than the kernel's TCP user timeout (forward.cc), and enough for the
// retransmission of two lost packets in a row.
constexpr Millis kAckTime = Millis(1'200);
// Checks that are due within this time are made together.
constexpr Millis kCheckInterval = Millis(50);

}  // namespace

auto CheckSend(const SendState& state) -> SendAction {
  if (state.in_flight == 0)
    return state.written ? SendAction::kDone : SendAction::kWait;
  const bool nothing_arrived =
      state.written && state.in_flight >= static_cast<int64_t>(state.bytes);
  return nothing_arrived || state.in_flight == state.in_flight_before
             ? SendAction::kReset
             : SendAction::kWait;
}

void AckWatch::OnSent(const std::shared_ptr<Connection>& connection) {
  sends_.push_back(
      {connection, connection->sent_at, kernel_->Now() + kAckTime});
  if (!std::exchange(checking_, true))
    kernel_->Spawn("ack-watch", CheckAll());
}

auto AckWatch::Check(Send* send) -> bool {
  const std::shared_ptr<Connection> connection = send->connection.lock();
  if (!connection || !connection->in_use ||
      connection->sent_at != send->sent_at ||
      !connection->stream.socket().is_open())
    return false;
  SendState state;
  state.written = connection->written.done;
  state.bytes = connection->written.sent;
  state.in_flight = InFlightBytes(connection->stream.socket());
  state.in_flight_before = send->in_flight_before;
  switch (CheckSend(state)) {
    case SendAction::kDone:
      connection->SetKeepAlive(true);
      return false;
    case SendAction::kWait:
      send->in_flight_before = state.in_flight;
      send->due = kernel_->Now() + kAckTime;
      return true;
    case SendAction::kReset:
      break;
  }
  Log(LogLevel::kWarning, "request-unacknowledged",
      {{"bytes", state.in_flight},
       {"after_ms", (kernel_->Now() - send->sent_at).count()}});
  connection->unacknowledged = static_cast<int>(state.in_flight);
  connection->stream.close();
  return false;
}

auto AckWatch::CheckAll() -> asio::awaitable<void> {
  while (!sends_.empty()) {
    const Millis now = kernel_->Now();
    if (sends_.front().due > now) {
      co_await Sleep(std::max(kCheckInterval, sends_.front().due - now));
      continue;
    }
    Send send = std::move(sends_.front());
    sends_.pop_front();
    if (Check(&send))
      sends_.push_back(std::move(send));
  }
  checking_ = false;
}

}  // namespace sparbend
