// The command trace: collects the log lines of one request from the boxes'
// logs.
#ifndef CTL_TRACE_H_
#define CTL_TRACE_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "sparbend/core/json.h"

namespace sparbend::ctl {

// The log lines of one request, sorted by time.
struct Trace {
  std::vector<Json> lines;
  int unreadable = 0;  // number of lines that are not a JSON object
};

// Adds the lines of `log` whose request id of the box or of the client is `id`.
// Text before the first brace of a line is ignored.
void ReadTrace(std::istream& log, const std::string& id, Trace* trace);

// Returns one text line per event, then the outcome of the request and its
// reason.
auto Describe(const Trace& trace) -> std::string;

// Reads `files` ("-" is standard input) and prints the trace of `id`. Returns
// kExitInvalid if a file can't be opened or no line has the id.
auto ShowTrace(const std::string& id, const std::vector<std::string>& files)
    -> int;

}  // namespace sparbend::ctl

#endif  // CTL_TRACE_H_
