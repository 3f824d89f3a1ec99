// Invariant: lru_ has each key of holders_ once.
#include "sparbend/core/prefix_locations.h"

#include <algorithm>

namespace sparbend {
namespace {

constexpr size_t kMaxPrefixes = 20'000;
constexpr size_t kMaxRecentLocations = 24;
// A new location is in this box's load reports for this long, which is about
// three reports to each peer.
constexpr Millis kResendPeriod = Millis(700);
// A prefix that was not sent to a target for this long is taken to be evicted
// from its cache.
constexpr Millis kRetention = Millis(30'000);

}  // namespace

void PrefixLocations::MarkUsed(PrefixId prefix, TargetId target, Millis now) {
  const auto [found, added] = holders_.try_emplace(prefix);
  if (added) {
    lru_.push_front(prefix);
    found->second.lru_position = lru_.begin();
  } else {
    lru_.splice(lru_.begin(), lru_, found->second.lru_position);
  }
  auto& targets = found->second.targets;
  std::erase_if(targets, [&](const Holder& holder) {
    return now - holder.last_sent >= kRetention;
  });
  const auto known = std::ranges::find(targets, target, &Holder::target);
  if (known == targets.end())
    targets.push_back({target, now, now});
  else
    known->last_sent = now;
  if (lru_.size() > kMaxPrefixes) {
    holders_.erase(lru_.back());
    lru_.pop_back();
  }
}

auto PrefixLocations::Record(PrefixId prefix, TargetId target, Millis now)
    -> bool {
  const bool known = Holds(prefix, target, now);
  MarkUsed(prefix, target, now);
  if (known)
    return false;
  recent_.emplace_back(now, PrefixLocation{prefix, target});
  if (recent_.size() > kMaxRecentLocations)
    recent_.pop_front();
  return true;
}

void PrefixLocations::UpdateFromPeer(const PrefixLocation& location,
                                     Millis now) {
  MarkUsed(location.prefix, location.target, now);
}

auto PrefixLocations::Holds(PrefixId prefix, TargetId target, Millis now) const
    -> bool {
  const std::vector<Holder> holders = HoldersOf(prefix, now);
  return std::ranges::find(holders, target, &Holder::target) != holders.end();
}

auto PrefixLocations::HoldersOf(PrefixId prefix, Millis now) const
    -> std::vector<Holder> {
  std::vector<Holder> holders;
  const auto found = holders_.find(prefix);
  if (found == holders_.end())
    return holders;
  std::ranges::copy_if(found->second.targets, std::back_inserter(holders),
                       [&](const Holder& holder) {
                         return now - holder.last_sent < kRetention;
                       });
  return holders;
}

auto PrefixLocations::Recent(Millis now) const -> std::vector<PrefixLocation> {
  std::vector<PrefixLocation> locations;
  for (const auto& [recorded_at, location] : recent_) {
    if (now - recorded_at < kResendPeriod)
      locations.push_back(location);
  }
  return locations;
}

}  // namespace sparbend
