// Load: large requests at targets that are slow to read. Each body stays in
// memory until its request ends, for another attempt. Answers are seldom large;
// targets in trouble may send bytes without end in all of them at once.
#include "sparbend/core/body_budget.h"

#include <algorithm>

namespace sparbend {
namespace {

constexpr size_t kBytesPerMb = 1024 * 1024;
// Within what each client connection is counted with, 80 KB.
constexpr size_t kSmallBodyBytes = 64 * 1024;
// What the process needs without clients, with room for tables and buffers.
constexpr int64_t kBaseMemoryMb = 48;
// The rest is shared with connections, which seldom all hold a request.
constexpr int64_t kMemoryShare = 2;
// Four bodies of the largest size that is accepted by default, so that a small
// box can serve some of them.
constexpr size_t kMinTotal = 16 * kBytesPerMb;
// Of the budget for requests: what is refused to an answer is relayed at once,
// while a request is refused as a whole.
constexpr size_t kAnswersShare = 2;
// Without a limit of memory, only a flood of large requests is to be bounded.
constexpr size_t kUnspecifiedTotal = 1024 * kBytesPerMb;

}  // namespace

auto BodyBudget::TotalWithin(int64_t memory_mb) -> size_t {
  if (memory_mb <= 0)
    return kUnspecifiedTotal;
  const int64_t rest = std::max<int64_t>(0, memory_mb - kBaseMemoryMb);
  return std::max(kMinTotal,
                  static_cast<size_t>(rest / kMemoryShare) * kBytesPerMb);
}

auto BodyBudget::AnswersWithin(int64_t memory_mb) -> size_t {
  return TotalWithin(memory_mb) / kAnswersShare;
}

auto BodyBudget::IsSmall(size_t bytes) -> bool {
  return bytes <= kSmallBodyBytes;
}

auto BodyBudget::Grow(size_t* held, size_t bytes) -> bool {
  if (IsSmall(bytes) || bytes <= *held)
    return true;
  const size_t more = bytes - *held;
  if (more > total_ - std::min(used_, total_))
    return false;
  used_ += more;
  *held = bytes;
  return true;
}

void BodyBudget::Shrink(size_t* held, size_t bytes) {
  const size_t less = *held - std::min(*held, bytes);
  used_ -= less;
  *held -= less;
}

void BodyBudget::Release(size_t* held) {
  used_ -= *held;
  *held = 0;
}

}  // namespace sparbend
