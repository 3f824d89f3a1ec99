// Requests suspected of ending the targets that run them, and whether one is
// not to be sent for now. Any box adds what it saw; all come to the same view
// from each other's words, in any order.
//
//   const Stamp stamp = quarantine.SuspicionVersionOf(request);   // when it is
//   sent quarantine.OnEnded(request, stamp, now);           // its target ended
//   quarantine.OnWhole(request, stamp, now);           // or answered it whole
//   if (quarantine.BlockedFor(request, now) > Millis(0)) refuse it
//   peer.quarantine.Learn(quarantine.Told(now), now);
//
// Pure.
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

// What was known of a request when one of its runs was sent.
struct SuspicionVersion {
  uint32_t cleared = 0;
  uint32_t ends = 0;

  auto operator<=>(const SuspicionVersion&) const = default;
};

class Quarantine {
 public:
  // Whether any request is remembered; most of the time none is.
  auto empty() const -> bool { return rows_.empty(); }
  // Whether one of the workspace on that path is: else its body need not be
  // looked at.
  auto Concerns(WorkspaceId workspace, uint32_t path) const -> bool;

  auto SuspicionVersionOf(const Fingerprint& request) const -> SuspicionVersion;
  // How much longer it is not to be sent; zero: it may be.
  auto BlockedFor(const Fingerprint& request, Millis now) const -> Millis;

  // A run sent at `stamp` was at a target when that ended. True if that is
  // news.
  auto OnEnded(const Fingerprint& request, SuspicionVersion stamp, Millis now)
      -> bool;
  // A run sent at `stamp` was answered whole, or its target turned out to
  // live. True if the request was suspected until now.
  auto OnWhole(const Fingerprint& request, SuspicionVersion stamp, Millis now)
      -> bool;
  // An operator lets all requests of the workspace go; how many were held.
  auto Lift(WorkspaceId workspace, Millis now) -> size_t;

  // What to tell with the next word: what changed lately, and some of the rest
  // in turn, for boxes that have just started or were cut off. May be called
  // for each request: composed anew 20 times a second, and after a change.
  auto RowsToReport(Millis now) -> const std::vector<Suspicion>&;
  void UpdateFromPeer(const std::vector<Suspicion>& told, Millis now);
  // Rows that this box wrote down before it started; it goes on keeping them.
  void Restore(const std::vector<Suspicion>& kept, Millis now);
  // What this box is to write down: the requests that are blocked since a
  // target ended under a run of its own.
  auto Kept(Millis now) const -> std::vector<Suspicion>;
  // Whether that may differ from what it was at the last call.
  auto TakeKeptChanged() -> bool { return std::exchange(kept_changed_, false); }

  // Requests that are blocked since the last call, each with for how long.
  struct Blocked {
    Fingerprint request;
    uint32_t ends = 0;
    Millis span;

    auto operator==(const Blocked&) const -> bool = default;
  };
  auto TakeNewlyBlocked(Millis now) -> std::vector<Blocked>;
  // All that are blocked now.
  auto ListBlocked(Millis now) const -> std::vector<Blocked>;

  auto size() const -> size_t { return rows_.size(); }

 private:
  struct Row {
    SuspicionVersion known;
    Millis at;          // of the last change, wherever it was made
    bool kept = false;  // written down by this box
  };
  using Rows = std::map<Fingerprint, Row>;

  void Change(const Fingerprint& request, const Row& row, Millis now);
  void Expire(Millis now);
  auto Compose(Millis now) -> std::vector<Suspicion>;
  void MakeRoom(WorkspaceId workspace);
  void DropLeast(Rows::iterator begin, Rows::iterator end);
  static auto ToldRow(const Rows::value_type& row, Millis now) -> Suspicion;

  Rows rows_;
  std::map<Fingerprint, Millis> recent_;  // changed here at
  std::vector<Fingerprint> newly_blocked_;
  bool kept_changed_ = false;
  Fingerprint told_last_;
  // What is told until a row changes, or for a moment.
  std::vector<Suspicion> told_;
  Millis told_at_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_QUARANTINE_H_
