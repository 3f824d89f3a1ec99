#include "sparbend/core/stream_origin.h"

#include <string>

namespace sparbend {

auto StreamKeyOf(std::string_view workspace, std::string_view attempt)
    -> StreamKey {
  std::string text(workspace);
  text.append("\n").append(attempt);
  return StableHash(text) >> 1;
}

}  // namespace sparbend
