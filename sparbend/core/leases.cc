// Invariant per lease: returned <= granted; meant_for is never longer than
// the free slots (older entries are dropped: their slots become anybody's).
// in_flight may exceed granted - returned, after a lapse or a change of
// allocator: such requests finish in peace and simply free nothing.
#include "sparbend/core/leases.h"

#include <algorithm>

namespace sparbend {

auto LeaseBook::Lease::free() const -> int {
  const int64_t held = int64_t{granted} - returned;
  return static_cast<int>(std::max<int64_t>(0, held - in_flight));
}

void LeaseBook::Lease::Reset() {
  epoch = 0;
  granted = 0;
  returned = 0;
  keep = true;
  meant_for.clear();
  changed = true;
  urgent = in_flight > 0;
}

auto LeaseBook::Find(TargetId target) const -> const Lease* {
  const auto found = leases_.find(target);
  return found == leases_.end() ? nullptr : &found->second;
}

void LeaseBook::SetAllocator(TargetId target, std::optional<BoxId> allocator) {
  Lease& lease = leases_[target];
  if (lease.allocator == allocator)
    return;
  lease.allocator = allocator;
  lease.Reset();
}

void LeaseBook::Retain(const std::set<TargetId>& targets) {
  std::erase_if(leases_, [&](const auto& entry) {
    return !targets.contains(entry.first) && entry.second.in_flight == 0;
  });
  for (auto& [target, lease] : leases_) {
    if (!targets.contains(target))
      lease.Reset();
  }
}

auto LeaseBook::OnNotice(BoxId from,
                         const LeaseNotice& notice,
                         Millis now,
                         int* fresh) -> bool {
  const auto found = leases_.find(notice.target);
  if (found == leases_.end() || found->second.allocator != from)
    return false;
  Lease& lease = found->second;
  lease.heard = now;
  if (lease.epoch != notice.epoch) {
    lease.Reset();
    lease.epoch = notice.epoch;
  }
  lease.keep = notice.keep;
  if (notice.granted <= lease.granted)
    return true;
  *fresh += static_cast<int>(notice.granted - lease.granted);
  lease.granted = notice.granted;
  lease.changed = true;
  lease.meant_for.insert(lease.meant_for.end(), notice.meant_for.begin(),
                         notice.meant_for.end());
  while (static_cast<int>(lease.meant_for.size()) > lease.free())
    lease.meant_for.pop_front();
  return true;
}

void LeaseBook::OnHeard(BoxId from, Millis now) {
  for (auto& [target, lease] : leases_) {
    if (lease.allocator == from)
      lease.heard = now;
  }
}

void LeaseBook::Lapse(Millis now) {
  for (auto& [target, lease] : leases_) {
    if (lease.epoch != 0 && now - lease.heard >= kLeaseTime)
      lease.Reset();
  }
}

auto LeaseBook::Free(TargetId target) const -> int {
  const Lease* lease = Find(target);
  return lease == nullptr ? 0 : lease->free();
}

auto LeaseBook::Keep(TargetId target) const -> bool {
  const Lease* lease = Find(target);
  return lease != nullptr && lease->keep;
}

auto LeaseBook::InFlight(TargetId target) const -> int {
  const Lease* lease = Find(target);
  return lease == nullptr ? 0 : static_cast<int>(lease->in_flight);
}

auto LeaseBook::AllocatorOf(TargetId target) const -> std::optional<BoxId> {
  const Lease* lease = Find(target);
  return lease == nullptr ? std::nullopt : lease->allocator;
}

auto LeaseBook::MeantFor(TargetId target, WorkspaceId workspace) const -> bool {
  const Lease* lease = Find(target);
  return lease != nullptr && std::ranges::find(lease->meant_for, workspace) !=
                                 lease->meant_for.end();
}

auto LeaseBook::MeantCount(TargetId target) const -> int {
  const Lease* lease = Find(target);
  return lease == nullptr ? 0 : static_cast<int>(lease->meant_for.size());
}

void LeaseBook::Start(TargetId target, WorkspaceId workspace) {
  Lease& lease = leases_[target];
  ++lease.in_flight;
  lease.changed = true;
  const auto meant = std::ranges::find(lease.meant_for, workspace);
  if (meant != lease.meant_for.end())
    lease.meant_for.erase(meant);
  while (static_cast<int>(lease.meant_for.size()) > lease.free())
    lease.meant_for.pop_front();
}

void LeaseBook::Finish(TargetId target) {
  Lease& lease = leases_[target];
  --lease.in_flight;
  lease.changed = true;
}

auto LeaseBook::Return(TargetId target) -> int {
  Lease& lease = leases_[target];
  const int free = lease.free();
  lease.meant_for.clear();
  if (free == 0)
    return 0;
  lease.returned += static_cast<uint32_t>(free);
  lease.changed = true;
  lease.urgent = true;
  return free;
}

auto LeaseBook::free_targets() const -> std::vector<TargetId> {
  std::vector<TargetId> targets;
  for (const auto& [target, lease] : leases_) {
    if (lease.free() > 0)
      targets.push_back(target);
  }
  return targets;
}

auto LeaseBook::Reports(BoxId allocator, bool all) -> std::vector<LeaseReport> {
  std::vector<LeaseReport> reports;
  for (auto& [target, lease] : leases_) {
    const bool owed =
        lease.changed || (all && (lease.epoch != 0 || lease.in_flight > 0));
    if (lease.allocator != allocator || !owed)
      continue;
    reports.push_back(
        {target, lease.epoch, lease.granted, lease.returned, lease.in_flight});
    lease.changed = false;
    lease.urgent = false;
  }
  return reports;
}

auto LeaseBook::Urgent(BoxId allocator) const -> bool {
  return std::ranges::any_of(leases_, [&](const auto& entry) {
    return entry.second.allocator == allocator && entry.second.urgent;
  });
}

}  // namespace sparbend
