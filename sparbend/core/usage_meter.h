// Measures a response while it is forwarded: the events of a stream as they
// arrive, and the token usage that the engine reports at the end.
//
//   meter.Feed(bytes);  // for each piece of the body
//   meter.events();
//   meter.FinalUsage();  // after the last piece
#ifndef SPARBEND_CORE_USAGE_METER_H_
#define SPARBEND_CORE_USAGE_METER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sparbend/core/answer_end.h"
#include "sparbend/core/event_order.h"

namespace sparbend {

class UsageMeter {
 public:
  // The body is a stream whose events have these ids. `after`: the id of the
  // last event that the client has of it; empty: none.
  void BeginStream(EventIds ids, const std::string& after) {
    order_ = EventOrder(ids, after);
  }

  // Processes the next bytes of the body, up to an event that does not go on
  // after the last one. O(bytes).
  void Feed(std::string_view bytes);

  // Another answer follows, which continues the stream after the last complete
  // event. Discards an event of which only a part has arrived, since the
  // connection broke there.
  void BeginContinuation();

  // Bytes fed so far.
  auto bytes() const -> int64_t { return bytes_; }
  // Complete server-sent events with data so far, including the closing one.
  auto events() const -> int64_t { return events_; }
  // The id of the first event of the latest answer; empty if it has none.
  auto first_event_id() const -> const std::string& { return first_event_id_; }
  // The id of the last complete event that has one; empty if none has, or if
  // it is too long to be kept.
  auto last_event_id() const -> std::string { return order_.last_id(); }
  // Whether the latest event goes on after the one before it. If it does not,
  // neither it nor anything after it in this answer is counted.
  auto step() const -> EventStep { return step_; }
  // Bytes up to the end of the last complete event.
  auto whole_bytes() const -> int64_t { return complete_bytes_; }
  // Whether the closing event of the stream has arrived.
  auto done() const -> bool { return done_; }
  // Where the stream stands after the bytes fed so far; kNoEvent also before
  // the first event of a continuation. Comments between events are no part of
  // an event.
  auto position() const -> StreamPosition;

  // Tokens from the engine's usage object; both 0 if there is none.
  struct Usage {
    int64_t prompt = 0;
    int64_t completion = 0;
  };
  auto FinalUsage() const -> Usage;

 private:
  // Processes a complete line, truncated as `line_` is.
  void EndLine(std::string_view line);
  // Processes the event that the current line ends.
  void EndEvent();
  // Drops the line feed of a CRLF from the front of `rest`, if it is there.
  void SkipLineFeed(std::string_view* rest);

  std::string line_;      // the current line, truncated
  std::string tail_;      // last bytes of the body, at most 2 * kTailBytes
  std::string event_id_;  // id of the current event
  std::string first_event_id_;
  EventOrder order_;
  EventStep step_ = EventStep::kGoesOn;
  int64_t bytes_ = 0;
  int64_t complete_bytes_ = 0;
  int64_t events_ = 0;
  int64_t earlier_events_ = 0;     // of those, before the continuation
  bool has_field_ = false;         // the current event has any line
  bool has_data_ = false;          // the current event has a data line
  bool has_long_id_ = false;       // its id is too long to be kept
  bool is_closing_event_ = false;  // the current event closes the stream
  bool done_ = false;
  bool skips_line_feed_ = false;  // the last byte was a carriage return
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_USAGE_METER_H_
