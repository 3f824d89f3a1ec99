// Two callers are served in a turn. Turns grow with the work under way, so a
// box that is behind takes fewer requests on; in that the number adapts to any
// size of box.
#include "sparbend/core/intake.h"

namespace sparbend {
namespace {

// With one a turn a workspace whose callers reach one such box got less than a
// sixth of what another got over six seconds; with four the box reads more than
// it serves (answers in time of its hall's 22,204 requests: 6,338 with one,
// 4,710 with four).
constexpr size_t kServedInATurn = 2;

}  // namespace

auto Intake::Add(Millis now) -> uint64_t {
  waiting_.push_back({next_, now});
  return next_++;
}

auto Intake::NextTurn(Millis /*now*/) -> Turn {
  Turn turn;
  while (!waiting_.empty() && turn.serve.size() < kServedInATurn) {
    turn.serve.push_back(waiting_.front().caller);
    waiting_.pop_front();
  }
  return turn;
}

auto Intake::longest_wait(Millis now) const -> Millis {
  return waiting_.empty() ? Millis(0) : now - waiting_.front().since;
}

}  // namespace sparbend
