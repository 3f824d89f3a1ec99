// A sum is used whole or not at all: part of one beside part of an older one
// would count what moved between them twice, or not at all. A lost part costs
// that sum; the next comes soon, and from two boxes.
//
// Invariant: of each sender and kind the sequence of the sums begun only rises.
#include "sparbend/core/aggregate_parts.h"

namespace sparbend {
namespace {

// The tag, the header's numbers and the beginnings of the sections.
constexpr size_t kFrameBytes = 140;
// MessagePack writes a number in so many bytes with its mark.
constexpr size_t kLongBytes = 9;

auto BytesOf(int64_t number) -> size_t {
  if (number < 0)
    return kLongBytes;
  if (number < 128)
    return 1;
  if (number <= UINT8_MAX)
    return 2;
  if (number <= UINT16_MAX)
    return 3;
  return number <= UINT32_MAX ? 5 : kLongBytes;
}

auto BytesOf(const TargetLoad& load) -> size_t {
  return BytesOf(int64_t{load.target}) + BytesOf(int64_t{load.running}) +
         BytesOf(int64_t{load.waiting_tokens}) +
         BytesOf(int64_t{load.memory_tokens});
}

// With its pool, which may have to be named.
auto BytesOf(const FlowValue& value) -> size_t {
  constexpr size_t kPoolBytes = 5;
  return kPoolBytes + BytesOf(int64_t{value.flow.workspace}) +
         BytesOf(value.value);
}

auto BytesOf(const MemberNews& news) -> size_t {
  return BytesOf(int64_t{news.box}) + BytesOf(int64_t{news.incarnation}) +
         BytesOf(int64_t{news.heartbeat}) + 1;
}

auto BytesOf(const PrefixLocation& home) -> size_t {
  return BytesOf(int64_t{home.prefix}) + BytesOf(int64_t{home.target});
}

auto BytesOf(const Suspicion& row) -> size_t {
  return BytesOf(int64_t{row.request.workspace}) +
         BytesOf(int64_t{row.request.path}) +
         BytesOf(int64_t{row.request.body}) + BytesOf(int64_t{row.cleared}) +
         BytesOf(int64_t{row.ends}) + BytesOf(int64_t{row.age_s});
}

auto BytesOf(TargetId target) -> size_t {
  return BytesOf(int64_t{target});
}

// Fills one datagram after the other.
class Packer {
 public:
  explicit Packer(const Datagram& sum) : empty_(sum) {
    empty_.members.clear();
    empty_.leaving_targets.clear();
    empty_.loads.clear();
    empty_.homes.clear();
    empty_.services.clear();
    empty_.denials.clear();
    empty_.suspicions.clear();
    parts_.push_back(empty_);
  }

  template <class T>
  void Add(const std::vector<T>& values, std::vector<T> Datagram::* section) {
    for (const T& value : values) {
      const size_t bytes = BytesOf(value);
      if (used_ + bytes > kMaxDatagramBytes)
        Next();
      (parts_.back().*section).push_back(value);
      used_ += bytes;
    }
  }

  auto Finish() -> std::vector<Datagram> {
    if (parts_.size() > kMostParts)
      parts_.resize(kMostParts);
    for (size_t i = 0; i < parts_.size(); ++i) {
      parts_[i].sum.part = static_cast<uint32_t>(i);
      parts_[i].sum.parts = static_cast<uint32_t>(parts_.size());
    }
    return std::move(parts_);
  }

 private:
  void Next() {
    parts_.push_back(empty_);
    used_ = kFrameBytes;
  }

  Datagram empty_;
  std::vector<Datagram> parts_;
  size_t used_ = kFrameBytes;
};

template <class T>
void Append(const std::vector<T>& from, std::vector<T>* to) {
  to->insert(to->end(), from.begin(), from.end());
}

}  // namespace

auto SplitAggregate(const Datagram& sum) -> std::vector<Datagram> {
  Packer packer(sum);
  packer.Add(sum.members, &Datagram::members);
  packer.Add(sum.leaving_targets, &Datagram::leaving_targets);
  packer.Add(sum.suspicions, &Datagram::suspicions);
  packer.Add(sum.services, &Datagram::services);
  packer.Add(sum.denials, &Datagram::denials);
  packer.Add(sum.loads, &Datagram::loads);
  packer.Add(sum.homes, &Datagram::homes);
  return packer.Finish();
}

auto AggregateAssembler::Begin(const Datagram& part) -> Unfinished {
  Unfinished begun;
  begun.came.resize(part.sum.parts);
  begun.missing = part.sum.parts;
  begun.sum = part;
  begun.sum.members.clear();
  begun.sum.leaving_targets.clear();
  begun.sum.loads.clear();
  begun.sum.homes.clear();
  begun.sum.services.clear();
  begun.sum.denials.clear();
  begun.sum.suspicions.clear();
  return begun;
}

auto AggregateAssembler::Take(const Datagram& part) -> std::optional<Datagram> {
  const auto [found, first] = unfinished_.try_emplace({part.sender, part.kind});
  Unfinished& sum = found->second;
  if (first || part.sequence > sum.sum.sequence)
    sum = Begin(part);
  const bool fits = part.sequence == sum.sum.sequence &&
                    part.sum.parts == sum.came.size() &&
                    part.sum.part < sum.came.size();
  if (!fits || sum.came[part.sum.part])
    return std::nullopt;
  sum.came[part.sum.part] = true;
  Append(part.members, &sum.sum.members);
  Append(part.leaving_targets, &sum.sum.leaving_targets);
  Append(part.suspicions, &sum.sum.suspicions);
  Append(part.services, &sum.sum.services);
  Append(part.denials, &sum.sum.denials);
  Append(part.loads, &sum.sum.loads);
  Append(part.homes, &sum.sum.homes);
  if (--sum.missing > 0)
    return std::nullopt;
  return sum.sum;
}

void AggregateAssembler::Forget(BoxId sender) {
  std::erase_if(unfinished_,
                [&](const auto& entry) { return entry.first.first == sender; });
}

}  // namespace sparbend
