// A request is counted once, when it ends: as served in the second in which its
// answer began, as refused in that of its refusal. One that was sent and did
// not run was not served; it may be sent many times where a hall is cut off.
// Requests without prompt tokens are not for engines, and those that a box
// refused before it knew their workspace can't be told apart; both are left
// out.
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
// Spans printed, the worst first.
constexpr size_t kShown = 10;

void Count(const Json& line, ServiceBySecond* service) {
  const int64_t tokens = line.value("prompt_tokens", int64_t{0});
  const std::string event = LogText(line, "event");
  const bool ended = event == "request-answered" || event == "request-refused";
  if (tokens <= 0 || !ended)
    return;
  const int64_t first_byte = line.value("first_byte_ms", int64_t{-1});
  const int64_t took = line.value("took_ms", int64_t{0});
  const bool began = first_byte >= 0;
  const int64_t at = LogTime(line) - (began ? took - first_byte : 0);
  Service& counted =
      (*service)[at / kMillisPerSecond][LogText(line, "workspace")];
  (began ? counted.served : counted.refused) += tokens;
}

// What each workspace got in one span, and in how many of its seconds it was
// refused something.
struct Span {
  std::map<std::string, Service> sums;
  std::map<std::string, int64_t> refused_seconds;
};

auto SumSpan(const ServiceBySecond& service, int64_t from) -> Span {
  Span span;
  for (int64_t second = from; second < from + kSpanSeconds; ++second) {
    const auto found = service.find(second);
    if (found == service.end())
      continue;
    for (const auto& [workspace, part] : found->second) {
      Service& sum = span.sums[workspace];
      sum.served += part.served;
      sum.refused += part.refused;
      span.refused_seconds[workspace] += part.refused > 0 ? 1 : 0;
    }
  }
  return span;
}

void AddSpans(const Span& span, int64_t from, std::vector<ShareSpan>* spans) {
  if (span.sums.empty())
    return;
  const auto best = std::ranges::max_element(
      span.sums, {}, [](const auto& entry) { return entry.second.served; });
  for (const auto& [workspace, sum] : span.sums) {
    if (span.refused_seconds.at(workspace) == kSpanSeconds)
      spans->push_back(
          {from, workspace, sum, best->first, best->second.served});
  }
}

void Print(const ShareSpan& span) {
  std::printf(
      "%.2f  from %lld, %lld s: %s asked %lld tokens, was served %lld; "
      "%s was served %lld\n",
      span.ratio(), static_cast<long long>(span.from),
      static_cast<long long>(kSpanSeconds), span.workspace.c_str(),
      static_cast<long long>(span.service.asked()),
      static_cast<long long>(span.service.served), span.best_workspace.c_str(),
      static_cast<long long>(span.best_served));
}

}  // namespace

auto ShareSpan::ratio() const -> double {
  const int64_t due = std::min(service.asked(), best_served);
  return due == 0
             ? 1
             : static_cast<double>(service.served) / static_cast<double>(due);
}

auto ReadService(std::istream& log, ServiceBySecond* service) -> int {
  return ReadLogLines(log, [&](const Json& line) { Count(line, service); });
}

auto FindShareSpans(const ServiceBySecond& service) -> std::vector<ShareSpan> {
  std::vector<ShareSpan> spans;
  for (const auto& [second, workspaces] : service)
    AddSpans(SumSpan(service, second), second, &spans);
  std::ranges::sort(spans, {}, [](const ShareSpan& span) {
    return std::tuple(span.ratio(), span.from, span.workspace);
  });
  return spans;
}

auto ShowShares(const std::vector<std::string>& files) -> int {
  ServiceBySecond service;
  int unreadable = 0;
  const bool read = ReadLogFiles(files, [&](std::istream& log) {
    unreadable += ReadService(log, &service);
  });
  if (!read)
    return kExitInvalid;
  const std::vector<ShareSpan> spans = FindShareSpans(service);
  for (size_t i = 0; i < std::min(kShown, spans.size()); ++i)
    Print(spans[i]);
  if (spans.empty())
    std::cout << "no workspace was refused requests for " << kSpanSeconds
              << " seconds on end\n";
  if (unreadable > 0)
    std::cout << unreadable << " lines were no log lines\n";
  return kExitOk;
}

}  // namespace sparbend::ctl
