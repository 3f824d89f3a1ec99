// Engines of a hall may all restart at the same time, or a release may replace
// a few engines per second. Each of them looks idle to every box, so without a
// limit all boxes would send to it at once.
//
// The limit holds over the fleet without messages between boxes. Only two boxes
// send to a cold target, the two that rank highest for it by rendezvous hashing
// over all listed boxes, and each uses half of the rate. A listed box that is
// dead keeps its half of the rate, which is then not used: if the rank covered
// live boxes only, a partitioned fleet would have two senders in each
// partition. While the lists of boxes differ, after boxes were added, up to
// four boxes may send for a moment; the declared rate leaves room for that.
//
// A target's own record of its state is one or two seconds old when a box reads
// it. So a target that refused a connection, or that could not be reached, is
// treated as cold when it returns, for as long as its own report of being cold
// may take to arrive.
#include "sparbend/core/cold_targets.h"

#include <algorithm>

#include "sparbend/core/candidates.h"

namespace sparbend {
namespace {

// Boxes that may send to one cold target. With a single one, its death would
// leave the target without requests; with two, half of the rate is left.
constexpr size_t kSendersPerTarget = 2;
// Share of the rate that is used. Of requests at even intervals, one more than
// the mean may fall into a second.
constexpr double kUsedRateShare = 0.9;
constexpr double kSecondMs = 1'000;

}  // namespace

void ColdTargets::SetBoxes(BoxId self, std::vector<BoxId> boxes) {
  self_ = self;
  boxes_ = std::move(boxes);
}

void ColdTargets::SetPools(std::map<PoolId, double> requests_per_s) {
  requests_per_s_ = std::move(requests_per_s);
}

void ColdTargets::Retain(const std::set<TargetId>& targets) {
  std::erase_if(states_, [&](const auto& entry) {
    return !targets.contains(entry.first);
  });
}

void ColdTargets::SetCold(TargetId target, Millis until) {
  State& state = states_[target];
  state.until = std::max(state.until, until);
}

auto ColdTargets::IsCold(TargetId target, Millis now) const -> bool {
  const auto found = states_.find(target);
  return found != states_.end() && now < found->second.until;
}

// True if fewer than kSendersPerTarget boxes rank above this one.
auto ColdTargets::IsSender(TargetId target) const -> bool {
  const uint64_t own_rank = HashPair(self_, target);
  size_t higher_ranked = 0;
  for (const BoxId box : boxes_) {
    if (box != self_ && HashPair(box, target) > own_rank &&
        ++higher_ranked >= kSendersPerTarget)
      return false;
  }
  return true;
}

auto ColdTargets::MaySend(TargetId target, PoolId pool, Millis now) const
    -> bool {
  const auto found = states_.find(target);
  if (found == states_.end() || now >= found->second.until)
    return true;
  const auto rate = requests_per_s_.find(pool);
  if (rate == requests_per_s_.end())
    return true;
  const double interval_ms = static_cast<double>(kSendersPerTarget) *
                             kSecondMs / (kUsedRateShare * rate->second);
  const auto since_last_ms =
      static_cast<double>((now - found->second.last_sent).count());
  return since_last_ms >= interval_ms && IsSender(target);
}

void ColdTargets::RecordSent(TargetId target, Millis now) {
  const auto found = states_.find(target);
  if (found != states_.end())
    found->second.last_sent = now;
}

}  // namespace sparbend
