// The bytes of an answer that its client has not taken yet, written in the
// background while the box reads on from the target. Bounded by a SendBudget.
//
//   SendBacklog backlog(&socket, budget, send_time);
//   if (!backlog.Take(size, [](std::string* bytes) { ... }))  // no room
//     bool sent = co_await backlog.Drain();
#ifndef SPARBEND_SERVICES_SEND_BACKLOG_H_
#define SPARBEND_SERVICES_SEND_BACKLOG_H_

#include <functional>
#include <memory>
#include <string>

#include "sparbend/core/send_budget.h"
#include "sparbend/kernel/http.h"

namespace sparbend {

class SendBacklog {
 public:
  // Without a budget nothing is taken. A client that takes no byte for
  // `send_time` counts as gone. `socket` must outlive this.
  SendBacklog(tcp::socket* socket,
              std::shared_ptr<SendBudget> budget,
              Millis send_time);
  ~SendBacklog();
  SendBacklog(const SendBacklog&) = delete;
  auto operator=(const SendBacklog&) -> SendBacklog& = delete;

  // If `max_size` more bytes fit the budget, lets `append` append at most as
  // many, and writes them in the background. Otherwise returns false.
  auto Take(size_t max_size, const std::function<void(std::string*)>& append)
      -> bool;
  // Waits until all bytes are written. False if the client is gone.
  auto Drain() -> asio::awaitable<bool>;

  // Whether bytes are still to be written.
  auto pending() const -> bool;
  auto failed() const -> bool;
  // The most bytes that it has held, and how often there was no room.
  auto max_held() const -> size_t;
  auto refused() const -> int;

 private:
  struct State;

  static void Write(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;  // null until bytes are taken or refused
  tcp::socket* socket_;
  std::shared_ptr<SendBudget> budget_;
  Millis send_time_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_SEND_BACKLOG_H_
