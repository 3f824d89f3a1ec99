// Limits the volume of logs to a number of lines per second for each kind of
// event, with a burst. Lines beyond it are left out and counted; the count is
// returned with the next line of that kind that is allowed.
//
//   if (const auto pass = budget.Take("request-sent", now))
//     ...  // write the line, with pass->left_out if that is not zero
#ifndef SPARBEND_CORE_LOG_BUDGET_H_
#define SPARBEND_CORE_LOG_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "sparbend/core/millis.h"

namespace sparbend {

class LogBudget {
 public:
  struct Pass {
    int64_t left_out = 0;  // lines of this kind left out since the last pass
  };

  LogBudget(int64_t lines_per_second, int64_t burst)
      : lines_per_second_(lines_per_second), burst_lines_(burst) {}

  // Takes one line of kind `event` from the budget; nothing if the budget is
  // used up and the line must be left out.
  auto Take(std::string_view event, Millis now) -> std::optional<Pass>;

 private:
  struct Bucket {
    int64_t available_thousandths = 0;  // thousandths of a line
    Millis filled_at;
    int64_t left_out = 0;
  };

  int64_t lines_per_second_;
  int64_t burst_lines_;
  std::map<std::string, Bucket, std::less<>> buckets_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_LOG_BUDGET_H_
