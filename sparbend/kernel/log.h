// Logs as JSON lines on standard output, through log4cplus.
//
//   Log(LogLevel::kInfo, "target-left", {{"target", name}});
//
// Never waits for the reader of standard output, and bounds the lines a second
// of each event (LogBudget); "left_out" in a line counts those before it that
// did not go through. Never pass a secret. Fields "time", "level" and "event"
// are set here.
#ifndef SPARBEND_KERNEL_LOG_H_
#define SPARBEND_KERNEL_LOG_H_

#include <string_view>

#include "sparbend/core/json.h"

namespace sparbend {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Call once at the start of a program; `box` stands in every line.
void StartLog(std::string_view box, LogLevel least);
// Changes the least level that is logged.
void SetLogLevel(LogLevel least);
// Writes what a slow reader had no room for; to be called now and then.
void FlushLog();
// Lines dropped because the reader was too slow.
auto LogLinesDropped() -> int64_t;
// Flushes and ends logging; call before the program returns.
void StopLog();

void Log(LogLevel level, std::string_view event, Json fields = Json::object());

// The level named `text` ("debug", "info", "warning", "error"), else kInfo.
auto ParseLogLevel(std::string_view text) -> LogLevel;

}  // namespace sparbend

#endif  // SPARBEND_KERNEL_LOG_H_
