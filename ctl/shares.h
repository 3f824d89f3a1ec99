// The command shares: computes from the boxes' logs how many prompt tokens each
// workspace requested of model engines and was served, per second and over the
// whole fleet, and prints the spans in which a workspace was served the least
// of its fair share. The fleet promises at least half of it.
#ifndef CTL_SHARES_H_
#define CTL_SHARES_H_

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace sparbend::ctl {

// Prompt tokens of one workspace in one second or in one span.
struct TokenCounts {
  int64_t served = 0;   // of requests whose answer began
  int64_t refused = 0;  // of requests that ended without an answer

  auto requested() const -> int64_t { return served + refused; }
  auto operator==(const TokenCounts&) const -> bool = default;
};

// Keyed by second (Unix time by the boxes' wall clocks), then by workspace.
using TokensBySecond = std::map<int64_t, std::map<std::string, TokenCounts>>;

// A workspace that was refused requests in every second of a span, compared
// with the workspace that was served most in it.
struct ShareSpan {
  int64_t from = 0;  // first second, Unix time
  std::string workspace;
  TokenCounts tokens;
  std::string best_workspace;  // the one that was served most
  int64_t best_served = 0;

  // Tokens served, divided by the smaller of the tokens requested and the
  // tokens that the best served workspace got; 1 if that is zero. The fleet
  // promises at least 0.5.
  auto ratio() const -> double;
  auto operator==(const ShareSpan&) const -> bool = default;
};

// Adds the requests of `log` to `tokens`. Text before the first brace of a line
// is ignored. Returns the number of lines that can't be parsed.
auto ReadTokenCounts(std::istream& log, TokensBySecond* tokens) -> int;

// Returns all spans of kSpanSeconds in which a workspace was refused requests
// in every second, sorted by ratio, the lowest first.
auto FindShareSpans(const TokensBySecond& tokens) -> std::vector<ShareSpan>;

// The promise on fair shares applies to spans of this length.
inline constexpr int64_t kSpanSeconds = 6;

// Reads `files` ("-" is standard input) and prints the spans with the lowest
// ratios. Returns kExitInvalid if a file can't be opened.
auto ShowShares(const std::vector<std::string>& files) -> int;

}  // namespace sparbend::ctl

#endif  // CTL_SHARES_H_
