// Whether the events of a stream follow each other, by their ids: in one
// answer, and from one answer to the next that continues the stream.
//
//   EventOrder order(EventIds::kRising, /*after=*/"7");
//   order.Next("8");            // kGoesOn
//   order.BeginContinuation();  // another answer continues the stream
//   order.Next("8");            // kRepeated
#ifndef SPARBEND_CORE_EVENT_ORDER_H_
#define SPARBEND_CORE_EVENT_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sparbend {

// What a protocol promises of the ids of a stream's events.
enum class EventIds : uint8_t {
  kUnique,  // no two events have the same one
  kRising,  // they are whole numbers that rise
};

enum class EventStep : uint8_t {
  kGoesOn,
  kNoId,      // begins a continuation without an id
  kNoNumber,  // the id is no number, the last one was
  kRepeated,  // the client has an event with this id
  kWentBack,  // the number is lower than the last one
};

// Names for logs and metrics.
auto ToString(EventStep step) -> std::string_view;

class EventOrder {
 public:
  // With this many ids, a repeated one that is neither the first nor among the
  // latest is not recognised. Bounds the memory to 8 bytes each.
  static constexpr size_t kMaxKnownIds = 1'024;

  // `after`: the id of the last event that the client has; empty: it has none.
  explicit EventOrder(EventIds ids = EventIds::kUnique, std::string after = {});

  // Whether an event with this id goes on after the last one; empty: it has no
  // id. If so, its id is the last one from now on.
  auto Next(std::string_view id) -> EventStep;
  // The same for an event whose id is not known. If it goes on, the id of the
  // last event is not known from now on.
  auto NextUnknown() -> EventStep;
  // The next event is from another answer.
  void BeginContinuation();

  // The id of the last event that has one; empty: there is none, or it is not
  // known.
  auto last_id() const -> std::string {
    return last_is_known_ ? last_id_ : std::string();
  }

 private:
  auto Check(std::string_view id) const -> EventStep;
  auto IsKnown(std::string_view id) const -> bool;
  void Remember(std::string_view id);

  EventIds ids_;
  std::string last_id_;          // the last one that is known
  bool last_is_known_ = true;    // no event with another id came after it
  bool last_is_number_ = false;  // and the ids rise
  int64_t last_number_ = -1;     // its value if it is short; otherwise -1
  bool continues_ = false;       // an earlier answer began the stream
  bool at_beginning_ = false;    // of a continuation, before its first id
  // Hashes of ids that are not compared as numbers: the first, and the latest.
  std::vector<size_t> known_;
  size_t oldest_ = 1;  // the one that is replaced once known_ is full
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_EVENT_ORDER_H_
