// Guards against resumed streams that starve in a flood, bound to a version
// with few targets, while new streams begin: pure boxes under three times the
// capacity, some of whose streams break and are resumed at another box.
#include <iostream>
#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr int kBoxes = 9;
constexpr int kTargets = 8;
constexpr int kSlots = 8;
constexpr Millis kServiceTime(400);
constexpr Millis kFirstByteTime(50);
constexpr Millis kStepInterval(5);
constexpr Millis kDuration(10'000);
constexpr Millis kObjective(800);
constexpr Millis kQueueTime(5'000);
constexpr int64_t kPromptTokens = 1'000;
constexpr int64_t kOutputTokens = 100;
constexpr int64_t kTokensPerRequest = kPromptTokens + 2 * kOutputTokens;
constexpr int64_t kCapacity =  // requests per second
    int64_t{kTargets} * kSlots * 1'000 / kServiceTime.count();
constexpr double kLoad = 3;

struct Row {
  const char* what;
  int of_first_version;  // targets
  int first_breaks;      // percent of the first version's streams
  int second_breaks;     // the same of the second version's
};

struct Counts {
  int asked = 0;
  int began = 0;

  auto Share() const -> double {
    return asked == 0 ? 0 : static_cast<double>(began) / asked;
  }
};

class Simulation {
 public:
  Simulation(const Row& row, uint64_t seed)
      : row_(row),
        random_(seed),
        nodes_(kBoxes, Targets(row)),
        running_(kTargets) {
    for (int box = 0; box < kBoxes; ++box) {
      nodes_.at(box).SetCatalog(testing::EngineCatalog());
      nodes_.at(box).ingress_scheduler().fair_shares().SetCapacity(
          PoolIdOf("engines"), kCapacity * kTokensPerRequest);
    }
    nodes_.SetOnEffects([this](int box, const Effects& effects) {
      for (const Dispatch& dispatch : effects.dispatches)
        Begin(box, dispatch);
    });
  }

  void Run() {
    const Millis end = nodes_.now() + kDuration;
    std::poisson_distribution<int> arrivals(
        kLoad * kCapacity * static_cast<double>(kStepInterval.count()) / 1'000);
    while (nodes_.now() < end) {
      for (int i = arrivals(random_); i > 0; --i)
        Ask(std::nullopt);
      PlayEvents();
      nodes_.Step(kStepInterval);
    }
  }

  auto fresh() const -> const Counts& { return fresh_; }
  auto resumed() const -> const Counts& { return resumed_; }

 private:
  struct Event {
    int box = 0;
    size_t target = 0;
    RequestId id = 0;
    bool ends = false;
  };

  static auto VersionNameOf(const Row& row, int target) -> std::string {
    return target < row.of_first_version ? "v1" : "v2";
  }
  static auto Targets(const Row& row) -> std::vector<TargetEntry> {
    std::vector<TargetEntry> targets = testing::EngineTargets(kTargets, kSlots);
    for (int i = 0; i < kTargets; ++i)
      targets[static_cast<size_t>(i)].version = VersionNameOf(row, i);
    return targets;
  }

  void Ask(std::optional<VersionId> version) {
    QueuedRequest request;
    request.id = next_id_++;
    request.flow = {PoolIdOf("engines"), 1};
    request.arrived = nodes_.now();
    request.expires = nodes_.now() + kQueueTime;
    request.work.prompt_tokens = kPromptTokens;
    request.work.output_tokens = kOutputTokens;
    request.work.objective = kObjective;
    request.work.first_byte_due = nodes_.now() + kObjective;
    request.version = version;
    request.resumes_stream = version.has_value();
    if (version)
      resuming_.insert(request.id);
    ++(version ? resumed_ : fresh_).asked;
    const auto box = static_cast<int>(random_() % kBoxes);
    Node& node = nodes_.at(box);
    if (const auto dispatch =
            node.ingress_scheduler().TryStart(request, nodes_.now()))
      Begin(box, *dispatch);
    else
      node.Enqueue(request);
  }

  void Begin(int box, const Dispatch& dispatch) {
    size_t target = 0;
    while (TargetIdOf("target-" + std::to_string(target)) != dispatch.target)
      ++target;
    ++(resuming_.contains(dispatch.request) ? resumed_ : fresh_).began;
    const int ahead = std::max(0, ++running_[target] - kSlots);
    const Millis starts =
        nodes_.now() + Millis(kServiceTime.count() * ahead / kSlots);
    events_.emplace(starts + kFirstByteTime,
                    Event{box, target, dispatch.request, false});
    events_.emplace(starts + kServiceTime,
                    Event{box, target, dispatch.request, true});
  }

  void PlayEvents() {
    while (!events_.empty() && events_.begin()->first <= nodes_.now()) {
      const Event event = events_.begin()->second;
      events_.erase(events_.begin());
      IngressScheduler& scheduler = nodes_.at(event.box).ingress_scheduler();
      if (!event.ends) {
        scheduler.OnBytes(event.id, nodes_.now());
        continue;
      }
      scheduler.Finish(event.id, kTokensPerRequest);
      --running_[event.target];
      const bool first = static_cast<int>(event.target) < row_.of_first_version;
      const int breaks = first ? row_.first_breaks : row_.second_breaks;
      const std::string version =
          VersionNameOf(row_, static_cast<int>(event.target));
      if (!resuming_.contains(event.id) &&
          static_cast<int>(random_() % 100) < breaks)
        Ask(VersionIdOf(version));
    }
  }

  Row row_;
  std::mt19937_64 random_;
  testing::SharedNodes nodes_;
  std::vector<int> running_;
  std::multimap<Millis, Event> events_;
  std::set<RequestId> resuming_;
  RequestId next_id_ = 1;
  Counts fresh_;
  Counts resumed_;
};

TEST_GROUP(ResumedStreamsFlood){};

// A part of their work is done, so they go before new ones. The users' bound is
// half of this.
TEST(ResumedStreamsFlood, GoOnAsOftenAsNewStreamsBegin) {
  const Row rows[] = {
      {"half of each version", 4, 30, 30},
      {"two targets of one version", 2, 30, 30},
      {"two targets of one version, most of its streams break", 2, 90, 10},
      {"two targets of one version, half of all streams break", 2, 50, 50},
  };
  for (const Row& row : rows) {
    for (const uint64_t seed : {1, 2, 3}) {
      Simulation simulation(row, seed);
      simulation.Run();
      const double began = simulation.fresh().Share();
      const double went_on = simulation.resumed().Share();
      std::cout << row.what << ", seed " << seed << ": " << began
                << " of new streams began, " << went_on << " of "
                << simulation.resumed().asked << " resumed ones went on\n";
      CHECK_TEXT(simulation.resumed().asked > 12, row.what);
      CHECK_TEXT(went_on >= began, row.what);
    }
  }
}

}  // namespace
}  // namespace sparbend
