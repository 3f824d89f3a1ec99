#include "testing/scenario.h"

#include <algorithm>

#include "sparbend/core/digest.h"
#include "sparbend/kernel/kernel.h"

namespace sparbend::testing {
namespace {

constexpr Millis kReadyPatience = Millis(30'000);
constexpr Millis kLookInterval = Millis(50);
constexpr Millis kEndPatience = Millis(30'000);

auto HallNames(const FleetShape& fleet) -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const HallShape& hall : fleet.halls)
    names.push_back(hall.hall);
  return names;
}

void AddTargets(const FleetShape& fleet, Cluster* cluster) {
  for (const HallShape& hall : fleet.halls) {
    for (int i = 1; i <= hall.engines; ++i) {
      Json engine = {{"name", hall.hall + "-engine-" + std::to_string(i)},
                     {"hall", hall.hall},
                     {"pool", fleet.engine_pool},
                     {"slots", fleet.slots},
                     {"token_us", fleet.token_us},
                     {"prefill_us", fleet.prefill_us}};
      cluster->AddTarget(engine);
    }
    for (int i = 1; i <= hall.services; ++i) {
      Json service = {{"name", hall.hall + "-service-" + std::to_string(i)},
                      {"hall", hall.hall},
                      {"pool", fleet.service_pool},
                      {"engine", false},
                      {"slots", 16},
                      {"service_ms", 10}};
      cluster->AddTarget(service);
    }
  }
}

// Counts of a box that only rise, for differences over a run.
struct BoxCounts {
  double control_bytes = 0;
  double control_cpu_us = 0;
  double cpu_seconds = 0;
};

auto CountBoxes(Cluster* cluster) -> std::map<std::string, BoxCounts> {
  std::map<std::string, BoxCounts> counts;
  const Json platform = cluster->Control("bytes");
  for (auto& [name, box] : cluster->boxes()) {
    BoxCounts& count = counts[name];
    count.control_bytes =
        static_cast<double>(cluster->peer_net().SentBy(name).bytes) +
        platform.value("sparbend/" + name, 0.0);
    count.control_cpu_us =
        cluster->Metric(name, "sparbend_control_cpu_us_total");
    count.cpu_seconds = box.process->cpu_seconds();
  }
  return counts;
}

// Looks at the targets until `*done`.
auto Watch(Cluster* cluster,
           const Load* load,
           std::string pool,
           Fairness* fairness,
           const bool* done) -> asio::awaitable<void> {
  HttpClient client(*ParseAddress(cluster->platform()), "watch");
  while (!*done) {
    const Result<StringResponse> response =
        co_await client.Get("/control/service", Millis(2'000));
    if (response) {
      const Result<Json> account = ParseJson(response->body(), SIZE_MAX);
      Look look = LookFrom(account ? *account : Json(), pool);
      look.at_ms = load->elapsed_ms();
      double outstanding = 0;
      for (const auto& [workspace, count] : load->outstanding())
        outstanding += count;
      look.work_waits = outstanding > look.running + look.slots / 8;
      fairness->Add(std::move(look));
    }
    co_await Sleep(kLookInterval);
  }
}

auto ActAt(const Event* event, Cluster* cluster, Load* load)
    -> asio::awaitable<void> {
  co_await Sleep(event->at);
  event->act(*cluster, *load);
}

auto RunLoad(const Scenario* scenario, Load* load, bool* done)
    -> asio::awaitable<void> {
  co_await load->Run(scenario->duration, kEndPatience);
  *done = true;
}

auto HallsOf(const Scenario& scenario)
    -> std::map<std::string, std::vector<std::string>> {
  std::map<std::string, std::vector<std::string>> halls;
  for (const auto& [name, shape] : scenario.workspaces) {
    if (!shape.halls.empty())
      halls[name] = shape.halls;
  }
  return halls;
}

// Fields of latency over the samples that `wanted` takes.
template <class Wanted>
void AddLatency(const std::vector<Sample>& samples,
                const Wanted& wanted,
                Json* row) {
  std::vector<double> totals;
  std::vector<double> firsts;
  for (const Sample& sample : samples) {
    if (sample.seen != Seen::kAnswered || !wanted(sample))
      continue;
    totals.push_back(sample.total_ms);
    if (sample.first_ms > 0)
      firsts.push_back(sample.first_ms);
  }
  (*row)["p50_ms"] = Percentile(totals, 0.5);
  (*row)["p99_ms"] = Percentile(totals, 0.99);
  (*row)["first_token_p95_ms"] = Percentile(firsts, 0.95);
}

void AddFairness(const Scenario& scenario, const RunResult& result, Json* row) {
  const double from = static_cast<double>(scenario.warm_up.count());
  const double to = static_cast<double>(scenario.duration.count());
  std::map<std::string, double> shares;
  for (const std::string& workspace : scenario.backlogged)
    shares[scenario.fleet.engine_pool + "/" + workspace] =
        static_cast<double>(scenario.workspaces.at(workspace).share);
  double largest = 0;
  double largest_tokens = 0;
  for (const Sample& sample : result.samples) {
    if (std::ranges::find(scenario.backlogged, sample.workspace) ==
        scenario.backlogged.end())
      continue;
    const auto tokens = static_cast<double>(sample.tokens);
    largest_tokens = std::max(largest_tokens, tokens);
    largest = std::max(
        largest, tokens / static_cast<double>(
                              scenario.workspaces.at(sample.workspace).share));
  }
  const double gap = result.fairness.Gap(shares, from, to);
  (*row)["fairness_gap_tokens"] = gap;
  (*row)["max_request_tokens"] = largest_tokens;
  (*row)["max_request_normalised"] = largest;
  (*row)["fairness_gap_ratio"] = largest == 0 ? 0 : gap / largest;
  (*row)["utilisation"] = result.fairness.Utilisation(from, to);
  Json service = Json::object();
  for (const auto& [workspace, shape] : scenario.workspaces)
    service[workspace] = result.fairness.Gained(
        scenario.fleet.engine_pool + "/" + workspace, from, to);
  (*row)["service"] = service;
}

void AddVerified(const Verified& verified, Json* row) {
  (*row)["requests"] = verified.requests;
  (*row)["answers_right"] = verified.answered;
  (*row)["answers_wrong"] = verified.wrong;
  (*row)["answers_lost"] = verified.lost;
  (*row)["refused_not_run"] = verified.refused;
  (*row)["told_may_have_run"] = verified.uncertain;
  (*row)["ran_twice"] = verified.ran_twice;
  (*row)["not_run_but_ran"] = verified.not_run_but_ran;
  (*row)["misplaced"] = verified.misplaced;
  (*row)["resent_by_callers"] = verified.resent;
}

void AddControl(const std::map<std::string, BoxCounts>& before,
                const std::map<std::string, BoxCounts>& after,
                double seconds,
                int64_t requests,
                Json* row) {
  double bytes = 0;
  double cpu_us = 0;
  double cpu_seconds = 0;
  for (const auto& [name, end] : after) {
    const auto begin = before.find(name);
    if (begin == before.end())
      continue;
    bytes += std::max(0.0, end.control_bytes - begin->second.control_bytes);
    cpu_us += std::max(0.0, end.control_cpu_us - begin->second.control_cpu_us);
    cpu_seconds += std::max(0.0, end.cpu_seconds - begin->second.cpu_seconds);
  }
  const auto boxes = static_cast<double>(after.size());
  (*row)["control_bytes_per_box_s"] = bytes / boxes / seconds;
  (*row)["control_core_fraction"] = cpu_us / 1e6 / boxes / seconds;
  (*row)["core_fraction"] = cpu_seconds / boxes / seconds;
  (*row)["requests_per_box_s"] =
      static_cast<double>(requests) / boxes / seconds;
}

}  // namespace

auto Ljubljana() -> FleetShape {
  FleetShape fleet;
  fleet.halls = {{"hall-a"}, {"hall-b"}, {"hall-c"}};
  return fleet;
}

auto Accra() -> FleetShape {
  FleetShape fleet;
  fleet.halls = {{"accra-north"}, {"accra-central"}, {"accra-east"}};
  fleet.engine_pool = "lm-pool";
  fleet.service_pool = "parkpay-api";
  fleet.service_path = "/parkpay-api";
  return fleet;
}

auto KeyOf(const std::string& workspace) -> std::string {
  return "demo-key-" + workspace;
}

auto DocumentsOf(const Scenario& scenario) -> std::map<std::string, Json> {
  std::map<std::string, Json> documents;
  documents["pool/" + scenario.fleet.engine_pool] = {
      {"kind", "engine"}, {"models", {"model-1"}}, {"can_resume", true}};
  documents["pool/" + scenario.fleet.service_pool] = {
      {"kind", "service"}, {"path_prefix", scenario.fleet.service_path}};
  const Json integer = {{"type", "integer"}, {"default", 1}, {"min", 1}};
  const Json strings = {{"type", "strings"},
                        {"default", HallNames(scenario.fleet)}};
  documents["template/plain"] = {
      {"parameters", {{"share", integer}, {"halls", strings}}},
      {"workspace",
       {{"share", "$share"},
        {"halls", "$halls"},
        {"pools", {scenario.fleet.engine_pool, scenario.fleet.service_pool}},
        {"queue_requests", 400},
        {"queue_time_ms", 60'000}}}};
  for (const auto& [name, shape] : scenario.workspaces) {
    Json parameters = {{"share", shape.share}};
    if (!shape.halls.empty())
      parameters["halls"] = shape.halls;
    documents["workspace/" + name] = {
        {"template", "plain"},
        {"parameters", parameters},
        {"keys_sha256", {Sha256Hex(KeyOf(name))}}};
  }
  return documents;
}

auto WaitSettled(Cluster* cluster, Millis patience) -> bool {
  const size_t boxes = cluster->boxes().size();
  return WaitFor(patience, [&] {
    return std::ranges::all_of(cluster->boxes(), [&](const auto& entry) {
      const Json status = cluster->Rpc(entry.first, "status");
      if (!status.is_object())
        return false;
      const auto live = std::ranges::count_if(
          status.at("boxes"), [](const Json& box) { return box.at("live"); });
      return static_cast<size_t>(live) == boxes;
    });
  });
}

auto StartFleet(const Scenario& scenario) -> std::unique_ptr<Cluster> {
  ClusterOptions options;
  options.name = scenario.name;
  options.policy = scenario.policy;
  options.hall_delay = Millis(1);
  auto cluster = std::make_unique<Cluster>(options);
  AddTargets(scenario.fleet, cluster.get());
  cluster->Publish(DocumentsOf(scenario));
  for (const HallShape& hall : scenario.fleet.halls) {
    for (int i = 1; i <= hall.boxes; ++i)
      cluster->StartBox(hall.hall + "-box-" + std::to_string(i), hall.hall);
  }
  if (!cluster->WaitReady(kReadyPatience) ||
      !WaitSettled(cluster.get(), kReadyPatience))
    return nullptr;
  return cluster;
}

auto Measure(const Scenario& scenario, Cluster* cluster) -> RunResult {
  RunResult result;
  asio::io_context io(1);
  Load load(&io, cluster->caller_addresses(), scenario.seed);
  for (const Workload& workload : scenario.workloads)
    load.Add(workload);
  bool done = false;
  const auto before = CountBoxes(cluster);
  const auto start = std::chrono::steady_clock::now();
  asio::co_spawn(io, RunLoad(&scenario, &load, &done), asio::detached);
  asio::co_spawn(io,
                 Watch(cluster, &load, scenario.fleet.engine_pool,
                       &result.fairness, &done),
                 asio::detached);
  for (const Event& event : scenario.events)
    asio::co_spawn(io, ActAt(&event, cluster, &load), asio::detached);
  while (!done)
    io.run_one_for(std::chrono::milliseconds(50));
  const auto after = CountBoxes(cluster);
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count();
  result.samples = load.samples();
  result.verified = Verify(result.samples, cluster->Control("runs?from=1"),
                           HallsOf(scenario));
  Json row = {{"name", scenario.name},
              {"policy", scenario.policy},
              {"boxes", cluster->boxes().size()},
              {"workspaces", scenario.workspaces.size()},
              {"seconds", seconds}};
  AddFairness(scenario, result, &row);
  AddVerified(result.verified, &row);
  AddControl(before, after, seconds, result.verified.requests, &row);
  AddLatency(result.samples, [](const Sample&) { return true; }, &row);
  result.row = std::move(row);
  return result;
}

auto RunScenario(const Scenario& scenario) -> RunResult {
  const std::unique_ptr<Cluster> cluster = StartFleet(scenario);
  if (!cluster)
    return {};
  return Measure(scenario, cluster.get());
}

}  // namespace sparbend::testing
