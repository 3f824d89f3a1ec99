// How boxes get the list of targets and boxes from each other. A caller states
// the position that its own list is at and gets what changed since; one without
// a list gets the whole. An answer is encoded once for all callers that ask for
// the same, as all boxes of a hall do after a change.
//
//   const Json params = ToJson(ListRequest{from, boxes_digest,
//   targets_digest}); std::string answer =
//   answers.Answer(*ListRequestFrom(params), list, age); const auto received =
//   ListAnswerFrom(json); if (received)
//     changed = Apply(*received, read_at, earlier_era, &targets);
//
// Does no I/O.
#ifndef SPARBEND_CORE_LIST_EXCHANGE_H_
#define SPARBEND_CORE_LIST_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sparbend/core/json.h"
#include "sparbend/core/members.h"
#include "sparbend/core/target_table.h"

namespace sparbend {

using BoxEntries = std::map<std::string, BoxEntry>;  // by name

// Hash of the names of all targets, and of each target's start time, and
// whether it is leaving and whether it is cold.
auto DigestOf(const TargetTable& targets) -> uint32_t;
// The same with the names of the boxes.
auto DigestOf(const TargetTable& targets, const BoxEntries& boxes) -> uint32_t;
// Hash of the names of the boxes.
auto DigestOf(const BoxEntries& boxes) -> uint32_t;

// A box as records and lists have it. Addresses are not checked; the name must
// be UTF-8.
auto ToJson(const BoxEntry& box) -> Json;
auto BoxFrom(const std::string& name, const Json& json)
    -> std::optional<BoxEntry>;

// What the caller has.
struct ListRequest {
  LogPosition from;           // that its list is at; the start: it has none
  uint32_t boxes_digest = 0;  // of the boxes that it knows; zero: none
  // Of its targets; zero: it has none.
  uint32_t targets_digest = 0;

  auto operator==(const ListRequest&) const -> bool = default;
  auto operator<=>(const ListRequest&) const = default;
};
auto ToJson(const ListRequest& request) -> Json;
// Unreadable parameters request the whole list, as calls without any do.
auto ListRequestFrom(const std::string& params) -> ListRequest;

// A box's own list.
struct OwnList {
  bool known = false;  // whether it has one
  LogPosition end;     // up to which the targets' log was read
  Millis read_at;      // when the list was read from the store, by any box
  const TargetTable* targets = nullptr;
  const BoxEntries* boxes = nullptr;
};

class ListAnswers {
 public:
  // The answer, as JSON; `age` is the time since the list was read.
  auto Answer(const ListRequest& request, const OwnList& list, Millis age)
      -> std::string;
  // The list or the time at which it was read is another.
  void Clear() { encoded_.clear(); }

 private:
  // Without the age, which differs for each caller.
  std::map<ListRequest, std::string> encoded_;
};

struct ListedTarget {
  TargetEntry entry;
  LogPosition position;  // of its record in the log
  bool record_expired = false;
  bool has_version = true;  // builds before this field do not pass it on
};

struct ListAnswer {
  Millis age;
  // Has the changes since this position; the start: the whole list.
  LogPosition from;
  LogPosition end;
  std::vector<ListedTarget> targets;
  std::vector<std::string> removed;
  BoxEntries boxes;
  // Of the targets in the sender's list; nothing if it did not state it.
  std::optional<uint32_t> targets_digest;
};

// Nothing if the sender has no list.
auto ListAnswerFrom(const Json& json) -> std::optional<ListAnswer>;

// Puts the targets of an answer in `targets`, whose own list must not be newer;
// `read_at`: when the sender's list was read. `earlier_era`: what it means if
// the sender lacks a target whose record is of an earlier era; it may know
// nothing else than the copy that the store came back from. True if any target
// changed.
auto Apply(const ListAnswer& answer,
           Millis read_at,
           Removal earlier_era,
           TargetTable* targets) -> bool;

}  // namespace sparbend

#endif  // SPARBEND_CORE_LIST_EXCHANGE_H_
