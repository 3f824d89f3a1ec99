// Which of the callers that have connected and were not read yet are served
// next. A box takes their connections in as they come, so that it knows how
// many wait and for how long: what waits in the system's listen queue shows in
// nothing that a box can see.
//
//   const uint64_t caller = intake.Add(now);
//   for (uint64_t served : intake.NextTurn(now).serve) ...
#ifndef SPARBEND_CORE_ACCEPT_QUEUE_H_
#define SPARBEND_CORE_ACCEPT_QUEUE_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "sparbend/core/millis.h"

namespace sparbend {

class AcceptQueue {
 public:
  // What is to be done in one turn of the box's loop.
  struct Turn {
    std::vector<uint64_t> serve;  // the newest first
    // To be refused: they would be served too late.
    std::vector<uint64_t> refuse;
    auto operator==(const Turn&) const -> bool = default;
  };

  // A caller was taken in at `now`; its number, never given before.
  auto Add(Millis now) -> uint64_t;
  // The callers named are no longer waiting.
  auto NextTurn(Millis now) -> Turn;

  auto size() const -> size_t { return waiting_.size(); }
  // How long the one has waited that waits longest; zero if none does.
  auto longest_wait(Millis now) const -> Millis;

 private:
  struct Waiting {
    uint64_t caller = 0;
    Millis since;
  };

  uint64_t next_ = 0;
  std::deque<Waiting> waiting_;  // the one that waits longest first
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_ACCEPT_QUEUE_H_
