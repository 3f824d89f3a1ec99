// When more clients of a workspace reach one box than it can read, serving
// them in order of arrival would make each wait for about as long as the client
// with the longest timeout, and the box would work for clients that are about
// to disconnect. So the newest clients, which still can be served in time, are
// served first, and a client that has waited for kMaxWait is refused while
// another box can still serve it in time.
//
// kMaxServedPerTurn clients are served in a turn of the event loop. Turns take
// longer the more work is in progress, so a box that is behind accepts fewer
// requests per second. This adapts the rate to boxes of any size.
#include "sparbend/core/accept_queue.h"

namespace sparbend {
namespace {

// With 1, a workspace whose clients reach a single overloaded box gets far less
// capacity than other workspaces. With 4, the box reads more requests than it
// can serve, and fewer are answered in time.
constexpr size_t kMaxServedPerTurn = 2;
// About an eighth of the tightest time-to-first-byte objective in use (300 ms):
// a client that is refused by then has lost little of its time. With this bound
// a box whose load is 1.5 times what it can read serves or refuses its clients
// within 100 ms; without a bound it reads few of them in that time.
constexpr Millis kMaxWait = Millis(40);
// A refusal takes about 0.3 ms on a box with an eighth of a core. Turns have to
// stay short while clients are refused, too: a request that is served, and a
// message from another box, takes several turns to process. More refusals would
// leave a flooded box too little processor time for clients it can still serve.
constexpr size_t kMaxRefusedPerTurn = 12;

}  // namespace

auto AcceptQueue::Add(Millis now) -> uint64_t {
  waiting_.push_back({next_client_, now});
  return next_client_++;
}

auto AcceptQueue::NextTurn(Millis now) -> Turn {
  Turn turn;
  while (longest_wait(now) >= kMaxWait &&
         turn.refuse.size() < kMaxRefusedPerTurn) {
    turn.refuse.push_back(waiting_.front().client);
    waiting_.pop_front();
  }
  while (!waiting_.empty() && turn.serve.size() < kMaxServedPerTurn) {
    turn.serve.push_back(waiting_.back().client);
    waiting_.pop_back();
  }
  return turn;
}

auto AcceptQueue::longest_wait(Millis now) const -> Millis {
  return waiting_.empty() ? Millis(0) : now - waiting_.front().accepted_at;
}

}  // namespace sparbend
