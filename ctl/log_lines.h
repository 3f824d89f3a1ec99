// Reads the log lines of boxes, for the commands trace and shares.
#ifndef CTL_LOG_LINES_H_
#define CTL_LOG_LINES_H_

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "sparbend/core/json.h"

namespace sparbend::ctl {

// Calls `handle` with the JSON object of each line of `log`. Text before the
// first brace of a line is ignored. Returns the number of lines without a valid
// object; empty lines don't count.
auto ReadLogLines(std::istream& log,
                  const std::function<void(const Json&)>& handle) -> int;

// Opens `files` in turn ("-" is standard input) and calls `read` with each.
// Stops at the first that can't be opened, prints an error and returns false.
auto ReadLogFiles(const std::vector<std::string>& files,
                  const std::function<void(std::istream&)>& read) -> bool;

// Returns a text field of a line; empty if the line has no such field.
auto LogText(const Json& line, const char* field) -> std::string;

// Returns a line's time: Unix ms by the wall clock of its box.
auto LogTime(const Json& line) -> int64_t;

}  // namespace sparbend::ctl

#endif  // CTL_LOG_LINES_H_
