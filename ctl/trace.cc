// A request keeps one id per box that took it; a caller's own id joins the
// lines of several boxes. Times are the boxes' wall clocks, which may differ
// by a little; lines of one box keep their order.
#include "ctl/trace.h"

#include <algorithm>
#include <iostream>
#include <sstream>

#include "ctl/log_lines.h"
#include "ctl/session.h"

namespace sparbend::ctl {
namespace {

// The fields that matter to a reader, in a fixed order.
auto Fields(const Json& line) -> std::string {
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

// Behind all lines that are not later.
void AddInOrder(const Json& line, std::vector<Json>* lines) {
  const auto place =
      std::ranges::upper_bound(*lines, LogTime(line), {}, LogTime);
  lines->insert(place, line);
}

auto Outcome(const std::vector<Json>& lines) -> std::string {
  for (auto line = lines.rbegin(); line != lines.rend(); ++line) {
    const std::string event = LogText(*line, "event");
    if (event == "request-answered")
      return "answered by box " + LogText(*line, "box");
    if (event == "request-refused")
      return "failed at box " + LogText(*line, "box") + " with status " +
             std::to_string(line->value("status", 0)) + ", " +
             LogText(*line, "verdict") + ": " + LogText(*line, "reason");
  }
  return "no end was logged: the box ended, or its log does";
}

}  // namespace

void ReadTrace(std::istream& log, const std::string& id, Trace* trace) {
  trace->unreadable += ReadLogLines(log, [&](const Json& line) {
    const auto names = [&](const char* field) {
      const auto found = line.find(field);
      return found != line.end() && *found == Json(id);
    };
    if (names("request") || names("caller_id"))
      AddInOrder(line, &trace->lines);
  });
}

auto Describe(const Trace& trace) -> std::string {
  std::ostringstream out;
  for (const Json& line : trace.lines)
    out << LogTime(line) << "  " << LogText(line, "box") << "  "
        << LogText(line, "event") << Fields(line) << "\n";
  if (!trace.lines.empty())
    out << Outcome(trace.lines) << "\n";
  if (trace.unreadable > 0)
    out << trace.unreadable << " lines were no log lines\n";
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
  std::cerr << "sparbendctl: no line names " << id << "\n";
  return kExitInvalid;
}

}  // namespace sparbend::ctl
