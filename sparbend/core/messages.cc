// Layout: 8 bytes of HMAC-SHA-256, then a MessagePack array of the header
// numbers, of which the first is the wire version, and one flat array of
// numbers per section. The arrays are flat, rather than maps or nested arrays,
// because the budget of control traffic is about 170 bytes per request
// (docs/DESIGN.md, "control traffic") and field names would take half of it.
// Protobuf would be slightly smaller, since its varints are packed, but a code
// generator would have to be run for each change.
//
// A tag of 64 bits is enough: to forge a datagram without the key takes about
// 2^63 attempts on average. Node drops replays by the incarnation and the
// sequence number, and AggregateAssembler drops repeated parts.
#include "sparbend/core/messages.h"

#include <optional>
#include <span>

#include "sparbend/core/digest.h"
#include "sparbend/core/json.h"

namespace sparbend {
namespace {

constexpr int64_t kWireVersion = 10;
constexpr size_t kTagBytes = 8;
// Includes the wire version.
constexpr size_t kHeaderNumberCount = 18;
constexpr uint32_t kMaxKind =
    static_cast<uint32_t>(DatagramKind::kFleetAggregate);
constexpr size_t kSectionCount = 12;
constexpr int64_t kMaxU32 = UINT32_MAX;
// Largest absolute value of a normalised service, and largest position in the
// configuration log, that is accepted.
constexpr int64_t kMaxValue = INT64_MAX / 4;

auto EncodeLeases(const std::vector<LeaseNotice>& leases) -> Json {
  Json flat = Json::array();
  for (const LeaseNotice& lease : leases) {
    flat.insert(flat.end(), {lease.target, lease.epoch, lease.granted,
                             lease.keep ? 1 : 0, lease.reserved_for.size()});
    for (const WorkspaceId workspace : lease.reserved_for)
      flat.push_back(workspace);
  }
  return flat;
}

auto EncodeLeaseReports(const std::vector<LeaseReport>& reports) -> Json {
  Json flat = Json::array();
  for (const LeaseReport& report : reports)
    flat.insert(flat.end(), {report.target, report.epoch, report.granted_seen,
                             report.returned, report.in_flight});
  return flat;
}

// Writes the id of the flow's pool only if it differs from `*pool`, the pool of
// the entry before, since most entries of a datagram have the same pool. It is
// written as -1 - id to tell it from a workspace: the id may be zero.
void EncodeFlow(const Flow& flow, PoolId* pool, Json* flat) {
  if (flow.pool != *pool)
    flat->push_back(-1 - int64_t{flow.pool});
  *pool = flow.pool;
  flat->push_back(flow.workspace);
}

auto EncodeDemands(const std::vector<Demand>& demands) -> Json {
  Json flat = Json::array();
  PoolId pool = 0;
  for (const Demand& demand : demands) {
    EncodeFlow(demand.flow, &pool, &flat);
    flat.insert(flat.end(), {demand.queued, demand.age_ms, demand.estimate});
  }
  return flat;
}

auto EncodeFlowValues(const std::vector<FlowValue>& values) -> Json {
  Json flat = Json::array();
  PoolId pool = 0;
  for (const FlowValue& value : values) {
    EncodeFlow(value.flow, &pool, &flat);
    flat.push_back(value.value);
  }
  return flat;
}

auto EncodeSlotKeepLimits(const std::vector<SlotKeepLimit>& limits) -> Json {
  Json flat = Json::array();
  for (const SlotKeepLimit& limit : limits)
    flat.insert(flat.end(), {limit.pool, limit.value});
  return flat;
}

auto EncodeMembers(const std::vector<MemberUpdate>& members) -> Json {
  Json flat = Json::array();
  for (const MemberUpdate& update : members)
    flat.insert(flat.end(), {update.box, update.incarnation, update.heartbeat,
                             update.leaving ? 1 : 0});
  return flat;
}

auto EncodeLoads(const std::vector<TargetLoad>& loads) -> Json {
  Json flat = Json::array();
  for (const TargetLoad& load : loads)
    flat.insert(flat.end(), {load.target, load.running, load.waiting_tokens,
                             load.memory_tokens});
  return flat;
}

auto EncodePrefixLocations(const std::vector<PrefixLocation>& locations)
    -> Json {
  Json flat = Json::array();
  for (const PrefixLocation& location : locations)
    flat.insert(flat.end(), {location.prefix, location.target});
  return flat;
}

auto EncodeSuspicions(const std::vector<Suspicion>& suspicions) -> Json {
  Json flat = Json::array();
  for (const Suspicion& suspicion : suspicions)
    flat.insert(flat.end(),
                {suspicion.suspect.workspace, suspicion.suspect.path,
                 suspicion.suspect.body, suspicion.cleared, suspicion.ends,
                 suspicion.age_s, suspicion.trials});
  return flat;
}

// Takes numbers from a flat array, front to back. Once a number is missing or
// out of bounds, `ok` is false and all further numbers read as zero. TakeFlow()
// still returns the pool that was read last.
class NumberReader {
 public:
  explicit NumberReader(const Json& flat) : flat_(flat) {
    ok_ = flat_.is_array();
  }

  template <class T = uint32_t>
  auto Take(int64_t max = kMaxU32) -> T {
    if (!ok_ || next_ >= flat_.size() || !flat_[next_].is_number_integer()) {
      ok_ = false;
      return T();
    }
    const int64_t value = flat_[next_++].get<int64_t>();
    if (value < 0 || value > max) {
      ok_ = false;
      return T();
    }
    return static_cast<T>(value);
  }

  auto TakeSigned() -> int64_t {
    if (!ok_ || next_ >= flat_.size() || !flat_[next_].is_number_integer()) {
      ok_ = false;
      return 0;
    }
    const int64_t value = flat_[next_++].get<int64_t>();
    ok_ = value >= -kMaxValue && value <= kMaxValue;
    return ok_ ? value : 0;
  }

  auto TakeFlow() -> Flow {
    const bool names_pool = more() && flat_[next_].is_number_integer() &&
                            flat_[next_].get<int64_t>() < 0;
    if (names_pool) {
      const int64_t pool = -1 - flat_[next_++].get<int64_t>();
      ok_ = pool <= UINT16_MAX;
      pool_ = static_cast<PoolId>(pool);
    }
    return {pool_, Take<WorkspaceId>()};
  }

  auto more() const -> bool { return ok_ && next_ < flat_.size(); }
  auto ok() const -> bool { return ok_; }

 private:
  const Json& flat_;
  size_t next_ = 0;
  PoolId pool_ = 0;  // of the last flow taken
  bool ok_ = true;
};

auto TakeLease(NumberReader& in) -> LeaseNotice {
  LeaseNotice lease;
  lease.target = in.Take();
  lease.epoch = in.Take();
  lease.granted = in.Take();
  lease.keep = in.Take(1) != 0;
  // A workspace id takes at least one byte, so no datagram holds more of them
  // than bytes.
  const auto count = in.Take<size_t>(kMaxDatagramBytes);
  for (size_t i = 0; i < count && in.ok(); ++i)
    lease.reserved_for.push_back(in.Take());
  return lease;
}

auto TakeLeaseReport(NumberReader& in) -> LeaseReport {
  LeaseReport report;
  report.target = in.Take();
  report.epoch = in.Take();
  report.granted_seen = in.Take();
  report.returned = in.Take();
  report.in_flight = in.Take();
  return report;
}

auto TakeDemand(NumberReader& in) -> Demand {
  Demand demand;
  demand.flow = in.TakeFlow();
  demand.queued = in.Take();
  demand.age_ms = in.Take();
  demand.estimate = in.Take<int64_t>(kMaxValue);
  return demand;
}

auto TakeFlowValue(NumberReader& in) -> FlowValue {
  const Flow flow = in.TakeFlow();
  return {flow, in.TakeSigned()};
}

auto TakeSlotKeepLimit(NumberReader& in) -> SlotKeepLimit {
  const auto pool = in.Take<PoolId>(UINT16_MAX);
  return {pool, in.TakeSigned()};
}

auto TakeMemberUpdate(NumberReader& in) -> MemberUpdate {
  MemberUpdate update;
  update.box = in.Take();
  update.incarnation = in.Take();
  update.heartbeat = in.Take();
  update.leaving = in.Take(1) != 0;
  return update;
}

auto TakeTarget(NumberReader& in) -> TargetId {
  return in.Take();
}

auto TakeLoad(NumberReader& in) -> TargetLoad {
  TargetLoad load;
  load.target = in.Take();
  load.running = in.Take();
  load.waiting_tokens = in.Take();
  load.memory_tokens = in.Take();
  return load;
}

auto TakePrefixLocation(NumberReader& in) -> PrefixLocation {
  const auto prefix = in.Take<PrefixId>();
  return {prefix, in.Take()};
}

auto TakeSuspicion(NumberReader& in) -> Suspicion {
  Suspicion suspicion;
  suspicion.suspect.workspace = in.Take();
  suspicion.suspect.path = in.Take();
  suspicion.suspect.body = in.Take();
  suspicion.cleared = in.Take();
  suspicion.ends = in.Take();
  suspicion.age_s = in.Take();
  suspicion.trials = in.Take();
  return suspicion;
}

// Appends the entries of the section `flat`; false if any of them is malformed.
template <class T>
auto ReadSection(const Json& flat,
                 auto (*take)(NumberReader&)->T,
                 std::vector<T>* values) -> bool {
  NumberReader in(flat);
  while (in.more())
    values->push_back(take(in));
  return in.ok();
}

auto ReadHeader(const Json& body, Datagram* datagram) -> bool {
  Json header = Json::array();
  header.insert(header.end(), body.begin(), body.begin() + kHeaderNumberCount);
  NumberReader in(header);
  in.Take<int64_t>();  // the version, checked by the caller
  datagram->kind = static_cast<DatagramKind>(in.Take(kMaxKind));
  datagram->aggregate_header.part = in.Take(kMaxParts - 1);
  datagram->aggregate_header.parts = in.Take(kMaxParts);
  datagram->aggregate_header.boxes = in.Take();
  datagram->sender = in.Take();
  datagram->incarnation = in.Take();
  datagram->sequence = in.Take();
  datagram->heartbeat = in.Take();
  datagram->leaving = in.Take(1) != 0;
  datagram->config_position.era = in.Take<int64_t>(kMaxValue);
  datagram->config_position.offset = in.Take<int64_t>(kMaxValue);
  datagram->config_version = in.Take<int64_t>(INT64_MAX);
  datagram->confirmation_age_ms = in.Take();
  datagram->directory_digest = in.Take();
  datagram->directory_age_ms = in.Take();
  datagram->store_since_ms = in.Take();
  datagram->store_until_ms = in.Take();
  return in.ok() &&
         datagram->aggregate_header.part < datagram->aggregate_header.parts;
}

// Returns the wire version, or nullopt if `body` is not an array that begins
// with an integer.
auto VersionOf(const Json& body) -> std::optional<int64_t> {
  if (!body.is_array() || body.empty() || !body[0].is_number_integer())
    return std::nullopt;
  return body[0].get<int64_t>();
}

}  // namespace

auto EncodeDatagram(const Datagram& datagram, std::string_view key)
    -> std::string {
  const Json body =
      Json::array({kWireVersion,
                   static_cast<uint32_t>(datagram.kind),
                   datagram.aggregate_header.part,
                   datagram.aggregate_header.parts,
                   datagram.aggregate_header.boxes,
                   datagram.sender,
                   datagram.incarnation,
                   datagram.sequence,
                   datagram.heartbeat,
                   datagram.leaving ? 1 : 0,
                   datagram.config_position.era,
                   datagram.config_position.offset,
                   datagram.config_version,
                   datagram.confirmation_age_ms,
                   datagram.directory_digest,
                   datagram.directory_age_ms,
                   datagram.store_since_ms,
                   datagram.store_until_ms,
                   EncodeLeases(datagram.leases),
                   EncodeLeaseReports(datagram.lease_reports),
                   EncodeDemands(datagram.demands),
                   EncodeFlowValues(datagram.services),
                   EncodeFlowValues(datagram.service_offsets),
                   EncodeSlotKeepLimits(datagram.slot_keep_limits),
                   EncodeMembers(datagram.members),
                   Json(datagram.leaving_targets),
                   EncodeLoads(datagram.loads),
                   EncodePrefixLocations(datagram.prefix_locations),
                   EncodeFlowValues(datagram.denials),
                   EncodeSuspicions(datagram.suspicions)});
  std::string packed;
  Json::to_msgpack(body, packed);
  return HmacTag(key, packed, kTagBytes) + packed;
}

auto DecodeDatagram(std::string_view bytes, std::string_view key)
    -> Result<Datagram> {
  if (bytes.size() < kTagBytes || bytes.size() > kMaxDatagramBytes)
    return MakeError(Errc::kMalformed, "datagram is too short or too long");
  const std::string_view packed = bytes.substr(kTagBytes);
  if (!ConstantTimeEqual(bytes.substr(0, kTagBytes),
                         HmacTag(key, packed, kTagBytes)))
    return MakeError(Errc::kUnauthorised,
                     "datagram tag does not match the peer key");
  const Json body = Json::from_msgpack(packed, /*strict=*/true,
                                       /*allow_exceptions=*/false);
  const std::optional<int64_t> version = VersionOf(body);
  if (version && *version != kWireVersion)
    return MakeError(
        Errc::kUnsupported,
        "datagram has unsupported wire version " + std::to_string(*version));
  if (!version || body.size() != kHeaderNumberCount + kSectionCount)
    return MakeError(Errc::kMalformed,
                     "datagram body is not an array of the expected "
                     "length");
  Datagram datagram;
  size_t section = kHeaderNumberCount;
  const bool ok =
      ReadHeader(body, &datagram) &&
      ReadSection(body[section++], TakeLease, &datagram.leases) &&
      ReadSection(body[section++], TakeLeaseReport, &datagram.lease_reports) &&
      ReadSection(body[section++], TakeDemand, &datagram.demands) &&
      ReadSection(body[section++], TakeFlowValue, &datagram.services) &&
      ReadSection(body[section++], TakeFlowValue, &datagram.service_offsets) &&
      ReadSection(body[section++], TakeSlotKeepLimit,
                  &datagram.slot_keep_limits) &&
      ReadSection(body[section++], TakeMemberUpdate, &datagram.members) &&
      ReadSection(body[section++], TakeTarget, &datagram.leaving_targets) &&
      ReadSection(body[section++], TakeLoad, &datagram.loads) &&
      ReadSection(body[section++], TakePrefixLocation,
                  &datagram.prefix_locations) &&
      ReadSection(body[section++], TakeFlowValue, &datagram.denials) &&
      ReadSection(body[section++], TakeSuspicion, &datagram.suspicions);
  if (!ok)
    return MakeError(Errc::kMalformed,
                     "datagram field is missing or out of range");
  return datagram;
}

}  // namespace sparbend
