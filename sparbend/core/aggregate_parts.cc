// An aggregate is used only when it is complete: parts of it beside parts of an
// older one would count work that moved between boxes in the meantime twice, or
// not at all. If a part is lost, the aggregate is lost; the next one follows
// soon, and two boxes send them.
//
// Invariant: for each sender and kind, the sequence number of the aggregate
// that is being assembled only rises.
#include "sparbend/core/aggregate_parts.h"

namespace sparbend {
namespace {

// Upper bound for the tag, the header numbers and the array headers of the
// sections.
constexpr size_t kFixedBytes = 140;
// Largest size of a number in MessagePack, with its type byte.
constexpr size_t kMaxNumberBytes = 9;

// Upper bound for the encoded size of a number, and below of each kind of
// entry.
auto EncodedBytes(int64_t number) -> size_t {
  if (number < 0)
    return kMaxNumberBytes;
  if (number < 128)
    return 1;
  if (number <= UINT8_MAX)
    return 2;
  if (number <= UINT16_MAX)
    return 3;
  return number <= UINT32_MAX ? 5 : kMaxNumberBytes;
}

auto EncodedBytes(const TargetLoad& load) -> size_t {
  return EncodedBytes(int64_t{load.target}) +
         EncodedBytes(int64_t{load.running}) +
         EncodedBytes(int64_t{load.waiting_tokens}) +
         EncodedBytes(int64_t{load.memory_tokens});
}

// Includes the pool, which is encoded only if it differs from the entry before.
auto EncodedBytes(const FlowValue& value) -> size_t {
  constexpr size_t kPoolBytes = 5;
  return kPoolBytes + EncodedBytes(int64_t{value.flow.workspace}) +
         EncodedBytes(value.value);
}

auto EncodedBytes(const MemberUpdate& update) -> size_t {
  return EncodedBytes(int64_t{update.box}) +
         EncodedBytes(int64_t{update.incarnation}) +
         EncodedBytes(int64_t{update.heartbeat}) + 1;
}

auto EncodedBytes(const PrefixLocation& location) -> size_t {
  return EncodedBytes(int64_t{location.prefix}) +
         EncodedBytes(int64_t{location.target});
}

auto EncodedBytes(const Suspicion& suspicion) -> size_t {
  return EncodedBytes(int64_t{suspicion.suspect.workspace}) +
         EncodedBytes(int64_t{suspicion.suspect.path}) +
         EncodedBytes(int64_t{suspicion.suspect.body}) +
         EncodedBytes(int64_t{suspicion.cleared}) +
         EncodedBytes(int64_t{suspicion.ends}) +
         EncodedBytes(int64_t{suspicion.age_s}) +
         EncodedBytes(int64_t{suspicion.trials});
}

auto EncodedBytes(TargetId target) -> size_t {
  return EncodedBytes(int64_t{target});
}

// Fills datagrams one after the other.
class Packer {
 public:
  explicit Packer(const Datagram& aggregate) : header_only_(aggregate) {
    header_only_.members.clear();
    header_only_.leaving_targets.clear();
    header_only_.loads.clear();
    header_only_.prefix_locations.clear();
    header_only_.services.clear();
    header_only_.denials.clear();
    header_only_.suspicions.clear();
    parts_.push_back(header_only_);
  }

  template <class T>
  void Add(const std::vector<T>& values, std::vector<T> Datagram::* section) {
    for (const T& value : values) {
      const size_t bytes = EncodedBytes(value);
      if (used_bytes_ + bytes > kMaxDatagramBytes)
        StartPart();
      (parts_.back().*section).push_back(value);
      used_bytes_ += bytes;
    }
  }

  auto Finish() -> std::vector<Datagram> {
    if (parts_.size() > kMaxParts)
      parts_.resize(kMaxParts);
    for (size_t i = 0; i < parts_.size(); ++i) {
      parts_[i].aggregate_header.part = static_cast<uint32_t>(i);
      parts_[i].aggregate_header.parts = static_cast<uint32_t>(parts_.size());
    }
    return std::move(parts_);
  }

 private:
  void StartPart() {
    parts_.push_back(header_only_);
    used_bytes_ = kFixedBytes;
  }

  Datagram header_only_;
  std::vector<Datagram> parts_;
  size_t used_bytes_ = kFixedBytes;
};

template <class T>
void Append(const std::vector<T>& from, std::vector<T>* to) {
  to->insert(to->end(), from.begin(), from.end());
}

}  // namespace

auto SplitAggregate(const Datagram& aggregate) -> std::vector<Datagram> {
  Packer packer(aggregate);
  packer.Add(aggregate.members, &Datagram::members);
  packer.Add(aggregate.leaving_targets, &Datagram::leaving_targets);
  packer.Add(aggregate.suspicions, &Datagram::suspicions);
  packer.Add(aggregate.services, &Datagram::services);
  packer.Add(aggregate.denials, &Datagram::denials);
  packer.Add(aggregate.loads, &Datagram::loads);
  packer.Add(aggregate.prefix_locations, &Datagram::prefix_locations);
  return packer.Finish();
}

auto AggregateAssembler::Begin(const Datagram& part) -> Unfinished {
  Unfinished assembly;
  assembly.received.resize(part.aggregate_header.parts);
  assembly.missing = part.aggregate_header.parts;
  assembly.aggregate = part;
  assembly.aggregate.members.clear();
  assembly.aggregate.leaving_targets.clear();
  assembly.aggregate.loads.clear();
  assembly.aggregate.prefix_locations.clear();
  assembly.aggregate.services.clear();
  assembly.aggregate.denials.clear();
  assembly.aggregate.suspicions.clear();
  return assembly;
}

auto AggregateAssembler::Take(const Datagram& part) -> std::optional<Datagram> {
  const auto [found, first] = unfinished_.try_emplace({part.sender, part.kind});
  Unfinished& assembly = found->second;
  if (first || part.sequence > assembly.aggregate.sequence)
    assembly = Begin(part);
  const bool fits = part.sequence == assembly.aggregate.sequence &&
                    part.aggregate_header.parts == assembly.received.size() &&
                    part.aggregate_header.part < assembly.received.size();
  if (!fits || assembly.received[part.aggregate_header.part])
    return std::nullopt;
  assembly.received[part.aggregate_header.part] = true;
  Append(part.members, &assembly.aggregate.members);
  Append(part.leaving_targets, &assembly.aggregate.leaving_targets);
  Append(part.suspicions, &assembly.aggregate.suspicions);
  Append(part.services, &assembly.aggregate.services);
  Append(part.denials, &assembly.aggregate.denials);
  Append(part.loads, &assembly.aggregate.loads);
  Append(part.prefix_locations, &assembly.aggregate.prefix_locations);
  if (--assembly.missing > 0)
    return std::nullopt;
  return assembly.aggregate;
}

void AggregateAssembler::Forget(BoxId sender) {
  std::erase_if(unfinished_,
                [&](const auto& entry) { return entry.first.first == sender; });
}

}  // namespace sparbend
