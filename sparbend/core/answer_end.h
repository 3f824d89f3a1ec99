// How an answer of a target ended: what delimited its body, and which part of a
// stream of events the last byte belongs to. Decides whether the answer is
// complete.
//
//   const std::string_view why = WhyIncomplete({framing, meter.position()});
//   if (!why.empty())
//     ...  // the target did not send the whole answer
#ifndef SPARBEND_CORE_ANSWER_END_H_
#define SPARBEND_CORE_ANSWER_END_H_

#include <cstdint>
#include <string_view>

namespace sparbend {

// What delimits the body of an HTTP answer (RFC 9112, section 6.3).
enum class Framing : uint8_t {
  kNone,        // no header has been read or sent
  kLength,      // Content-Length, or a status that has no body
  kChunked,     // the last chunk
  kUntilClose,  // the end of the connection
};

// Where a stream of server-sent events stands.
enum class StreamPosition : uint8_t {
  kNoStream,           // the answer is no stream of events
  kNoEvent,            // before the first event
  kInsideEvent,        // after a part of an event
  kAfterEvent,         // after a complete event
  kAfterClosingEvent,  // after the event that closes the stream
};

// What is known of the target's process once the connection of its answer has
// ended.
enum class TargetState : uint8_t {
  kNotChecked,
  kRunning,
  kEnded,
  kUnknown,  // it could not be found out
};

struct AnswerEnd {
  Framing framing = Framing::kNone;
  StreamPosition position = StreamPosition::kNoStream;
  // The protocol ends each stream with a closing event.
  bool has_closing_event = false;
  TargetState target = TargetState::kNotChecked;
  // The target has announced that it leaves: it ends its answers before its
  // process.
  bool target_leaving = false;

  auto operator==(const AnswerEnd&) const -> bool = default;
};

// Names for logs and metrics.
auto ToString(Framing framing) -> std::string_view;
auto ToString(StreamPosition position) -> std::string_view;
auto ToString(TargetState state) -> std::string_view;

// Whether nothing in the answer shows if its target has sent all of it, so that
// the state of the target's process has to be checked.
auto NeedsTargetState(const AnswerEnd& end) -> bool;

// Why an answer is not complete although its framing has ended without an
// error; empty if it is complete.
auto WhyIncomplete(const AnswerEnd& end) -> std::string_view;

}  // namespace sparbend

#endif  // SPARBEND_CORE_ANSWER_END_H_
