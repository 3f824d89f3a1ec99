// The command trace: the way of one request through the boxes' logs.
#ifndef CTL_TRACE_H_
#define CTL_TRACE_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "sparbend/core/json.h"

namespace sparbend::ctl {

// The lines of one request, in the order of their time.
struct Trace {
  std::vector<Json> lines;
  int unreadable = 0;  // lines that are no JSON object
};

// Adds the lines of `log` that name `id` as the box's or the caller's own.
// What stands before the first brace of a line is passed over.
void ReadTrace(std::istream& log, const std::string& id, Trace* trace);

// One line an event, then what became of the request and why.
auto Describe(const Trace& trace) -> std::string;

// Reads `files` ("-": standard input) and prints the trace of `id`; the exit
// code is that of a failure when the id is nowhere.
auto ShowTrace(const std::string& id, const std::vector<std::string>& files)
    -> int;

}  // namespace sparbend::ctl

#endif  // CTL_TRACE_H_
