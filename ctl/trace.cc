// A request keeps one id per box that took it; a caller's own id joins the
// lines of several boxes. Times are the boxes' wall clocks, which may differ
// by a little; lines of one box keep their order.
#include "ctl/trace.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

#include "ctl/session.h"

namespace sparbend::ctl {
namespace {

constexpr size_t kMostLineBytes = 64 * 1024;

auto Text(const Json& line, const char* field) -> std::string {
  return line.value(field, std::string());
}

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

auto TimeOf(const Json& line) -> int64_t {
  return line.value("time", int64_t{0});
}

// Behind all lines that are not later.
void AddInOrder(const Json& line, std::vector<Json>* lines) {
  const auto place = std::ranges::upper_bound(*lines, TimeOf(line), {}, TimeOf);
  lines->insert(place, line);
}

auto Outcome(const std::vector<Json>& lines) -> std::string {
  for (auto line = lines.rbegin(); line != lines.rend(); ++line) {
    const std::string event = Text(*line, "event");
    if (event == "request-answered")
      return "answered by box " + Text(*line, "box");
    if (event == "request-refused")
      return "failed at box " + Text(*line, "box") + " with status " +
             std::to_string(line->value("status", 0)) + ", " +
             Text(*line, "verdict") + ": " + Text(*line, "reason");
  }
  return "no end was logged: the box ended, or its log does";
}

}  // namespace

void ReadTrace(std::istream& log, const std::string& id, Trace* trace) {
  for (std::string line; std::getline(log, line);) {
    const size_t brace = line.find('{');
    if (brace == std::string::npos) {
      trace->unreadable += line.empty() ? 0 : 1;
      continue;
    }
    const Result<Json> json = ParseJson(line.substr(brace), kMostLineBytes);
    if (!json || !json->is_object()) {
      ++trace->unreadable;
      continue;
    }
    const auto names = [&](const char* field) {
      const auto found = json->find(field);
      return found != json->end() && *found == Json(id);
    };
    if (names("request") || names("caller_id"))
      AddInOrder(*json, &trace->lines);
  }
}

auto Describe(const Trace& trace) -> std::string {
  std::ostringstream out;
  for (const Json& line : trace.lines)
    out << TimeOf(line) << "  " << Text(line, "box") << "  "
        << Text(line, "event") << Fields(line) << "\n";
  if (!trace.lines.empty())
    out << Outcome(trace.lines) << "\n";
  if (trace.unreadable > 0)
    out << trace.unreadable << " lines were no log lines\n";
  return out.str();
}

auto ShowTrace(const std::string& id, const std::vector<std::string>& files)
    -> int {
  Trace trace;
  for (const std::string& name : files) {
    if (name == "-") {
      ReadTrace(std::cin, id, &trace);
      continue;
    }
    std::ifstream file(name);
    if (!file) {
      std::cerr << "sparbendctl: can't read " << name << "\n";
      return kExitInvalid;
    }
    ReadTrace(file, id, &trace);
  }
  std::cout << Describe(trace);
  if (!trace.lines.empty())
    return kExitOk;
  std::cerr << "sparbendctl: no line names " << id << "\n";
  return kExitInvalid;
}

}  // namespace sparbend::ctl
