#include "sparbend/core/messages.h"

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr std::string_view kKey = "key-of-this-test";

auto AnyFlow() -> rc::Gen<Flow> {
  return rc::gen::build<Flow>(
      rc::gen::set(&Flow::pool, rc::gen::inRange<PoolId>(0, 65'535)),
      rc::gen::set(&Flow::workspace, rc::gen::arbitrary<WorkspaceId>()));
}

auto AnyValues() -> rc::Gen<std::vector<FlowValue>> {
  return rc::gen::resize(
      8, rc::gen::container<std::vector<FlowValue>>(rc::gen::build<FlowValue>(
             rc::gen::set(&FlowValue::flow, AnyFlow()),
             rc::gen::set(&FlowValue::value,
                          rc::gen::inRange<int64_t>(-1'000'000'000'000,
                                                    1'000'000'000'000)))));
}

auto AnyDatagram() -> Datagram {
  Datagram datagram;
  datagram.kind = static_cast<DatagramKind>(*rc::gen::inRange<uint32_t>(0, 3));
  datagram.aggregate_header.parts =
      *rc::gen::inRange<uint32_t>(1, kMaxParts + 1);
  datagram.aggregate_header.part =
      *rc::gen::inRange<uint32_t>(0, datagram.aggregate_header.parts);
  datagram.aggregate_header.boxes = *rc::gen::arbitrary<uint32_t>();
  datagram.sender = *rc::gen::arbitrary<BoxId>();
  datagram.incarnation = *rc::gen::arbitrary<uint32_t>();
  datagram.sequence = *rc::gen::arbitrary<uint32_t>();
  datagram.heartbeat = *rc::gen::arbitrary<uint32_t>();
  datagram.leaving = *rc::gen::arbitrary<bool>();
  datagram.config_position.era = *rc::gen::inRange<int64_t>(0, INT32_MAX);
  datagram.config_position.offset = *rc::gen::inRange<int64_t>(0, INT32_MAX);
  datagram.config_version = *rc::gen::inRange<int64_t>(0, INT64_MAX);
  datagram.directory_digest = *rc::gen::arbitrary<uint32_t>();
  datagram.confirmation_age_ms = *rc::gen::arbitrary<uint32_t>();
  datagram.directory_age_ms = *rc::gen::arbitrary<uint32_t>();
  datagram.store_since_ms = *rc::gen::arbitrary<uint32_t>();
  datagram.store_until_ms = *rc::gen::arbitrary<uint32_t>();
  datagram.services = *AnyValues();
  datagram.denials = *AnyValues();
  datagram.service_offsets = *AnyValues();
  LeaseNotice lease;
  lease.target = *rc::gen::arbitrary<TargetId>();
  lease.epoch = *rc::gen::arbitrary<uint32_t>();
  lease.granted = *rc::gen::arbitrary<uint32_t>();
  lease.keep = *rc::gen::arbitrary<bool>();
  lease.reserved_for =
      *rc::gen::resize(5, rc::gen::arbitrary<std::vector<WorkspaceId>>());
  datagram.leases.push_back(lease);
  LeaseReport report;
  report.target = *rc::gen::arbitrary<TargetId>();
  report.returned = *rc::gen::arbitrary<uint32_t>();
  datagram.lease_reports = {report, report};
  Demand demand;
  demand.flow = *AnyFlow();
  demand.queued = *rc::gen::arbitrary<uint32_t>();
  demand.estimate = *rc::gen::inRange<int64_t>(0, 1'000'000);
  datagram.demands = {demand};
  datagram.slot_keep_limits = {{*rc::gen::inRange<PoolId>(0, 65'535),
                                *rc::gen::inRange<int64_t>(-1'000, 1'000'000)}};
  datagram.members = {{*rc::gen::arbitrary<BoxId>(), 7, 9, true}};
  datagram.leaving_targets = {*rc::gen::arbitrary<TargetId>()};
  Suspicion suspicion;
  suspicion.suspect = {*rc::gen::arbitrary<WorkspaceId>(),
                       *rc::gen::arbitrary<uint32_t>(),
                       *rc::gen::arbitrary<uint32_t>()};
  suspicion.cleared = *rc::gen::arbitrary<uint32_t>();
  suspicion.ends = *rc::gen::arbitrary<uint32_t>();
  suspicion.age_s = *rc::gen::arbitrary<uint32_t>();
  suspicion.trials = *rc::gen::arbitrary<uint32_t>();
  datagram.suspicions = {suspicion, Suspicion()};
  return datagram;
}

TEST_GROUP(Messages){};

TEST(Messages, DecodeReversesEncode) {
  testing::CheckHolds("decode(encode(d)) == d", [] {
    const Datagram datagram = AnyDatagram();
    const Result<Datagram> decoded =
        DecodeDatagram(EncodeDatagram(datagram, kKey), kKey);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == datagram);
  });
}

TEST(Messages, AnyChangedByteIsRejected) {
  testing::CheckHolds("a changed byte is rejected", [] {
    std::string bytes = EncodeDatagram(AnyDatagram(), kKey);
    const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
    RC_ASSERT(DecodeDatagram(bytes, kKey).error().code == Errc::kUnauthorised);
  });
}

TEST(Messages, AnotherKeyIsRejected) {
  const std::string bytes = EncodeDatagram(Datagram(), "some-other-key");
  CHECK(DecodeDatagram(bytes, kKey).error().code == Errc::kUnauthorised);
}

// The decoder must handle any bytes, also with a valid tag.
TEST(Messages, RandomBodiesAreRejectedOrDecoded) {
  testing::CheckHolds("random bytes are rejected or decoded", [] {
    const std::string bytes = *rc::gen::arbitrary<std::string>();
    DecodeDatagram(bytes, kKey);
    const std::string tagged = HmacTag(kKey, bytes, 8) + bytes;
    const Result<Datagram> decoded = DecodeDatagram(tagged, kKey);
    RC_ASSERT((decoded.has_value() ||
               decoded.error().code == Errc::kMalformed ||
               decoded.error().code == Errc::kUnsupported));
  });
}

// Boxes of two versions exchange datagrams during a rolling update.
TEST(Messages, AnotherWireVersionIsReported) {
  std::string version_four = "\x9c\x04";  // array of 12, first element 4
  version_four += std::string(11, '\x01');
  const Result<Datagram> decoded =
      DecodeDatagram(HmacTag(kKey, version_four, 8) + version_four, kKey);
  CHECK(decoded.error().code == Errc::kUnsupported);
  STRCMP_CONTAINS("version 4", decoded.error().detail.c_str());
}

TEST(Messages, BodiesOfTheWrongTypeOrLengthAreMalformed) {
  const std::string bodies[] = {
      "",
      "\x90",              // an empty array
      "\x80",              // a map
      "\xc1",              // a byte that MessagePack never uses
      "\x9f\x01\x02\x03",  // an array of 15, truncated after 3
  };
  for (const std::string& body : bodies) {
    const Result<Datagram> decoded =
        DecodeDatagram(HmacTag(kKey, body, 8) + body, kKey);
    CHECK(decoded.error().code == Errc::kMalformed);
  }
}

}  // namespace
}  // namespace sparbend
