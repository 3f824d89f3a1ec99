// Load: clients that read slowly, or stop reading. An engine cuts off an answer
// that stays unread for some seconds, and fails if the data it keeps for unread
// answers exceeds its memory, so a box keeps these bytes as far as it can.
#include "sparbend/core/send_budget.h"

#include <algorithm>

namespace sparbend {
namespace {

// The longest usual answer, 55 events of 7 tokens, has some 20 KB. This holds
// the whole of it, so the engine can complete it without the client.
constexpr size_t kMaxBytesPerClient = 64 * 1024;
constexpr size_t kBytesPerMb = 1024 * 1024;
// A sixteenth of the memory of a box with 120 MB are 7.5 MB, for 120 clients
// with the most that each may have. It is taken from the 48 MB that are not
// counted for connections, of which a process without clients needs 15.
constexpr int64_t kMemoryShare = 16;
// Of larger boxes too, since those 48 MB are the same for all.
constexpr size_t kMaxTotal = 16 * kBytesPerMb;

}  // namespace

auto SendBudget::TotalWithin(int64_t memory_mb) -> size_t {
  if (memory_mb <= 0)
    return kMaxTotal;
  const auto limited =
      std::min<int64_t>(memory_mb, kMemoryShare * (kMaxTotal / kBytesPerMb));
  return static_cast<size_t>(limited) * kBytesPerMb / kMemoryShare;
}

auto SendBudget::Reserve(size_t held, size_t size) -> bool {
  if (held > kMaxBytesPerClient || size > kMaxBytesPerClient - held ||
      used_ > total_ || size > total_ - used_)
    return false;
  used_ += size;
  return true;
}

void SendBudget::Release(size_t size) {
  used_ -= std::min(size, used_);
}

}  // namespace sparbend
