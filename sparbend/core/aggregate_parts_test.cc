#include "sparbend/core/aggregate_parts.h"

#include <algorithm>

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr std::string_view kKey = "key-of-this-test";

TEST_GROUP(AggregateParts){};

// A sum over boxes with as many entries of each kind as `entries`.
auto AnySum(int entries) -> Datagram {
  Datagram sum;
  sum.kind = DatagramKind::kFleetAggregate;
  sum.sender = *rc::gen::arbitrary<BoxId>();
  sum.incarnation = *rc::gen::arbitrary<uint32_t>();
  sum.sequence = *rc::gen::inRange<uint32_t>(2, UINT32_MAX);
  sum.heartbeat = *rc::gen::arbitrary<uint32_t>();
  sum.config_offset = *rc::gen::inRange<int64_t>(0, INT32_MAX);
  sum.sum.boxes = *rc::gen::arbitrary<uint32_t>();
  for (int i = 0; i < entries; ++i) {
    const auto any = *rc::gen::arbitrary<uint32_t>();
    const auto small = *rc::gen::inRange<uint32_t>(0, 300);
    sum.loads.push_back({any, small, any, small});
    sum.members.push_back({any, any, small, small > 100});
    sum.homes.push_back({any, any});
    sum.services.push_back({{static_cast<PoolId>(small), any}, any});
    sum.denials.push_back({{static_cast<PoolId>(any), any}, -int64_t{small}});
    sum.leaving_targets.push_back(any);
  }
  return sum;
}

// The sum as it was cut: its head says nothing of parts.
auto Uncut(Datagram sum) -> Datagram {
  sum.sum.part = 0;
  sum.sum.parts = 1;
  return sum;
}

TEST(AggregateParts, FitADatagramAndAreTheSumAgainInAnyOrder) {
  testing::CheckHolds("assemble(shuffle(cut(s))) == s", [] {
    const Datagram sum = AnySum(*rc::gen::inRange(0, 150));
    std::vector<Datagram> parts = SplitAggregate(sum);
    const size_t turn = *rc::gen::inRange<size_t>(0, parts.size());
    std::ranges::rotate(parts, parts.begin() + static_cast<ptrdiff_t>(turn));
    AggregateAssembler assembly;
    std::optional<Datagram> whole;
    for (const Datagram& part : parts) {
      const std::string bytes = EncodeDatagram(part, kKey);
      RC_ASSERT(bytes.size() <= kMaxDatagramBytes);
      RC_ASSERT(!whole);
      const Result<Datagram> decoded = DecodeDatagram(bytes, kKey);
      RC_ASSERT(decoded.has_value());
      whole = assembly.Take(*decoded);
      RC_ASSERT(!assembly.Take(*decoded));  // a repeated part
    }
    RC_ASSERT(whole.has_value());
    const auto sorted = [](std::vector<TargetLoad> loads) {
      std::ranges::sort(loads, {}, &TargetLoad::target);
      return loads;
    };
    RC_ASSERT(sorted(whole->loads) == sorted(sum.loads));
    RC_ASSERT(whole->members.size() == sum.members.size());
    RC_ASSERT(whole->homes.size() == sum.homes.size());
    RC_ASSERT(whole->services.size() == sum.services.size());
    RC_ASSERT(whole->denials.size() == sum.denials.size());
    RC_ASSERT(whole->leaving_targets.size() == sum.leaving_targets.size());
    if (turn == 0)
      RC_ASSERT(Uncut(*whole) == Uncut(sum));
  });
}

TEST(AggregateParts, AnUnfinishedSumGivesWayToTheNextAndOldPartsToIt) {
  Datagram sum;
  sum.kind = DatagramKind::kHallAggregate;
  sum.sender = 7;
  for (uint32_t i = 0; i < 200; ++i)
    sum.loads.push_back({i, 1, 70'000, 70'000});
  sum.sequence = 1;
  const std::vector<Datagram> first = SplitAggregate(sum);
  sum.sequence = 2;
  const std::vector<Datagram> second = SplitAggregate(sum);
  CHECK(first.size() > 1);
  AggregateAssembler assembly;
  CHECK(!assembly.Take(first[0]));
  for (size_t i = 0; i + 1 < second.size(); ++i)
    CHECK(!assembly.Take(second[i]));
  // The rest of the first comes late: it is not mixed with the second.
  for (size_t i = 1; i < first.size(); ++i)
    CHECK(!assembly.Take(first[i]));
  const std::optional<Datagram> whole = assembly.Take(second.back());
  CHECK(whole.has_value());
  LONGS_EQUAL(sum.loads.size(), whole->loads.size());
  // A sender that starts anew begins its sequence again.
  CHECK(!assembly.Take(first[0]));
  assembly.Forget(7);
  for (size_t i = 0; i + 1 < first.size(); ++i)
    CHECK(!assembly.Take(first[i]));
  CHECK(assembly.Take(first.back()).has_value());
}

TEST(AggregateParts, OfOneSumThatDisagreeOnTheirNumberAreDropped) {
  Datagram part;
  part.kind = DatagramKind::kFleetAggregate;
  part.sender = 7;
  part.sequence = 1;
  part.sum.parts = 2;
  AggregateAssembler assembly;
  CHECK(!assembly.Take(part));
  part.sum.part = 2;
  part.sum.parts = 3;
  CHECK(!assembly.Take(part));
  part.sum.part = 1;
  part.sum.parts = 2;
  CHECK(assembly.Take(part).has_value());
}

}  // namespace
}  // namespace sparbend
