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

}  // namespace

auto ToString(Framing framing) -> std::string_view {
  return kFramingNames[static_cast<size_t>(framing)];
}

auto ToString(StreamPosition position) -> std::string_view {
  return kPositionNames[static_cast<size_t>(position)];
}

}  // namespace sparbend
