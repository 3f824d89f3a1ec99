// There is one row for each suspect, which is a request or a part of prompts.
// It counts how many targets exited in succession while they executed the
// request, or a request with the part. Each attempt carries the versions of its
// suspects' rows at the time when it was sent; if its target exits, each row's
// count becomes at least one more than the count in that version. Hence copies
// that were in flight at the same time count once, as do all exits by the
// failure of a rack. A suspect is counted twice only if it was sent again after
// the first exit was known, and its target exited again. This orders events
// without synchronised clocks.
//
// A complete answer clears the rows of its suspects, as what is executed to
// completion does not crash its targets. Clearing increments `cleared` and
// resets `ends`, the count of exits. Exits of attempts that were sent at a
// lower `cleared` are then ignored on all boxes.
//
// A part that is shared by many requests is answered in some of them and so is
// cleared soon. Parts that occur only together with the one that crashes
// targets have the same count as that one and are blocked with it. A request
// that holds one of them and lacks another tells them apart: such requests are
// sent one at a time in the fleet (a trial). A complete answer clears their
// part; kMaxTrialExits exits end its trials until the block ends. A suspect
// whose block has ended is tried in the same way.
//
// Invariant: the version of a row only increases, in the order of (cleared,
// ends, trials). Merging takes the higher version, so reports may be lost,
// repeated or reordered.
#include "sparbend/core/quarantine.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace sparbend {
namespace {

// One exit may be a coincidence; two in succession are unlikely to be one. A
// part is in many more requests, so that it is also present at more exits that
// it did not cause, and still more if it is in use.
constexpr uint32_t kExitsToBlockRequest = 2;
constexpr uint32_t kExitsToBlockPart = 3;
constexpr uint32_t kExitsToBlockAnsweredPart = 5;
// The first block is short, as a request that is suspected by coincidence must
// be released; each further exit makes the block ten times as long: 2, 20 and
// 200 minutes for a request after 2, 3 and 4 exits. It does not get longer
// after that.
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
// A trial that has had no outcome for this time had none that shows: most
// answers begin within a second, and a target that crashes does so then.
constexpr Millis kTrialInterval = Millis(2'000);
constexpr uint32_t kMaxTrialExits = 2;
// Urgencies of rows that changed recently: those that decide whether requests
// are sent, those that may soon, and those that probably will not.
constexpr int kDecides = 2;
constexpr int kMayDecide = 1;
constexpr int kRarelyDecides = 0;

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

auto Quarantine::ExitsToBlock(const Fingerprint& suspect) const -> uint32_t {
  if (!IsPart(suspect))
    return kExitsToBlockRequest;
  return answered_parts_.Contains(suspect) ? kExitsToBlockAnsweredPart
                                           : kExitsToBlockPart;
}

auto Quarantine::BlockDuration(const Fingerprint& suspect, uint32_t exits) const
    -> Millis {
  const uint32_t exits_to_block = ExitsToBlock(suspect);
  int64_t block_ms = exits < exits_to_block ? 0 : kInitialBlockMs;
  for (uint32_t counted = exits_to_block;
       counted < exits && block_ms < kMaxBlockMs; ++counted)
    block_ms *= kBlockFactor;
  return Millis(std::min(block_ms, kMaxBlockMs));
}

auto Quarantine::IsConvicted(const Rows::value_type& row) const -> bool {
  return row.second.version.ends >= ExitsToBlock(row.first);
}

// Two parts that both crash targets dispute each other, so trials end after
// kMaxTrialExits. Each exit in a trial raises the count.
auto Quarantine::IsDisputed(const Rows::value_type& row,
                            const std::vector<Fingerprint>& request) const
    -> bool {
  const Fingerprint& suspect = row.first;
  if (!IsPart(suspect) ||
      row.second.version.ends >= ExitsToBlock(suspect) + kMaxTrialExits)
    return false;
  for (const Fingerprint& held : request) {
    const auto found = rows_.find(held);
    if (held != suspect && found != rows_.end() && IsConvicted(*found))
      return false;
  }
  for (auto other = rows_.lower_bound(LowestFingerprintOf(suspect.workspace));
       other != rows_.end() && IsPart(other->first) &&
       other->first.workspace == suspect.workspace;
       ++other) {
    // Reports may have brought less of what is known of the other part.
    if (other->second.version.ends + 1 >= ExitsToBlock(other->first) &&
        std::ranges::find(request, other->first) == request.end())
      return true;
  }
  return false;
}

auto Quarantine::SuspicionVersionOf(const Fingerprint& request) const
    -> SuspicionVersion {
  const auto found = rows_.find(request);
  return found == rows_.end() ? SuspicionVersion() : found->second.version;
}

auto Quarantine::VersionsOf(const std::vector<Fingerprint>& request) const
    -> std::vector<SentSuspect> {
  std::vector<SentSuspect> versions;
  versions.reserve(request.size());
  for (const Fingerprint& suspect : request)
    versions.push_back({suspect, SuspicionVersionOf(suspect)});
  return versions;
}

auto Quarantine::BlockedFor(const Fingerprint& suspect, Millis now) const
    -> Millis {
  const auto found = rows_.find(suspect);
  if (found == rows_.end())
    return Millis(0);
  const Row& row = found->second;
  return std::max(
      Millis(0),
      row.changed_at + BlockDuration(suspect, row.version.ends) - now);
}

auto Quarantine::RefusedFor(const std::vector<Fingerprint>& request,
                            Millis now) const -> Millis {
  Millis refused_for(0);
  for (const Fingerprint& suspect : request) {
    const auto found = rows_.find(suspect);
    if (found == rows_.end() || !IsConvicted(*found))
      continue;
    const Row& row = found->second;
    Millis wait = BlockedFor(suspect, now);
    if (wait <= Millis(0) || IsDisputed(*found, request))
      wait = row.version.trials == 0 ? Millis(0)
                                     : row.trial_at + kTrialInterval - now;
    refused_for = std::max(refused_for, wait);
  }
  return refused_for;
}

auto Quarantine::StartTrials(const std::vector<Fingerprint>& request,
                             Millis now) -> bool {
  bool started = false;
  for (const Fingerprint& suspect : request) {
    const auto found = rows_.find(suspect);
    if (found == rows_.end() || !IsConvicted(*found))
      continue;
    Row row = found->second;
    ++row.version.trials;
    row.trial_at = now;
    Change(suspect, row, now);
    started = true;
  }
  return started;
}

auto Quarantine::OnEnded(const Fingerprint& suspect,
                         SuspicionVersion version_at_send,
                         Millis now) -> bool {
  const uint32_t exits = std::min(version_at_send.ends + 1, kMaxExits);
  const SuspicionVersion version = {version_at_send.cleared, exits};
  if (version <= SuspicionVersionOf(suspect))
    return false;
  Change(suspect, {version, now, /*persisted=*/true}, now);
  return true;
}

void Quarantine::OnAnswered(const std::vector<SentSuspect>& sent, Millis now) {
  for (const SentSuspect& answered : sent) {
    ClearSuspicion(answered.suspect, answered.version, now);
    if (IsPart(answered.suspect))
      answered_parts_.Add(answered.suspect);
  }
}

auto Quarantine::ClearSuspicion(const Fingerprint& suspect,
                                SuspicionVersion version_at_send,
                                Millis now) -> bool {
  const SuspicionVersion version = SuspicionVersionOf(suspect);
  if (version.ends == 0 || version.cleared != version_at_send.cleared)
    return false;
  Change(suspect, {{version.cleared + 1, 0}, now}, now);
  return true;
}

auto Quarantine::Lift(WorkspaceId workspace, Millis now) -> size_t {
  std::vector<Fingerprint> suspected;
  for (auto row = rows_.lower_bound(LowestFingerprintOf(workspace));
       row != rows_.end() && row->first.workspace == workspace; ++row) {
    if (row->second.version.ends > 0)
      suspected.push_back(row->first);
  }
  for (const Fingerprint& suspect : suspected)
    ClearSuspicion(suspect, SuspicionVersionOf(suspect), now);
  return suspected.size();
}

void Quarantine::Change(const Fingerprint& suspect,
                        const Row& row,
                        Millis now) {
  if (!rows_.contains(suspect))
    MakeRoom(suspect.workspace);
  const bool was_blocked = BlockedFor(suspect, now) > Millis(0);
  Row& current = rows_[suspect];
  persisted_changed_ = persisted_changed_ || current.persisted || row.persisted;
  current = row;
  const bool is_blocked = BlockedFor(suspect, now) > Millis(0);
  int urgency = kRarelyDecides;
  if (was_blocked || is_blocked)
    urgency = kDecides;
  else if (row.version.ends > 1 ||
           (row.version.ends == 1 && !answered_parts_.Contains(suspect)))
    urgency = kMayDecide;
  recent_[suspect] = {now, urgency};
  report_.clear();
  if (!was_blocked && is_blocked)
    newly_blocked_.push_back(suspect);
}

// Evicts the row with the fewest exits; of several, first those of parts that
// this box had answered, and then the one that changed least recently.
void Quarantine::EvictLeastSuspected(Rows::iterator begin, Rows::iterator end) {
  const auto strength = [&](const Rows::value_type& row) {
    return std::tuple(row.second.version.ends,
                      !answered_parts_.Contains(row.first),
                      row.second.changed_at);
  };
  const auto least = std::min_element(
      begin, end, [&](auto& a, auto& b) { return strength(a) < strength(b); });
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
           BlockDuration(row.first, row.second.version.ends) + kRetention;
  });
  std::erase_if(recent_, [&](const auto& entry) {
    return now - entry.second.at >= kRecentWindow ||
           !rows_.contains(entry.first);
  });
}

auto Quarantine::ToSuspicion(const Rows::value_type& row, Millis now)
    -> Suspicion {
  const int64_t age = (now - row.second.changed_at).count() / kMillisPerSecond;
  const SuspicionVersion& version = row.second.version;
  return {row.first, version.cleared, version.ends,
          static_cast<uint32_t>(std::max<int64_t>(0, age)), version.trials};
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
  std::vector<std::map<Fingerprint, Recent>::iterator> recent;
  for (auto changed = recent_.begin(); changed != recent_.end(); ++changed)
    recent.push_back(changed);
  // Of equally urgent rows, those that were reported least often.
  const auto priority = [&](const auto& changed) {
    const Recent& entry = changed->second;
    return std::tuple(entry.urgency, -entry.reports,
                      rows_.at(changed->first).version.ends, entry.at);
  };
  std::ranges::sort(recent, std::greater(), priority);
  for (const auto& changed : recent) {
    if (rows.size() >= kRecentRowsPerReport)
      break;
    ++changed->second.reports;
    rows.push_back(ToSuspicion(*rows_.find(changed->first), now));
  }
  for (size_t i = 0; i < std::min(kOtherRowsPerReport, rows_.size()); ++i) {
    const auto next = NextInRotation();
    if (!recent_.contains(next->first))
      rows.push_back(ToSuspicion(*next, now));
  }
  return rows;
}

// Every second row is a convicted one, if there are any, so that a box that has
// just started soon has those.
auto Quarantine::NextInRotation() -> Rows::const_iterator {
  const auto is_convicted = [this](const auto& row) {
    return IsConvicted(row);
  };
  rotates_convicted_ = !rotates_convicted_;
  if (rotates_convicted_) {
    auto next = std::find_if(rows_.upper_bound(last_rotated_convicted_),
                             rows_.end(), is_convicted);
    if (next == rows_.end())
      next = std::find_if(rows_.begin(), rows_.end(), is_convicted);
    if (next != rows_.end()) {
      last_rotated_convicted_ = next->first;
      return next;
    }
  }
  auto next = rows_.upper_bound(last_rotated_);
  if (next == rows_.end())
    next = rows_.begin();
  last_rotated_ = next->first;
  return next;
}

void Quarantine::UpdateFromPeer(const std::vector<Suspicion>& reported,
                                Millis now) {
  for (const Suspicion& row : reported) {
    const SuspicionVersion version = {
        row.cleared, std::min(row.ends, kMaxExits), row.trials};
    const Millis age(int64_t{row.age_s} * kMillisPerSecond);
    const bool expired =
        age >= BlockDuration(row.suspect, version.ends) + kRetention;
    const SuspicionVersion own = SuspicionVersionOf(row.suspect);
    if (expired || version <= own)
      continue;
    Row merged = {version, now - age, /*persisted=*/false, /*trial_at=*/now};
    const auto known = rows_.find(row.suspect);
    if (known != rows_.end() && version.cleared == own.cleared &&
        version.ends == own.ends) {
      merged.changed_at = known->second.changed_at;
      merged.persisted = known->second.persisted;
    }
    Change(row.suspect, merged, now);
  }
}

void Quarantine::Restore(const std::vector<Suspicion>& persisted, Millis now) {
  UpdateFromPeer(persisted, now);
  for (const Suspicion& row : persisted) {
    const auto found = rows_.find(row.suspect);
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
  for (const Fingerprint& suspect : std::exchange(newly_blocked_, {})) {
    const Millis span = BlockedFor(suspect, now);
    if (span > Millis(0))
      blocked.push_back({suspect, SuspicionVersionOf(suspect).ends, span});
  }
  return blocked;
}

auto Quarantine::ListBlocked(Millis now) const -> std::vector<Blocked> {
  std::vector<Blocked> blocked;
  for (const auto& [suspect, row] : rows_) {
    const Millis span = BlockedFor(suspect, now);
    if (span > Millis(0))
      blocked.push_back({suspect, row.version.ends, span});
  }
  return blocked;
}

}  // namespace sparbend
