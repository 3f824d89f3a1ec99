// Layout: 8 bytes of HMAC-SHA-256, then a MessagePack array: version, header
// numbers, and one flat array of numbers per section. Flat arrays rather than
// maps or nested tables, because a request's share of the control budget is
// about 170 bytes (docs/DESIGN.md, "control traffic") and field names would
// take half of it. Protobuf with committed generated code was weighed: its
// packed varints save about 10% here and need a generator for each change.
//
// A tag of 64 bits is enough for datagrams that live for milliseconds and are
// dropped unless their sequence rises.
#include "sparbend/core/messages.h"

#include <optional>
#include <span>

#include "sparbend/core/digest.h"
#include "sparbend/core/json.h"

namespace sparbend {
namespace {

constexpr int64_t kWireVersion = 7;
constexpr size_t kTagBytes = 8;
constexpr size_t kHeaderNumbers = 15;
constexpr uint32_t kMostKind =
    static_cast<uint32_t>(DatagramKind::kFleetAggregate);
constexpr size_t kSections = 12;
constexpr int64_t kMaxU32 = UINT32_MAX;
constexpr int64_t kMaxValue = INT64_MAX / 4;

auto EncodeLeases(const std::vector<LeaseNotice>& leases) -> Json {
  Json flat = Json::array();
  for (const LeaseNotice& lease : leases) {
    flat.insert(flat.end(), {lease.target, lease.epoch, lease.granted,
                             lease.keep ? 1 : 0, lease.meant_for.size()});
    for (const WorkspaceId workspace : lease.meant_for)
      flat.push_back(workspace);
  }
  return flat;
}

auto EncodeReports(const std::vector<LeaseReport>& reports) -> Json {
  Json flat = Json::array();
  for (const LeaseReport& report : reports)
    flat.insert(flat.end(), {report.target, report.epoch, report.granted_seen,
                             report.returned, report.in_flight});
  return flat;
}

// A pool's number is written only where it differs from the entry before,
// as a negative number, less one since a pool may be number zero: most entries
// of a datagram are of one pool.
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

auto EncodeValues(const std::vector<FlowValue>& values) -> Json {
  Json flat = Json::array();
  PoolId pool = 0;
  for (const FlowValue& value : values) {
    EncodeFlow(value.flow, &pool, &flat);
    flat.push_back(value.value);
  }
  return flat;
}

auto EncodeFloors(const std::vector<SlotKeepLimit>& floors) -> Json {
  Json flat = Json::array();
  for (const SlotKeepLimit& floor : floors)
    flat.insert(flat.end(), {floor.pool, floor.value});
  return flat;
}

auto EncodeMembers(const std::vector<MemberNews>& members) -> Json {
  Json flat = Json::array();
  for (const MemberNews& news : members)
    flat.insert(flat.end(), {news.box, news.incarnation, news.heartbeat,
                             news.leaving ? 1 : 0});
  return flat;
}

auto EncodeLoads(const std::vector<TargetLoad>& loads) -> Json {
  Json flat = Json::array();
  for (const TargetLoad& load : loads)
    flat.insert(flat.end(), {load.target, load.running, load.waiting_tokens,
                             load.memory_tokens});
  return flat;
}

auto EncodeHomes(const std::vector<PrefixLocation>& homes) -> Json {
  Json flat = Json::array();
  for (const PrefixLocation& home : homes)
    flat.insert(flat.end(), {home.prefix, home.target});
  return flat;
}

auto EncodeSuspicions(const std::vector<Suspicion>& suspicions) -> Json {
  Json flat = Json::array();
  for (const Suspicion& row : suspicions)
    flat.insert(flat.end(),
                {row.request.workspace, row.request.path, row.request.body,
                 row.cleared, row.ends, row.age_s});
  return flat;
}

// Takes numbers off a flat array; once one is missing or out of bounds the
// rest reads as zero and `ok` stays false.
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
  PoolId pool_ = 0;  // of the last flow read
  bool ok_ = true;
};

auto TakeLease(NumberReader& in) -> LeaseNotice {
  LeaseNotice lease;
  lease.target = in.Take();
  lease.epoch = in.Take();
  lease.granted = in.Take();
  lease.keep = in.Take(1) != 0;
  const auto count = in.Take<size_t>(kMaxDatagramBytes);
  for (size_t i = 0; i < count && in.ok(); ++i)
    lease.meant_for.push_back(in.Take());
  return lease;
}

auto TakeReport(NumberReader& in) -> LeaseReport {
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

auto TakeValue(NumberReader& in) -> FlowValue {
  const Flow flow = in.TakeFlow();
  return {flow, in.TakeSigned()};
}

auto TakeFloor(NumberReader& in) -> SlotKeepLimit {
  const auto pool = in.Take<PoolId>(UINT16_MAX);
  return {pool, in.TakeSigned()};
}

auto TakeMember(NumberReader& in) -> MemberNews {
  MemberNews news;
  news.box = in.Take();
  news.incarnation = in.Take();
  news.heartbeat = in.Take();
  news.leaving = in.Take(1) != 0;
  return news;
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

auto TakeHome(NumberReader& in) -> PrefixLocation {
  const auto prefix = in.Take<PrefixId>();
  return {prefix, in.Take()};
}

auto TakeSuspicion(NumberReader& in) -> Suspicion {
  Suspicion row;
  row.request.workspace = in.Take();
  row.request.path = in.Take();
  row.request.body = in.Take();
  row.cleared = in.Take();
  row.ends = in.Take();
  row.age_s = in.Take();
  return row;
}

// Reads a whole section; false when any of it does not fit.
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
  header.insert(header.end(), body.begin(), body.begin() + kHeaderNumbers);
  NumberReader in(header);
  in.Take<int64_t>();  // the version, read before
  datagram->kind = static_cast<DatagramKind>(in.Take(kMostKind));
  datagram->sum.part = in.Take(kMostParts - 1);
  datagram->sum.parts = in.Take(kMostParts);
  datagram->sum.boxes = in.Take();
  datagram->sender = in.Take();
  datagram->incarnation = in.Take();
  datagram->sequence = in.Take();
  datagram->heartbeat = in.Take();
  datagram->leaving = in.Take(1) != 0;
  datagram->config_offset = in.Take<int64_t>(kMaxValue);
  datagram->directory = in.Take();
  datagram->directory_age_ms = in.Take();
  datagram->store_since_ms = in.Take();
  datagram->store_until_ms = in.Take();
  return in.ok() && datagram->sum.part < datagram->sum.parts;
}

// Nothing: the bytes are no datagram of any version.
auto VersionOf(const Json& body) -> std::optional<int64_t> {
  if (!body.is_array() || body.empty() || !body[0].is_number_integer())
    return std::nullopt;
  return body[0].get<int64_t>();
}

}  // namespace

auto EncodeDatagram(const Datagram& datagram, std::string_view key)
    -> std::string {
  const Json body = Json::array({kWireVersion,
                                 static_cast<uint32_t>(datagram.kind),
                                 datagram.sum.part,
                                 datagram.sum.parts,
                                 datagram.sum.boxes,
                                 datagram.sender,
                                 datagram.incarnation,
                                 datagram.sequence,
                                 datagram.heartbeat,
                                 datagram.leaving ? 1 : 0,
                                 datagram.config_offset,
                                 datagram.directory,
                                 datagram.directory_age_ms,
                                 datagram.store_since_ms,
                                 datagram.store_until_ms,
                                 EncodeLeases(datagram.leases),
                                 EncodeReports(datagram.reports),
                                 EncodeDemands(datagram.demands),
                                 EncodeValues(datagram.services),
                                 EncodeValues(datagram.min_services),
                                 EncodeFloors(datagram.floors),
                                 EncodeMembers(datagram.members),
                                 Json(datagram.leaving_targets),
                                 EncodeLoads(datagram.loads),
                                 EncodeHomes(datagram.homes),
                                 EncodeValues(datagram.denials),
                                 EncodeSuspicions(datagram.suspicions)});
  std::string packed;
  Json::to_msgpack(body, packed);
  return HmacTag(key, packed, kTagBytes) + packed;
}

auto DecodeDatagram(std::string_view bytes, std::string_view key)
    -> Result<Datagram> {
  if (bytes.size() < kTagBytes || bytes.size() > kMaxDatagramBytes)
    return MakeError(Errc::kMalformed, "datagram of a wrong size");
  const std::string_view packed = bytes.substr(kTagBytes);
  if (!ConstantTimeEqual(bytes.substr(0, kTagBytes),
                         HmacTag(key, packed, kTagBytes)))
    return MakeError(Errc::kUnauthorised, "datagram with a wrong tag");
  const Json body = Json::from_msgpack(packed, /*strict=*/true,
                                       /*allow_exceptions=*/false);
  const std::optional<int64_t> version = VersionOf(body);
  if (version && *version != kWireVersion)
    return MakeError(Errc::kUnsupported,
                     "datagram of version " + std::to_string(*version));
  if (!version || body.size() != kHeaderNumbers + kSections)
    return MakeError(Errc::kMalformed, "datagram of a wrong shape");
  Datagram datagram;
  size_t section = kHeaderNumbers;
  const bool ok =
      ReadHeader(body, &datagram) &&
      ReadSection(body[section++], TakeLease, &datagram.leases) &&
      ReadSection(body[section++], TakeReport, &datagram.reports) &&
      ReadSection(body[section++], TakeDemand, &datagram.demands) &&
      ReadSection(body[section++], TakeValue, &datagram.services) &&
      ReadSection(body[section++], TakeValue, &datagram.min_services) &&
      ReadSection(body[section++], TakeFloor, &datagram.floors) &&
      ReadSection(body[section++], TakeMember, &datagram.members) &&
      ReadSection(body[section++], TakeTarget, &datagram.leaving_targets) &&
      ReadSection(body[section++], TakeLoad, &datagram.loads) &&
      ReadSection(body[section++], TakeHome, &datagram.homes) &&
      ReadSection(body[section++], TakeValue, &datagram.denials) &&
      ReadSection(body[section++], TakeSuspicion, &datagram.suspicions);
  if (!ok)
    return MakeError(Errc::kMalformed, "datagram with a wrong number");
  return datagram;
}

}  // namespace sparbend
