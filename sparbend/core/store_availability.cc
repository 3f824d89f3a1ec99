// Two spans that overlap are parts of one: whoever reached the store throughout
// knows better than a box whose own calls failed meanwhile. Spans apart are
// joined only where the gap is too short to matter and this box saw no failure
// in it. Otherwise the later one counts: the store was away before it.
//
// Invariant: the span covers no failed call of this box that no peer's span
// covers.
#include "sparbend/core/store_availability.h"

#include <algorithm>

namespace sparbend {
namespace {

// Records whose owners live are back about two seconds after the store is; a
// little more for the reading.
constexpr Millis kLapseGrace = Millis(2'400);
// The readers of a fleet call more often than this.
constexpr Millis kLongestGap = Millis(1'150);
// A box that is behind its work calls later, and its calls do not fail.
constexpr Millis kLongestPause = Millis(2'500);

}  // namespace

auto StoreAvailability::FailedBetween(Millis from, Millis to) const -> bool {
  const auto within = [&](const std::optional<Millis>& failed) {
    return failed && *failed > from && *failed < to;
  };
  return within(first_failed_) || within(last_failed_);
}

auto StoreAvailability::Continues(Millis next, Millis longest) const -> bool {
  return next - span_->until <= longest && !FailedBetween(span_->until, next);
}

void StoreAvailability::Begin(const AnsweredSpan& span) {
  after_break_ = after_break_ || span_.has_value();
  span_ = span;
}

void StoreAvailability::OnAnswered(Millis now) {
  if (span_ && (now <= span_->until || Continues(now, kLongestPause)))
    span_->until = std::max(span_->until, now);
  else
    Begin({now, now});
}

void StoreAvailability::OnFailed(Millis sent) {
  if (span_ && sent <= span_->until)
    return;
  if (!first_failed_ || (span_ && *first_failed_ <= span_->until))
    first_failed_ = sent;
  last_failed_ = sent;
}

void StoreAvailability::OnPeerSpan(const AnsweredSpan& span) {
  if (!span_) {
    Begin(span);
    return;
  }
  if (span.until < span_->since)
    return;
  if (span.since > span_->until && !Continues(span.since, kLongestGap)) {
    Begin(span);
    return;
  }
  span_->since = std::min(span_->since, span.since);
  span_->until = std::max(span_->until, span.until);
}

auto StoreAvailability::RecordsMayLapse(Millis read_at) const -> bool {
  return after_break_ && span_ && read_at < span_->since + kLapseGrace;
}

auto StoreAvailability::AnsweredSince(Millis read_at) const -> bool {
  return span_ && span_->until - std::max(read_at, span_->since) > kLongestGap;
}

}  // namespace sparbend
