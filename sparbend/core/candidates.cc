// A choice looked at every target of the pool, and under load each waiting
// request chooses again every few milliseconds: with 320 targets that took most
// of what a box of an eighth of a core has. The best of a few drawn targets is
// nearly as good as the best of all, if the few always hold those that matter:
// the holders of the request's prefix and its first home.
//
// The others: some that this box always tries, of its own hall, so that
// connections to them are used again; and some drawn anew for each request and
// turn, of all halls, so that no room is missed for long and boxes don't crowd.
//
// Invariant: pools_ and by_id_ point into by_pool_, which changes in SetTargets
// alone.
#include "sparbend/core/candidates.h"

#include <algorithm>

namespace sparbend {
namespace {

// Pools up to this size are weighed whole: that costs what the sample does.
constexpr size_t kWhole = 64;
// Targets of its hall that a box always tries. Enough for its own requests at
// twice its mean rate; each target is tried first by some fifteen boxes.
constexpr size_t kOwn = 12;
// Targets drawn besides.
constexpr size_t kDrawn = 12;
// The view of all targets is made anew this often: within it a target's queue
// grows by a request or two.
constexpr Millis kRefresh = Millis(20);

auto Least(std::optional<double> least, double value) -> std::optional<double> {
  return least && *least <= value ? least : std::optional(value);
}

}  // namespace

auto RankOf(uint64_t one, uint64_t other) -> uint64_t {
  uint64_t mixed = (one << 32 | other) + 0x9e3779b97f4a7c15;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  return mixed ^ (mixed >> 31);
}

void Candidates::SetSeed(uint64_t seed) {
  seed_ = seed;
  Rank();
}

void Candidates::SetTargets(std::vector<PlacementTarget> targets) {
  by_pool_.clear();
  for (PlacementTarget& target : targets)
    by_pool_[target.pool].push_back(std::move(target));
  Rank();
}

void Candidates::Rank() {
  pools_.clear();
  by_id_.clear();
  refreshed_.reset();
  for (const auto& [id, targets] : by_pool_) {
    Pool& pool = pools_[id];
    for (const PlacementTarget& target : targets) {
      by_id_[target.id] = &target;
      if (!target.leaving)
        pool.staying.push_back(&target);
    }
    pool.present = pool.staying;
    // Until the first Refresh; targets that fail are left out from then on.
    for (const PlacementTarget* target : pool.present) {
      if (!unusable_.contains(target->id))
        pool.usable.push_back(target);
    }
    pool.own = pool.staying;
    std::ranges::sort(
        pool.own, std::greater(), [&](const PlacementTarget* target) {
          return std::pair(target->hall == hall_, RankOf(seed_, target->id));
        });
    pool.own.resize(std::min(pool.own.size(), kOwn));
  }
}

void Candidates::Refresh(const Views& views, Millis now) {
  if (refreshed_ && now - *refreshed_ < kRefresh)
    return;
  refreshed_ = now;
  unusable_.clear();
  for (auto& [id, pool] : pools_) {
    pool.present.clear();
    pool.usable.clear();
    pool.least_queue_ms.reset();
    pool.least_spare_ms.reset();
    for (const PlacementTarget* target : pool.staying) {
      if (views.is_barred(*target)) {
        unusable_.insert(target->id);
        continue;
      }
      pool.present.push_back(target);
      if (views.is_usable(target->id))
        pool.usable.push_back(target);
      else
        unusable_.insert(target->id);
      const double queue = views.queue_ms(*target);
      pool.least_queue_ms = Least(pool.least_queue_ms, queue);
      if (views.half_empty(*target))
        pool.least_spare_ms = Least(pool.least_spare_ms, queue);
    }
  }
}

auto Candidates::Find(PoolId pool) const -> const Pool* {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? nullptr : &found->second;
}

auto Candidates::LeastQueueMs(PoolId pool) const -> std::optional<double> {
  const Pool* found = Find(pool);
  return found == nullptr ? std::nullopt : found->least_queue_ms;
}

auto Candidates::LeastSpareMs(PoolId pool) const -> std::optional<double> {
  const Pool* found = Find(pool);
  return found == nullptr ? std::nullopt : found->least_spare_ms;
}

auto Candidates::All(PoolId pool,
                     const Ask& ask,
                     const Permitted& permitted) const -> List {
  const Pool* found = Find(pool);
  if (found == nullptr)
    return {};
  const auto copy = [&](const List& targets, bool avoiding) {
    List list;
    for (const PlacementTarget* target : targets) {
      if (permitted(target->hall) &&
          !(avoiding && ask.avoid->contains(target->id)))
        list.push_back(target);
    }
    return list;
  };
  List list = copy(found->usable, ask.avoid != nullptr);
  return list.empty() ? copy(found->present, false) : list;
}

auto Candidates::Few(PoolId pool,
                     const Ask& ask,
                     const Permitted& permitted) const -> List {
  const Pool* found = Find(pool);
  if (found == nullptr || found->staying.size() <= kWhole)
    return All(pool, ask, permitted);
  List list;
  const auto add = [&](const PlacementTarget* target) {
    const bool wanted =
        permitted(target->hall) && !unusable_.contains(target->id) &&
        !(ask.avoid != nullptr && ask.avoid->contains(target->id)) &&
        std::ranges::find(list, target) == list.end();
    if (wanted)
      list.push_back(target);
  };
  for (const TargetId id : ask.named) {
    const auto target = by_id_.find(id);
    if (target != by_id_.end() && target->second->pool == pool &&
        !target->second->leaving)
      add(target->second);
  }
  std::ranges::for_each(found->own, add);
  const uint64_t draw = RankOf(ask.request, static_cast<uint64_t>(ask.turn));
  for (size_t i = 0; i < kDrawn && !found->usable.empty(); ++i)
    add(found->usable[RankOf(draw >> 32, i) % found->usable.size()]);
  return list.empty() ? All(pool, ask, permitted) : list;
}

auto Candidates::First(PoolId pool,
                       uint64_t key,
                       const Permitted& permitted) const
    -> const PlacementTarget* {
  const Pool* found = Find(pool);
  if (found == nullptr)
    return nullptr;
  const PlacementTarget* first = nullptr;
  uint64_t best = 0;
  for (const PlacementTarget* target :
       found->usable.empty() ? found->present : found->usable) {
    const uint64_t rank = RankOf(key, target->id);
    if (permitted(target->hall) && (first == nullptr || rank > best)) {
      first = target;
      best = rank;
    }
  }
  return first;
}

}  // namespace sparbend
