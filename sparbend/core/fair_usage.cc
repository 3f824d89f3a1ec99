// Exponential fading with one time constant for all: a sum of faded amounts
// is the faded sum. So words of different age add up rightly, and one amount a
// flow (told_) stands for the words of all boxes.
#include "sparbend/core/fair_usage.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace sparbend {
namespace {

// Fairness is judged over windows of some four seconds; a memory of half
// that reacts within a window and still smooths single requests.
constexpr double kFadeMs = 2'000;
constexpr double kNegligible = 1;

auto Faded(double value, Millis at, Millis now) -> double {
  return value * std::exp(-static_cast<double>((now - at).count()) / kFadeMs);
}

}  // namespace

void FairUsage::Add(double amount, Millis now, Amount* sum) {
  sum->value = std::max(0.0, Faded(sum->value, sum->at, now) + amount);
  sum->at = now;
}

void FairUsage::Charge(Flow flow, int64_t amount, Millis now) {
  Add(static_cast<double>(amount), now, &own_[flow]);
}

void FairUsage::UpdateFromPeer(BoxId from,
                               const std::vector<FlowValue>& values,
                               Millis now) {
  Word& word = words_[from];
  for (const FlowValue& value : word.values)
    Add(-Faded(static_cast<double>(value.value), word.at, now), now,
        &told_[value.flow]);
  word = Word{values, now};
  for (const FlowValue& value : values)
    Add(static_cast<double>(value.value), now, &told_[value.flow]);
}

auto FairUsage::FadedAfter(int64_t value, Millis age) -> int64_t {
  return std::llround(Faded(static_cast<double>(value), Millis(0), age));
}

void FairUsage::ClearPeerReports() {
  words_.clear();
  told_.clear();
}

auto FairUsage::ToldValues(Millis now) const -> std::vector<FlowValue> {
  std::vector<FlowValue> values;
  for (const auto& [flow, amount] : told_) {
    const double value = Faded(amount.value, amount.at, now);
    if (value >= kNegligible)
      values.push_back({flow, std::llround(value)});
  }
  return values;
}

auto FairUsage::In(const std::map<Flow, Amount>& amounts, Flow flow, Millis now)
    -> double {
  const auto found = amounts.find(flow);
  return found == amounts.end()
             ? 0
             : Faded(found->second.value, found->second.at, now);
}

auto FairUsage::OwnOf(Flow flow, Millis now) const -> int64_t {
  return std::llround(In(own_, flow, now));
}

auto FairUsage::Of(Flow flow, Millis now) const -> int64_t {
  return std::llround(In(own_, flow, now) + In(told_, flow, now));
}

auto FairUsage::Amounts(PoolId pool, Millis now) const
    -> std::vector<FlowValue> {
  std::set<Flow> flows;
  for (const auto& [flow, amount] : own_)
    flows.insert(flow);
  for (const auto& [flow, amount] : told_)
    flows.insert(flow);
  std::vector<FlowValue> amounts;
  for (const Flow flow : flows) {
    if (flow.pool == pool)
      amounts.push_back({flow, Of(flow, now)});
  }
  return amounts;
}

auto FairUsage::OwnValues(size_t most, Millis now) const
    -> std::vector<FlowValue> {
  std::vector<FlowValue> values;
  for (const auto& [flow, amount] : own_) {
    const double value = Faded(amount.value, amount.at, now);
    if (value >= kNegligible)
      values.push_back({flow, std::llround(value)});
  }
  std::ranges::sort(values, std::ranges::greater(), &FlowValue::value);
  if (values.size() > most)
    values.resize(most);
  return values;
}

}  // namespace sparbend
