// Datagrams that boxes send to each other, as plain values, and their encoding.
// Every section states current values, not changes, so a later datagram makes
// up for a lost one. The datagrams of a peer are applied in the order of their
// sequence numbers; one that arrives after a newer one is dropped.
//
//   socket.Send(EncodeDatagram(datagram, key));
//   const Result<Datagram> received = DecodeDatagram(bytes, key);
#ifndef SPARBEND_CORE_MESSAGES_H_
#define SPARBEND_CORE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sparbend/core/errors.h"
#include "sparbend/core/fingerprint.h"
#include "sparbend/core/ids.h"
#include "sparbend/core/log_position.h"
#include "sparbend/core/work.h"

namespace sparbend {

// Allocator to ingress box: the slots of one target leased to that box so far.
struct LeaseNotice {
  TargetId target = 0;
  uint32_t epoch = 0;    // of the allocator's accounts for this box
  uint32_t granted = 0;  // slots granted since the epoch began
  bool keep = false;     // may retain unused slots; else must return them
  // Workspaces that the newest grants are reserved for, oldest grant first.
  std::vector<WorkspaceId> reserved_for;

  auto operator==(const LeaseNotice&) const -> bool = default;
};

// Ingress box to allocator: the state of the slots that it was granted.
struct LeaseReport {
  TargetId target = 0;
  uint32_t epoch = 0;         // of the last LeaseNotice received
  uint32_t granted_seen = 0;  // `granted` of that notice
  uint32_t returned = 0;      // slots returned since the epoch began
  uint32_t in_flight = 0;     // requests of this box that run at the target

  auto operator==(const LeaseReport&) const -> bool = default;
};

// Ingress box to allocator: requests of one flow that are queued at the sender.
struct Demand {
  Flow flow;
  uint32_t queued = 0;   // requests; zero withdraws the demand
  uint32_t age_ms = 0;   // of the oldest queued request
  int64_t estimate = 0;  // expected normalised service of one request

  auto operator==(const Demand&) const -> bool = default;
};

// The service counter, service offset or denied service of one flow: a
// normalised service, with the meaning that the section gives it.
struct FlowValue {
  Flow flow;
  int64_t value = 0;

  auto operator==(const FlowValue&) const -> bool = default;
};

// Allocator to ingress box: the most service that a flow may have had and still
// keep an idle slot of the pool in the allocator's hall while others wait.
struct SlotKeepLimit {
  PoolId pool = 0;
  int64_t value = 0;  // normalised service

  auto operator==(const SlotKeepLimit&) const -> bool = default;
};

// Gossip: what the sender knows of a third box.
struct MemberUpdate {
  BoxId box = 0;
  uint32_t incarnation = 0;
  uint32_t heartbeat = 0;  // rises while the box lives
  bool leaving = false;

  auto operator==(const MemberUpdate&) const -> bool = default;
};

// Any box to all: a request or prompt part that is suspected of crashing
// targets (Quarantine).
struct Suspicion {
  Fingerprint suspect;
  uint32_t cleared = 0;  // how often the suspicion was withdrawn
  uint32_t ends = 0;     // successive exits of targets that ran it, since then
  uint32_t age_s = 0;    // seconds since `cleared` or `ends` changed
  uint32_t trials = 0;   // times that it was sent though blocked, since then

  auto operator==(const Suspicion&) const -> bool = default;
};

enum class DatagramKind : uint8_t {
  kLoadReport,      // values of the sender alone
  kHallAggregate,   // totals over the boxes of the sender's hall
  kFleetAggregate,  // totals over all boxes that the sender knows of
};

// An aggregate or load report that is too long for one datagram is sent in
// parts, which have the same sequence number.
struct AggregateHeader {
  uint32_t part = 0;   // number of this part, from zero
  uint32_t parts = 1;  // number of parts
  uint32_t boxes = 0;  // number of boxes whose load reports are included

  auto operator==(const AggregateHeader&) const -> bool = default;
};

struct Datagram {
  DatagramKind kind = DatagramKind::kLoadReport;
  AggregateHeader aggregate_header;  // `boxes` is unused in a load report
  BoxId sender = 0;
  uint32_t incarnation = 0;
  uint32_t sequence = 0;   // rises per sender and receiver
  uint32_t heartbeat = 0;  // rises while the sender lives
  bool leaving = false;
  // Position of the next configuration record that the sender will apply.
  LogPosition config_position;
  // Version of the configuration in use; zero: the sender has none, or its
  // versions are positions.
  int64_t config_version = 0;
  // Time since the store was known to have no record at or after
  // `config_position`; UINT32_MAX: that was never known.
  uint32_t confirmation_age_ms = UINT32_MAX;
  uint32_t directory_digest = 0;  // of the sender's list of targets
  // Time since the sender's list was read from the store; UINT32_MAX: the
  // sender has no list, or does not reach the store.
  uint32_t directory_age_ms = UINT32_MAX;
  // Times since the beginning and the end of the last span in which the store
  // answered without a break (AnsweredSpan), as far as the sender knows;
  // UINT32_MAX: it knows of none.
  uint32_t store_since_ms = UINT32_MAX;
  uint32_t store_until_ms = UINT32_MAX;
  std::vector<LeaseNotice> leases;
  std::vector<LeaseReport> lease_reports;
  std::vector<Demand> demands;
  std::vector<FlowValue> services;
  std::vector<FlowValue> service_offsets;
  std::vector<SlotKeepLimit> slot_keep_limits;
  // In an aggregate: the boxes of the sender's hall whose load reports are
  // included, each with the heartbeat of its report. Else gossip.
  std::vector<MemberUpdate> members;
  std::vector<TargetId> leaving_targets;
  // Everything that the sender, or the boxes of the aggregate, have running.
  std::vector<TargetLoad> loads;
  std::vector<PrefixLocation> prefix_locations;  // recent ones only
  // Recent work of flows that was refused because there was no capacity, and
  // work that waits (FairShares::UnservedToReport).
  std::vector<FlowValue> denials;
  std::vector<Suspicion> suspicions;

  auto operator==(const Datagram&) const -> bool = default;
};

// Largest datagram sent or accepted, in bytes; fits into one Ethernet frame.
inline constexpr size_t kMaxDatagramBytes = 1'400;
// Most parts of an aggregate: room for the loads of about 4,000 targets.
inline constexpr uint32_t kMaxParts = 64;
// Bytes of IP and UDP headers, to count the traffic on the network.
inline constexpr size_t kHeaderBytes = 28;

// MessagePack, preceded by an HMAC tag made with `key`. O(size).
auto EncodeDatagram(const Datagram& datagram, std::string_view key)
    -> std::string;

// Errors: kUnauthorised if the tag was not made with `key`, kUnsupported if the
// datagram has another wire version, kMalformed if it does not decode. `bytes`
// may be anything.
auto DecodeDatagram(std::string_view bytes, std::string_view key)
    -> Result<Datagram>;

}  // namespace sparbend

#endif  // SPARBEND_CORE_MESSAGES_H_
