// Each box assigns an id of its own to a request that it accepts. The request
// id that the client sent is the same on all boxes, so it finds the lines of
// all of them. Times are by the boxes' wall clocks, which may differ a little,
// so the order of lines of different boxes is approximate. Lines with the same
// time keep the order of the log.
#include "ctl/trace.h"

#include <algorithm>
#include <iostream>
#include <sstream>

#include "ctl/log_lines.h"
#include "ctl/session.h"

namespace sparbend::ctl {
namespace {

// Formats the fields that explain what happened to the request, in a fixed
// order.
auto FormatFields(const Json& line) -> std::string {
  std::ostringstream out;
  for (const char* field :
       {"workspace", "route", "target", "attempt", "attempts", "status",
        "verdict", "waited_ms", "after_ms", "took_ms", "left_ms",
        "expected_first_byte_ms", "first_byte_ms", "uncached_tokens", "in_time",
        "events", "configuration", "problem", "reason"}) {
    const auto found = line.find(field);
    if (found != line.end() && *found != Json(""))
      out << "  " << field << "=" << found->dump();
  }
  return out.str();
}

// Inserts `line` after all lines that are not later.
void InsertByTime(const Json& line, std::vector<Json>* lines) {
  const auto position =
      std::ranges::upper_bound(*lines, LogTime(line), {}, LogTime);
  lines->insert(position, line);
}

auto DescribeOutcome(const std::vector<Json>& lines) -> std::string {
  for (auto line = lines.rbegin(); line != lines.rend(); ++line) {
    const std::string event = LogText(*line, "event");
    if (event == "request-answered")
      return "answered by box " + LogText(*line, "box");
    if (event == "request-refused")
      return "failed at box " + LogText(*line, "box") + " with status " +
             std::to_string(line->value("status", 0)) + ", " +
             LogText(*line, "verdict") + ": " + LogText(*line, "reason");
  }
  return "no outcome was logged: the box exited, or the log ends before it";
}

}  // namespace

void ReadTrace(std::istream& log, const std::string& id, Trace* trace) {
  trace->unreadable += ReadLogLines(log, [&](const Json& line) {
    const auto has_id = [&](const char* field) {
      const auto found = line.find(field);
      return found != line.end() && *found == Json(id);
    };
    if (has_id("request") || has_id("caller_id"))
      InsertByTime(line, &trace->lines);
  });
}

auto Describe(const Trace& trace) -> std::string {
  std::ostringstream out;
  for (const Json& line : trace.lines)
    out << LogTime(line) << "  " << LogText(line, "box") << "  "
        << LogText(line, "event") << FormatFields(line) << "\n";
  if (!trace.lines.empty())
    out << DescribeOutcome(trace.lines) << "\n";
  if (trace.unreadable > 0)
    out << trace.unreadable << " lines are not log lines\n";
  return out.str();
}

auto ShowTrace(const std::string& id, const std::vector<std::string>& files)
    -> int {
  Trace trace;
  const bool read = ReadLogFiles(
      files, [&](std::istream& log) { ReadTrace(log, id, &trace); });
  if (!read)
    return kExitInvalid;
  std::cout << Describe(trace);
  if (!trace.lines.empty())
    return kExitOk;
  std::cerr << "sparbendctl: no log line has the request id " << id << "\n";
  return kExitInvalid;
}

}  // namespace sparbend::ctl
