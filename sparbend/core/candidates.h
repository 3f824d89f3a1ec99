// Which targets of a pool are weighed for a request: all of a small pool; of a
// large one a few, so that a choice costs the same however many there are.
//
//   candidates.SetTargets(targets); candidates.SetSeed(box);
//   candidates.Refresh(views, now);
//   candidates.Few(pool, ask, permitted)
//
// Pure.
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

struct PlacementTarget {
  TargetId id = 0;
  PoolId pool = 0;
  std::string hall;
  int slots = 1;
  bool leaving = false;

  auto operator==(const PlacementTarget&) const -> bool = default;
};

// A pseudo-random number for a pair, even enough to rank by; the same in all
// boxes.
auto RankOf(uint64_t one, uint64_t other) -> uint64_t;

class Candidates {
 public:
  using Permitted = std::function<bool(const std::string& hall)>;
  using List = std::vector<const PlacementTarget*>;
  // Whether a target answers as far as is known, and how long its queue takes.
  using IsUsable = std::function<bool(TargetId)>;
  using QueueMs = std::function<double(const PlacementTarget&)>;
  using HalfEmpty = std::function<bool(const PlacementTarget&)>;
  // Whether nothing may be sent to a target now, even if there is no other.
  using IsBarred = std::function<bool(const PlacementTarget&)>;
  struct Views {
    IsUsable is_usable;
    IsBarred is_barred;
    QueueMs queue_ms;
    HalfEmpty half_empty;
  };

  explicit Candidates(std::string hall) : hall_(std::move(hall)) {}
  // Its lists point into its own books: it moves, and is never copied.
  Candidates(const Candidates&) = delete;
  auto operator=(const Candidates&) -> Candidates& = delete;
  Candidates(Candidates&&) = default;
  auto operator=(Candidates&&) -> Candidates& = default;

  // What tells this box apart from others: each has targets of its own that it
  // tries first.
  void SetSeed(uint64_t seed);
  void SetTargets(std::vector<PlacementTarget> targets);
  auto by_pool() const
      -> const std::map<PoolId, std::vector<PlacementTarget>>& {
    return by_pool_;
  }

  // Looks at all targets anew, if that was not done a moment ago.
  void Refresh(const Views& views, Millis now);

  // A target became usable or stopped being so: the next Refresh looks.
  void Invalidate() { refreshed_.reset(); }

  // The shortest queue of the pool's targets, and of those with many free
  // slots; nothing if there is none. As of the last Refresh.
  auto LeastQueueMs(PoolId pool) const -> std::optional<double>;
  auto LeastSpareMs(PoolId pool) const -> std::optional<double>;

  struct Ask {
    uint64_t request = 0;
    // Never to be weighed unless there is no other.
    const std::set<TargetId>* avoid = nullptr;
    // To be weighed in any case, as holders of its prefix.
    std::vector<TargetId> named;
    int turn = 0;  // another one draws other targets
  };
  // The usable targets in permitted halls; all that neither leave nor are
  // barred if none is usable.
  auto All(PoolId pool, const Ask& ask, const Permitted& permitted) const
      -> List;
  // Some of those, in a large pool.
  auto Few(PoolId pool, const Ask& ask, const Permitted& permitted) const
      -> List;
  // The target of those that all boxes rank first for `key`.
  auto First(PoolId pool, uint64_t key, const Permitted& permitted) const
      -> const PlacementTarget*;

 private:
  struct Pool {
    List staying;  // all that do not leave
    List present;  // of these, all that are not barred
    List usable;
    List own;  // of `staying`, those that this box tries first
    std::optional<double> least_queue_ms;
    std::optional<double> least_spare_ms;
  };

  void Rank();
  auto Find(PoolId pool) const -> const Pool*;

  std::string hall_;
  uint64_t seed_ = 0;
  std::map<PoolId, std::vector<PlacementTarget>> by_pool_;
  std::map<PoolId, Pool> pools_;
  std::unordered_map<TargetId, const PlacementTarget*> by_id_;
  std::set<TargetId> unusable_;
  std::optional<Millis> refreshed_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_CANDIDATES_H_
