// Invariant: totals_[f] == sum over boxes of registers_[box][f].
//
// Registers, not deltas: a register told twice or out of turn does no harm,
// and a lost one is made good by the next. Grow-only counters would need a
// second message to settle estimates; a register that only its owner writes
// may fall as well as rise.
#include "sparbend/core/ledger.h"

#include <algorithm>
#include <cstdlib>

namespace sparbend {
namespace {

auto ValueAt(const Ledger::Register& values, Flow flow) -> int64_t {
  const auto found = values.find(flow);
  return found == values.end() ? 0 : found->second;
}

auto ToJson(const Ledger::Register& values) -> Json {
  Json json = Json::array();
  for (const auto& [flow, value] : values)
    json.push_back({flow.pool, flow.workspace, value});
  return json;
}

auto IsEntry(const Json& json) -> bool {
  return json.is_array() && json.size() == 3 &&
         std::ranges::all_of(json, &Json::is_number_integer);
}

auto FlowFrom(const Json& entry) -> Flow {
  return {entry[0].get<PoolId>(), entry[1].get<WorkspaceId>()};
}

}  // namespace

void Ledger::Set(BoxId box, Flow flow, int64_t value) {
  int64_t& held = registers_[box][flow];
  totals_[flow] += value - held;
  held = value;
}

void Ledger::Charge(Flow flow, int64_t amount) {
  Set(self_, flow, ValueAt(registers_[self_], flow) + amount);
}

void Ledger::Learn(BoxId box, Flow flow, int64_t value) {
  if (box == self_)
    value = std::max(value, ValueAt(registers_[self_], flow));
  Set(box, flow, value);
}

void Ledger::Lift(Flow flow, int64_t lift) {
  int64_t& held = lifts_[flow];
  held = std::max(held, lift);
}

auto Ledger::RawService(Flow flow) const -> int64_t {
  return ValueAt(totals_, flow);
}

auto Ledger::LiftOf(Flow flow) const -> int64_t {
  return ValueAt(lifts_, flow);
}

auto Ledger::Service(Flow flow) const -> int64_t {
  return RawService(flow) + LiftOf(flow);
}

auto Ledger::own() const -> const Register& {
  static const Register empty;
  const auto found = registers_.find(self_);
  return found == registers_.end() ? empty : found->second;
}

auto Ledger::Export() const -> Json {
  Json registers = Json::array();
  for (const auto& [box, values] : registers_)
    registers.push_back({box, ToJson(values)});
  return Json{{"registers", registers}, {"lifts", ToJson(lifts_)}};
}

auto Ledger::Import(const Json& exported) -> bool {
  if (!exported.is_object() || !exported.contains("registers") ||
      !exported.contains("lifts"))
    return false;
  for (const Json& lift : exported["lifts"]) {
    if (!IsEntry(lift))
      return false;
    Lift(FlowFrom(lift), lift[2].get<int64_t>());
  }
  for (const Json& of_box : exported["registers"]) {
    if (!of_box.is_array() || of_box.size() != 2 ||
        !of_box[0].is_number_integer())
      return false;
    for (const Json& entry : of_box[1]) {
      if (!IsEntry(entry))
        return false;
      Learn(of_box[0].get<BoxId>(), FlowFrom(entry), entry[2].get<int64_t>());
    }
  }
  return true;
}

auto RegisterCursor::Next(const Ledger::Register& current,
                          size_t most,
                          size_t refresh)
    -> std::vector<std::pair<Flow, int64_t>> {
  std::vector<std::pair<int64_t, Flow>> changed;
  for (const auto& [flow, value] : current) {
    const int64_t difference = std::llabs(value - ValueAt(told_, flow));
    if (difference != 0)
      changed.emplace_back(difference, flow);
  }
  std::ranges::sort(changed, std::greater<>());
  if (changed.size() > most)
    changed.resize(most);
  std::vector<std::pair<Flow, int64_t>> next;
  for (const auto& [difference, flow] : changed)
    next.emplace_back(flow, current.at(flow));
  refresh = std::min({refresh, most - next.size(), current.size()});
  for (size_t i = 0; i < refresh; ++i) {
    auto after = current.upper_bound(refreshed_);
    if (after == current.end())
      after = current.begin();
    refreshed_ = after->first;
    next.emplace_back(*after);
  }
  for (const auto& [flow, value] : next)
    told_[flow] = value;
  return next;
}

}  // namespace sparbend
