// A measured run: a cluster, callers, faults at set times, and what came of
// it as one JSON object. Used by the bench and the demonstration.
#ifndef TESTING_SCENARIO_H_
#define TESTING_SCENARIO_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "testing/fairness.h"
#include "testing/harness.h"
#include "testing/load.h"
#include "testing/verify.h"

namespace sparbend::testing {

struct HallShape {
  std::string hall;
  int boxes = 3;
  int engines = 3;
  int services = 1;
};

struct FleetShape {
  std::vector<HallShape> halls;
  std::string engine_pool = "sparbend-pool";
  std::string service_pool = "box-api";
  std::string service_path = "/box-api";
  int slots = 8;
  int64_t token_us = 15'000;
  int64_t prefill_us = 0;
};

// Ljubljana's and Accra's halls at today's size.
auto Ljubljana() -> FleetShape;
auto Accra() -> FleetShape;

struct WorkspaceShape {
  int64_t share = 1;
  std::vector<std::string> halls;  // empty: all
};

struct Event {
  Millis at;
  std::function<void(Cluster&, Load&)> act;
};

struct Scenario {
  std::string name;
  std::string policy = "hybrid";
  FleetShape fleet = Ljubljana();
  std::map<std::string, WorkspaceShape> workspaces;
  std::vector<Workload> workloads;
  std::vector<std::string> backlogged;  // the gap is taken between these
  std::vector<Event> events;
  Millis warm_up = Millis(4'000);
  Millis duration = Millis(20'000);  // of the load, warm-up included
  uint64_t seed = 1;
};

// What a run left behind, for rows that need more than the common fields.
struct RunResult {
  Json row;
  Fairness fairness;
  std::vector<Sample> samples;
  Verified verified;
};

// The API key of a workspace in scenarios.
auto KeyOf(const std::string& workspace) -> std::string;
// Documents of the fleet and its workspaces.
auto DocumentsOf(const Scenario& scenario) -> std::map<std::string, Json>;
// Starts the processes of the scenario; null if they did not become ready.
auto StartFleet(const Scenario& scenario) -> std::unique_ptr<Cluster>;
// Runs the load on the cluster and measures.
auto Measure(const Scenario& scenario, Cluster* cluster) -> RunResult;
// Both; an empty row if the fleet did not start.
auto RunScenario(const Scenario& scenario) -> RunResult;

// Waits until the platform's stand-in lists the boxes and they know it.
auto WaitSettled(Cluster* cluster, Millis patience) -> bool;

}  // namespace sparbend::testing

#endif  // TESTING_SCENARIO_H_
