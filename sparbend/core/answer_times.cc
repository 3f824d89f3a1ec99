// A running request shows only that its answer takes longer than the request's
// age. Leaving those out would make answers look shorter than they are, the
// more so the longer they take; counting an age as an answer would, too. So the
// distribution is estimated by the product-limit method (Kaplan and Meier), in
// which a running request counts among those that may end until its age.
#include "sparbend/core/answer_times.h"

#include <algorithm>
#include <vector>

namespace sparbend {
namespace {

// With 32 answers the three slowest do not count, so single slow ones don't
// decide; a busy box has them within a second, so they follow its load.
constexpr size_t kMaxAnswers = 32;
// Answers longer ago say little of the targets' load now.
constexpr Millis kMaxAge = Millis(60'000);
// A tenth, and what rounding may add to it.
constexpr double kShareBeyondPercentile = 0.1 + 1e-9;

struct Sample {
  Millis time;
  bool complete = false;

  // At the same time, an answer counts before the requests that still run.
  auto operator<(const Sample& other) const -> bool {
    return time != other.time ? time < other.time : complete && !other.complete;
  }
};

}  // namespace

void AnswerTimes::OnSent(Kind kind, RequestId request, Millis now) {
  if (!histories_.contains(kind)) {
    std::erase_if(histories_, [now](const auto& entry) {
      const History& history = entry.second;
      return history.running.empty() &&
             (history.answers.empty() ||
              now - history.answers.back().ended > kMaxAge);
    });
  }
  histories_[kind].running[request] = now;
}

void AnswerTimes::OnEnded(Kind kind,
                          RequestId request,
                          bool complete,
                          Millis now) {
  const auto found = histories_.find(kind);
  if (found == histories_.end())
    return;
  History& history = found->second;
  const auto running = history.running.find(request);
  if (running == history.running.end())
    return;
  if (complete) {
    history.answers.push_back({now, now - running->second});
    if (history.answers.size() > kMaxAnswers)
      history.answers.pop_front();
  }
  history.running.erase(running);
}

auto AnswerTimes::Percentile90(Kind kind, Millis now) const
    -> std::optional<Millis> {
  const auto found = histories_.find(kind);
  if (found == histories_.end())
    return std::nullopt;
  std::vector<Sample> samples;
  for (const Answer& answer : found->second.answers) {
    if (now - answer.ended <= kMaxAge)
      samples.push_back({answer.took, true});
  }
  for (const auto& [request, sent] : found->second.running)
    samples.push_back({now - sent, false});
  if (samples.empty())
    return std::nullopt;
  std::ranges::sort(samples, std::less<>());
  double lasting = 1;  // the share of answers that take longer
  for (size_t i = 0; i < samples.size(); ++i) {
    if (samples[i].complete)
      lasting *= 1 - 1 / static_cast<double>(samples.size() - i);
    if (lasting <= kShareBeyondPercentile)
      return samples[i].time;
  }
  return samples.back().time;
}

// The number that ends in a time is the number that runs over the time that
// each takes (Little's law).
auto AnswerTimes::CompletionRate(PoolId pool, Millis now) const -> double {
  double rate = 0;
  for (auto entry = histories_.lower_bound({pool, 0});
       entry != histories_.end() && entry->first.pool == pool; ++entry) {
    const History& history = entry->second;
    int64_t total = 0;
    int64_t count = 0;
    for (const Answer& answer : history.answers) {
      if (now - answer.ended > kMaxAge)
        continue;
      total += answer.took.count();
      ++count;
    }
    const double mean =
        count > 0
            ? static_cast<double>(total) / static_cast<double>(count)
            : static_cast<double>(
                  Percentile90(entry->first, now).value_or(Millis(0)).count());
    rate += static_cast<double>(history.running.size()) / std::max(mean, 1.0);
  }
  return rate;
}

}  // namespace sparbend
