// Overlapping spans are merged: a box that reached the store throughout is
// better informed than a box whose own calls failed meanwhile. Spans that do
// not overlap are merged only if the gap between them is too short to matter
// and no call of this box failed in it. Otherwise the later span replaces the
// earlier one, and the store is taken to have been unavailable before it.
//
// Invariant: a failed call of this box lies within the span only if it also
// lies within a span that a peer reported.
#include "sparbend/core/store_availability.h"

#include <algorithm>

namespace sparbend {
namespace {

// The boxes that read the store for their halls call it more often than this.
constexpr Millis kMaxReadInterval = Millis(1'150);
// An overloaded box calls the store less often, although none of its calls
// fail.
constexpr Millis kMaxOverloadedReadInterval = Millis(2'500);

}  // namespace

auto StoreAvailability::FailedBetween(Millis from, Millis to) const -> bool {
  const auto within = [&](const std::optional<Millis>& failed) {
    return failed && *failed > from && *failed < to;
  };
  return within(first_failed_) || within(last_failed_);
}

auto StoreAvailability::Continues(Millis next, Millis max_gap) const -> bool {
  return next - span_->until <= max_gap && !FailedBetween(span_->until, next);
}

void StoreAvailability::StartSpan(const AnsweredSpan& span) {
  after_outage_ = after_outage_ || span_.has_value();
  span_ = span;
}

void StoreAvailability::OnAnswered(Millis now) {
  if (span_ &&
      (now <= span_->until || Continues(now, kMaxOverloadedReadInterval)))
    span_->until = std::max(span_->until, now);
  else
    StartSpan({now, now});
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
    StartSpan(span);
    return;
  }
  if (span.until < span_->since)
    return;
  if (span.since > span_->until && !Continues(span.since, kMaxReadInterval)) {
    StartSpan(span);
    return;
  }
  span_->since = std::min(span_->since, span.since);
  span_->until = std::max(span_->until, span.until);
}

auto StoreAvailability::RecordsMayHaveExpired(Millis read_at) const -> bool {
  if (returned_at_ && read_at < *returned_at_ + kRewriteTime)
    return true;
  return after_outage_ && span_ && read_at < span_->since + kRewriteTime;
}

auto StoreAvailability::AnsweredSince(Millis read_at) const -> bool {
  return span_ &&
         span_->until - std::max(read_at, span_->since) > kMaxReadInterval;
}

}  // namespace sparbend
