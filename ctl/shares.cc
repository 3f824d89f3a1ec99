// A request is counted once, when it ends: as served in the second in which its
// answer began, or as refused in the second of its refusal. Sending a request
// doesn't count as service, since it may not have been executed; while a hall
// is cut off a request may be sent many times. Two kinds of requests are left
// out: those without prompt tokens, which are not for engines, and those that a
// box refused before it knew their workspace.
#include "ctl/shares.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <tuple>

#include "ctl/log_lines.h"
#include "ctl/session.h"

namespace sparbend::ctl {
namespace {

constexpr int64_t kMillisPerSecond = 1'000;
constexpr size_t kMaxPrintedSpans = 10;

void CountRequest(const Json& line, TokensBySecond* by_second) {
  const int64_t tokens = line.value("prompt_tokens", int64_t{0});
  const std::string event = LogText(line, "event");
  const bool ended = event == "request-answered" || event == "request-refused";
  if (tokens <= 0 || !ended)
    return;
  const int64_t first_byte_ms = line.value("first_byte_ms", int64_t{-1});
  const int64_t took_ms = line.value("took_ms", int64_t{0});
  const bool began = first_byte_ms >= 0;
  const int64_t counted_at_ms =
      LogTime(line) - (began ? took_ms - first_byte_ms : 0);
  TokenCounts& counted = (*by_second)[counted_at_ms / kMillisPerSecond]
                                     [LogText(line, "workspace")];
  (began ? counted.served : counted.refused) += tokens;
}

// Tokens of each workspace in one span, and the number of seconds of the span
// in which it was refused requests.
struct Span {
  std::map<std::string, TokenCounts> totals;
  std::map<std::string, int64_t> refused_seconds;
};

auto TotalSpan(const TokensBySecond& tokens, int64_t from) -> Span {
  Span span;
  for (int64_t second = from; second < from + kSpanSeconds; ++second) {
    const auto found = tokens.find(second);
    if (found == tokens.end())
      continue;
    for (const auto& [workspace, counts] : found->second) {
      TokenCounts& total = span.totals[workspace];
      total.served += counts.served;
      total.refused += counts.refused;
      span.refused_seconds[workspace] += counts.refused > 0 ? 1 : 0;
    }
  }
  return span;
}

void AddSpans(const Span& span, int64_t from, std::vector<ShareSpan>* spans) {
  if (span.totals.empty())
    return;
  const auto best = std::ranges::max_element(
      span.totals, {}, [](const auto& total) { return total.second.served; });
  for (const auto& [workspace, total] : span.totals) {
    if (span.refused_seconds.at(workspace) == kSpanSeconds)
      spans->push_back(
          {from, workspace, total, best->first, best->second.served});
  }
}

void Print(const ShareSpan& span) {
  std::printf(
      "%.2f  from %lld, %lld s: %s requested %lld tokens, was served %lld; "
      "%s was served %lld\n",
      span.ratio(), static_cast<long long>(span.from),
      static_cast<long long>(kSpanSeconds), span.workspace.c_str(),
      static_cast<long long>(span.tokens.requested()),
      static_cast<long long>(span.tokens.served), span.best_workspace.c_str(),
      static_cast<long long>(span.best_served));
}

}  // namespace

auto ShareSpan::ratio() const -> double {
  const int64_t fair_share = std::min(tokens.requested(), best_served);
  return fair_share == 0 ? 1
                         : static_cast<double>(tokens.served) /
                               static_cast<double>(fair_share);
}

auto ReadTokenCounts(std::istream& log, TokensBySecond* tokens) -> int {
  return ReadLogLines(log,
                      [&](const Json& line) { CountRequest(line, tokens); });
}

auto FindShareSpans(const TokensBySecond& tokens) -> std::vector<ShareSpan> {
  std::vector<ShareSpan> spans;
  for (const auto& [second, workspaces] : tokens)
    AddSpans(TotalSpan(tokens, second), second, &spans);
  std::ranges::sort(spans, {}, [](const ShareSpan& span) {
    return std::tuple(span.ratio(), span.from, span.workspace);
  });
  return spans;
}

auto ShowShares(const std::vector<std::string>& files) -> int {
  TokensBySecond tokens;
  int unreadable = 0;
  const bool read = ReadLogFiles(files, [&](std::istream& log) {
    unreadable += ReadTokenCounts(log, &tokens);
  });
  if (!read)
    return kExitInvalid;
  const std::vector<ShareSpan> spans = FindShareSpans(tokens);
  for (size_t i = 0; i < std::min(kMaxPrintedSpans, spans.size()); ++i)
    Print(spans[i]);
  if (spans.empty())
    std::cout << "no workspace was refused requests for " << kSpanSeconds
              << " consecutive seconds\n";
  if (unreadable > 0)
    std::cout << unreadable << " lines are not log lines\n";
  return kExitOk;
}

}  // namespace sparbend::ctl
