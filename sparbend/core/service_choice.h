// Chooses the target of a plain service at random, weighted by the number of
// slots that are usually free there and by how fast it answers. Limits the
// requests that this box has outstanding at a target that answers slowly.
//
//   choice.RecordLoad(target, running, now);   // at each load report
//   choice.RecordLatency(pool, target, slots, elapsed, now);  // at each answer
//   if (own_running < choice.OutstandingLimit(target, slots)) ...
//   choice.CostOf(candidate, request)          // the least cost is chosen
//
// Performs no I/O and reads no clock.
#ifndef SPARBEND_CORE_SERVICE_CHOICE_H_
#define SPARBEND_CORE_SERVICE_CHOICE_H_

#include <optional>
#include <set>
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
  // Records that `target` of `pool` answered `elapsed` after a request was sent
  // to it.
  void RecordLatency(PoolId pool,
                     TargetId target,
                     int slots,
                     Millis elapsed,
                     Millis now);
  // Forgets targets that are not in `targets`.
  void Retain(const std::set<TargetId>& targets);
  // The number of requests that this box may have running at `target`, from 1
  // to `slots`.
  auto OutstandingLimit(TargetId target, int slots) const -> int;
  // Expected time to an answer of `target`; nothing without earlier answers.
  auto LatencyMs(TargetId target, Millis now) const -> std::optional<double>;
  // Cost of sending `request` to `candidate`, drawn at random for each pair.
  // Over many requests, the share of requests for which a target has the least
  // cost is proportional to its weight, mainly its usually free slots.
  auto CostOf(const Candidate& candidate, uint64_t request, Millis now) const
      -> double;

 private:
  struct AverageLoad {
    double running = 0;  // exponential moving average, over some seconds
    Millis updated_at;
  };

  struct Latency {
    PoolId pool = 0;
    double ms = 0;  // moving average over the last answers
    double limit = 0;
    Millis updated_at;
  };
  struct PoolLatency {
    double ms = 0;  // moving average over many answers
    int answers = 0;
  };

  // The latency of a target in multiples of that of its pool; 1 if it is not
  // slow, or not known.
  auto Slowness(TargetId target, Millis now) const -> double;

  std::unordered_map<TargetId, AverageLoad> average_loads_;
  std::unordered_map<TargetId, Latency> latencies_;
  std::unordered_map<PoolId, PoolLatency> pool_latencies_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_SERVICE_CHOICE_H_
