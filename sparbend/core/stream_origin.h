// What wrote the events of a stream: a pool and a version of its targets'
// software. The output of two versions does not fit together, and targets do
// not check it, so a stream is continued at its origin only.
#ifndef SPARBEND_CORE_STREAM_ORIGIN_H_
#define SPARBEND_CORE_STREAM_ORIGIN_H_

#include <compare>
#include <cstdint>
#include <set>
#include <string_view>

#include "sparbend/core/ids.h"

namespace sparbend {

// Identifies a stream in all boxes.
using StreamKey = uint64_t;

// Returns the key of the stream whose first event was brought by the client's
// attempt `attempt`. Includes the workspace, so that no other one can name the
// stream. Fits a signed 64-bit number.
auto StreamKeyOf(std::string_view workspace, std::string_view attempt)
    -> StreamKey;

struct StreamOrigin {
  PoolId pool = 0;
  VersionId version = 0;

  auto operator<=>(const StreamOrigin&) const = default;
};

using StreamOrigins = std::set<StreamOrigin>;

}  // namespace sparbend

#endif  // SPARBEND_CORE_STREAM_ORIGIN_H_
