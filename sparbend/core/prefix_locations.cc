// Invariant: by_use_ holds each key of holders_ once.
#include "sparbend/core/prefix_locations.h"

#include <algorithm>

namespace sparbend {
namespace {

constexpr size_t kMostPrefixes = 20'000;
constexpr size_t kMostRecent = 24;
// A home is told for so long; some three words to each peer.
constexpr Millis kTold = Millis(700);
// A prefix unused for so long is taken to be gone from a target's cache.
constexpr Millis kKept = Millis(30'000);

}  // namespace

void PrefixLocations::Touch(PrefixId prefix, TargetId target, Millis now) {
  const auto [found, added] = holders_.try_emplace(prefix);
  if (added) {
    by_use_.push_front(prefix);
    found->second.place = by_use_.begin();
  } else {
    by_use_.splice(by_use_.begin(), by_use_, found->second.place);
  }
  auto& targets = found->second.targets;
  std::erase_if(targets, [&](const Holder& holder) {
    return now - holder.used >= kKept;
  });
  const auto known = std::ranges::find(targets, target, &Holder::target);
  if (known == targets.end())
    targets.push_back({target, now, now});
  else
    known->used = now;
  if (by_use_.size() > kMostPrefixes) {
    holders_.erase(by_use_.back());
    by_use_.pop_back();
  }
}

auto PrefixLocations::Note(PrefixId prefix, TargetId target, Millis now)
    -> bool {
  const bool known = Holds(prefix, target, now);
  Touch(prefix, target, now);
  if (known)
    return false;
  recent_.emplace_back(now, PrefixLocation{prefix, target});
  if (recent_.size() > kMostRecent)
    recent_.pop_front();
  return true;
}

void PrefixLocations::UpdateFromPeer(const PrefixLocation& home, Millis now) {
  Touch(home.prefix, home.target, now);
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
  std::ranges::copy_if(
      found->second.targets, std::back_inserter(holders),
      [&](const Holder& holder) { return now - holder.used < kKept; });
  return holders;
}

auto PrefixLocations::Recent(Millis now) const -> std::vector<PrefixLocation> {
  std::vector<PrefixLocation> homes;
  for (const auto& [made, home] : recent_) {
    if (now - made < kTold)
      homes.push_back(home);
  }
  return homes;
}

}  // namespace sparbend
