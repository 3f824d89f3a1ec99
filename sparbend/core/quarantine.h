// Requests that are suspected of crashing the targets that execute them. One
// that is suspected strongly enough is blocked (not sent) for a while. Each box
// records what it observes, and the boxes exchange their rows in load reports;
// they arrive at the same state in whatever order the reports come.
//
//   // When an attempt is sent:
//   const SuspicionVersion version_at_send =
//       quarantine.SuspicionVersionOf(request);
//   // When its target exited, or when it was answered completely:
//   quarantine.OnEnded(request, version_at_send, now);
//   quarantine.ClearSuspicion(request, version_at_send, now);
//   if (quarantine.BlockedFor(request, now) > Millis(0)) ...  // refuse it
//   peer.UpdateFromPeer(quarantine.RowsToReport(now), now);
//
// Does no I/O and reads no clock.
#ifndef SPARBEND_CORE_QUARANTINE_H_
#define SPARBEND_CORE_QUARANTINE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "sparbend/core/fingerprint.h"
#include "sparbend/core/messages.h"
#include "sparbend/core/millis.h"

namespace sparbend {

// State of the suspicion of a request. An attempt carries the version at the
// time when it was sent. Versions are ordered by (cleared, ends).
struct SuspicionVersion {
  uint32_t cleared = 0;  // times that the suspicion was cleared
  uint32_t ends = 0;     // successive target exits counted since

  auto operator<=>(const SuspicionVersion&) const = default;
};

class Quarantine {
 public:
  // Whether there are no rows, which is the usual case.
  auto empty() const -> bool { return rows_.empty(); }
  // Whether there is a row for the workspace and `path` (a PathDigest). If not,
  // the request's body need not be hashed.
  auto HasSuspicions(WorkspaceId workspace, uint32_t path) const -> bool;

  auto SuspicionVersionOf(const Fingerprint& request) const -> SuspicionVersion;
  // Remaining time for which `request` must not be sent; zero: it may be sent.
  auto BlockedFor(const Fingerprint& request, Millis now) const -> Millis;

  // An attempt sent at `version_at_send` was at a target when the target
  // exited. True if that raised the version.
  auto OnEnded(const Fingerprint& request,
               SuspicionVersion version_at_send,
               Millis now) -> bool;
  // Clears the suspicion: an attempt sent at `version_at_send` was answered
  // completely, or its target had not exited. True if the request was suspected
  // until now. No effect if it was cleared since the attempt was sent.
  auto ClearSuspicion(const Fingerprint& request,
                      SuspicionVersion version_at_send,
                      Millis now) -> bool;
  // Clears all suspected requests of the workspace, blocked or not, by command
  // of an operator. Returns their number.
  auto Lift(WorkspaceId workspace, Millis now) -> size_t;

  // Rows to send with the next load report: those that changed recently, and
  // some of the others in rotation, for boxes that have just started or were
  // cut off. May be called for each request: composed again at most 20 times a
  // second, and after a change.
  auto RowsToReport(Millis now) -> const std::vector<Suspicion>&;
  void UpdateFromPeer(const std::vector<Suspicion>& reported, Millis now);
  // Merges rows that this box persisted before its restart, and continues to
  // persist them.
  void Restore(const std::vector<Suspicion>& persisted, Millis now);
  // Rows that this box must persist: requests that are blocked and whose last
  // target exit was at an attempt of this box.
  auto Kept(Millis now) const -> std::vector<Suspicion>;
  // Whether Kept may have changed since the last call.
  auto TakePersistedRowsChanged() -> bool {
    return std::exchange(persisted_changed_, false);
  }

  struct Blocked {
    Fingerprint request;
    uint32_t ends = 0;  // target exits counted
    Millis span;        // remaining time of the block

    auto operator==(const Blocked&) const -> bool = default;
  };
  // Requests that became blocked since the last call and still are.
  auto TakeNewlyBlocked(Millis now) -> std::vector<Blocked>;
  // All blocked requests.
  auto ListBlocked(Millis now) const -> std::vector<Blocked>;

  // Number of rows.
  auto size() const -> size_t { return rows_.size(); }

 private:
  struct Row {
    SuspicionVersion version;
    Millis changed_at;       // time of the last change, on whichever box
    bool persisted = false;  // in this box's own record
  };
  using Rows = std::map<Fingerprint, Row>;

  void Change(const Fingerprint& request, const Row& row, Millis now);
  void Expire(Millis now);
  auto Compose(Millis now) -> std::vector<Suspicion>;
  void MakeRoom(WorkspaceId workspace);
  void EvictLeastSuspected(Rows::iterator begin, Rows::iterator end);
  static auto ToSuspicion(const Rows::value_type& row, Millis now) -> Suspicion;

  Rows rows_;
  // When this box changed or merged a row, for rows that changed recently.
  std::map<Fingerprint, Millis> recent_;
  std::vector<Fingerprint> newly_blocked_;
  bool persisted_changed_ = false;
  Fingerprint last_rotated_;  // last row sent in rotation
  // Result of RowsToReport until a row changes or kReportLifetime has passed.
  std::vector<Suspicion> report_;
  Millis composed_at_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_QUARANTINE_H_
