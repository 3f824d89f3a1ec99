// Load: clients that send without end, or stop short of the end of what they
// send, at hundreds of connections. What a byte of theirs allocates depends on
// where it stands: a tiny header field takes twenty times its size, a body that
// grows up to three times its size while it is copied. So the bytes that were
// allocated are compared, not those that were received.
//
// One thread reads from all peers and asks before each step, and a step
// allocates little, so the limit is exceeded by at most one step.
#include "sparbend/core/memory_budget.h"

#include <utility>

namespace sparbend {
namespace {

constexpr size_t kBytesPerMb = 1024 * 1024;
// The program, its libraries and its stack, which are not allocated.
constexpr int64_t kProgramMb = 12;
// Of the rest; the remainder is for the frames of connections, and for what the
// allocator holds in free pieces that are too small for their next use.
constexpr size_t kLimitPercent = 75;
// Bodies may be 200 times as large as other requests. With the rest there is
// room for the header and small body of every connection.
constexpr size_t kLargeBodyPercent = 75;
constexpr size_t kRequestPercent = 95;
// A second's arrivals after the first slow client is closed, whose memory is
// free only after its session has ended.
constexpr size_t kScarcePercent = 85;

auto PercentOf(size_t limit, size_t percent) -> size_t {
  return limit / 100 * percent;
}

auto PercentFor(MemoryBudget::Use use) -> size_t {
  switch (use) {
    case MemoryBudget::Use::kLargeBody:
      return kLargeBodyPercent;
    case MemoryBudget::Use::kRequest:
      return kRequestPercent;
    case MemoryBudget::Use::kOwnCall:
      return 100;
  }
  return 100;
}

}  // namespace

MemoryBudget::MemoryBudget(size_t limit, std::function<size_t()> allocated)
    : limit_(limit), allocated_(std::move(allocated)) {}

auto MemoryBudget::LimitWithin(int64_t memory_mb) -> size_t {
  if (memory_mb <= 0)
    return SIZE_MAX;
  const int64_t rest = memory_mb > kProgramMb ? memory_mb - kProgramMb : 1;
  return static_cast<size_t>(rest) * kBytesPerMb / 100 * kLimitPercent;
}

auto MemoryBudget::HasRoom(Use use, size_t bytes) const -> bool {
  const size_t part = PercentOf(limit_, PercentFor(use));
  const size_t used = allocated();
  return used <= part && bytes <= part - used;
}

auto MemoryBudget::IsScarce() const -> bool {
  return allocated() > PercentOf(limit_, kScarcePercent);
}

}  // namespace sparbend
