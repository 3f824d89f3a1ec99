// A token bucket a kind, in thousandths of a line so that whole milliseconds
// fill it without rounding.
#include "sparbend/core/log_budget.h"

#include <algorithm>

namespace sparbend {
namespace {

constexpr int64_t kLine = 1'000;  // thousandths

}  // namespace

auto LogBudget::Take(std::string_view event, Millis now)
    -> std::optional<Pass> {
  auto found = buckets_.find(event);
  if (found == buckets_.end())
    found = buckets_.emplace(std::string(event), Bucket{burst_ * kLine, now, 0})
                .first;
  Bucket& bucket = found->second;
  const int64_t span = std::max<int64_t>(0, (now - bucket.filled).count());
  bucket.thousandths =
      std::min(burst_ * kLine, bucket.thousandths + span * lines_per_second_);
  bucket.filled = now;
  if (bucket.thousandths < kLine) {
    ++bucket.left_out;
    return std::nullopt;
  }
  bucket.thousandths -= kLine;
  const Pass pass{bucket.left_out};
  bucket.left_out = 0;
  return pass;
}

}  // namespace sparbend
