// The load it answers: a workspace's callers reach one box, and more come than
// it can read. Served in the order they came, all would wait for as long as the
// most patient of them, and the box would work for callers about to leave. So
// the newest are served, which are in time, and whoever has waited for
// kMostWait is refused while another box can still serve him in time.
//
// Two callers are served in a turn of the loop. Turns grow with the work under
// way, so a box that is behind takes fewer requests on; in that the number
// adapts to any size of box.
#include "sparbend/core/accept_queue.h"

namespace sparbend {
namespace {

// With one a turn a workspace whose callers reach one such box got less than a
// sixth of what another got over six seconds; with four the box reads more than
// it serves (answers in time of its hall's 22,204 requests: 6,338 with one,
// 4,710 with four).
constexpr size_t kServedInATurn = 2;
// An eighth of the tightest objective of a first byte seen in use (300 ms): a
// caller that is refused by then has lost next to nothing. Of the callers of a
// simulated flood that is half again what a box can read, 0.75 are read and the
// others refused within 100 ms; without a bound 0.14 are read in that time.
constexpr Millis kMostWait = Millis(40);
// A refusal takes a box of an eighth of a core about a millisecond. A turn has
// to stay short also while it refuses: what the box serves and what it hears of
// other boxes goes through several turns.
constexpr size_t kRefusedInATurn = 8;

}  // namespace

auto AcceptQueue::Add(Millis now) -> uint64_t {
  waiting_.push_back({next_, now});
  return next_++;
}

auto AcceptQueue::NextTurn(Millis now) -> Turn {
  Turn turn;
  while (longest_wait(now) >= kMostWait &&
         turn.refuse.size() < kRefusedInATurn) {
    turn.refuse.push_back(waiting_.front().caller);
    waiting_.pop_front();
  }
  while (!waiting_.empty() && turn.serve.size() < kServedInATurn) {
    turn.serve.push_back(waiting_.back().caller);
    waiting_.pop_back();
  }
  return turn;
}

auto AcceptQueue::longest_wait(Millis now) const -> Millis {
  return waiting_.empty() ? Millis(0) : now - waiting_.front().since;
}

}  // namespace sparbend
