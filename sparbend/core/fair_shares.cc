// What a flow requests is what it was served, what was refused to it, and what
// waits. A flow below its share is patient: its requests wait for seconds
// before they are refused, and until then a flood would have its share.
//
// A flow is underserved when less of what it requests is served than not.
// Boxes see a flow differently: one that arrives through a single box may be
// refused there, while an overload that arrives through all boxes finds spare
// capacity at each of them. So no flow may run far ahead of an underserved one,
// whichever boxes they arrive through: a flow that was served kMaxServiceRatio
// times as much must yield. The ratio of two underserved flows is then bounded
// by kMaxServiceRatio and by what is served within the age of the peers'
// reports.
//
// An underserved flow may be limited by its own ingress box, and leaving a
// target idle helps no flow. So no flow must yield below its entitlement: its
// max-min fair share of the declared capacity, computed from what all flows
// request. With the mean service as that limit, a fleet under load served half
// of its capacity. Service far above the entitlement is at the cost of other
// flows. A flow must yield there even if no flow is known to be underserved,
// since a saturated box does not see everything that is requested from it.
//
// Peers' reports of a flow are up to half a second old. If each box compared
// the flow's ceiling with their sum, all boxes it arrives through would fill
// the same gap at the same time, and stop at the same time. So the service of a
// flow is estimated as the mean of two values. The first is the reported sum.
// The second is this box's own service divided by its own fraction of what the
// flow requests, which is the service of the fleet if all boxes serve the flow
// evenly. The second is up to date and stops each box at its fraction of the
// ceiling; the first lets other boxes use what a box leaves of its fraction.
// The fraction itself is taken from figures of one age.
//
// The declared capacity may be far below what the targets can do. A flow that
// must yield by it, or by what is refused to others, does so in favour of
// nobody while most targets are idle, and what is refused to it makes others
// yield in turn. So no flow must yield then.
//
// All of this needs reports. Floods that begin together would each find the
// fleet idle, and the one that arrives through most boxes would fill the
// engines for seconds before anyone knows of the others. So what a flow may
// have in advance is bounded for as long as it may be unknown. Until the peers'
// reports are here, the flow is taken to arrive evenly through all boxes, and
// then through as many as the first reports leave possible.
#include "sparbend/core/fair_shares.h"

#include <algorithm>
#include <cmath>

namespace sparbend {
namespace {

// Minimum age of the levels before they are recomputed; they change over a
// second or more.
constexpr Millis kLevelInterval = Millis(20);
// A flow that was served this many times the mean of its pool has had its fair
// share.
constexpr double kMaxRatioToMean = 2;
// Maximum service of a flow as a multiple of the least service of an
// underserved flow. Users require that no flow gets less than half of what
// another gets.
constexpr double kMaxServiceRatio = 1.5;
// Maximum service of a flow as a multiple of its entitlement while an
// underserved flow is below its own. The margin is for late reports and for
// requests of very different sizes.
constexpr double kMaxEntitlementRatio = 1.05;
// The same while no underserved flow is below its entitlement: the remaining
// capacity may go to any flow that requests it.
constexpr double kMaxUncontendedEntitlementRatio = 1.5;
// A flow is below its entitlement if it was served less than this part of it.
constexpr double kShortfallRatio = 0.9;
// A refused request is retried about once, so each request that is not served
// shows up as about two refusals.
constexpr int64_t kDenialsPerRequest = 2;
// A flow is underserved only if what it was not served comes to at least this,
// which is more than a few of the largest requests.
constexpr int64_t kMinUnservedTokens = 50'000;
// Time constant of the decay in FairUsage. A steady rate shows up there as the
// amount of this many seconds.
constexpr int64_t kDecaySeconds = 2;
// Factor by which each request decays the sums of request sizes: some 50
// requests are remembered.
constexpr double kSizeRetention = 0.98;
// Overshoot of a box at its ceiling, in requests: a request takes the box past
// the ceiling by half of its size on average.
constexpr double kMeanOvershootRequests = 0.5;
constexpr Millis kSecond = Millis(1'000);
// What a flow may have before the others' demand is known, in seconds of the
// fleet's capacity. Ten other flows still get half as much each in the
// following six seconds, for which users compare them.
constexpr double kAdvanceSeconds = 0.5;
// What it may have in addition until then, as a part of the capacity: a flow
// that is alone keeps the targets busy.
constexpr double kAdvanceRate = 0.5;
// A flow's first requests say nothing of its rate before this time: they may be
// a single burst.
constexpr Millis kMinRateAge = Millis(500);
// A flow begins again after a pause of this length.
constexpr Millis kActivityPause = Millis(2'000);
// A report is hardly ever younger than this part of the longest delay, as it is
// handed on in several steps.
constexpr int64_t kMinReportAgeDivisor = 4;
// Weight, in requests, of the assumption that a flow does not grow: a few
// requests at one box say little of the others.
constexpr double kGrowthPriorRequests = 4;
// Weight of each of the two estimates of a flow's service.
constexpr double kEstimateWeight = 0.5;

// The part of a steady rate's decaying amount that there is after `age`.
auto FilledPart(Millis age) -> double {
  return 1 - std::exp(-static_cast<double>(age.count()) /
                      static_cast<double>(kDecaySeconds * kSecond.count()));
}

}  // namespace

void FairShares::RecordServed(Flow flow, int64_t amount, Millis now) {
  served_.Charge(flow, amount, now);
  if (amount <= 0)
    return;
  sizes_[flow].Add(static_cast<double>(amount));
  RecordActivity(flow, now);
}

void FairShares::RecordActivity(Flow flow, Millis now) {
  const auto [found, is_new] = activity_.try_emplace(flow);
  Activity& activity = found->second;
  if (is_new || now - activity.last >= kActivityPause)
    activity = {now, now, std::nullopt, {}};
  activity.last = now;
  activity.requested_here.Record(RequestedOf(flow, now).here, now);
  if (!activity.advance_used_at && IsBeyondAdvance(flow, Millis(0), now))
    activity.advance_used_at = now;
}

void FairShares::RequestSizes::Add(double amount) {
  squares = kSizeRetention * squares + amount * amount;
  sum = kSizeRetention * sum + amount;
}

void FairShares::RecordDenied(Flow flow, int64_t amount, Millis now) {
  denied_.Charge(flow, amount, now);
  RecordActivity(flow, now);
}

void FairShares::AddWaiting(Flow flow, int64_t amount) {
  const auto waiting = waiting_.try_emplace(flow).first;
  waiting->second += amount;
  if (waiting->second <= 0)
    waiting_.erase(waiting);
}

auto FairShares::WaitingOf(Flow flow) const -> int64_t {
  const auto waiting = waiting_.find(flow);
  return waiting == waiting_.end() ? 0 : waiting->second;
}

void FairShares::UpdateFromPeer(BoxId from,
                                const std::vector<FlowValue>& served,
                                const std::vector<FlowValue>& unserved,
                                Millis now) {
  reported_at_ = now;
  served_.UpdateFromPeer(from, served, now);
  denied_.UpdateFromPeer(from, unserved, now);
  for (const FlowValue& value : served)
    RecordActivity(value.flow, now);
  for (const FlowValue& value : unserved)
    RecordActivity(value.flow, now);
}

auto FairShares::UnservedToReport(size_t max_flows,
                                  Millis mean_age,
                                  Millis now) const -> std::vector<FlowValue> {
  std::map<Flow, int64_t> unserved;
  for (const FlowValue& denied :
       denied_.ValuesToReport(SIZE_MAX, mean_age, now))
    unserved[denied.flow] = denied.value;
  for (const auto& [flow, amount] : waiting_)
    unserved[flow] += kDenialsPerRequest * amount;
  std::vector<FlowValue> values;
  for (const auto& [flow, amount] : unserved)
    values.push_back({flow, amount});
  std::ranges::sort(values, std::ranges::greater(), &FlowValue::value);
  if (values.size() > max_flows)
    values.resize(max_flows);
  return values;
}

auto FairShares::UnservedByFlow(PoolId pool, Millis now) const
    -> std::map<Flow, int64_t> {
  std::map<Flow, int64_t> unserved;
  for (const FlowValue& denied : denied_.Amounts(pool, now))
    unserved[denied.flow] = denied.value / kDenialsPerRequest;
  for (const auto& [flow, amount] : waiting_) {
    if (flow.pool == pool)
      unserved[flow] += amount;
  }
  return unserved;
}

auto FairShares::ComputeLevels(PoolId pool, Millis now) const -> PoolLevels {
  PoolLevels levels;
  levels.at = now;
  int64_t sum = 0;
  int64_t count = 0;
  for (const FlowValue& served : served_.Amounts(pool, now)) {
    sum += served.value;
    count += served.value > 0 ? 1 : 0;
  }
  levels.mean = count == 0 ? 0 : sum / count;
  if (has_ample_room_ && has_ample_room_(pool, now)) {
    levels.entitled = std::numeric_limits<int64_t>::max();
    return levels;
  }
  std::map<Flow, int64_t> requested;
  for (const FlowValue& served : served_.Amounts(pool, now))
    requested[served.flow] = served.value;
  for (const auto& [flow, unserved] : UnservedByFlow(pool, now)) {
    const int64_t served = served_.ValueOf(flow, now);
    requested[flow] += unserved;
    if (unserved >= kMinUnservedTokens && unserved > served)
      levels.least_underserved =
          std::min(levels.least_underserved.value_or(served), served);
  }
  std::vector<int64_t> amounts;
  for (const auto& [flow, amount] : requested)
    amounts.push_back(SteadyAmount(flow, amount, now));
  levels.entitled = EntitledLevel(CapacityOf(pool, now), std::move(amounts));
  return levels;
}

// A steady rate fills a decaying amount only gradually. A flow that has just
// begun would seem to request little, and its competitors would be entitled to
// what it is about to request.
auto FairShares::SteadyAmount(Flow flow, int64_t amount, Millis now) const
    -> int64_t {
  const auto activity = activity_.find(flow);
  if (activity == activity_.end())
    return amount;
  const Millis age = now - activity->second.since;
  if (age < kMinRateAge)
    return amount;
  return std::llround(static_cast<double>(amount) / FilledPart(age));
}

// Of a pool that has just begun to be used, nobody is entitled to the work of
// seconds that are still to come.
auto FairShares::CapacityOf(PoolId pool, Millis now) const -> int64_t {
  const auto declared = capacity_.find(pool);
  if (declared == capacity_.end())
    return 0;
  Millis since = now;
  for (const auto& [flow, activity] : activity_) {
    if (flow.pool == pool && now - activity.last < kActivityPause)
      since = std::min(since, activity.since);
  }
  const double seconds = kAdvanceSeconds + static_cast<double>(kDecaySeconds) *
                                               FilledPart(now - since);
  return std::llround(static_cast<double>(declared->second) *
                      std::min(static_cast<double>(kDecaySeconds), seconds));
}

// Raises the fair shares of all flows evenly until the capacity is used up
// (water-filling). O(n log n).
auto FairShares::EntitledLevel(int64_t capacity, std::vector<int64_t> requested)
    -> int64_t {
  if (capacity == 0)
    return 0;
  int64_t remaining_capacity = capacity;
  std::ranges::sort(requested);
  for (size_t i = 0; i < requested.size(); ++i) {
    const auto remaining_flows = static_cast<int64_t>(requested.size() - i);
    if (requested[i] * remaining_flows >= remaining_capacity)
      return remaining_capacity / remaining_flows;
    remaining_capacity -= requested[i];
  }
  return std::numeric_limits<int64_t>::max();  // enough for all flows
}

auto FairShares::LevelsOf(PoolId pool, Millis now) const -> const PoolLevels& {
  PoolLevels& levels = levels_[pool];
  if (now - levels.at >= kLevelInterval)
    levels = ComputeLevels(pool, now);
  return levels;
}

// The least served underserved flow may be the flow that is being judged
// itself; its entitlement still bounds it.
auto FairShares::CeilingOf(const PoolLevels& levels) -> double {
  const auto entitled = static_cast<double>(levels.entitled);
  const bool any_below_entitlement =
      levels.least_underserved &&
      static_cast<double>(*levels.least_underserved) <
          kShortfallRatio * entitled;
  const double entitlement_ratio = any_below_entitlement
                                       ? kMaxEntitlementRatio
                                       : kMaxUncontendedEntitlementRatio;
  const double entitlement_limit =
      entitled > 0 ? entitlement_ratio * entitled : kMustYield;
  if (!levels.least_underserved)
    return entitlement_limit;
  const auto fair_level =
      static_cast<double>(std::max(*levels.least_underserved, levels.mean));
  return std::min(entitlement_limit,
                  std::max(entitled, kMaxServiceRatio * fair_level));
}

// Without this estimate, of two overloads the one that arrives through 59 boxes
// gets about one and a half times as much as the one that arrives through two.
auto FairShares::EstimatedService(Flow flow, double ceiling, Millis now) const
    -> double {
  const auto reported = static_cast<double>(served_.ValueOf(flow, now));
  const auto own = static_cast<double>(served_.OwnValueOf(flow, now));
  const double effective_boxes = EffectiveBoxes(flow, now);
  if (effective_boxes <= 0)
    return reported;
  // Other boxes exceed their fractions of the ceiling, each by half a request
  // on average.
  const double overshoot =
      std::min(TypicalRequestTokens(flow) * (effective_boxes - 1), ceiling) *
      kMeanOvershootRequests;
  return (reported + own * effective_boxes + overshoot) * kEstimateWeight;
}

// What other boxes request is known with a delay. Compared with what this box
// requests now, demand that grows at all boxes at once would look at each as if
// it grew there alone, and each would serve the whole flow. So this box's part
// counts as it was in the mean over the ages of the reports, and the others are
// taken to have grown since as this box has. Of few requests that says little.
auto FairShares::EffectiveBoxes(Flow flow, Millis now) const -> double {
  const auto [here, in_fleet] = RequestedOf(flow, now);
  if (here <= 0)
    return 0;
  const double elsewhere = in_fleet - here;
  const double prior = kGrowthPriorRequests * TypicalRequestTokens(flow);
  const double reported_here = ReportedHere(flow, now);
  const double growth =
      prior + reported_here <= 0 ? 1 : (prior + here) / (prior + reported_here);
  return std::min(1 + elsewhere * std::max(1.0, growth) / here,
                  std::max(in_fleet / here, static_cast<double>(boxes_)));
}

auto FairShares::ReportedHere(Flow flow, Millis now) const -> double {
  const auto activity = activity_.find(flow);
  if (activity == activity_.end() || report_delay_ <= Millis(0))
    return RequestedOf(flow, now).here;
  const Millis newest(report_delay_.count() / kMinReportAgeDivisor);
  return activity->second.requested_here.Mean(now - report_delay_,
                                              now - newest);
}

auto FairShares::RequestedOf(Flow flow, Millis now) const -> Requested {
  const int64_t waiting = WaitingOf(flow);
  const auto requested = [waiting](int64_t served, int64_t denied) {
    return static_cast<double>(served + denied / kDenialsPerRequest + waiting);
  };
  return {
      requested(served_.OwnValueOf(flow, now), denied_.OwnValueOf(flow, now)),
      requested(served_.ValueOf(flow, now), denied_.ValueOf(flow, now))};
}

auto FairShares::FractionHere(Flow flow, Millis now) const -> double {
  const Requested requested = RequestedOf(flow, now);
  return requested.in_fleet <= 0
             ? 1
             : std::clamp(requested.here / requested.in_fleet, 0.0, 1.0);
}

auto FairShares::TypicalRequestTokens(Flow flow) const -> double {
  const auto found = sizes_.find(flow);
  return found == sizes_.end() ? 0 : found->second.squares / found->second.sum;
}

auto FairShares::StateOf(Flow flow, Millis now) const -> FlowState {
  const PoolLevels& levels = LevelsOf(flow.pool, now);
  const double ceiling = CeilingOf(levels);
  const auto bounded = static_cast<double>(std::numeric_limits<int32_t>::max());
  FlowState state;
  state.served = served_.ValueOf(flow, now);
  state.requested = std::llround(RequestedOf(flow, now).in_fleet);
  state.estimated = std::llround(EstimatedService(flow, ceiling, now));
  if (ceiling < bounded)
    state.ceiling = static_cast<int64_t>(ceiling);
  if (levels.entitled > 0 && static_cast<double>(levels.entitled) < bounded)
    state.entitled = levels.entitled;
  return state;
}

auto FairShares::ShareForPlacement(Flow flow, Millis now) const -> FlowShare {
  const double ratio = RatioToFairShare(flow, now);
  const auto activity = activity_.find(flow);
  if (activity != activity_.end() && activity->second.advance_used_at) {
    const Millis elapsed = now - *activity->second.advance_used_at;
    if (elapsed < report_delay_ && IsBeyondAdvance(flow, elapsed, now))
      return {kMustYield, false};
  }
  return {ratio, ratio < 1 && IsBelowEntitlement(flow, now)};
}

auto FairShares::IsBelowEntitlement(Flow flow, Millis now) const -> bool {
  const PoolLevels& levels = LevelsOf(flow.pool, now);
  const bool is_contended =
      levels.entitled > 0 &&
      levels.entitled < std::numeric_limits<int64_t>::max();
  return is_contended &&
         static_cast<double>(served_.ValueOf(flow, now)) <
             kShortfallRatio * static_cast<double>(levels.entitled);
}

auto FairShares::IsBeyondAdvance(Flow flow, Millis elapsed, Millis now) const
    -> bool {
  const auto declared = capacity_.find(flow.pool);
  if (declared == capacity_.end() || declared->second == 0)
    return false;
  const double seconds =
      kAdvanceSeconds + kAdvanceRate * static_cast<double>(elapsed.count()) /
                            static_cast<double>(kSecond.count());
  return static_cast<double>(served_.OwnValueOf(flow, now)) *
             PossibleBoxes(flow, now) >
         seconds * static_cast<double>(declared->second);
}

// Only the older half of the ages that reports can have counts, since some
// boxes hear of a new flow no earlier. One more request may still be on its
// way.
auto FairShares::PossibleBoxes(Flow flow, Millis now) const -> double {
  const auto most = static_cast<double>(boxes_);
  const auto activity = activity_.find(flow);
  if (activity == activity_.end() || !reported_at_ ||
      report_delay_ <= Millis(0))
    return most;
  const double reported_here = activity->second.requested_here.Mean(
      *reported_at_ - report_delay_,
      *reported_at_ - Millis(report_delay_.count() / 2));
  if (reported_here <= 0)
    return most;
  const auto [here, in_fleet] = RequestedOf(flow, now);
  const double elsewhere = in_fleet - here + TypicalRequestTokens(flow);
  return std::min(most, 1 + elsewhere / reported_here);
}

auto FairShares::RatioToFairShare(Flow flow, Millis now) const -> double {
  const PoolLevels& levels = LevelsOf(flow.pool, now);
  if (levels.mean == 0)
    return 0;
  const double ceiling = CeilingOf(levels);
  const double served = EstimatedService(flow, ceiling, now);
  if (served > ceiling)
    return kMustYield;
  const double mean_limit = kMaxRatioToMean * static_cast<double>(levels.mean);
  return served / std::max(mean_limit, static_cast<double>(levels.entitled));
}

}  // namespace sparbend
