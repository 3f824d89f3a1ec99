#include "sparbend/core/value_history.h"

#include <algorithm>
#include <ranges>

namespace sparbend {

void ValueHistory::Record(double value, Millis now) {
  if (!samples_.empty() && now - samples_.back().at < kInterval)
    return;
  // The second one is still needed if it is the newest that is old enough.
  while (samples_.size() > 1 && now - samples_[1].at >= kRetention)
    samples_.pop_front();
  samples_.push_back({now, value});
}

auto ValueHistory::Mean(Millis from, Millis to) const -> double {
  double sum = 0;
  Millis end = to;
  for (const Sample& sample : samples_ | std::views::reverse) {
    const Millis begin = std::max(from, sample.at);
    if (begin < end) {
      sum += sample.value * static_cast<double>((end - begin).count());
      end = begin;
    }
    if (sample.at <= from)
      break;
  }
  return sum / static_cast<double>((to - from).count());
}

}  // namespace sparbend
