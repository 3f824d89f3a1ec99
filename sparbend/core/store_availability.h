// Since when the platform's store has answered without interruption, as far as
// this box and its peers know. A box that alone can't reach the store is told
// by its peers that the store is available, and so does not take its own failed
// calls for an outage. After an outage all boxes agree on the time at which the
// store came back.
//
//   availability.OnAnswered(now); availability.OnFailed(sent);
//   availability.OnPeerSpan(span_of_a_peer);
//   if (availability.RecordsMayHaveExpired(read_at))
//     ...  // a missing record does not prove that its target is gone
//
// Does no I/O; all calls are O(1). Times are by this box's clock.
#ifndef SPARBEND_CORE_STORE_AVAILABILITY_H_
#define SPARBEND_CORE_STORE_AVAILABILITY_H_

#include <optional>

#include "sparbend/core/millis.h"

namespace sparbend {

// The store answered calls from `since` to `until`, without a known
// interruption.
struct AnsweredSpan {
  Millis since;
  Millis until;

  auto operator==(const AnsweredSpan&) const -> bool = default;
};

class StoreAvailability {
 public:
  // Live owners have written their records again about two seconds after the
  // store came back; the rest is for reading them.
  static constexpr Millis kRewriteTime = Millis(2'400);

  // The store answered a call of this box.
  void OnAnswered(Millis now);
  // A call of this box, sent at `sent`, failed or got no answer.
  void OnFailed(Millis sent);
  // The store came back from an older copy, as this box found at `now`. The
  // copy lacks the records of owners that appeared since it was made.
  void OnReturned(Millis now) { returned_at_ = now; }
  // A peer reports `span`, converted to this box's clock.
  void OnPeerSpan(const AnsweredSpan& span);

  // The latest span; nothing if the store is not known to have answered any
  // box.
  auto span() const -> const std::optional<AnsweredSpan>& { return span_; }
  // Whether a record that was missing when the list was read at `read_at` may
  // have expired in an outage of the store, or be missing in the copy that the
  // store came back from, although its owner is alive. Live owners write their
  // records again within a short time.
  auto RecordsMayHaveExpired(Millis read_at) const -> bool;
  // Whether the store has answered for longer than the usual time between two
  // reads since the later of `read_at` and the end of its last outage. If so, a
  // box with a list read at `read_at` has had the time to read a newer one.
  auto AnsweredSince(Millis read_at) const -> bool;

 private:
  // Whether a call of this box that was sent between `from` and `to`,
  // exclusive, failed.
  auto FailedBetween(Millis from, Millis to) const -> bool;
  // Whether an answer at `next` continues `span_`: at most `max_gap` after its
  // end, and no call of this box failed in between.
  auto Continues(Millis next, Millis max_gap) const -> bool;
  void StartSpan(const AnsweredSpan& span);

  std::optional<AnsweredSpan> span_;
  // Whether the store was, or may have been, unavailable before `span_`.
  bool after_outage_ = false;
  // When the first and the last failed call after the end of `span_` were sent.
  std::optional<Millis> first_failed_;
  std::optional<Millis> last_failed_;
  std::optional<Millis> returned_at_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_STORE_AVAILABILITY_H_
