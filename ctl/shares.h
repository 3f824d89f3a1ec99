// The command shares: what each workspace asked of model engines and was
// served, second by second over the whole fleet, from the boxes' logs; and the
// spans in which one came nearest to less than half of its due.
#ifndef CTL_SHARES_H_
#define CTL_SHARES_H_

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace sparbend::ctl {

// Prompt tokens of one workspace in one second.
struct Service {
  int64_t served = 0;   // of requests whose answer began
  int64_t refused = 0;  // of those that ended without

  auto asked() const -> int64_t { return served + refused; }
  auto operator==(const Service&) const -> bool = default;
};

// By second of the boxes' wall clocks, then by workspace.
using ServiceBySecond = std::map<int64_t, std::map<std::string, Service>>;

// How near a workspace that was refused requests in every second of a span
// came to less than half of its due.
struct ShareSpan {
  int64_t from = 0;  // first second
  std::string workspace;
  Service service;
  std::string best_workspace;  // the best served one
  int64_t best_served = 0;

  // What it was served, over the lesser of what it asked and what the best
  // served workspace got; the promise is a half.
  auto ratio() const -> double;
  auto operator==(const ShareSpan&) const -> bool = default;
};

// Adds the requests of `log`; the number of lines that can't be read.
// What stands before the first brace of a line is passed over.
auto ReadService(std::istream& log, ServiceBySecond* service) -> int;

// All spans of kSpanSeconds in which a workspace was always refused some of
// what it asked, the least ratio first.
auto FindShareSpans(const ServiceBySecond& service) -> std::vector<ShareSpan>;

// The promise on fair shares is kept over so many seconds.
inline constexpr int64_t kSpanSeconds = 6;

// Reads `files` ("-": standard input) and prints the worst spans; the exit
// code is that of a failure when a file can't be read.
auto ShowShares(const std::vector<std::string>& files) -> int;

}  // namespace sparbend::ctl

#endif  // CTL_SHARES_H_
