// Requests, and parts of prompts, that are suspected of crashing the targets
// that execute them. What is suspected strongly enough is blocked (not sent)
// for a while. Each box records what it observes, and the boxes exchange their
// rows in load reports; they arrive at the same state in whatever order the
// reports come.
//
//   // `request`: the fingerprints of the request and of its prompt parts.
//   if (quarantine.RefusedFor(request, now) > Millis(0)) ...  // refuse it
//   // When an attempt is sent:
//   quarantine.StartTrials(request, now);
//   const std::vector<SentSuspect> sent = quarantine.VersionsOf(request);
//   // For each of `sent`, when its target exited:
//   quarantine.OnEnded(suspect, version_at_send, now);
//   // When it was answered completely:
//   quarantine.OnAnswered(sent, now);
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

#include "sparbend/core/answered_parts.h"
#include "sparbend/core/fingerprint.h"
#include "sparbend/core/messages.h"
#include "sparbend/core/millis.h"

namespace sparbend {

// State of the suspicion of a request or prompt part. An attempt carries the
// version at the time when it was sent. Versions are ordered by (cleared, ends,
// trials).
struct SuspicionVersion {
  uint32_t cleared = 0;  // times that the suspicion was cleared
  uint32_t ends = 0;     // successive target exits counted since
  uint32_t trials = 0;   // attempts sent since then although it was blocked

  auto operator<=>(const SuspicionVersion&) const = default;
};

// What an attempt may have crashed its target with, as it was when sent.
struct SentSuspect {
  Fingerprint suspect;
  SuspicionVersion version;

  auto operator==(const SentSuspect&) const -> bool = default;
};

class Quarantine {
 public:
  // Whether there are no rows, which is the usual case.
  auto empty() const -> bool { return rows_.empty(); }
  // Whether there is a row for the workspace and `path` (a PathDigest). If not,
  // the request's body need not be hashed.
  auto HasSuspicions(WorkspaceId workspace, uint32_t path) const -> bool;

  auto SuspicionVersionOf(const Fingerprint& suspect) const -> SuspicionVersion;
  auto VersionsOf(const std::vector<Fingerprint>& request) const
      -> std::vector<SentSuspect>;
  // Remaining time of the block of `suspect`; zero: it is not blocked.
  auto BlockedFor(const Fingerprint& suspect, Millis now) const -> Millis;
  // How long a request with these fingerprints must not be sent; zero: it may
  // be sent, if only as a trial.
  auto RefusedFor(const std::vector<Fingerprint>& request, Millis now) const
      -> Millis;
  // A request with these fingerprints is sent. Records a trial of what is
  // blocked or was until lately; true if there is any.
  auto StartTrials(const std::vector<Fingerprint>& request, Millis now) -> bool;

  // An attempt sent at `version_at_send` was at a target when the target
  // exited. True if that raised the version.
  auto OnEnded(const Fingerprint& suspect,
               SuspicionVersion version_at_send,
               Millis now) -> bool;
  // An attempt was answered completely. Clears the suspicion of all of `sent`.
  void OnAnswered(const std::vector<SentSuspect>& sent, Millis now);
  // Clears the suspicion: an attempt sent at `version_at_send` was answered
  // completely, or its target had not exited. True if it was suspected until
  // now. No effect if it was cleared since the attempt was sent.
  auto ClearSuspicion(const Fingerprint& suspect,
                      SuspicionVersion version_at_send,
                      Millis now) -> bool;
  // Clears all that is suspected of the workspace, blocked or not, by command
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
  // Rows that this box must persist: those that are blocked and whose last
  // target exit was at an attempt of this box.
  auto Kept(Millis now) const -> std::vector<Suspicion>;
  // Whether Kept may have changed since the last call.
  auto TakePersistedRowsChanged() -> bool {
    return std::exchange(persisted_changed_, false);
  }

  struct Blocked {
    Fingerprint suspect;
    uint32_t ends = 0;  // target exits counted
    Millis span;        // remaining time of the block

    auto operator==(const Blocked&) const -> bool = default;
  };
  // What became blocked since the last call and still is.
  auto TakeNewlyBlocked(Millis now) -> std::vector<Blocked>;
  // All that is blocked.
  auto ListBlocked(Millis now) const -> std::vector<Blocked>;

  // Number of rows.
  auto size() const -> size_t { return rows_.size(); }

 private:
  struct Row {
    SuspicionVersion version;
    Millis changed_at;       // last change of `cleared` or `ends`, on any box
    bool persisted = false;  // in this box's own record
    Millis trial_at{0};      // start of the last trial, if there are any
  };
  using Rows = std::map<Fingerprint, Row>;
  // A row that changed recently.
  struct Recent {
    Millis at;        // when this box changed or merged it
    int urgency = 0;  // higher ones are reported first
    int reports = 0;  // reports since then
  };

  auto ExitsToBlock(const Fingerprint& suspect) const -> uint32_t;
  auto BlockDuration(const Fingerprint& suspect, uint32_t exits) const
      -> Millis;
  // Whether enough targets exited in succession to block it.
  auto IsConvicted(const Rows::value_type& row) const -> bool;
  // Whether the exits may be due to another part, which `request` lacks and
  // which is blocked or nearly so; and nothing else of `request` is convicted.
  auto IsDisputed(const Rows::value_type& row,
                  const std::vector<Fingerprint>& request) const -> bool;
  void Change(const Fingerprint& suspect, const Row& row, Millis now);
  void Expire(Millis now);
  auto Compose(Millis now) -> std::vector<Suspicion>;
  auto NextInRotation() -> Rows::const_iterator;
  void MakeRoom(WorkspaceId workspace);
  void EvictLeastSuspected(Rows::iterator begin, Rows::iterator end);
  static auto ToSuspicion(const Rows::value_type& row, Millis now) -> Suspicion;

  Rows rows_;
  AnsweredParts answered_parts_;
  std::map<Fingerprint, Recent> recent_;
  std::vector<Fingerprint> newly_blocked_;
  bool persisted_changed_ = false;
  // Last rows sent in the rotations of all rows and of the convicted ones.
  Fingerprint last_rotated_;
  Fingerprint last_rotated_convicted_;
  bool rotates_convicted_ = false;  // the last one was of the latter rotation
  // Result of RowsToReport until a row changes or kReportLifetime has passed.
  std::vector<Suspicion> report_;
  Millis composed_at_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_QUARANTINE_H_
