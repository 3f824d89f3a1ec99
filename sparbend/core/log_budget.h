// Bounds the volume of logs: so many lines a second for each kind of event,
// with a burst. What is left out is counted, and the count is handed out with
// the next line of that kind that goes through.
//
//   if (const auto pass = budget.Take("request-sent", now))
//     write line, with pass->left_out in it when that is not zero
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
    int64_t left_out = 0;  // lines of this kind left out since the last one
  };

  LogBudget(int64_t lines_per_second, int64_t burst)
      : lines_per_second_(lines_per_second), burst_(burst) {}

  // Nothing: the line is to be left out.
  auto Take(std::string_view event, Millis now) -> std::optional<Pass>;

 private:
  struct Bucket {
    int64_t thousandths = 0;  // of a line
    Millis filled;
    int64_t left_out = 0;
  };

  int64_t lines_per_second_;
  int64_t burst_;
  std::map<std::string, Bucket, std::less<>> buckets_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_LOG_BUDGET_H_
