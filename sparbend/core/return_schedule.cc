// A flow over its ceiling falls below it when its recent service has decayed
// that far. From then on its room comes at its entitled rate, of which this box
// assigns its own fraction; the sum over all boxes is then the flow's room,
// without any message. A return takes room from its time on: from a ring of
// time buckets, and from what comes after the last bucket.
//
// A box with a small fraction needs longer than the ring for the room of one
// request. All such boxes would assign their first return at the same time, so
// the first room of a flow is preceded by a pseudorandom part of one request.
//
// Invariants: at a constant rate, the tokens of the returns assigned until any
// time are at most the room that comes until then and two requests, one of each
// kind of client, which have begun and whose room ends later. First-time
// returns use at most kFirstReturnPart of the room of a bucket, and all returns
// kReturnPart, so that first attempts always find a part of the room.
//
// A client without room within the time that it honours is told the longest
// time that it honours: an earlier attempt would be refused, and without
// Retry-After it would come back at once. No room is assigned to it, but it is
// on time if it keeps that time: otherwise clients that retry all the time
// would be served more often.
#include "sparbend/core/return_schedule.h"

#include <algorithm>
#include <cmath>

namespace sparbend {
namespace {

// Time constant of the decay in FairUsage.
constexpr double kDecayMs = 2'000;
// Parts of the room of a bucket: for clients refused once, and for all
// returns. First attempts need the rest, since only they can be answered well
// within their objective. The difference is what a client that was refused
// several times gets earlier.
constexpr double kFirstReturnPart = 0.5;
constexpr double kReturnPart = 0.75;
// A client that comes back after this percentage of its delay kept its time:
// clocks and timers of clients differ by some percent.
constexpr int64_t kMinDelayKeptPercent = 90;
// Clients honour at most this fraction of their remaining time.
constexpr int64_t kHonouredDivisor = 3;
// A bucket with less than this part of its room left counts as full.
constexpr double kMinFreePart = 0.01;
// Room after the ring that may be assigned, in buckets: a minute. A wrong size
// must not keep a flow from returning for longer.
constexpr double kMaxBuckets = 1'500;
// Bounds of inputs. A request of more tokens than an engine's KV cache holds
// (some 600,000) can't run; a box with a smaller fraction of a flow has no
// requests of it to assign.
constexpr int64_t kMaxAmount = 1'000'000;
constexpr double kMinFraction = 1.0 / 4'096;

auto Uniform(uint64_t seed) -> double {
  constexpr uint64_t kMultiplier = 0x9e3779b97f4a7c15;
  seed = (seed ^ (seed >> 31)) * kMultiplier;
  seed = (seed ^ (seed >> 29)) * kMultiplier;
  return static_cast<double>(seed >> 11) * 0x1.0p-53;
}

auto AmountOf(const ReturnQuery& query) -> double {
  return static_cast<double>(std::clamp<int64_t>(query.amount, 1, kMaxAmount));
}

}  // namespace

auto ReturnSchedule::BelowCeilingAfter(const FairShares::FlowState& state)
    -> Millis {
  if (state.ceiling < 0 || state.estimated <= state.ceiling)
    return Millis(0);
  const double ratio = static_cast<double>(state.estimated) /
                       static_cast<double>(std::max<int64_t>(1, state.ceiling));
  return Millis(std::llround(std::ceil(kDecayMs * std::log(ratio))));
}

// Where the capacity is not declared, there is no entitlement. The flow's room
// is then what it had recently, within its ceiling.
auto ReturnSchedule::RateHere(const ReturnQuery& query) -> double {
  const FairShares::FlowState& state = query.state;
  int64_t amount = state.entitled;
  if (amount <= 0)
    amount = state.ceiling < 0 ? state.estimated
                               : std::min(state.estimated, state.ceiling);
  if (amount <= 0)
    return 0;
  const double fraction = std::isfinite(query.fraction)
                              ? std::clamp(query.fraction, kMinFraction, 1.0)
                              : 1.0;
  return static_cast<double>(amount) * 1'000 / kDecayMs * fraction;
}

auto ReturnSchedule::RoomOf(const ReturnQuery& query, double rate, Millis now)
    -> FlowRoom* {
  const int64_t bucket = now.count() / kBucketMs;
  const double bucket_room = rate * kBucketMs / 1'000;
  auto found = flows_.find(query.flow);
  if (found == flows_.end()) {
    if (flows_.size() >= kMaxFlows) {
      std::erase_if(flows_, [&](const auto& entry) {
        const FlowRoom& room = entry.second;
        return room.beyond <= 0 &&
               bucket - room.first_bucket >= static_cast<int64_t>(kBuckets);
      });
    }
    if (flows_.size() >= kMaxFlows)
      return nullptr;
    found = flows_.try_emplace(query.flow).first;
    found->second.first_bucket = bucket;
    double debt = Uniform(query.key ^ static_cast<uint64_t>(now.count())) *
                  AmountOf(query);
    for (size_t i = 0; i < kBuckets && debt > 0; ++i) {
      const double taken = std::min(debt, bucket_room * kReturnPart);
      found->second.assigned[(bucket + i) % kBuckets] =
          static_cast<float>(taken);
      debt -= taken;
    }
    found->second.beyond = std::max(debt, 0.0);
  }
  FlowRoom& room = found->second;
  constexpr auto kRing = static_cast<int64_t>(kBuckets);
  // What lies beyond the ring moves into the buckets that are new. Those that
  // passed unseen have taken their part too.
  const int64_t unseen = bucket - room.first_bucket - kRing;
  if (unseen > 0) {
    room.beyond -= static_cast<double>(unseen) * bucket_room * kReturnPart;
    room.first_bucket += unseen;
  }
  for (; room.first_bucket < bucket; ++room.first_bucket) {
    const double taken =
        std::clamp(room.beyond, 0.0, bucket_room * kReturnPart);
    room.assigned[room.first_bucket % kBuckets] = static_cast<float>(taken);
    room.beyond -= taken;
  }
  room.beyond = std::max(room.beyond, 0.0);
  return &room;
}

auto ReturnSchedule::AssignRoom(const ReturnQuery& query,
                                double rate,
                                bool refused_before,
                                Millis from,
                                Millis until,
                                Millis now) -> std::optional<Millis> {
  FlowRoom* room = RoomOf(query, rate, now);
  if (room == nullptr)
    return std::nullopt;
  const double bucket_room = rate * kBucketMs / 1'000;
  const double limit =
      bucket_room * (refused_before ? kReturnPart : kFirstReturnPart);
  const int64_t end = room->first_bucket + static_cast<int64_t>(kBuckets);
  const double min_free = limit * kMinFreePart;
  const auto free_in = [&](int64_t bucket) {
    return limit - room->assigned[bucket % kBuckets];
  };
  // The first run of buckets that all have room, from `from` on, in which the
  // request fits; a run at the end of the ring goes on after it. A request
  // never begins in a gap before another one, so that few are unfinished at any
  // time.
  const int64_t first = (from.count() + kBucketMs - 1) / kBucketMs;
  int64_t begin = first;
  double missing = AmountOf(query);
  for (int64_t bucket = first; bucket < end && missing > 0; ++bucket) {
    if (free_in(bucket) < min_free) {
      begin = bucket + 1;
      missing = AmountOf(query);
    } else {
      missing -= free_in(bucket);
    }
  }
  if (begin >= end || begin * kBucketMs > until.count())
    return std::nullopt;
  missing = AmountOf(query);
  for (int64_t bucket = begin; bucket < end && missing > 0; ++bucket) {
    const double taken = std::min(free_in(bucket), missing);
    room->assigned[bucket % kBuckets] += static_cast<float>(taken);
    missing -= taken;
  }
  room->beyond = std::min(room->beyond + std::max(missing, 0.0),
                          bucket_room * kMaxBuckets);
  return Millis(begin * kBucketMs);
}

auto ReturnSchedule::Assign(const ReturnQuery& query, Millis now)
    -> ReturnTime {
  latest_ = now = std::max(now, latest_);
  Expire(now);
  Millis longest = kMaxDelay;
  if (query.remaining)
    longest = std::clamp(Millis(query.remaining->count() / kHonouredDivisor),
                         Millis(0), kMaxDelay);
  const auto known = query.key == 0 ? returns_.end() : returns_.find(query.key);
  const bool refused_before =
      known != returns_.end() || query.asked_for >= kMinDelay;
  const Millis first =
      std::max({kMinDelay, query.engine_queue, BelowCeilingAfter(query.state)});
  const double rate = RateHere(query);
  std::optional<Millis> at;
  if (first <= longest)
    at = rate > 0 ? AssignRoom(query, rate, refused_before, now + first,
                               now + longest, now)
                  : now + first;
  ++(at ? counts_.assigned : counts_.no_return_in_time);
  const ReturnTime told = {at ? *at - now : longest, at.has_value()};
  if (query.key != 0)
    Remember(query.key, {now, now + told.delay, false});
  return told;
}

auto ReturnSchedule::Check(uint64_t key, Millis now) const -> Arrival {
  now = std::max(now, latest_);
  const auto found = key == 0 ? returns_.end() : returns_.find(key);
  if (found == returns_.end() || now > found->second.at + kMaxLateness)
    return Arrival::kNew;
  const Return& entry = found->second;
  const int64_t kept = (entry.at - entry.told_at).count();
  if (now < entry.told_at + Millis(kept * kMinDelayKeptPercent / 100))
    return Arrival::kEarly;
  return entry.used ? Arrival::kNew : Arrival::kOnTime;
}

auto ReturnSchedule::OnArrival(uint64_t key, Millis now) -> Arrival {
  latest_ = now = std::max(now, latest_);
  const Arrival arrival = Check(key, now);
  if (arrival == Arrival::kOnTime) {
    ++counts_.on_time;
    Remember(key, {now, now, true});
  }
  counts_.early += arrival == Arrival::kEarly ? 1 : 0;
  return arrival;
}

auto ReturnSchedule::TimeLeft(uint64_t key, Millis now) const -> Millis {
  const auto found = key == 0 ? returns_.end() : returns_.find(key);
  return found == returns_.end()
             ? Millis(0)
             : std::max(Millis(0), found->second.at - std::max(now, latest_));
}

void ReturnSchedule::Remember(uint64_t key, Return entry) {
  Erase(key);
  // The entry that would be forgotten first makes room.
  if (returns_.size() >= kMaxReturns)
    Erase(by_time_.begin()->second);
  returns_.emplace(key, entry);
  by_time_.emplace(entry.at, key);
}

void ReturnSchedule::Expire(Millis now) {
  while (!by_time_.empty() && by_time_.begin()->first + kMaxLateness < now)
    Erase(by_time_.begin()->second);
}

void ReturnSchedule::Erase(uint64_t key) {
  const auto found = returns_.find(key);
  if (found == returns_.end())
    return;
  by_time_.erase({found->second.at, key});
  returns_.erase(found);
}

}  // namespace sparbend
