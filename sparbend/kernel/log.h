// Logging of events as JSON lines to standard output, through log4cplus.
//
//   Log(LogLevel::kInfo, "target-left", {{"target", name}});
//
// Never waits for the reader of standard output. The number of lines per second
// is limited for each event (LogBudget); the field "left_out" of a line counts
// the lines of its event that were suppressed since the last one. Never pass a
// secret. The fields "time", "level", "event" and "box" are set here.
#ifndef SPARBEND_KERNEL_LOG_H_
#define SPARBEND_KERNEL_LOG_H_

#include <initializer_list>
#include <string_view>

#include "sparbend/core/log_line.h"

namespace sparbend {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Call once at the start of a program. `box` is a field of each line; lines
// below `min_level` are not logged.
void StartLog(std::string_view box, LogLevel min_level);
void SetLogLevel(LogLevel min_level);
// Writes buffered lines that a slow reader has not accepted so far. Must be
// called periodically.
void FlushLog();
// The number of lines dropped because the reader was too slow.
auto LogLinesDropped() -> int64_t;
// Flushes and shuts down logging. Call before the program returns.
void StopLog();

// Logs `event` with `fields`. Nothing is formatted if the line is left out.
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

// Returns the level named `text` ("debug", "info", "warning", "error"), or
// kInfo for any other text.
auto ParseLogLevel(std::string_view text) -> LogLevel;

}  // namespace sparbend

#endif  // SPARBEND_KERNEL_LOG_H_
