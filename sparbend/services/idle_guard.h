// Cancels operations on a socket that take too long, with one timer for many
// operations: setting and cancelling a timer for each event of a stream costs
// about as much as reading the event.
//
//   IdleGuard guard(&socket);
//   guard.Begin(Millis(5'000));  // an operation starts, or made progress
//   auto [error, size] = co_await asio::async_write(socket, buffer, kAwait);
//   guard.End();                 // error is operation_aborted if it was late
#ifndef SPARBEND_SERVICES_IDLE_GUARD_H_
#define SPARBEND_SERVICES_IDLE_GUARD_H_

#include <memory>

#include "sparbend/kernel/http.h"

namespace sparbend {

class IdleGuard {
 public:
  // `socket` must outlive this.
  explicit IdleGuard(tcp::socket* socket);
  ~IdleGuard();
  IdleGuard(const IdleGuard&) = delete;
  auto operator=(const IdleGuard&) -> IdleGuard& = delete;

  // Cancels the socket's operations after `span`, unless Begin or End is called
  // earlier. A span that ends before that of the last Begin may take effect
  // only when the latter would have ended.
  void Begin(Millis span);
  void End();

 private:
  struct State;

  static void StartTimer(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_IDLE_GUARD_H_
