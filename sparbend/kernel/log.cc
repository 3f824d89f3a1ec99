// log4cplus 2.0 has no JSON layout, so each event is formatted as JSON here and
// passed on as a complete message. The console appender of log4cplus blocks
// while the reader stalls, and its asynchronous appender blocks when its queue
// is full, so the lines go to an appender that never blocks (LogSink).
#include "sparbend/kernel/log.h"

#include <array>
#include <chrono>
#include <string>

#include <unistd.h>

#include <log4cplus/appender.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include "sparbend/core/log_budget.h"
#include "sparbend/core/millis.h"
#include "sparbend/kernel/log_sink.h"

namespace sparbend {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};
constexpr std::array<log4cplus::LogLevel, 4> kLog4cplusLevels = {
    log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
    log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};

// Limits for each event, far above the normal rate: a request logs two or three
// lines of different events, and a small box serves some hundred requests per
// second.
constexpr int64_t kMaxLinesPerSecond = 300;
constexpr int64_t kMaxBurstLines = 600;

auto Sink() -> LogSink& {
  static LogSink sink(STDOUT_FILENO);
  return sink;
}

auto Budget() -> LogBudget& {
  static LogBudget budget(kMaxLinesPerSecond, kMaxBurstLines);
  return budget;
}

class SinkAppender : public log4cplus::Appender {
 public:
  ~SinkAppender() override { destructorImpl(); }
  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    Sink().Write(event.getMessage());
  }
};

auto MonotonicNow() -> Millis {
  return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now().time_since_epoch())
                    .count());
}

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

void StartLog(std::string_view box, LogLevel min_level) {
  log4cplus::initialize();
  BoxName() = box;
  log4cplus::SharedAppenderPtr appender(new SinkAppender());
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(kLog4cplusLevels[static_cast<size_t>(min_level)]);
}

void SetLogLevel(LogLevel min_level) {
  log4cplus::Logger::getRoot().setLogLevel(
      kLog4cplusLevels[static_cast<size_t>(min_level)]);
}

void FlushLog() {
  Sink().Flush();
}

auto LogLinesDropped() -> int64_t {
  return Sink().dropped();
}

void StopLog() {
  FlushLog();
  log4cplus::Logger::shutdown();
}

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  const log4cplus::LogLevel log4cplus_level =
      kLog4cplusLevels[static_cast<size_t>(level)];
  if (!root.isEnabledFor(log4cplus_level))
    return;
  const auto pass = Budget().Take(event, MonotonicNow());
  if (!pass)
    return;
  std::vector<LogField> all;
  all.reserve(fields.size() + 5);
  all.assign(fields);
  if (pass->left_out > 0)
    all.emplace_back("left_out", pass->left_out);
  all.emplace_back("time", WallClockMs());
  all.emplace_back("level", kLevelNames[static_cast<size_t>(level)]);
  all.emplace_back("event", event);
  all.emplace_back("box", BoxName());
  root.log(log4cplus_level, FormatLogLine(std::move(all)));
}

auto ParseLogLevel(std::string_view text) -> LogLevel {
  for (size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == text)
      return static_cast<LogLevel>(i);
  }
  return LogLevel::kInfo;
}

}  // namespace sparbend
