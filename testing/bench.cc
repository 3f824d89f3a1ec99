#include "testing/bench.h"

#include <filesystem>
#include <fstream>
#include <iostream>

#include "testing/scenario.h"

namespace sparbend::testing {
namespace {

constexpr size_t kBoxes = 9;

// Most of a workspace's callers come through one box, some through two others.
auto Uneven(size_t position) -> std::vector<double> {
  std::vector<double> spread(kBoxes, 0.0);
  spread[position % kBoxes] = 0.7;
  spread[(position + 1) % kBoxes] += 0.2;
  spread[(position + 4) % kBoxes] += 0.1;
  return spread;
}

auto Callers(const std::string& workspace, size_t position, int callers)
    -> Workload {
  Workload workload;
  workload.workspace = workspace;
  workload.key = KeyOf(workspace);
  workload.model = "model-1";
  workload.spread = Uneven(position);
  workload.callers = callers;
  return workload;
}

auto Trickle(const std::string& workspace, size_t position, double rate)
    -> Workload {
  Workload workload = Callers(workspace, position, 0);
  workload.rate = rate;
  return workload;
}

// Eight workspaces backlogged throughout, of which four large; eight more
// that ask now and then.
auto Steady(const std::string& name, const std::string& policy) -> Scenario {
  Scenario scenario;
  scenario.name = name;
  scenario.policy = policy;
  const std::vector<int64_t> shares = {8, 6, 4, 4, 1, 2, 1, 2};
  for (size_t i = 0; i < shares.size(); ++i) {
    const std::string workspace = "busy-" + std::to_string(i + 1);
    scenario.workspaces[workspace] = {shares[i], {}};
    scenario.backlogged.push_back(workspace);
    scenario.workloads.push_back(
        Callers(workspace, i, shares[i] > 2 ? 60 : 24));
  }
  for (size_t i = 0; i < 8; ++i) {
    const std::string workspace = "light-" + std::to_string(i + 1);
    scenario.workspaces[workspace] = {1, {}};
    scenario.workloads.push_back(Trickle(workspace, i + 3, 1.0));
  }
  return scenario;
}

auto AllScenarios() -> std::vector<Scenario> {
  return {Steady("steady", "hybrid"), Steady("baseline-steady", "independent"),
          Steady("grants-steady", "grants"), Steady("leases-steady", "leases")};
}

auto Wanted(const std::vector<std::string>& only, const std::string& name)
    -> bool {
  return only.empty() || std::ranges::find(only, name) != only.end();
}

void PrintRow(const Json& row) {
  std::cout << row.dump() << "\n" << std::flush;
}

}  // namespace

auto RunBench(const std::string& folder, const std::vector<std::string>& only)
    -> int {
  std::filesystem::create_directories(folder);
  Json runs = Json::array();
  bool right = true;
  for (const Scenario& scenario : AllScenarios()) {
    if (!Wanted(only, scenario.name))
      continue;
    const RunResult result = RunScenario(scenario);
    right = right && !result.row.is_null() && result.verified.clean();
    PrintRow(result.row);
    runs.push_back(result.row);
  }
  std::ofstream(folder + "/bench.json") << Json{{"runs", runs}}.dump(2) << "\n";
  return right ? 0 : 1;
}

}  // namespace sparbend::testing
