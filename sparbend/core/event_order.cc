// Numbers are compared as decimal digits, since the protocol does not limit
// them. An id that is no number can only be recognised as a repeated one. It is
// looked up only in a continuation: that is where a target that has lost its
// run repeats events, and a first answer costs no lookups.
#include "sparbend/core/event_order.h"

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace sparbend {
namespace {

constexpr std::array<std::string_view, 5> kStepNames = {
    "goes-on", "no-id", "no-number", "repeated", "went-back"};

// Longer numbers might not fit into 64 bits.
constexpr size_t kMaxShortDigits = 18;

// The value of a number of at most kMaxShortDigits digits; -1 for another id.
auto ShortNumber(std::string_view id) -> int64_t {
  if (id.empty() || id.size() > kMaxShortDigits)
    return -1;
  int64_t value = 0;
  for (const char digit : id) {
    if (digit < '0' || digit > '9')
      return -1;
    value = 10 * value + (digit - '0');
  }
  return value;
}

auto IsNumber(std::string_view id) -> bool {
  return !id.empty() && std::ranges::all_of(id, [](char digit) {
    return digit >= '0' && digit <= '9';
  });
}

// Without the zeros that do not count.
auto Digits(std::string_view number) -> std::string_view {
  number.remove_prefix(std::min(number.find_first_not_of('0'), number.size()));
  return number;
}

auto HashOf(std::string_view id) -> size_t {
  return std::hash<std::string_view>()(id);
}

}  // namespace

auto ToString(EventStep step) -> std::string_view {
  return kStepNames[static_cast<size_t>(step)];
}

EventOrder::EventOrder(EventIds ids, std::string after)
    : ids_(ids),
      last_id_(std::move(after)),
      last_is_number_(ids == EventIds::kRising && IsNumber(last_id_)),
      last_number_(last_is_number_ ? ShortNumber(last_id_) : -1) {
  if (last_id_.empty())
    return;
  BeginContinuation();
  if (!last_is_number_)
    Remember(last_id_);
}

void EventOrder::BeginContinuation() {
  continues_ = !last_id_.empty();
  at_beginning_ = continues_;
}

auto EventOrder::NextUnknown() -> EventStep {
  if (at_beginning_)
    return EventStep::kNoId;
  last_is_known_ = false;
  return EventStep::kGoesOn;
}

auto EventOrder::IsKnown(std::string_view id) const -> bool {
  return std::ranges::find(known_, HashOf(id)) != known_.end();
}

void EventOrder::Remember(std::string_view id) {
  if (known_.size() < kMaxKnownIds) {
    known_.push_back(HashOf(id));
    return;
  }
  known_[oldest_] = HashOf(id);
  oldest_ = oldest_ + 1 < kMaxKnownIds ? oldest_ + 1 : 1;
}

auto EventOrder::Check(std::string_view id) const -> EventStep {
  if (last_is_number_) {
    if (!IsNumber(id))
      return EventStep::kNoNumber;
    const std::string_view next = Digits(id);
    const std::string_view last = Digits(last_id_);
    if (next == last)
      return EventStep::kRepeated;
    const bool rises =
        next.size() == last.size() ? next > last : next.size() > last.size();
    return rises ? EventStep::kGoesOn : EventStep::kWentBack;
  }
  const bool repeated =
      ids_ == EventIds::kRising && !id.empty() && id == last_id_;
  return repeated || (continues_ && IsKnown(id)) ? EventStep::kRepeated
                                                 : EventStep::kGoesOn;
}

auto EventOrder::Next(std::string_view id) -> EventStep {
  if (id.empty())
    return at_beginning_ ? EventStep::kNoId : EventStep::kGoesOn;
  // Nearly all ids are short numbers, which need no comparison of digits.
  const int64_t number = ids_ == EventIds::kRising ? ShortNumber(id) : -1;
  const bool rises = last_number_ >= 0 && number > last_number_;
  const EventStep step = rises ? EventStep::kGoesOn : Check(id);
  if (step != EventStep::kGoesOn)
    return step;
  at_beginning_ = false;
  last_number_ = number;
  last_is_number_ =
      ids_ == EventIds::kRising && (last_is_number_ || IsNumber(id));
  if (!last_is_number_)
    Remember(id);
  last_id_ = id;
  last_is_known_ = true;
  return EventStep::kGoesOn;
}

}  // namespace sparbend
