// Decides which accepted client connections, whose requests have not been read
// yet, are served or refused next. A box accepts connections as soon as they
// arrive, so that it knows how many wait and for how long; it can't see the
// connections that wait in the kernel's listen queue.
//
//   const uint64_t client = accept_queue.Add(now);
//   for (uint64_t served : accept_queue.NextTurn(now).serve) ...
#ifndef SPARBEND_CORE_ACCEPT_QUEUE_H_
#define SPARBEND_CORE_ACCEPT_QUEUE_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "sparbend/core/millis.h"

namespace sparbend {

class AcceptQueue {
 public:
  // The clients to serve and to refuse in one turn of the event loop.
  struct Turn {
    std::vector<uint64_t> serve;  // newest first
    // Clients that have waited too long to be served in time by this box;
    // longest wait first.
    std::vector<uint64_t> refuse;
    auto operator==(const Turn&) const -> bool = default;
  };

  // Records a connection that was accepted at `now`. Returns a number for its
  // client, which is never reused.
  auto Add(Millis now) -> uint64_t;
  // Chooses the clients for this turn and removes them from the queue.
  auto NextTurn(Millis now) -> Turn;

  auto size() const -> size_t { return waiting_.size(); }
  // Wait of the client that has waited longest; zero if none waits.
  auto longest_wait(Millis now) const -> Millis;

 private:
  struct WaitingClient {
    uint64_t client = 0;
    Millis accepted_at;
  };

  uint64_t next_client_ = 0;
  std::deque<WaitingClient> waiting_;  // longest wait first
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_ACCEPT_QUEUE_H_
