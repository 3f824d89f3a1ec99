// Ends operations on a socket that take too long, at the cost of one timer for
// many of them: a timer set and cancelled for each event of a stream costs
// about as much as reading the event.
//
//   IdleGuard guard(&socket);
//   guard.Begin(Millis(5'000));          // an operation begins, or made
//   progress co_await asio::async_write(socket, ...);   // operation_aborted
//   when late guard.End();                         // none is pending
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

  // The socket's operations are cancelled after `span`, unless this or End is
  // called before.
  void Begin(Millis span);
  void End();

 private:
  struct State;

  static void Arm(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_IDLE_GUARD_H_
