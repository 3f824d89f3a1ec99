// The targets that exist, built from their records in the platform's store,
// which appear, change and expire. Records also expire in an outage of the
// store although their targets are alive. Such a target is kept until it has
// had the time to write its record again.
//
//   table.Put(entry, position, now);
//   table.Drop(name, position, Removal::kConfirmed);
//   if (table.RemoveExpiredTargets() || changed)
//     Use(table.entries(now));
//
// Positions are those of records, or of their removals, in the log of target
// records. Does no I/O.
#ifndef SPARBEND_CORE_TARGET_TABLE_H_
#define SPARBEND_CORE_TARGET_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sparbend/core/log_position.h"
#include "sparbend/core/members.h"
#include "sparbend/core/millis.h"

namespace sparbend {

// What a missing record means for its target.
enum class Removal {
  kConfirmed,  // the target is gone
  // The record may have expired in an outage of the store; see
  // StoreAvailability.
  kUnconfirmed,
};

class TargetTable {
 public:
  // Adds or replaces a target by its record at `position`, unless the record is
  // older than what is known. True if the target changed, apart from its
  // heartbeat; of the cold time, only an end that is later by more than a
  // second counts.
  auto Put(const TargetEntry& entry, LogPosition position, Millis now) -> bool;
  // The same for a record in the list of another box. What that box calls
  // changed counts as changed here, too (ChangesSince).
  auto PutFromPeer(const TargetEntry& entry, LogPosition position, Millis now)
      -> bool;
  // The record of the target was removed at `position`. True if the target was
  // removed from the table.
  auto Drop(const std::string& name, LogPosition position, Removal removal)
      -> bool;
  // The record under that name at `position` does not describe a target.
  // Removes the target known under the name, also after an outage of the store.
  // True if there was one.
  auto RejectRecord(const std::string& name, LogPosition position) -> bool;
  // `names` are all targets that have a record before `end`. Handles the
  // others as Drop does, except those with a record at or after `end`. True if
  // any target was removed.
  auto Retain(const std::set<std::string>& names,
              LogPosition end,
              Removal removal) -> bool;
  // The same for what another box lists, or has removed. That box has decided
  // itself which records may have expired, and lists their targets, so the
  // others are removed; `earlier_era` holds for targets whose record is of an
  // earlier era, which that box may never have known.
  auto RetainFromPeer(const std::set<std::string>& names,
                      LogPosition end,
                      Removal earlier_era) -> bool;
  auto DropFromPeer(const std::string& name,
                    LogPosition position,
                    Removal earlier_era) -> bool;

  // Another box reports that the target's record at `position` is gone, but may
  // have expired in an outage. Ignored if a record at another position is
  // known.
  void SetRecordExpired(const std::string& name, LogPosition position);
  // Another box, whose list is at least as new, reports that the records of no
  // other targets than `names` may have expired.
  void RetainExpired(const std::set<std::string>& names);
  // Removes the targets whose records expired and were not written again; true
  // if there were any.
  auto RemoveExpiredTargets() -> bool;

  struct Known {
    TargetEntry entry;
    LogPosition position;  // of the record in the log
    // The record is gone, but may have expired in an outage.
    bool record_expired = false;
    Millis cold_until;  // by this box's clock
    // Position at which the table learned of the last change that another box
    // needs. Heartbeats are no such changes.
    LogPosition changed_at;
  };

  // The difference between this table and that of another box. The pointers are
  // valid until the table changes.
  struct Changes {
    // Targets that changed, and all those whose records may have expired.
    std::vector<const Known*> targets;
    std::vector<std::string> removed;
  };

  // What a box lacks whose table has the records before `from`. Nothing if this
  // table does not remember all removals since, or if `from` is the start.
  auto ChangesSince(LogPosition from) const -> std::optional<Changes>;

  // All targets, with `cold_left` as of `now`.
  auto entries(Millis now) const -> std::vector<TargetEntry>;
  auto known() const -> const std::map<std::string, Known>& { return known_; }

 private:
  struct Dropped {
    LogPosition position;       // of the removal
    LogPosition learned_at;     // the highest known position at that time
    int64_t started_at_ms = 0;  // start time of the last known incarnation
    int64_t beat = 0;           // last known heartbeat of that incarnation
  };

  // Records that follow the known one in the log but not by start time and
  // heartbeat.
  struct Contradiction {
    LogPosition position;  // of the latest of them
    int64_t started_at_ms = 0;
    int64_t beat = 0;
    int count = 0;
  };

  // Counts a stale record. True if so many have contradicted what is known of
  // the target that it is wrong; then forgets it.
  auto IsRefuted(const TargetEntry& entry, LogPosition position) -> bool;
  // Adds the target to dropped_: its record was removed before `end`.
  void RecordRemoval(const Known& known, LogPosition end);
  // The entry of dropped_, made if it is missing.
  auto DroppedEntry(const std::string& name) -> Dropped&;
  // The table reflects the records before `end`, by a complete list.
  void SetComplete(LogPosition end);
  // Whether the record is older than what is known of the target.
  auto IsStale(const TargetEntry& entry, LogPosition position) const -> bool;
  // Removes the target, or marks it as expired; true if it was removed.
  auto ApplyRemoval(std::map<std::string, Known>::iterator known,
                    Removal removal) -> bool;

  std::map<std::string, Known> known_;
  // Records that were removed, by target name; makes Put ignore older records.
  std::map<std::string, Dropped> dropped_;
  std::map<std::string, Contradiction> contradictions_;  // by target name
  LogPosition highest_position_;  // of all records, removals and lists so far
  // Removals from this position on are in dropped_; nothing before the first
  // complete list.
  std::optional<LogPosition> removals_known_from_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_TARGET_TABLE_H_
