// A flow is hungry when more of what it asks is refused than served. Boxes see
// a flow differently: one that comes through a single box may be refused there
// while a flood that comes through all of them finds a gap at each. So nobody
// may run far ahead of a hungry flow, whoever asks where: a flow that was
// served kAhead times as much yields. The bound on two hungry flows is then
// kAhead and what happens within the age of the boxes' words.
//
// A hungry flow's own box may be what holds it back, and a target that nobody
// uses helps nobody; so no flow yields below what it is owed of the declared
// capacity by max-min fairness, worked out from what all ask. (Measured: with
// the mean for that level a fleet under load served half of what it could.)
// What a flow gets far beyond that level it gets at the others' cost: it
// yields then even if nobody is known to be hungry, since a box that is behind
// does not hear all that is asked of it.
//
// What peers tell of a flow is up to half a second old. If each box held the
// flow's bound against that sum, all that it comes through would fill the same
// gap together, and stop together. So a flow is judged by the mean of two sums:
// what was told, and this box's own service over its own part of what the flow
// asks, which is what the fleet served if all boxes gave alike. The second is
// exact and stops each box at its part of the bound; the first gives to others
// what a box leaves of its part.
#include "sparbend/core/fair_shares.h"

#include <algorithm>
#include <cmath>

namespace sparbend {
namespace {

// Levels are worked out this often; they move over a second or more.
constexpr Millis kLevelInterval = Millis(20);
// A flow with so many times the mean had more than its fair part.
constexpr double kOverMeans = 2;
// Times as much as the least served hungry flow that a flow may be served; the
// users ask that nobody gets less than half of what another gets.
constexpr double kAhead = 1.5;
// Times what it is owed that a flow may be served: some room for amounts that
// are told late and for requests of very different sizes.
constexpr double kBeyondOwed = 1.05;
// The same while no hungry flow is short of what it is owed: what is left may
// go to whoever asks (measured: 1.05 at all times costs 0.02 to 0.04 of worth
// on quiet days).
constexpr double kBeyondOwedAtEase = 1.5;
constexpr double kShort = 0.9;
// A refused request comes back about once, so half of what is refused is asked
// besides what is served.
constexpr int64_t kAskedPerDenied = 2;
// A flow is hungry if what it asks besides is more than what it was served, and
// more than a few of the largest requests.
constexpr int64_t kHungryTokens = 100'000;
// Amounts fade with this time constant (FairUsage), so a steady rate shows as
// what it brings in that time.
constexpr int64_t kFadeSeconds = 2;
// Part of what is known of sizes that is kept with each request: some 50 are
// remembered.
constexpr double kSizesKept = 0.98;
constexpr double kHalf = 0.5;

}  // namespace

void FairShares::Served(Flow flow, int64_t amount, Millis now) {
  served_.Charge(flow, amount, now);
  if (amount > 0)
    sizes_[flow].Add(static_cast<double>(amount));
}

void FairShares::Sizes::Add(double amount) {
  squares = kSizesKept * squares + amount * amount;
  sum = kSizesKept * sum + amount;
}

void FairShares::Denied(Flow flow, int64_t amount, Millis now) {
  denied_.Charge(flow, amount, now);
}

void FairShares::UpdateFromPeer(BoxId from,
                                const std::vector<FlowValue>& served,
                                const std::vector<FlowValue>& denied,
                                Millis now) {
  served_.UpdateFromPeer(from, served, now);
  denied_.UpdateFromPeer(from, denied, now);
}

auto FairShares::FindLevels(PoolId pool, Millis now) const -> Levels {
  Levels levels;
  levels.at = now;
  int64_t sum = 0;
  int64_t count = 0;
  for (const FlowValue& served : served_.Amounts(pool, now)) {
    sum += served.value;
    count += served.value > 0 ? 1 : 0;
  }
  levels.mean = count == 0 ? 0 : sum / count;
  std::map<Flow, int64_t> asked;
  for (const FlowValue& served : served_.Amounts(pool, now))
    asked[served.flow] = served.value;
  for (const FlowValue& denied : denied_.Amounts(pool, now)) {
    const int64_t served = served_.Of(denied.flow, now);
    const int64_t besides = denied.value / kAskedPerDenied;
    asked[denied.flow] += besides;
    if (denied.value >= kHungryTokens && besides > served)
      levels.hungry = std::min(levels.hungry.value_or(served), served);
  }
  std::vector<int64_t> amounts;
  for (const auto& [flow, amount] : asked)
    amounts.push_back(amount);
  levels.owed = OwedLevel(pool, std::move(amounts));
  return levels;
}

// Fills all up evenly until the capacity is used; O(n log n).
auto FairShares::OwedLevel(PoolId pool, std::vector<int64_t> asked) const
    -> int64_t {
  const auto declared = capacity_.find(pool);
  if (declared == capacity_.end() || declared->second == 0)
    return 0;
  int64_t left = declared->second * kFadeSeconds;
  std::ranges::sort(asked);
  for (size_t i = 0; i < asked.size(); ++i) {
    const auto others = static_cast<int64_t>(asked.size() - i);
    if (asked[i] * others >= left)
      return left / others;
    left -= asked[i];
  }
  return std::numeric_limits<int64_t>::max();  // enough for all
}

auto FairShares::LevelsOf(PoolId pool, Millis now) const -> const Levels& {
  Levels& levels = levels_[pool];
  if (now - levels.at >= kLevelInterval)
    levels = FindLevels(pool, now);
  return levels;
}

// The least served hungry flow may be the very one that is judged; what it is
// owed still bounds it.
auto FairShares::CeilingOf(const Levels& levels) -> double {
  const auto owed = static_cast<double>(levels.owed);
  const bool any_short =
      levels.hungry && static_cast<double>(*levels.hungry) < kShort * owed;
  const double times = any_short ? kBeyondOwed : kBeyondOwedAtEase;
  const double beyond = owed > 0 ? times * owed : kMustYield;
  if (!levels.hungry)
    return beyond;
  const auto level = static_cast<double>(std::max(*levels.hungry, levels.mean));
  return std::min(beyond, std::max(owed, kAhead * level));
}

// Purpose: of two floods the one through 59 boxes had 1.56 times what the one
// through two had, now 1.08 times (tokens over 6 s, simulated, words every
// 500 ms).
auto FairShares::Judged(Flow flow, double ceiling, Millis now) const -> double {
  const auto told = static_cast<double>(served_.Of(flow, now));
  const auto own = static_cast<double>(served_.OwnOf(flow, now));
  const auto asked = [](int64_t served, int64_t denied) {
    return static_cast<double>(served + denied / kAskedPerDenied);
  };
  const double asked_here =
      asked(served_.OwnOf(flow, now), denied_.OwnOf(flow, now));
  const double asked_anywhere =
      asked(served_.Of(flow, now), denied_.Of(flow, now));
  if (asked_here <= 0)
    return told;
  const double parts = asked_anywhere / asked_here;
  // One request takes each other box past its part by half of its size in the
  // mean.
  const double beyond =
      std::min(UsualRequest(flow) * (parts - 1), ceiling) * kHalf;
  return (told + own * parts + beyond) * kHalf;
}

auto FairShares::UsualRequest(Flow flow) const -> double {
  const auto found = sizes_.find(flow);
  return found == sizes_.end() ? 0 : found->second.squares / found->second.sum;
}

auto FairShares::StandingOf(Flow flow, Millis now) const -> Standing {
  const Levels& levels = LevelsOf(flow.pool, now);
  const double ceiling = CeilingOf(levels);
  const auto bounded = static_cast<double>(std::numeric_limits<int32_t>::max());
  Standing standing;
  standing.served = served_.Of(flow, now);
  standing.judged = std::llround(Judged(flow, ceiling, now));
  if (ceiling < bounded)
    standing.ceiling = static_cast<int64_t>(ceiling);
  if (levels.owed > 0 && static_cast<double>(levels.owed) < bounded)
    standing.owed = levels.owed;
  return standing;
}

auto FairShares::Excess(Flow flow, Millis now) const -> double {
  const Levels& levels = LevelsOf(flow.pool, now);
  if (levels.mean == 0)
    return 0;
  const double ceiling = CeilingOf(levels);
  const double served = Judged(flow, ceiling, now);
  if (served > ceiling)
    return kMustYield;
  const double means = kOverMeans * static_cast<double>(levels.mean);
  return served / std::max(means, static_cast<double>(levels.owed));
}

}  // namespace sparbend
