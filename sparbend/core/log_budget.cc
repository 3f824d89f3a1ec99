// Uses one token bucket for each kind of event. Buckets count thousandths of a
// line: a millisecond at n lines per second then adds exactly n of them.
#include "sparbend/core/log_budget.h"

#include <algorithm>

namespace sparbend {
namespace {

constexpr int64_t kThousandthsPerLine = 1'000;

}  // namespace

auto LogBudget::Take(std::string_view event, Millis now)
    -> std::optional<Pass> {
  auto found = buckets_.find(event);
  if (found == buckets_.end())
    found = buckets_
                .emplace(std::string(event),
                         Bucket{burst_lines_ * kThousandthsPerLine, now, 0})
                .first;
  Bucket& bucket = found->second;
  const int64_t elapsed_ms =
      std::max<int64_t>(0, (now - bucket.filled_at).count());
  bucket.available_thousandths =
      std::min(burst_lines_ * kThousandthsPerLine,
               bucket.available_thousandths + elapsed_ms * lines_per_second_);
  bucket.filled_at = now;
  if (bucket.available_thousandths < kThousandthsPerLine) {
    ++bucket.left_out;
    return std::nullopt;
  }
  bucket.available_thousandths -= kThousandthsPerLine;
  const Pass pass{bucket.left_out};
  bucket.left_out = 0;
  return pass;
}

}  // namespace sparbend
