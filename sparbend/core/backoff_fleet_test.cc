// A fleet filled targets again as soon as the time that they had asked for was
// over, or sent to them before.
#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr int kBoxes = 6;
constexpr int kTargets = 6;
constexpr int kSlots = 8;
// Requests beyond its slots that a target takes.
constexpr int kPlaces = 4;
constexpr Millis kStep(5);
constexpr Millis kSpan(20'000);
constexpr Millis kWork(200);
constexpr Millis kObjective(600);
constexpr Millis kWaitTimeout(3'000);
constexpr Millis kAsked(2'000);
constexpr Millis kOnTheWay(500);
constexpr int kMostWithin = 2;
// Targets that turn all requests away, and when.
constexpr Millis kFaultFrom(3'000);
constexpr Millis kFaultUntil(9'000);

struct Row {
  const char* what;
  int faulty;           // of the targets
  double load;          // of what all targets bear
  uint64_t first_seed;  // of kSeeds
};
constexpr uint64_t kSeeds = 5;

struct Totals {
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int turned_away = 0;  // by targets
  int most_within = 0;  // requests within a time that a target asked for
};

// Boxes as pure nodes, targets with slots and a short queue, and callers that
// come back once, after a refusal's Retry-After.
class Simulation {
 public:
  Simulation(const Row& row, uint64_t seed)
      : row_(row),
        random_(seed),
        nodes_(kBoxes, testing::EngineTargets(kTargets, kSlots)),
        targets_(kTargets) {
    for (int box = 0; box < kBoxes; ++box)
      nodes_.at(box).SetCatalog(testing::EngineCatalog());
    nodes_.SetOnEffects([this](int box, const Effects& effects) {
      for (const auto& [id, refusal] : effects.refusals)
        Refuse(id, refusal.retry_after);
      for (const Dispatch& dispatch : effects.dispatches)
        Arrive(box, dispatch);
    });
    start_ = nodes_.now();
  }

  auto Run() -> Totals {
    while (Elapsed() < kSpan) {
      AskNew();
      BeginAndEndAnswers();
      nodes_.Step(kStep);
    }
    return totals_;
  }

 private:
  struct Call {
    Millis first;  // its caller asked
    int tries = 0;
  };
  struct Target {
    int running = 0;
    std::map<int, std::vector<Millis>> refusals;  // by box
  };
  // A request at a target; its answer is about to begin, or to end.
  struct Work {
    int box = 0;
    int target = 0;
    RequestId id = 0;
    bool begun = false;
  };

  auto Elapsed() const -> Millis { return nodes_.now() - start_; }

  void AskNew() {
    const double per_step = row_.load * kTargets * kSlots *
                            static_cast<double>(kStep.count()) /
                            static_cast<double>(kWork.count());
    std::poisson_distribution<int> count(per_step);
    for (int i = count(random_); i > 0; --i) {
      ++totals_.asked;
      Ask({nodes_.now(), 0});
    }
    for (auto due = returns_.begin();
         due != returns_.end() && due->first <= nodes_.now();
         due = returns_.erase(due))
      Ask(due->second);
  }

  void Ask(Call call) {
    const int box = static_cast<int>(random_() % kBoxes);
    const RequestId id = next_++;
    ++call.tries;
    calls_[id] = call;
    QueuedRequest request;
    request.id = id;
    request.flow = {PoolIdOf("engines"), 1};
    request.arrived = nodes_.now();
    request.expires = call.first + kWaitTimeout;
    request.work.prompt_tokens = 100;
    request.work.output_tokens = 10;
    request.work.objective = kObjective;
    request.work.first_byte_due = call.first + kObjective;
    Node& node = nodes_.at(box);
    if (const auto dispatch =
            node.ingress_scheduler().TryStart(request, nodes_.now()))
      Arrive(box, *dispatch);
    else if (const auto refusal = node.Enqueue(request))
      Refuse(id, refusal->retry_after);
  }

  void Refuse(RequestId id, Millis retry_after) {
    const Call call = calls_.at(id);
    calls_.erase(id);
    const Millis left = call.first + kWaitTimeout - nodes_.now();
    const Millis wait = std::min(retry_after, Millis(left.count() / 3));
    if (call.tries < 2 && left > Millis(0))
      returns_.emplace(nodes_.now() + wait, call);
    else
      ++totals_.refused;
  }

  auto IsFaulty(int target) const -> bool {
    return target < row_.faulty && Elapsed() >= kFaultFrom &&
           Elapsed() < kFaultUntil;
  }

  void Arrive(int box, const Dispatch& dispatch) {
    const int number = NumberOf(dispatch.target);
    Target& target = targets_[static_cast<size_t>(number)];
    std::vector<Millis>& refusals = target.refusals[box];
    const auto within = std::ranges::count_if(refusals, [&](Millis at) {
      return nodes_.now() > at + kOnTheWay && nodes_.now() < at + kAsked;
    });
    if (within > 0)
      totals_.most_within =
          std::max(totals_.most_within, ++late_[{box, number}]);
    if (!IsFaulty(number) && target.running < kSlots + kPlaces) {
      Begin(box, number, dispatch.request);
      return;
    }
    ++totals_.turned_away;
    refusals.push_back(nodes_.now());
    late_.erase({box, number});
    Node& node = nodes_.at(box);
    node.ingress_scheduler().placement().OnRetryAfter(dispatch.target, kAsked,
                                                      nodes_.now());
    node.ingress_scheduler().Requeue(
        dispatch.request, calls_.at(dispatch.request).first + kWaitTimeout);
  }

  static auto NumberOf(TargetId id) -> int {
    for (int i = 0; i < kTargets; ++i) {
      if (TargetIdOf("target-" + std::to_string(i)) == id)
        return i;
    }
    return -1;
  }

  void Begin(int box, int number, RequestId id) {
    Target& target = targets_[static_cast<size_t>(number)];
    const int waiting = std::max(0, target.running - kSlots + 1);
    ++target.running;
    const Millis begins =
        nodes_.now() + Millis(kWork.count() * waiting / kSlots);
    events_.emplace(begins + Millis(10), Work{box, number, id, false});
    events_.emplace(begins + kWork, Work{box, number, id, true});
  }

  void BeginAndEndAnswers() {
    for (auto event = events_.begin();
         event != events_.end() && event->first <= nodes_.now();
         event = events_.erase(event)) {
      const Work& run = event->second;
      IngressScheduler& entry = nodes_.at(run.box).ingress_scheduler();
      if (!run.begun) {
        entry.OnBytes(run.id, nodes_.now());
        const Call& call = calls_.at(run.id);
        const bool in_time = nodes_.now() - call.first <= kObjective;
        ++(in_time ? totals_.in_time : totals_.late);
        continue;
      }
      entry.Finish(run.id, 120);
      calls_.erase(run.id);
      --targets_[static_cast<size_t>(run.target)].running;
    }
  }

  Row row_;
  std::mt19937_64 random_;
  testing::SharedNodes nodes_;
  std::vector<Target> targets_;
  Millis start_;
  RequestId next_ = 1;
  std::map<RequestId, Call> calls_;
  std::multimap<Millis, Call> returns_;
  std::multimap<Millis, Work> events_;
  // Requests of a box at a target since its last refusal, within its time.
  std::map<std::pair<int, int>, int> late_;
  Totals totals_;
};

TEST_GROUP(BackoffFleet){};

TEST(BackoffFleet, SendsNothingWithinATimeAskedFor) {
  const Row rows[] = {
      {"two of six targets, half load", 2, 0.5, 1},
      {"two of six targets, full load", 2, 0.9, 11},
      {"five of six targets, half load", 5, 0.5, 21},
      {"all targets, half load", 6, 0.5, 31},
      {"no fault, overload", 0, 1.3, 41},
  };
  for (const Row& row : rows) {
    Totals sum;
    for (uint64_t seed = row.first_seed; seed < row.first_seed + kSeeds;
         ++seed) {
      const Totals totals = Simulation(row, seed).Run();
      CHECK_COMPARE_TEXT(totals.most_within, <=, kMostWithin, row.what);
      sum.asked += totals.asked;
      sum.in_time += totals.in_time;
      sum.late += totals.late;
      sum.refused += totals.refused;
      sum.turned_away += totals.turned_away;
    }
    // For comparing ways of returning to a target.
    std::cout << row.what << ": asked " << sum.asked << ", in time "
              << sum.in_time << ", late " << sum.late << ", refused "
              << sum.refused << ", turned away " << sum.turned_away << "\n";
    CHECK_TEXT(sum.in_time > 0, row.what);
  }
}

}  // namespace
}  // namespace sparbend
