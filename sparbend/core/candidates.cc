// Under load each waiting request chooses a target again every few
// milliseconds. Comparing all targets of a pool each time takes most of the
// processor time of a box with an eighth of a core if the pool has 320 targets.
// The best of a small sample is nearly as good as the best of all, provided
// that the sample always holds the targets that matter most: those that have
// the request's prefix cached, and the one with the highest rank for that
// prefix.
//
// The rest of a sample consists of two groups. Some targets of the box's own
// hall are in every sample of that box, so that its connections to them are
// reused. Others are drawn at random from all halls for each request and round,
// so that free capacity anywhere is found soon and boxes do not all choose the
// same targets.
//
// Invariant: pools_ and by_id_ point into by_pool_, which only SetTargets
// changes.
#include "sparbend/core/candidates.h"

#include <algorithm>
#include <string_view>

namespace sparbend {
namespace {

// Pools of up to this many targets are compared completely, which costs about
// as much as a sample.
constexpr size_t kMaxUnsampledPoolSize = 64;
// Targets that are in every sample of a box, those of its own hall first. They
// suffice for twice the box's mean request rate; each target is among those of
// some fifteen boxes.
constexpr size_t kAlwaysSampledTargets = 12;
// Further targets that are drawn at random for each sample.
constexpr size_t kRandomTargets = 12;
// Interval between evaluations of all targets. A target's queue grows by one or
// two requests within it.
constexpr Millis kRefreshInterval = Millis(20);
// A target whose queue takes at most this long counts as idle: a request that
// is sent there begins as if it were alone.
constexpr double kIdleQueueMs = 40;
// A pool has ample room if this share of each hall's targets has been idle for
// kAmpleRoomTime, which is longer than reports of other boxes take.
constexpr double kAmpleIdleShare = 0.75;
constexpr Millis kAmpleRoomTime = Millis(1'000);

struct IdleCount {
  int idle = 0;
  int all = 0;
};

auto MinOf(std::optional<double> minimum, double value)
    -> std::optional<double> {
  return minimum && *minimum <= value ? minimum : std::optional(value);
}

}  // namespace

auto HashPair(uint64_t first, uint64_t second) -> uint64_t {
  uint64_t mixed = (first << 32 | second) + 0x9e3779b97f4a7c15;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  return mixed ^ (mixed >> 31);
}

void Candidates::SetSeed(uint64_t seed) {
  seed_ = seed;
  RebuildPools();
}

void Candidates::SetTargets(std::vector<PlacementTarget> targets) {
  by_pool_.clear();
  for (PlacementTarget& target : targets)
    by_pool_[target.pool].push_back(std::move(target));
  RebuildPools();
}

void Candidates::RebuildPools() {
  pools_.clear();
  by_id_.clear();
  refreshed_at_.reset();
  for (const auto& [id, targets] : by_pool_) {
    Pool& pool = pools_[id];
    for (const PlacementTarget& target : targets) {
      by_id_[target.id] = &target;
      if (!target.leaving)
        pool.not_leaving.push_back(&target);
    }
    pool.not_excluded = pool.not_leaving;
    // Applies until the first Refresh. Targets found unusable before stay
    // excluded.
    for (const PlacementTarget* target : pool.not_excluded) {
      if (!unusable_.contains(target->id))
        pool.usable.push_back(target);
    }
    pool.always_sampled = pool.not_leaving;
    std::ranges::sort(pool.always_sampled, std::greater(),
                      [&](const PlacementTarget* target) {
                        return std::pair(target->hall == hall_,
                                         HashPair(seed_, target->id));
                      });
    pool.always_sampled.resize(
        std::min(pool.always_sampled.size(), kAlwaysSampledTargets));
  }
}

void Candidates::Refresh(const TargetState& state, Millis now) {
  if (refreshed_at_ && now - *refreshed_at_ < kRefreshInterval)
    return;
  refreshed_at_ = now;
  unusable_.clear();
  for (auto& [id, pool] : pools_) {
    pool.not_excluded.clear();
    pool.usable.clear();
    pool.min_queue_ms.reset();
    pool.min_spare_queue_ms.reset();
    std::map<std::string_view, IdleCount> halls;
    for (const PlacementTarget* target : pool.not_leaving) {
      if (state.is_excluded(*target)) {
        unusable_.insert(target->id);
        continue;
      }
      pool.not_excluded.push_back(target);
      if (state.is_usable(target->id))
        pool.usable.push_back(target);
      else
        unusable_.insert(target->id);
      const double queue = state.queue_ms(*target);
      pool.min_queue_ms = MinOf(pool.min_queue_ms, queue);
      IdleCount& hall = halls[target->hall];
      ++hall.all;
      if (!state.has_spare_slots(*target))
        continue;
      pool.min_spare_queue_ms = MinOf(pool.min_spare_queue_ms, queue);
      hall.idle += queue <= kIdleQueueMs ? 1 : 0;
    }
    if (halls.empty() || std::ranges::any_of(halls, [](const auto& hall) {
          return hall.second.idle < kAmpleIdleShare * hall.second.all;
        }))
      crowded_at_[id] = now;
  }
}

auto Candidates::HasAmpleRoom(PoolId pool, Millis now) const -> bool {
  const auto crowded = crowded_at_.find(pool);
  return Find(pool) != nullptr && (crowded == crowded_at_.end() ||
                                   now - crowded->second >= kAmpleRoomTime);
}

auto Candidates::Find(PoolId pool) const -> const Pool* {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? nullptr : &found->second;
}

auto Candidates::MinQueueMs(PoolId pool) const -> std::optional<double> {
  const Pool* found = Find(pool);
  return found == nullptr ? std::nullopt : found->min_queue_ms;
}

auto Candidates::MinSpareQueueMs(PoolId pool) const -> std::optional<double> {
  const Pool* found = Find(pool);
  return found == nullptr ? std::nullopt : found->min_spare_queue_ms;
}

auto Candidates::SlotsOf(TargetId target) const -> int {
  const auto found = by_id_.find(target);
  return found == by_id_.end() ? 1 : found->second->slots;
}

auto Candidates::All(PoolId pool,
                     const Query& query,
                     const Permitted& permitted) const -> List {
  const Pool* found = Find(pool);
  if (found == nullptr)
    return {};
  const auto collect = [&](const List& targets, bool skip_avoided) {
    List list;
    for (const PlacementTarget* target : targets) {
      if (permitted(*target) &&
          !(skip_avoided && query.avoid->contains(target->id)))
        list.push_back(target);
    }
    return list;
  };
  List list = collect(found->usable, query.avoid != nullptr);
  return list.empty() ? collect(found->not_excluded, false) : list;
}

auto Candidates::Sample(PoolId pool,
                        const Query& query,
                        const Permitted& permitted) const -> List {
  const Pool* found = Find(pool);
  if (found == nullptr || found->not_leaving.size() <= kMaxUnsampledPoolSize)
    return All(pool, query, permitted);
  List list;
  const auto add = [&](const PlacementTarget* target) {
    const bool eligible =
        permitted(*target) && !unusable_.contains(target->id) &&
        !(query.avoid != nullptr && query.avoid->contains(target->id)) &&
        std::ranges::find(list, target) == list.end();
    if (eligible)
      list.push_back(target);
  };
  for (const TargetId id : query.always_include) {
    const auto target = by_id_.find(id);
    if (target != by_id_.end() && target->second->pool == pool &&
        !target->second->leaving)
      add(target->second);
  }
  std::ranges::for_each(found->always_sampled, add);
  const uint64_t sample_seed =
      HashPair(query.request, static_cast<uint64_t>(query.round));
  for (size_t i = 0; i < kRandomTargets && !found->usable.empty(); ++i)
    add(found->usable[HashPair(sample_seed >> 32, i) % found->usable.size()]);
  return list.empty() ? All(pool, query, permitted) : list;
}

auto Candidates::HighestRanked(PoolId pool,
                               uint64_t key,
                               const Permitted& permitted) const
    -> const PlacementTarget* {
  const Pool* found = Find(pool);
  if (found == nullptr)
    return nullptr;
  const PlacementTarget* highest = nullptr;
  uint64_t highest_rank = 0;
  for (const PlacementTarget* target :
       found->usable.empty() ? found->not_excluded : found->usable) {
    const uint64_t rank = HashPair(key, target->id);
    if (permitted(*target) && (highest == nullptr || rank > highest_rank)) {
      highest = target;
      highest_rank = rank;
    }
  }
  return highest;
}

}  // namespace sparbend
