// What is known of a request's size before it runs: the prompt's prefixes, how
// many tokens may be generated, and when its answer should begin. Clients send
// these values; they are checked and bounded where they are parsed.
#ifndef SPARBEND_CORE_WORK_H_
#define SPARBEND_CORE_WORK_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "sparbend/core/millis.h"

namespace sparbend {

// Identifies a prompt prefix: a hash of one part of the prompt and all parts
// before it.
using PrefixId = uint32_t;

// Identifies one part of a prompt, whatever stands before and after it.
using PartId = uint32_t;

// A prefix of a prompt that other requests may share.
struct PromptPrefix {
  PrefixId id = 0;
  int64_t tokens = 0;  // length of the prefix
  PartId part = 0;     // its last part

  auto operator==(const PromptPrefix&) const -> bool = default;
};

struct WorkFacts {
  std::vector<PromptPrefix> prefixes;  // shared prefixes, the shortest first
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;  // expected; often far off
  Millis objective;           // time to the first byte; zero: none
  // The objective counted from the client's first attempt, as an instant; zero
  // if there is no objective.
  Millis first_byte_due;
  // Identifies the request, or its session, over the attempts of its client; 0:
  // not known.
  uint64_t return_key = 0;
  // How long the client will still wait, counted from the arrival.
  std::optional<Millis> client_remaining;
  // The longest pause between events of a stream that is in time; zero: none.
  Millis pause_objective;

  // Length of the longest shared prefix in tokens.
  auto shared_tokens() const -> int64_t {
    return prefixes.empty() ? 0 : prefixes.back().tokens;
  }
  auto operator==(const WorkFacts&) const -> bool = default;
};

// The load that one box has put on one target, as reported to other boxes.
struct TargetLoad {
  uint32_t target = 0;
  uint32_t running = 0;         // requests sent that have not ended
  uint32_t waiting_tokens = 0;  // uncached prompt tokens of unanswered requests
  uint32_t memory_tokens = 0;   // tokens held for running requests

  auto operator==(const TargetLoad&) const -> bool = default;
};

// A target that was sent a prefix and probably has it in its KV cache.
struct PrefixLocation {
  PrefixId prefix = 0;
  uint32_t target = 0;

  auto operator<=>(const PrefixLocation&) const = default;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_WORK_H_
