// A length and a last chunk state that the sender has sent everything. The end
// of a connection states nothing: the connections of a process that crashes are
// closed in the same way. So what a stream without other framing contains must
// show that it is complete, or its target must be seen to run on. A stream of
// events is never complete inside an event, since a client discards what it has
// of it (HTML, section 9.2.6).
#include "sparbend/core/answer_end.h"

#include <array>
#include <cstddef>

namespace sparbend {
namespace {

constexpr std::array<std::string_view, 4> kFramingNames = {"none", "length",
                                                           "chunked", "close"};
constexpr std::array<std::string_view, 5> kPositionNames = {
    "no-stream", "no-event", "inside-event", "after-event",
    "after-closing-event"};

constexpr std::array<std::string_view, 4> kTargetStateNames = {
    "", "running", "ended", "unknown"};

}  // namespace

auto ToString(Framing framing) -> std::string_view {
  return kFramingNames[static_cast<size_t>(framing)];
}

auto ToString(StreamPosition position) -> std::string_view {
  return kPositionNames[static_cast<size_t>(position)];
}

auto ToString(TargetState state) -> std::string_view {
  return kTargetStateNames[static_cast<size_t>(state)];
}

auto NeedsTargetState(const AnswerEnd& end) -> bool {
  return end.framing == Framing::kUntilClose &&
         (end.position == StreamPosition::kNoStream ||
          (end.position == StreamPosition::kAfterEvent &&
           !end.has_closing_event));
}

auto WhyIncomplete(const AnswerEnd& end) -> std::string_view {
  if (end.position == StreamPosition::kInsideEvent)
    return "the stream ended inside an event";
  if (end.framing != Framing::kUntilClose)
    return "";
  if (end.position == StreamPosition::kNoEvent)
    return "the connection was closed before the first event";
  if (end.has_closing_event && end.position == StreamPosition::kAfterEvent)
    return "the connection was closed before the closing event";
  if (!NeedsTargetState(end))
    return "";
  switch (end.target) {
    case TargetState::kRunning:
      return "";
    case TargetState::kEnded:
      return end.target_leaving ? "" : "the target's process ended";
    // A client can ask again for an answer that looks interrupted, but can't
    // notice that one that looks complete is not.
    case TargetState::kNotChecked:
    case TargetState::kUnknown:
      break;
  }
  return "it is not known whether the target's process ended";
}

}  // namespace sparbend
