// How long targets take to answer requests of one kind, from the recent answers
// and from the requests that are running. A box that stops refuses by it what
// would not end in time.
//
//   times.OnSent(kind, request, now);
//   times.OnEnded(kind, request, /*complete=*/true, now);
//   std::optional<Millis> time = times.Percentile90(kind, now);
#ifndef SPARBEND_CORE_ANSWER_TIMES_H_
#define SPARBEND_CORE_ANSWER_TIMES_H_

#include <compare>
#include <deque>
#include <map>
#include <optional>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"
#include "sparbend/core/queue.h"

namespace sparbend {

class AnswerTimes {
 public:
  // Requests whose answers are taken to last about as long.
  struct Kind {
    PoolId pool = 0;
    RouteId route = 0;  // 0: none

    auto operator<=>(const Kind&) const = default;
  };

  // An attempt at the request was sent.
  void OnSent(Kind kind, RequestId request, Millis now);
  // The attempt ended. Only complete answers count.
  void OnEnded(Kind kind, RequestId request, bool complete, Millis now);

  // The time within which nine of ten answers are complete, or the longest time
  // seen if fewer are known to be. Nothing if nothing is known. O(n log n) in
  // the running requests of the kind.
  auto Percentile90(Kind kind, Millis now) const -> std::optional<Millis>;
  // How many of this box's running requests of `pool` end per millisecond.
  // Zero if none is running, or if it is not known how long they take.
  auto CompletionRate(PoolId pool, Millis now) const -> double;

 private:
  struct Answer {
    Millis ended;
    Millis took;
  };
  struct History {
    std::deque<Answer> answers;           // the oldest first
    std::map<RequestId, Millis> running;  // and when each was sent
  };

  std::map<Kind, History> histories_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_ANSWER_TIMES_H_
