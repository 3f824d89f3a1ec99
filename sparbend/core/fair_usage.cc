// All amounts decay exponentially with the same time constant, so the sum of
// decayed amounts is the decayed sum. Reports of different age can therefore be
// added, and one amount per flow (peer_totals_) stands for the reports of all
// other boxes.
//
// The amount of a flow that is served at a steady rate does not change, but a
// report of it decays on its way. So a report includes what the flow is served
// meanwhile if it goes on as in the last half second, but no more than a flow
// that was served this amount steadily: a burst is not taken for a rate.
#include "sparbend/core/fair_usage.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace sparbend {
namespace {

// Flows should get their fair shares within windows of about four seconds. A
// time constant of half of that reacts within a window and still smooths single
// requests. Within one time constant an amount decays to 1/e of its value.
constexpr double kDecayTimeConstantMs = 2'000;
// The same for the amounts that tell a flow's recent rate.
constexpr double kRateTimeConstantMs = 500;
// In tokens divided by the flow's share. Smaller amounts are left out of
// reports.
constexpr double kMinReportedService = 1;

auto Decayed(double service,
             Millis at,
             Millis now,
             double time_constant_ms = kDecayTimeConstantMs) -> double {
  return service *
         std::exp(-static_cast<double>((now - at).count()) / time_constant_ms);
}

auto Largest(std::vector<FlowValue> values, size_t max_flows)
    -> std::vector<FlowValue> {
  std::ranges::sort(values, std::ranges::greater(), &FlowValue::value);
  if (values.size() > max_flows)
    values.resize(max_flows);
  return values;
}

}  // namespace

void FairUsage::Add(double service, Millis now, Amount* sum) {
  sum->service = std::max(0.0, Decayed(sum->service, sum->at, now) + service);
  sum->at = now;
}

void FairUsage::Charge(Flow flow, int64_t amount, Millis now) {
  Add(static_cast<double>(amount), now, &own_[flow]);
  Amount& recent = own_recent_[flow];
  recent.service =
      Decayed(recent.service, recent.at, now, kRateTimeConstantMs) +
      static_cast<double>(amount);
  recent.at = now;
}

void FairUsage::UpdateFromPeer(BoxId from,
                               const std::vector<FlowValue>& values,
                               Millis now) {
  PeerReport& report = peer_reports_[from];
  for (const FlowValue& value : report.values)
    Add(-Decayed(static_cast<double>(value.value), report.at, now), now,
        &peer_totals_[value.flow]);
  report = PeerReport{values, now};
  for (const FlowValue& value : values)
    Add(static_cast<double>(value.value), now, &peer_totals_[value.flow]);
}

auto FairUsage::DecayedAfter(int64_t service, Millis age) -> int64_t {
  return std::llround(Decayed(static_cast<double>(service), Millis(0), age));
}

void FairUsage::ClearPeerReports() {
  peer_reports_.clear();
  peer_totals_.clear();
}

auto FairUsage::PeerValues(Millis now) const -> std::vector<FlowValue> {
  std::vector<FlowValue> values;
  for (const auto& [flow, amount] : peer_totals_) {
    const double service = Decayed(amount.service, amount.at, now);
    if (service >= kMinReportedService)
      values.push_back({flow, std::llround(service)});
  }
  return values;
}

auto FairUsage::AmountAt(const std::map<Flow, Amount>& amounts,
                         Flow flow,
                         Millis now) -> double {
  const auto found = amounts.find(flow);
  return found == amounts.end()
             ? 0
             : Decayed(found->second.service, found->second.at, now);
}

auto FairUsage::OwnValueOf(Flow flow, Millis now) const -> int64_t {
  return std::llround(AmountAt(own_, flow, now));
}

auto FairUsage::ValueOf(Flow flow, Millis now) const -> int64_t {
  return std::llround(AmountAt(own_, flow, now) +
                      AmountAt(peer_totals_, flow, now));
}

auto FairUsage::Amounts(PoolId pool, Millis now) const
    -> std::vector<FlowValue> {
  std::set<Flow> flows;
  for (const auto& [flow, amount] : own_)
    flows.insert(flow);
  for (const auto& [flow, amount] : peer_totals_)
    flows.insert(flow);
  std::vector<FlowValue> amounts;
  for (const Flow flow : flows) {
    if (flow.pool == pool)
      amounts.push_back({flow, ValueOf(flow, now)});
  }
  return amounts;
}

auto FairUsage::OwnValues(size_t max_flows, Millis now) const
    -> std::vector<FlowValue> {
  std::vector<FlowValue> values;
  for (const auto& [flow, amount] : own_) {
    const double service = Decayed(amount.service, amount.at, now);
    if (service >= kMinReportedService)
      values.push_back({flow, std::llround(service)});
  }
  return Largest(std::move(values), max_flows);
}

auto FairUsage::ValuesToReport(size_t max_flows,
                               Millis mean_age,
                               Millis now) const -> std::vector<FlowValue> {
  // What a steady flow is served within `mean_age`, as a part of its amount.
  const double growth = 1 / Decayed(1, Millis(0), mean_age) - 1;
  std::vector<FlowValue> values = OwnValues(SIZE_MAX, now);
  for (FlowValue& value : values) {
    const Amount& recent = own_recent_.at(value.flow);
    const double steady =
        Decayed(recent.service, recent.at, now, kRateTimeConstantMs) *
        kDecayTimeConstantMs / kRateTimeConstantMs;
    value.value += std::llround(
        growth * std::clamp(steady, 0.0, static_cast<double>(value.value)));
  }
  return Largest(std::move(values), max_flows);
}

}  // namespace sparbend
