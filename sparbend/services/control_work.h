// The kinds of a box's control work: what keeps the boxes in step, as opposed
// to the requests of clients. Its processor time is counted by kind
// (ControlTimer).
#ifndef SPARBEND_SERVICES_CONTROL_WORK_H_
#define SPARBEND_SERVICES_CONTROL_WORK_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sparbend {

enum class ControlWork : uint8_t {
  kLoadReport,      // applying one
  kHallAggregate,   // applying one of another hall
  kFleetAggregate,  // applying one
  kStreamOrigins,   // applying a message on them
  kSchedule,        // placing requests, with no report due
  kReport,          // the same, with reports and aggregates made
  kSend,            // sending datagrams
  kListRead,        // applying targets that were read from the store
  kListFromPeer,    // applying a peer's list
  kListForPeer,     // answering a peer that asks for the list
  kConfiguration,   // applying configurations
};
inline constexpr size_t kControlWorkCount = 11;

// The name in metrics and logs.
auto ToString(ControlWork work) -> std::string_view;

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CONTROL_WORK_H_
