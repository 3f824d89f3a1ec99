#include "sparbend/core/aggregate_parts.h"

#include <algorithm>

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr std::string_view kKey = "key-of-this-test";

TEST_GROUP(AggregateParts){};

// A random aggregate with `entries` entries in each section.
auto AnyAggregate(int entries) -> Datagram {
  Datagram aggregate;
  aggregate.kind = DatagramKind::kFleetAggregate;
  aggregate.sender = *rc::gen::arbitrary<BoxId>();
  aggregate.incarnation = *rc::gen::arbitrary<uint32_t>();
  aggregate.sequence = *rc::gen::inRange<uint32_t>(2, UINT32_MAX);
  aggregate.heartbeat = *rc::gen::arbitrary<uint32_t>();
  aggregate.config_position.offset = *rc::gen::inRange<int64_t>(0, INT32_MAX);
  aggregate.aggregate_header.boxes = *rc::gen::arbitrary<uint32_t>();
  for (int i = 0; i < entries; ++i) {
    const auto any = *rc::gen::arbitrary<uint32_t>();
    const auto small = *rc::gen::inRange<uint32_t>(0, 300);
    aggregate.loads.push_back({any, small, any, small});
    aggregate.members.push_back({any, any, small, small > 100});
    aggregate.prefix_locations.push_back({any, any});
    aggregate.services.push_back({{static_cast<PoolId>(small), any}, any});
    aggregate.denials.push_back(
        {{static_cast<PoolId>(any), any}, -int64_t{small}});
    aggregate.leaving_targets.push_back(any);
  }
  return aggregate;
}

// `aggregate` as it was before it was split.
auto WithoutPartNumbers(Datagram aggregate) -> Datagram {
  aggregate.aggregate_header.part = 0;
  aggregate.aggregate_header.parts = 1;
  return aggregate;
}

TEST(AggregateParts, FitIntoDatagramsAndAssembleInAnyOrder) {
  testing::CheckHolds("assemble(rotate(split(a))) == a", [] {
    const Datagram aggregate = AnyAggregate(*rc::gen::inRange(0, 150));
    std::vector<Datagram> parts = SplitAggregate(aggregate);
    const size_t rotation = *rc::gen::inRange<size_t>(0, parts.size());
    std::ranges::rotate(parts,
                        parts.begin() + static_cast<ptrdiff_t>(rotation));
    AggregateAssembler assembler;
    std::optional<Datagram> assembled;
    for (const Datagram& part : parts) {
      const std::string bytes = EncodeDatagram(part, kKey);
      RC_ASSERT(bytes.size() <= kMaxDatagramBytes);
      RC_ASSERT(!assembled);
      const Result<Datagram> decoded = DecodeDatagram(bytes, kKey);
      RC_ASSERT(decoded.has_value());
      assembled = assembler.Take(*decoded);
      RC_ASSERT(!assembler.Take(*decoded));  // a repeated part
    }
    RC_ASSERT(assembled.has_value());
    const auto sorted = [](std::vector<TargetLoad> loads) {
      std::ranges::sort(loads, {}, &TargetLoad::target);
      return loads;
    };
    RC_ASSERT(sorted(assembled->loads) == sorted(aggregate.loads));
    RC_ASSERT(assembled->members.size() == aggregate.members.size());
    RC_ASSERT(assembled->prefix_locations.size() ==
              aggregate.prefix_locations.size());
    RC_ASSERT(assembled->services.size() == aggregate.services.size());
    RC_ASSERT(assembled->denials.size() == aggregate.denials.size());
    RC_ASSERT(assembled->leaving_targets.size() ==
              aggregate.leaving_targets.size());
    if (rotation == 0)
      RC_ASSERT(WithoutPartNumbers(*assembled) ==
                WithoutPartNumbers(aggregate));
  });
}

TEST(AggregateParts, NewerAggregateReplacesAnIncompleteOne) {
  Datagram aggregate;
  aggregate.kind = DatagramKind::kHallAggregate;
  aggregate.sender = 7;
  for (uint32_t i = 0; i < 200; ++i)
    aggregate.loads.push_back({i, 1, 70'000, 70'000});
  aggregate.sequence = 1;
  const std::vector<Datagram> first = SplitAggregate(aggregate);
  aggregate.sequence = 2;
  const std::vector<Datagram> second = SplitAggregate(aggregate);
  CHECK(first.size() > 1);
  AggregateAssembler assembler;
  CHECK(!assembler.Take(first[0]));
  for (size_t i = 0; i + 1 < second.size(); ++i)
    CHECK(!assembler.Take(second[i]));
  // The other parts of the first aggregate arrive late, and are ignored.
  for (size_t i = 1; i < first.size(); ++i)
    CHECK(!assembler.Take(first[i]));
  const std::optional<Datagram> assembled = assembler.Take(second.back());
  CHECK(assembled.has_value());
  LONGS_EQUAL(aggregate.loads.size(), assembled->loads.size());
  // The sequence numbers of a restarted sender start again.
  CHECK(!assembler.Take(first[0]));
  assembler.Forget(7);
  for (size_t i = 0; i + 1 < first.size(); ++i)
    CHECK(!assembler.Take(first[i]));
  CHECK(assembler.Take(first.back()).has_value());
}

TEST(AggregateParts, WithADifferentPartCountAreDropped) {
  Datagram part;
  part.kind = DatagramKind::kFleetAggregate;
  part.sender = 7;
  part.sequence = 1;
  part.aggregate_header.parts = 2;
  AggregateAssembler assembler;
  CHECK(!assembler.Take(part));
  part.aggregate_header.part = 2;
  part.aggregate_header.parts = 3;
  CHECK(!assembler.Take(part));
  part.aggregate_header.part = 1;
  part.aggregate_header.parts = 2;
  CHECK(assembler.Take(part).has_value());
}

}  // namespace
}  // namespace sparbend
