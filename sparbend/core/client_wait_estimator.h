// Estimates how long a client has been retrying a request. A client that is
// refused retries under a new request id, but the time that it says it will
// still wait shrinks from attempt to attempt. The usual full wait of a route is
// derived from its recent attempts; the time elapsed before an attempt is the
// usual wait minus the wait that the attempt states.
//
//   ClientWaitEstimator estimator;
//   due = now - estimator.Elapsed(route, remaining) + objective;
//
// Does no I/O and reads no clock. A client that states less time than others on
// its route is taken for one that retries; a wrong statement only affects the
// client that makes it.
#ifndef SPARBEND_CORE_CLIENT_WAIT_ESTIMATOR_H_
#define SPARBEND_CORE_CLIENT_WAIT_ESTIMATOR_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "sparbend/core/millis.h"

namespace sparbend {

class ClientWaitEstimator {
 public:
  // Records an attempt on `route` whose client will wait for another
  // `remaining`, and returns how long the client has been retrying; zero while
  // the usual wait of the route is unknown. O(kMaxWaitsPerRoute).
  auto Elapsed(const std::string& route, Millis remaining) -> Millis;

 private:
  using StatedWaits = std::deque<Millis>;  // newest last

  // Usual full wait of a route; zero if unknown.
  static auto UsualWait(const StatedWaits& waits) -> Millis;

  std::unordered_map<std::string, StatedWaits> waits_by_route_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_CLIENT_WAIT_ESTIMATOR_H_
