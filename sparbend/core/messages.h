// What boxes tell each other, as plain values. Every part states a level, not
// an event: a datagram may be lost, and the next one makes it good. A peer's
// datagrams are taken in the order of their sequence; older ones are dropped.
#ifndef SPARBEND_CORE_MESSAGES_H_
#define SPARBEND_CORE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sparbend/core/errors.h"
#include "sparbend/core/fingerprint.h"
#include "sparbend/core/ids.h"
#include "sparbend/core/work.h"

namespace sparbend {

// Allocator to entry box: the slots of one target leased to that box so far.
struct LeaseNotice {
  TargetId target = 0;
  uint32_t epoch = 0;    // of the allocator's books for this box
  uint32_t granted = 0;  // slots granted since the epoch began
  bool keep = false;     // unused slots may be kept; else hand them back
  // Workspaces that the newest grants are meant for, oldest first.
  std::vector<WorkspaceId> meant_for;

  auto operator==(const LeaseNotice&) const -> bool = default;
};

// Entry box to allocator: what became of the slots.
struct LeaseReport {
  TargetId target = 0;
  uint32_t epoch = 0;
  uint32_t granted_seen = 0;
  uint32_t returned = 0;   // slots handed back since the epoch began
  uint32_t in_flight = 0;  // requests running at the target for this box

  auto operator==(const LeaseReport&) const -> bool = default;
};

// Entry box to allocator: work of one flow that waits in this box.
struct Demand {
  Flow flow;
  uint32_t queued = 0;   // zero withdraws the demand
  uint32_t age_ms = 0;   // of the oldest
  int64_t estimate = 0;  // normalised service one request is expected to cost

  auto operator==(const Demand&) const -> bool = default;
};

// The sender's own register of one flow, or the lift of one flow.
struct FlowValue {
  Flow flow;
  int64_t value = 0;

  auto operator==(const FlowValue&) const -> bool = default;
};

// Allocator to entry box: the service up to which a flow may keep a slot of
// the pool in the allocator's hall while others wait.
struct SlotKeepLimit {
  PoolId pool = 0;
  int64_t value = 0;

  auto operator==(const SlotKeepLimit&) const -> bool = default;
};

// What the sender knows of a third box.
struct MemberNews {
  BoxId box = 0;
  uint32_t incarnation = 0;
  uint32_t heartbeat = 0;  // rises while the box lives
  bool leaving = false;

  auto operator==(const MemberNews&) const -> bool = default;
};

// Any box to all: how a request stands that targets ended under (Quarantine).
struct Suspicion {
  Fingerprint request;
  uint32_t cleared = 0;  // times that it was found innocent
  uint32_t ends = 0;     // of targets under it since, one after the other
  uint32_t age_s = 0;    // seconds since that changed

  auto operator==(const Suspicion&) const -> bool = default;
};

// A sum over boxes is too long for one datagram: it comes in parts that have
// the same sequence number.
enum class DatagramKind : uint8_t {
  kLoadReport,      // what the sender itself has
  kHallAggregate,   // the sum over the boxes of the sender's hall
  kFleetAggregate,  // the sum over all boxes that the sender knows of
};

struct SumHead {
  uint32_t part = 0;   // of `parts`, from zero
  uint32_t parts = 1;  // of this sum
  uint32_t boxes = 0;  // whose words are in the sum

  auto operator==(const SumHead&) const -> bool = default;
};

struct Datagram {
  DatagramKind kind = DatagramKind::kLoadReport;
  SumHead sum;  // of no meaning in a word
  BoxId sender = 0;
  uint32_t incarnation = 0;
  uint32_t sequence = 0;   // per sender and receiver, rising
  uint32_t heartbeat = 0;  // rises while the sender lives
  bool leaving = false;
  int64_t config_offset = 0;  // next record the sender's fold will take
  uint32_t directory = 0;     // digest of the sender's list of targets
  uint32_t directory_age_ms = UINT32_MAX;  // since the sender read it
  // Since the store's answers that the sender knows of, without a break, began
  // and ended (AnsweredSpan); UINT32_MAX: it knows of none.
  uint32_t store_since_ms = UINT32_MAX;
  uint32_t store_until_ms = UINT32_MAX;
  std::vector<LeaseNotice> leases;
  std::vector<LeaseReport> reports;
  std::vector<Demand> demands;
  std::vector<FlowValue> services;
  std::vector<FlowValue> min_services;
  std::vector<SlotKeepLimit> floors;
  // In a sum: the boxes of the sender's hall whose words are in it, each with
  // the heartbeat of its word.
  std::vector<MemberNews> members;
  std::vector<TargetId> leaving_targets;
  // All the sender, or the boxes of the sum, have running.
  std::vector<TargetLoad> loads;
  std::vector<PrefixLocation> homes;  // made lately
  // What was refused to flows lately for want of room.
  std::vector<FlowValue> denials;
  std::vector<Suspicion> suspicions;

  auto operator==(const Datagram&) const -> bool = default;
};

// Largest datagram sent or taken, in bytes; stays within one Ethernet frame.
inline constexpr size_t kMaxDatagramBytes = 1'400;
// Most parts of a sum: some 4,000 targets' loads.
inline constexpr uint32_t kMostParts = 64;
// Bytes of IP and UDP headers, for counting what the network carries.
inline constexpr size_t kHeaderBytes = 28;

// MessagePack under an HMAC tag made with `key`. O(size).
auto EncodeDatagram(const Datagram& datagram, std::string_view key)
    -> std::string;

// kUnauthorised when the tag is not `key`'s, kUnsupported when a box of another
// version made it, kMalformed when it does not decode. Any bytes are safe to
// pass.
auto DecodeDatagram(std::string_view bytes, std::string_view key)
    -> Result<Datagram>;

}  // namespace sparbend

#endif  // SPARBEND_CORE_MESSAGES_H_
