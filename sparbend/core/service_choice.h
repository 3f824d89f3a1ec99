// Chooses the target of a plain service at random, weighted by the number of
// slots that are usually free there.
//
//   choice.RecordLoad(target, running, now);   // at each load report
//   choice.CostOf(candidate, request)          // the least cost is chosen
//
// Performs no I/O and reads no clock.
#ifndef SPARBEND_CORE_SERVICE_CHOICE_H_
#define SPARBEND_CORE_SERVICE_CHOICE_H_

#include <unordered_map>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"

namespace sparbend {

class ServiceChoice {
 public:
  struct Candidate {
    TargetId target = 0;
    int slots = 1;
    bool same_hall = false;    // in this box's hall
    int own_running = 0;       // requests of this box that are running there
    double failure_share = 0;  // of its recent answers

    auto operator==(const Candidate&) const -> bool = default;
  };

  // Records that the fleet has an estimated `running` requests at `target` now.
  void RecordLoad(TargetId target, int running, Millis now);
  // Cost of sending `request` to `candidate`, drawn at random for each pair.
  // Over many requests, the share of requests for which a target has the least
  // cost is proportional to its weight, mainly its usually free slots.
  auto CostOf(const Candidate& candidate, uint64_t request) const -> double;

 private:
  struct AverageLoad {
    double running = 0;  // exponential moving average, over some seconds
    Millis updated_at;
  };

  std::unordered_map<TargetId, AverageLoad> average_loads_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_SERVICE_CHOICE_H_
