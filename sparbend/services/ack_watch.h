// Resets connections on which a target does not acknowledge a request. While
// the network holds up the request's bytes, it may deliver them later, when the
// request has been given up and the target is perhaps leaving. A reset takes
// them back. The kernel's own time limits (TCP user timeout, keep-alive probes)
// end such a connection, too, but without a reset.
//
//   AckWatch watch(kernel);
//   watch.OnSent(connection);  // its request is being written
#ifndef SPARBEND_SERVICES_ACK_WATCH_H_
#define SPARBEND_SERVICES_ACK_WATCH_H_

#include <deque>
#include <memory>

#include "sparbend/kernel/kernel.h"
#include "sparbend/services/connections.h"

namespace sparbend {

// What the kernel knows of a request that is being sent.
struct SendState {
  bool written = false;  // all of it was passed to the kernel
  size_t bytes = 0;      // its size, if it is written
  // Bytes that were sent and not acknowledged, now and at the last check;
  // negative: there was none.
  int64_t in_flight = 0;
  int64_t in_flight_before = -1;

  auto operator==(const SendState&) const -> bool = default;
};

enum class SendAction {
  kDone,  // the target has all of it
  kWait,  // check again
  kReset  // nothing was acknowledged since the last check
};

auto CheckSend(const SendState& state) -> SendAction;

class AckWatch {
 public:
  explicit AckWatch(Kernel* kernel) : kernel_(kernel) {}

  // A request is being written to `connection`; its sent_at is now.
  void OnSent(const std::shared_ptr<Connection>& connection);

 private:
  struct Send {
    std::weak_ptr<Connection> connection;
    Millis sent_at;  // identifies the request on the connection
    Millis due;      // the next check
    int64_t in_flight_before = -1;
  };

  auto CheckAll() -> asio::awaitable<void>;
  // Whether it is to be checked again.
  auto Check(Send* send) -> bool;

  Kernel* kernel_;
  std::deque<Send> sends_;  // by due
  bool checking_ = false;   // CheckAll() is active
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_ACK_WATCH_H_
