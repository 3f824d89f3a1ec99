// The targets that exist, from records that appear, change and lapse. Records
// also lapse while the platform's store is away, though their targets live;
// such a target is kept until it had time to tell of itself again.
//
//   book.Put(entry, offset, now); book.Drop(key, offset, Removal::kFinal);
//   if (book.EndLapsed() || changed) use(book.entries(now));
#ifndef SPARBEND_CORE_TARGET_TABLE_H_
#define SPARBEND_CORE_TARGET_TABLE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "sparbend/core/members.h"
#include "sparbend/core/millis.h"

namespace sparbend {

// What it means that a target's record is gone.
enum class Removal {
  kFinal,     // the target is gone
  kDoubtful,  // the store may have lost the record; see StoreAvailability
};

class TargetTable {
 public:
  // A target's record; true if anything but its age changed.
  auto Put(const TargetEntry& entry, int64_t offset, Millis now) -> bool;
  // A target's record is gone; true if the target is.
  auto Drop(const std::string& name, int64_t offset, Removal removal) -> bool;
  // The record under that name is no target's: what stood there ends, store
  // away or not. True if anything did.
  auto Refute(const std::string& name, int64_t offset) -> bool;
  // The whole list was read up to `end`: what it does not name is gone.
  auto Retain(const std::set<std::string>& names, int64_t end, Removal removal)
      -> bool;
  // The same by the word of another box, which has judged lapses itself.
  auto RetainTold(const std::set<std::string>& names, int64_t end) -> bool;

  // By the word of another box, the target's record at `offset` is gone,
  // perhaps only for a while.
  void SetLapsed(const std::string& name, int64_t offset);
  // Ends the targets whose records did not come back; true if any.
  auto EndLapsed() -> bool;

  struct Known {
    TargetEntry entry;
    int64_t offset = 0;   // of the record in the log
    bool lapsed = false;  // its record is gone, perhaps only for a while
    Millis cold_until;    // by this box's clock
  };

  // With what is left now of the time that they stay cold.
  auto entries(Millis now) const -> std::vector<TargetEntry>;
  auto known() const -> const std::map<std::string, Known>& { return known_; }

 private:
  // The target had no record before offset `end`.
  void RememberGone(const Known& known, int64_t end);
  auto IsOld(const TargetEntry& entry, int64_t offset) const -> bool;
  auto Lapse(std::map<std::string, Known>::iterator known, Removal removal)
      -> bool;

  std::map<std::string, Known> known_;
  struct Dropped {
    int64_t offset = 0;         // of the drop
    int64_t started_at_ms = 0;  // of the last life known before
    int64_t beat = 0;           // its last one known
  };
  std::map<std::string, Dropped> dropped_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_TARGET_TABLE_H_
