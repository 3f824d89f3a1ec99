// log4cplus 2.0 has no JSON layout, so each event is built as a JSON value
// and handed over whole; the pattern adds only the line end.
#include "sparbend/kernel/log.h"

#include <array>
#include <chrono>
#include <string>

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace sparbend {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};
constexpr std::array<log4cplus::LogLevel, 4> kLevels = {
    log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
    log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};

auto BoxName() -> std::string& {
  static std::string name;
  return name;
}

auto WallClockMs() -> int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void StartLog(std::string_view box, LogLevel least) {
  log4cplus::initialize();
  BoxName() = box;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/false,
                                     /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(kLevels[static_cast<size_t>(least)]);
}

void SetLogLevel(LogLevel least) {
  log4cplus::Logger::getRoot().setLogLevel(kLevels[static_cast<size_t>(least)]);
}

void StopLog() {
  log4cplus::Logger::shutdown();
}

void Log(LogLevel level, std::string_view event, Json fields) {
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  const log4cplus::LogLevel mapped = kLevels[static_cast<size_t>(level)];
  if (!root.isEnabledFor(mapped))
    return;
  fields["time"] = WallClockMs();
  fields["level"] = kLevelNames[static_cast<size_t>(level)];
  fields["event"] = event;
  fields["box"] = BoxName();
  // Bytes from outside may not be UTF-8; they are replaced, not refused.
  root.log(mapped, fields.dump(-1, ' ', false, Json::error_handler_t::replace));
}

auto ParseLogLevel(std::string_view text) -> LogLevel {
  for (size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == text)
      return static_cast<LogLevel>(i);
  }
  return LogLevel::kInfo;
}

}  // namespace sparbend
