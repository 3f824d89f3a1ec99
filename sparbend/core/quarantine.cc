// There is one row for each suspected request. It counts how many targets
// exited in succession while they executed the request. Each attempt carries
// the version of the row at the time when it was sent; if its target exits, the
// row's count becomes at least one more than the count in that version. Hence
// copies of a request that were in flight at the same time count once, as do
// all exits by the failure of a rack. A request is counted twice only if it was
// sent again after the first exit was known, and its target exited again. This
// orders events without synchronised clocks.
//
// A complete answer clears the row, as a request that is executed to completion
// does not crash its targets. Clearing increments `cleared` and resets `ends`,
// the count of exits. Exits of attempts that were sent at a lower `cleared` are
// then ignored on all boxes.
//
// Invariant: the version of a row only increases, in the order of (cleared,
// ends). Merging takes the higher version, so reports may be lost, repeated or
// reordered.
#include "sparbend/core/quarantine.h"

#include <algorithm>
#include <utility>

namespace sparbend {
namespace {

// One exit may be a coincidence; two in succession are unlikely to be one.
constexpr uint32_t kExitsToBlock = 2;
// The first block is short, as a request that is suspected by coincidence must
// be released; each further exit makes the block ten times as long: 2, 20 and
// 200 minutes after 2, 3 and 4 exits. It does not get longer after that.
constexpr int64_t kInitialBlockMs = 120'000;
constexpr int64_t kBlockFactor = 10;
constexpr int64_t kMaxBlockMs = 12'000'000;
// Rows are kept for this time after their block ends, or after their last
// change if they are not blocked.
constexpr Millis kRetention = Millis(600'000);
// The count of a row does not exceed this.
constexpr uint32_t kMaxExits = 1'000;
// A workspace at its limit evicts its own rows, so that many suspected requests
// of one workspace do not evict those of others. If a workspace below its limit
// adds a row while all workspaces together have kMaxRows, the row evicted may
// be that of any workspace.
constexpr size_t kMaxRowsPerWorkspace = 256;
constexpr size_t kMaxRows = 2'048;
// For this time after a change a row counts as recently changed. Each load
// report carries the kRecentRowsPerReport of these rows that changed last.
constexpr Millis kRecentWindow = Millis(2'000);
constexpr size_t kRecentRowsPerReport = 3;
// Rows of a report that are taken in rotation from all rows; one that changed
// recently is skipped without a replacement.
constexpr size_t kOtherRowsPerReport = 1;
// RowsToReport returns the same rows for this time or until a row changes, as
// it may be called for each request.
constexpr Millis kReportLifetime = Millis(50);
constexpr int64_t kMillisPerSecond = 1'000;

auto BlockDuration(uint32_t exits) -> Millis {
  int64_t block_ms = exits < kExitsToBlock ? 0 : kInitialBlockMs;
  for (uint32_t counted = kExitsToBlock;
       counted < exits && block_ms < kMaxBlockMs; ++counted)
    block_ms *= kBlockFactor;
  return Millis(std::min(block_ms, kMaxBlockMs));
}

auto LowestFingerprintOf(WorkspaceId workspace) -> Fingerprint {
  return {workspace, 0, 0};
}

}  // namespace

auto Quarantine::HasSuspicions(WorkspaceId workspace, uint32_t path) const
    -> bool {
  const auto found = rows_.lower_bound({workspace, path, 0});
  return found != rows_.end() && found->first.workspace == workspace &&
         found->first.path == path;
}

auto Quarantine::SuspicionVersionOf(const Fingerprint& request) const
    -> SuspicionVersion {
  const auto found = rows_.find(request);
  return found == rows_.end() ? SuspicionVersion() : found->second.version;
}

auto Quarantine::BlockedFor(const Fingerprint& request, Millis now) const
    -> Millis {
  const auto found = rows_.find(request);
  if (found == rows_.end())
    return Millis(0);
  const Row& row = found->second;
  return std::max(Millis(0),
                  row.changed_at + BlockDuration(row.version.ends) - now);
}

auto Quarantine::OnEnded(const Fingerprint& request,
                         SuspicionVersion version_at_send,
                         Millis now) -> bool {
  const uint32_t exits = std::min(version_at_send.ends + 1, kMaxExits);
  const SuspicionVersion version = {version_at_send.cleared, exits};
  if (version <= SuspicionVersionOf(request))
    return false;
  Change(request, {version, now, /*persisted=*/true}, now);
  return true;
}

auto Quarantine::ClearSuspicion(const Fingerprint& request,
                                SuspicionVersion version_at_send,
                                Millis now) -> bool {
  const SuspicionVersion version = SuspicionVersionOf(request);
  if (version.ends == 0 || version.cleared != version_at_send.cleared)
    return false;
  Change(request, {{version.cleared + 1, 0}, now}, now);
  return true;
}

auto Quarantine::Lift(WorkspaceId workspace, Millis now) -> size_t {
  std::vector<Fingerprint> suspected;
  for (auto row = rows_.lower_bound(LowestFingerprintOf(workspace));
       row != rows_.end() && row->first.workspace == workspace; ++row) {
    if (row->second.version.ends > 0)
      suspected.push_back(row->first);
  }
  for (const Fingerprint& request : suspected)
    ClearSuspicion(request, SuspicionVersionOf(request), now);
  return suspected.size();
}

void Quarantine::Change(const Fingerprint& request,
                        const Row& row,
                        Millis now) {
  if (!rows_.contains(request))
    MakeRoom(request.workspace);
  const bool was_blocked = BlockedFor(request, now) > Millis(0);
  Row& current = rows_[request];
  persisted_changed_ = persisted_changed_ || current.persisted || row.persisted;
  current = row;
  recent_[request] = now;
  report_.clear();
  if (!was_blocked && BlockedFor(request, now) > Millis(0))
    newly_blocked_.push_back(request);
}

// Evicts the row with the fewest exits; of several, the one that changed least
// recently.
void Quarantine::EvictLeastSuspected(Rows::iterator begin, Rows::iterator end) {
  const auto least = std::min_element(begin, end, [](auto& a, auto& b) {
    return std::pair(a.second.version.ends, a.second.changed_at) <
           std::pair(b.second.version.ends, b.second.changed_at);
  });
  recent_.erase(least->first);
  rows_.erase(least);
}

void Quarantine::MakeRoom(WorkspaceId workspace) {
  const auto begin = rows_.lower_bound(LowestFingerprintOf(workspace));
  auto end = begin;
  size_t count = 0;
  while (end != rows_.end() && end->first.workspace == workspace) {
    ++end;
    ++count;
  }
  if (count >= kMaxRowsPerWorkspace)
    EvictLeastSuspected(begin, end);
  else if (rows_.size() >= kMaxRows)
    EvictLeastSuspected(rows_.begin(), rows_.end());
}

void Quarantine::Expire(Millis now) {
  std::erase_if(rows_, [&](const auto& row) {
    return now - row.second.changed_at >=
           BlockDuration(row.second.version.ends) + kRetention;
  });
  std::erase_if(recent_, [&](const auto& entry) {
    return now - entry.second >= kRecentWindow || !rows_.contains(entry.first);
  });
}

auto Quarantine::ToSuspicion(const Rows::value_type& row, Millis now)
    -> Suspicion {
  const int64_t age = (now - row.second.changed_at).count() / kMillisPerSecond;
  return {row.first, row.second.version.cleared, row.second.version.ends,
          static_cast<uint32_t>(std::max<int64_t>(0, age))};
}

auto Quarantine::RowsToReport(Millis now) -> const std::vector<Suspicion>& {
  if (rows_.empty()) {
    report_.clear();
  } else if (report_.empty() || now - composed_at_ >= kReportLifetime) {
    report_ = Compose(now);
    composed_at_ = now;
  }
  return report_;
}

auto Quarantine::Compose(Millis now) -> std::vector<Suspicion> {
  std::vector<Suspicion> rows;
  Expire(now);
  std::vector<std::pair<Millis, Fingerprint>> recent;
  for (const auto& [request, at] : recent_)
    recent.emplace_back(at, request);
  std::ranges::sort(recent, std::greater());
  for (const auto& [at, request] : recent) {
    if (rows.size() < kRecentRowsPerReport)
      rows.push_back(ToSuspicion(*rows_.find(request), now));
  }
  for (size_t i = 0; i < std::min(kOtherRowsPerReport, rows_.size()); ++i) {
    auto next = rows_.upper_bound(last_rotated_);
    if (next == rows_.end())
      next = rows_.begin();
    last_rotated_ = next->first;
    if (!recent_.contains(last_rotated_))
      rows.push_back(ToSuspicion(*next, now));
  }
  return rows;
}

void Quarantine::UpdateFromPeer(const std::vector<Suspicion>& reported,
                                Millis now) {
  for (const Suspicion& row : reported) {
    const SuspicionVersion version = {row.cleared,
                                      std::min(row.ends, kMaxExits)};
    const Millis age(int64_t{row.age_s} * kMillisPerSecond);
    const bool expired = age >= BlockDuration(version.ends) + kRetention;
    if (!expired && version > SuspicionVersionOf(row.request))
      Change(row.request, {version, now - age}, now);
  }
}

void Quarantine::Restore(const std::vector<Suspicion>& persisted, Millis now) {
  UpdateFromPeer(persisted, now);
  for (const Suspicion& row : persisted) {
    const auto found = rows_.find(row.request);
    if (found != rows_.end())
      found->second.persisted = true;
  }
}

auto Quarantine::Kept(Millis now) const -> std::vector<Suspicion> {
  std::vector<Suspicion> rows;
  for (const auto& row : rows_) {
    if (row.second.persisted && BlockedFor(row.first, now) > Millis(0))
      rows.push_back(ToSuspicion(row, now));
  }
  return rows;
}

auto Quarantine::TakeNewlyBlocked(Millis now) -> std::vector<Blocked> {
  std::vector<Blocked> blocked;
  for (const Fingerprint& request : std::exchange(newly_blocked_, {})) {
    const Millis span = BlockedFor(request, now);
    if (span > Millis(0))
      blocked.push_back({request, SuspicionVersionOf(request).ends, span});
  }
  return blocked;
}

auto Quarantine::ListBlocked(Millis now) const -> std::vector<Blocked> {
  std::vector<Blocked> blocked;
  for (const auto& [request, row] : rows_) {
    const Millis span = BlockedFor(request, now);
    if (span > Millis(0))
      blocked.push_back({request, row.version.ends, span});
  }
  return blocked;
}

}  // namespace sparbend
