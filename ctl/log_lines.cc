#include "ctl/log_lines.h"

#include <fstream>
#include <iostream>

namespace sparbend::ctl {
namespace {

// Longer objects are not parsed, so that a file that is not a log costs little
// memory.
constexpr size_t kMaxLineBytes = 64 * 1024;

}  // namespace

auto ReadLogLines(std::istream& log,
                  const std::function<void(const Json&)>& handle) -> int {
  int unreadable = 0;
  for (std::string line; std::getline(log, line);) {
    const size_t brace = line.find('{');
    if (brace == std::string::npos) {
      unreadable += line.empty() ? 0 : 1;
      continue;
    }
    const Result<Json> json = ParseJson(line.substr(brace), kMaxLineBytes);
    if (json && json->is_object())
      handle(*json);
    else
      ++unreadable;
  }
  return unreadable;
}

auto ReadLogFiles(const std::vector<std::string>& files,
                  const std::function<void(std::istream&)>& read) -> bool {
  for (const std::string& name : files) {
    if (name == "-") {
      read(std::cin);
      continue;
    }
    std::ifstream file(name);
    if (!file) {
      std::cerr << "sparbendctl: can't open " << name << "\n";
      return false;
    }
    read(file);
  }
  return true;
}

auto LogText(const Json& line, const char* field) -> std::string {
  return line.value(field, std::string());
}

auto LogTime(const Json& line) -> int64_t {
  return line.value("time", int64_t{0});
}

}  // namespace sparbend::ctl
