// Since when the platform's store has answered without a break, as far as this
// box and its peers know. A box that lost the store alone learns from its peers
// that the store was there, so it does not take its own failure for an outage;
// after an outage all boxes come to the same moment of return.
//
//   contact.OnAnswered(now); contact.OnFailed(sent);
//   contact.RenewLeases(span_of_a_peer);
//   if (contact.RecordsMayLapse(read_at)) ...  // doubt records that are gone
//
// Pure; all calls O(1). Instants are by this box's clock.
#ifndef SPARBEND_CORE_STORE_AVAILABILITY_H_
#define SPARBEND_CORE_STORE_AVAILABILITY_H_

#include <optional>

#include "sparbend/core/millis.h"

namespace sparbend {

// The store answered calls from `since` to `until`, with no break known.
struct AnsweredSpan {
  Millis since;
  Millis until;

  auto operator==(const AnsweredSpan&) const -> bool = default;
};

class StoreAvailability {
 public:
  // A call of this box was answered.
  void OnAnswered(Millis now);
  // A call of this box that was sent at `sent` was not answered.
  void OnFailed(Millis sent);
  // A peer tells of `span`.
  void OnPeerSpan(const AnsweredSpan& span);

  // Nothing: the store has not answered anybody yet, as far as is known.
  auto span() const -> const std::optional<AnsweredSpan>& { return span_; }
  // Whether a record that was gone when the list was read at `read_at` may have
  // lapsed while the store was away, though its owner lives. Such records are
  // back within a time after the store is.
  auto RecordsMayLapse(Millis read_at) const -> bool;
  // Whether the store has answered, since `read_at` and since it was back if
  // that is later, for longer than the usual time between two reads.
  auto AnsweredSince(Millis read_at) const -> bool;

 private:
  // A call of this box failed after `from`, sent before `to`.
  auto FailedBetween(Millis from, Millis to) const -> bool;
  // Whether nothing says that the store was away between the end of the span
  // and `next`, when it answered, at most `longest` later.
  auto Continues(Millis next, Millis longest) const -> bool;
  void Begin(const AnsweredSpan& span);

  std::optional<AnsweredSpan> span_;
  // Before this one the store was away, or may have been.
  bool after_break_ = false;
  // Calls that failed since the end of the span.
  std::optional<Millis> first_failed_;
  std::optional<Millis> last_failed_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_STORE_AVAILABILITY_H_
