// Decides at which origin a stream that a client resumes may go on. The one
// rule for it: at the origin that began it, if that is known, otherwise only if
// no other origin could have begun it, and only where its route allows it.
#ifndef SPARBEND_CORE_CONTINUATION_H_
#define SPARBEND_CORE_CONTINUATION_H_

#include <optional>
#include <string_view>

#include "sparbend/core/route_table.h"
#include "sparbend/core/stream_origin.h"

namespace sparbend {

enum class ContinuationOutcome {
  kKnown,         // goes on at the origin that began it
  kOnlyOne,       // goes on at the only origin that could have begun it
  kUnknown,       // several origins could have begun it
  kMoved,         // the pool that began it does not serve the route any more
  kNotResumable,  // the route does not allow it
};

auto ToString(ContinuationOutcome outcome) -> std::string_view;

struct ContinuationFacts {
  std::optional<StreamOrigin> known;  // the origin that began the stream
  // The origins that could have begun it, as far as this box and the boxes that
  // it could ask know.
  StreamOrigins possible;
  // Other origins may exist: no other box answered, and this box's list is old
  // or it does not know which origins were possible before it started.
  bool incomplete = false;

  auto operator==(const ContinuationFacts&) const -> bool = default;
};

struct Continuation {
  ContinuationOutcome outcome = ContinuationOutcome::kUnknown;
  std::optional<StreamOrigin> origin;  // where it goes on; nothing: nowhere

  auto operator==(const Continuation&) const -> bool = default;
};

auto DecideContinuation(const ContinuationFacts& facts, const RouteRule& route)
    -> Continuation;

// What a box knows of the process behind a connection to a target. A process
// writes its record before it accepts connections, so a list that was read
// after the connection was made states the version of that process.
struct TargetVersionFacts {
  std::optional<VersionId> listed;  // nothing: the target is not listed
  bool read_since_connected = false;
  // An older connection to the target, since which the list was read, is still
  // open. So the process has not ended.
  bool connected_before = false;

  auto operator==(const TargetVersionFacts&) const -> bool = default;
};

// The version of the process; nothing if it is not known.
auto VersionOf(const TargetVersionFacts& target) -> std::optional<VersionId>;

}  // namespace sparbend

#endif  // SPARBEND_CORE_CONTINUATION_H_
