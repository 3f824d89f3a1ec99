// What is known of a request's size before it runs: the prompt's parts, how
// many tokens may come out, and by when its answer should begin. Callers tell
// these facts; they are bounded and checked where they are read.
#ifndef SPARBEND_CORE_WORK_H_
#define SPARBEND_CORE_WORK_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "sparbend/core/millis.h"

namespace sparbend {

// Names a prompt's beginning: a hash over a part and all parts before it.
using PrefixId = uint32_t;

// A beginning of a prompt that other requests may share.
struct PromptPrefix {
  PrefixId id = 0;
  int64_t tokens = 0;  // from the prompt's start to this prefix's end

  auto operator==(const PromptPrefix&) const -> bool = default;
};

struct WorkFacts {
  std::vector<PromptPrefix> prefixes;  // shared ones, the shortest first
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;  // expected; often far off
  Millis objective;           // time to the first byte; zero: none
  // Instant, counted from the caller's first try; zero when there is no
  // objective.
  Millis first_byte_due;

  // Tokens of the longest shared prefix.
  auto shared_tokens() const -> int64_t {
    return prefixes.empty() ? 0 : prefixes.back().tokens;
  }
  auto operator==(const WorkFacts&) const -> bool = default;
};

// What one box has running at one target, as boxes tell each other.
struct TargetLoad {
  uint32_t target = 0;
  uint32_t running = 0;         // requests sent and not ended
  uint32_t waiting_tokens = 0;  // uncached prompt tokens without an answer yet
  uint32_t memory_tokens = 0;   // tokens held for running requests

  auto operator==(const TargetLoad&) const -> bool = default;
};

// A target that was sent a prefix and is taken to hold it.
struct PrefixLocation {
  PrefixId prefix = 0;
  uint32_t target = 0;

  auto operator<=>(const PrefixLocation&) const = default;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_WORK_H_
