// Selects the targets of a pool that are compared for a request: all of a small
// pool, and a bounded sample of a large one, so that the cost of a choice does
// not grow with the number of targets.
//
//   candidates.SetTargets(targets); candidates.SetSeed(box);
//   candidates.Refresh(target_state, now);
//   candidates.Sample(pool, query, permitted)
//
// Performs no I/O and reads no clock.
#ifndef SPARBEND_CORE_CANDIDATES_H_
#define SPARBEND_CORE_CANDIDATES_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"

namespace sparbend {

// What the choice of a target needs to know of each target.
struct PlacementTarget {
  TargetId id = 0;
  PoolId pool = 0;
  std::string hall;
  int slots = 1;         // requests that may run there at once
  bool leaving = false;  // gets no new requests
  VersionId version = 0;

  auto operator==(const PlacementTarget&) const -> bool = default;
};

// Hashes a pair of numbers. The result is uniform enough for rendezvous
// hashing, and the same in all boxes.
auto HashPair(uint64_t first, uint64_t second) -> uint64_t;

class Candidates {
 public:
  // Whether a request may go to a target.
  using Permitted = std::function<bool(const PlacementTarget&)>;
  using List = std::vector<const PlacementTarget*>;
  // Whether a target is healthy as far as this box knows.
  using IsUsable = std::function<bool(TargetId)>;
  // Estimated time to work off what is queued at a target.
  using QueueMs = std::function<double(const PlacementTarget&)>;
  // Whether enough slots of a target are free to take work beyond fair shares.
  using HasSpareSlots = std::function<bool(const PlacementTarget&)>;
  // Whether nothing may be sent to a target now, even if there is no other.
  using IsExcluded = std::function<bool(const PlacementTarget&)>;
  struct TargetState {
    IsUsable is_usable;
    IsExcluded is_excluded;
    QueueMs queue_ms;
    HasSpareSlots has_spare_slots;
  };

  explicit Candidates(std::string hall) : hall_(std::move(hall)) {}
  // Movable but not copyable: its lists hold pointers into by_pool_.
  Candidates(const Candidates&) = delete;
  auto operator=(const Candidates&) -> Candidates& = delete;
  Candidates(Candidates&&) = default;
  auto operator=(Candidates&&) -> Candidates& = default;

  // Sets a seed that differs between boxes, so that the targets that are in
  // every sample differ too.
  void SetSeed(uint64_t seed);
  void SetTargets(std::vector<PlacementTarget> targets);
  auto by_pool() const
      -> const std::map<PoolId, std::vector<PlacementTarget>>& {
    return by_pool_;
  }

  // The slots of a target; 1 for an unknown one.
  auto SlotsOf(TargetId target) const -> int;

  // Evaluates `state` for all targets again, unless that was done less than a
  // refresh interval ago.
  void Refresh(const TargetState& state, Millis now);

  // Makes the next Refresh evaluate all targets. To be called when a target
  // becomes usable or stops being so.
  void Invalidate() { refreshed_at_.reset(); }

  // The shortest queue in ms among the pool's targets, and among those of them
  // that have spare slots; nothing if there is no such target. As of the last
  // Refresh.
  auto MinQueueMs(PoolId pool) const -> std::optional<double>;
  auto MinSpareQueueMs(PoolId pool) const -> std::optional<double>;
  // Whether most targets of the pool have been idle for a while, in each hall:
  // there is room for several times what is requested. As of the last Refresh.
  auto HasAmpleRoom(PoolId pool, Millis now) const -> bool;

  struct Query {
    uint64_t request = 0;
    // Targets to leave out unless there is no other; may be null.
    const std::set<TargetId>* avoid = nullptr;
    // Targets to include in any sample if they are usable, such as those that
    // have the request's prefix cached.
    std::vector<TargetId> always_include;
    int round = 0;  // each round samples other targets
  };
  // The usable permitted targets. If there is none, all permitted targets that
  // are neither leaving nor excluded.
  auto All(PoolId pool, const Query& query, const Permitted& permitted) const
      -> List;
  // The same for a small pool; a bounded sample of these targets for a large
  // one.
  auto Sample(PoolId pool, const Query& query, const Permitted& permitted) const
      -> List;
  // The target with the highest rendezvous rank for `key`, which is the same in
  // all boxes that have the same usable targets; null if there is none.
  auto HighestRanked(PoolId pool,
                     uint64_t key,
                     const Permitted& permitted) const
      -> const PlacementTarget*;

 private:
  struct Pool {
    List not_leaving;   // all targets that are not leaving
    List not_excluded;  // those of `not_leaving` that are not excluded
    List usable;
    List always_sampled;  // those of `not_leaving` that are in every sample
    std::optional<double> min_queue_ms;
    std::optional<double> min_spare_queue_ms;
  };

  void RebuildPools();
  auto Find(PoolId pool) const -> const Pool*;

  std::string hall_;
  uint64_t seed_ = 0;
  std::map<PoolId, std::vector<PlacementTarget>> by_pool_;
  std::map<PoolId, Pool> pools_;
  std::map<PoolId, Millis> crowded_at_;  // when a pool last had no ample room
  std::unordered_map<TargetId, const PlacementTarget*> by_id_;
  // Targets that were excluded or not usable at the last Refresh.
  std::set<TargetId> unusable_;
  std::optional<Millis> refreshed_at_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_CANDIDATES_H_
