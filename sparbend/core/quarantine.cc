// A row counts how many targets ended under a request one after the other. A
// run carries what was known when it was sent; if its target ends, the count
// becomes at least one more than that. So copies that were on their way at the
// same time, and all that a rack takes with it, count once; a request counts
// twice only if it was sent again after an end was known, and its target ended
// again. That is an order of events and needs no clocks that agree.
//
// A whole answer clears the row: what runs to its end somewhere does not end
// its targets. It begins a new count, and ends that belong to the one before
// are ignored wherever they are heard.
//
// Invariant: a row only rises, by (cleared, ends); merging takes the higher
// one, so words may be lost, repeated and overtake each other.
#include "sparbend/core/quarantine.h"

#include <algorithm>
#include <utility>

namespace sparbend {
namespace {

// One end is chance; two in a row are hardly.
constexpr uint32_t kEndsToBlock = 2;
// The first block is short, as a request that is blamed by chance must come
// free; each end after it makes it ten times as long.
constexpr int64_t kFirstBlockMs = 120'000;
constexpr int64_t kBlockFactor = 10;
constexpr int64_t kLongestBlockMs = 12'000'000;
// What is not blocked is remembered for so long after its last change.
constexpr Millis kRemembered = Millis(600'000);
constexpr uint32_t kMostEnds = 1'000;
// A workspace whose requests end many targets pushes out its own rows only.
constexpr size_t kMostOfWorkspace = 256;
constexpr size_t kMostRows = 2'048;
// Told with each word for so long after a change.
constexpr Millis kRecent = Millis(2'000);
constexpr size_t kRecentPerWord = 3;
constexpr size_t kOthersPerWord = 1;
constexpr Millis kToldFor = Millis(50);
constexpr int64_t kSecondMs = 1'000;

auto BlockSpan(uint32_t ends) -> Millis {
  int64_t span = ends < kEndsToBlock ? 0 : kFirstBlockMs;
  for (uint32_t more = kEndsToBlock; more < ends && span < kLongestBlockMs;
       ++more)
    span *= kBlockFactor;
  return Millis(std::min(span, kLongestBlockMs));
}

auto FirstOf(WorkspaceId workspace) -> Fingerprint {
  return {workspace, 0, 0};
}

}  // namespace

auto Quarantine::Concerns(WorkspaceId workspace, uint32_t path) const -> bool {
  const auto found = rows_.lower_bound({workspace, path, 0});
  return found != rows_.end() && found->first.workspace == workspace &&
         found->first.path == path;
}

auto Quarantine::SuspicionVersionOf(const Fingerprint& request) const
    -> SuspicionVersion {
  const auto found = rows_.find(request);
  return found == rows_.end() ? SuspicionVersion() : found->second.known;
}

auto Quarantine::BlockedFor(const Fingerprint& request, Millis now) const
    -> Millis {
  const auto found = rows_.find(request);
  if (found == rows_.end())
    return Millis(0);
  const Row& row = found->second;
  return std::max(Millis(0), row.at + BlockSpan(row.known.ends) - now);
}

auto Quarantine::OnEnded(const Fingerprint& request,
                         SuspicionVersion stamp,
                         Millis now) -> bool {
  const uint32_t ends = std::min(stamp.ends + 1, kMostEnds);
  const SuspicionVersion known = {stamp.cleared, ends};
  if (known <= SuspicionVersionOf(request))
    return false;
  Change(request, {known, now, /*kept=*/true}, now);
  return true;
}

auto Quarantine::OnWhole(const Fingerprint& request,
                         SuspicionVersion stamp,
                         Millis now) -> bool {
  const SuspicionVersion known = SuspicionVersionOf(request);
  if (known.ends == 0 || known.cleared != stamp.cleared)
    return false;
  Change(request, {{known.cleared + 1, 0}, now}, now);
  return true;
}

auto Quarantine::Lift(WorkspaceId workspace, Millis now) -> size_t {
  std::vector<Fingerprint> held;
  for (auto row = rows_.lower_bound(FirstOf(workspace));
       row != rows_.end() && row->first.workspace == workspace; ++row) {
    if (row->second.known.ends > 0)
      held.push_back(row->first);
  }
  for (const Fingerprint& request : held)
    OnWhole(request, SuspicionVersionOf(request), now);
  return held.size();
}

void Quarantine::Change(const Fingerprint& request,
                        const Row& row,
                        Millis now) {
  if (!rows_.contains(request))
    MakeRoom(request.workspace);
  const bool was_blocked = BlockedFor(request, now) > Millis(0);
  Row& known = rows_[request];
  kept_changed_ = kept_changed_ || known.kept || row.kept;
  known = row;
  recent_[request] = now;
  told_.clear();
  if (!was_blocked && BlockedFor(request, now) > Millis(0))
    newly_blocked_.push_back(request);
}

// The row of the fewest ends, and of these the one that changed first.
void Quarantine::DropLeast(Rows::iterator begin, Rows::iterator end) {
  const auto least = std::min_element(begin, end, [](auto& a, auto& b) {
    return std::pair(a.second.known.ends, a.second.at) <
           std::pair(b.second.known.ends, b.second.at);
  });
  recent_.erase(least->first);
  rows_.erase(least);
}

void Quarantine::MakeRoom(WorkspaceId workspace) {
  const auto begin = rows_.lower_bound(FirstOf(workspace));
  auto end = begin;
  size_t count = 0;
  while (end != rows_.end() && end->first.workspace == workspace) {
    ++end;
    ++count;
  }
  if (count >= kMostOfWorkspace)
    DropLeast(begin, end);
  else if (rows_.size() >= kMostRows)
    DropLeast(rows_.begin(), rows_.end());
}

void Quarantine::Expire(Millis now) {
  std::erase_if(rows_, [&](const auto& row) {
    return now - row.second.at >=
           BlockSpan(row.second.known.ends) + kRemembered;
  });
  std::erase_if(recent_, [&](const auto& entry) {
    return now - entry.second >= kRecent || !rows_.contains(entry.first);
  });
}

auto Quarantine::ToldRow(const Rows::value_type& row, Millis now) -> Suspicion {
  const int64_t age = (now - row.second.at).count() / kSecondMs;
  return {row.first, row.second.known.cleared, row.second.known.ends,
          static_cast<uint32_t>(std::max<int64_t>(0, age))};
}

auto Quarantine::RowsToReport(Millis now) -> const std::vector<Suspicion>& {
  if (rows_.empty()) {
    told_.clear();
  } else if (told_.empty() || now - told_at_ >= kToldFor) {
    told_ = Compose(now);
    told_at_ = now;
  }
  return told_;
}

auto Quarantine::Compose(Millis now) -> std::vector<Suspicion> {
  std::vector<Suspicion> told;
  Expire(now);
  std::vector<std::pair<Millis, Fingerprint>> recent;
  for (const auto& [request, at] : recent_)
    recent.emplace_back(at, request);
  std::ranges::sort(recent, std::greater());
  for (const auto& [at, request] : recent) {
    if (told.size() < kRecentPerWord)
      told.push_back(ToldRow(*rows_.find(request), now));
  }
  for (size_t i = 0; i < std::min(kOthersPerWord, rows_.size()); ++i) {
    auto next = rows_.upper_bound(told_last_);
    if (next == rows_.end())
      next = rows_.begin();
    told_last_ = next->first;
    if (!recent_.contains(told_last_))
      told.push_back(ToldRow(*next, now));
  }
  return told;
}

void Quarantine::UpdateFromPeer(const std::vector<Suspicion>& told,
                                Millis now) {
  for (const Suspicion& row : told) {
    const SuspicionVersion known = {row.cleared, std::min(row.ends, kMostEnds)};
    const Millis age(int64_t{row.age_s} * kSecondMs);
    const bool over = age >= BlockSpan(known.ends) + kRemembered;
    if (!over && known > SuspicionVersionOf(row.request))
      Change(row.request, {known, now - age}, now);
  }
}

void Quarantine::Restore(const std::vector<Suspicion>& kept, Millis now) {
  UpdateFromPeer(kept, now);
  for (const Suspicion& row : kept) {
    const auto found = rows_.find(row.request);
    if (found != rows_.end())
      found->second.kept = true;
  }
}

auto Quarantine::Kept(Millis now) const -> std::vector<Suspicion> {
  std::vector<Suspicion> kept;
  for (const auto& row : rows_) {
    if (row.second.kept && BlockedFor(row.first, now) > Millis(0))
      kept.push_back(ToldRow(row, now));
  }
  return kept;
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
      blocked.push_back({request, row.known.ends, span});
  }
  return blocked;
}

}  // namespace sparbend
