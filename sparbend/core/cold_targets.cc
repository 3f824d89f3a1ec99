// Load pattern: engines of a hall come back together, or a release replaces a
// few a second; each looks empty to every box, so all boxes would send there at
// once.
//
// A bound that holds over the fleet without a word between boxes: two boxes
// alone send to a cold target, the first by a hash among all that are listed,
// each at its own half of the rate. Boxes that are listed and dead keep their
// part, which is lost: a fleet that is cut in pieces would else have as many
// first boxes as pieces. While lists differ, after boxes were added, four may
// send for a moment; the rate leaves room for that.
//
// What a target says of itself is a second or two old. So one whose connections
// were refused, or that could not be reached, counts as cold on its return
// until it would have been heard to say so.
#include "sparbend/core/cold_targets.h"

#include <algorithm>

#include "sparbend/core/candidates.h"

namespace sparbend {
namespace {

// One would be simpler; the loss of one of two leaves half.
constexpr size_t kKeepers = 2;
// Part of the rate that is used: of requests at even intervals one more than
// the mean may fall into a second.
constexpr double kUsedPart = 0.9;
constexpr double kSecondMs = 1'000;

}  // namespace

void ColdTargets::SetBoxes(BoxId self, std::vector<BoxId> boxes) {
  self_ = self;
  boxes_ = std::move(boxes);
}

void ColdTargets::SetPools(std::map<PoolId, double> per_second) {
  per_second_ = std::move(per_second);
}

void ColdTargets::Retain(const std::set<TargetId>& targets) {
  std::erase_if(
      cold_, [&](const auto& cold) { return !targets.contains(cold.first); });
}

void ColdTargets::SetCold(TargetId target, Millis until) {
  State& state = cold_[target];
  state.until = std::max(state.until, until);
}

auto ColdTargets::IsCold(TargetId target, Millis now) const -> bool {
  const auto found = cold_.find(target);
  return found != cold_.end() && now < found->second.until;
}

// Whether fewer than kKeepers boxes come before this one.
auto ColdTargets::Keeps(TargetId target) const -> bool {
  const uint64_t own = RankOf(self_, target);
  size_t before = 0;
  for (const BoxId box : boxes_) {
    if (box != self_ && RankOf(box, target) > own && ++before >= kKeepers)
      return false;
  }
  return true;
}

auto ColdTargets::MaySend(TargetId target, PoolId pool, Millis now) const
    -> bool {
  const auto found = cold_.find(target);
  if (found == cold_.end() || now >= found->second.until)
    return true;
  const auto rate = per_second_.find(pool);
  if (rate == per_second_.end())
    return true;
  const double interval_ms =
      static_cast<double>(kKeepers) * kSecondMs / (kUsedPart * rate->second);
  const auto since = static_cast<double>((now - found->second.sent).count());
  return since >= interval_ms && Keeps(target);
}

void ColdTargets::Sent(TargetId target, Millis now) {
  const auto found = cold_.find(target);
  if (found != cold_.end())
    found->second.sent = now;
}

}  // namespace sparbend
