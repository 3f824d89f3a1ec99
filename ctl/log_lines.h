// Reads the boxes' logs, for the commands that work on them.
#ifndef CTL_LOG_LINES_H_
#define CTL_LOG_LINES_H_

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "sparbend/core/json.h"

namespace sparbend::ctl {

// Calls `take` with each line of `log`; the number of those that are no JSON
// object. What stands before the first brace of a line is passed over.
auto ReadLogLines(std::istream& log,
                  const std::function<void(const Json&)>& take) -> int;

// Opens `files` in turn ("-": standard input); false, after a word on
// standard error, when one can't be read.
auto ReadLogFiles(const std::vector<std::string>& files,
                  const std::function<void(std::istream&)>& read) -> bool;

// A text field of a line, empty where there is none.
auto LogText(const Json& line, const char* field) -> std::string;

// A line's time, milliseconds of its box's wall clock.
auto LogTime(const Json& line) -> int64_t;

}  // namespace sparbend::ctl

#endif  // CTL_LOG_LINES_H_
