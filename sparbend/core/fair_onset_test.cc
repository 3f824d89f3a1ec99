// Guards against floods that get ahead while little is known of the demand of
// others: boxes as pure nodes in front of engines that read prompts in the
// order of arrival.
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr Millis kStep(10);
constexpr Millis kSecond(1'000);
constexpr int kWindowSeconds = 6;  // in which shares are compared
constexpr int kSeconds = 8;
constexpr int kSlots = 64;
constexpr int64_t kTokensReadPerMs = 50;  // by one engine
constexpr Millis kDecodeTime(300);
constexpr Millis kObjective(800);
constexpr Millis kQueueTime(4'000);
constexpr int kAttempts = 2;

// The requests of one workspace, which arrive evenly at some of the boxes.
struct Traffic {
  int first_box = 0;
  int boxes = 1;
  int64_t tokens_per_second = 0;
  int64_t request_tokens = 9'000;
};

// Tokens of one workspace by second.
struct Account {
  std::map<int64_t, int64_t> asked;
  std::map<int64_t, int64_t> started;

  static auto Sum(const std::map<int64_t, int64_t>& tokens, int64_t from)
      -> int64_t {
    int64_t sum = 0;
    for (int64_t second = from; second < from + kWindowSeconds; ++second) {
      const auto found = tokens.find(second);
      sum += found == tokens.end() ? 0 : found->second;
    }
    return sum;
  }
};

class Simulation {
 public:
  // `declared`: tokens per second, if not what the engines read.
  Simulation(int boxes,
             int engines,
             int halls,
             std::vector<Traffic> traffic,
             std::optional<int64_t> declared = std::nullopt)
      : traffic_(std::move(traffic)),
        accounts_(traffic_.size()),
        nodes_(boxes, testing::EngineTargets(engines, kSlots), halls),
        free_at_(static_cast<size_t>(engines)),
        capacity_(declared.value_or(engines * kTokensReadPerMs * 1'000)) {
    for (int i = 0; i < engines; ++i)
      engine_by_id_[TargetIdOf("target-" + std::to_string(i))] =
          static_cast<size_t>(i);
    for (int box = 0; box < boxes; ++box)
      Prepare(box);
    nodes_.SetOnEffects([this](int box, const Effects& effects) {
      for (const Dispatch& dispatch : effects.dispatches)
        Begin(box, dispatch);
      for (const auto& [id, refusal] : effects.refusals)
        OnRefused(id, refusal);
    });
  }

  void Prepare(int box) {
    nodes_.at(box).SetCatalog(MakeCatalog());
    nodes_.at(box).ingress_scheduler().fair_shares().SetCapacity(
        PoolIdOf("engines"), capacity_);
  }

  // Lets the boxes exchange reports before any request arrives.
  void Settle(Millis span) {
    for (const Millis end = nodes_.now() + span; nodes_.now() < end;)
      nodes_.Step(kStep);
    started_at_ = nodes_.now();
  }

  void Run(Millis span) {
    for (const Millis end = nodes_.now() + span; nodes_.now() < end;) {
      for (size_t i = 0; i < traffic_.size(); ++i)
        Arrive(i);
      PlayEvents();
      nodes_.Step(kStep);
    }
  }

  // The least part that a workspace got, in any window from second `first` on,
  // of what it asked or of what the best served one got, whichever is less.
  // Three of its largest requests are left out of account.
  auto LeastShare(const char* what, int64_t first = 0) const -> double {
    double least = 1;
    for (int64_t from = first; from + kWindowSeconds <= kSeconds; ++from) {
      int64_t best = 0;
      for (const Account& account : accounts_)
        best = std::max(best, Account::Sum(account.started, from));
      for (size_t i = 0; i < accounts_.size(); ++i) {
        const int64_t asked = Account::Sum(accounts_[i].asked, from);
        const int64_t got = Account::Sum(accounts_[i].started, from);
        const int64_t due =
            std::min(asked, best) - 3 * traffic_[i].request_tokens * 3 / 2;
        const double share =
            due <= 0 ? 1 : static_cast<double>(got) / static_cast<double>(due);
        if (share < least)
          std::cout << what << ", from second " << from << ": workspace "
                    << i + 1 << " asked " << asked << ", got " << got
                    << ", the best " << best << "\n";
        least = std::min(least, share);
      }
    }
    return least;
  }

  // Refused attempts.
  auto refused() const -> int { return refused_; }

  auto nodes() -> testing::SharedNodes& { return nodes_; }
  auto traffic() -> std::vector<Traffic>& { return traffic_; }

 private:
  struct Sent {
    QueuedRequest request;
    int box = 0;
    int attempt = 1;
  };
  struct Event {
    enum class Kind { kAttempt, kFirstByte, kEnd };
    Kind kind = Kind::kAttempt;
    RequestId id = 0;
  };

  auto MakeCatalog() const -> std::shared_ptr<const Catalog> {
    Catalog::Pools pools;
    pools["engines"].name = "engines";
    Catalog::Workspaces workspaces;
    for (uint32_t number = 1; number <= traffic_.size(); ++number) {
      Workspace& workspace = workspaces["w" + std::to_string(number)];
      workspace.number = number;
      workspace.name = "w" + std::to_string(number);
      workspace.pools = {"engines"};
      workspace.queue_requests = 10'000;
      workspace.queue_bytes = 100'000'000;
    }
    return std::make_shared<Catalog>(pools, workspaces);
  }

  auto Second() const -> int64_t {
    return (nodes_.now() - started_at_).count() / kSecond.count();
  }

  void Arrive(size_t i) {
    const Traffic& traffic = traffic_[i];
    std::poisson_distribution<int> arrivals(
        static_cast<double>(traffic.tokens_per_second * kStep.count()) /
        static_cast<double>(traffic.request_tokens * kSecond.count()));
    for (int left = arrivals(random_); left > 0; --left) {
      Sent sent;
      sent.box =
          traffic.first_box +
          static_cast<int>(random_() % static_cast<size_t>(traffic.boxes));
      QueuedRequest& request = sent.request;
      request.flow = {PoolIdOf("engines"), static_cast<WorkspaceId>(i + 1)};
      // Sizes are uniform between half and one and a half times the mean.
      request.work.prompt_tokens =
          traffic.request_tokens / 2 +
          static_cast<int64_t>(random_() %
                               static_cast<size_t>(traffic.request_tokens));
      accounts_[i].asked[Second()] += request.work.prompt_tokens;
      Attempt(std::move(sent));
    }
  }

  void Attempt(Sent sent) {
    QueuedRequest& request = sent.request;
    request.id = next_id_++;
    request.arrived = nodes_.now();
    request.expires = nodes_.now() + kQueueTime;
    request.work.objective = kObjective;
    request.work.first_byte_due = nodes_.now() + kObjective;
    const int box = sent.box;
    sent_[request.id] = sent;
    Node& node = nodes_.at(box);
    if (const auto dispatch =
            node.ingress_scheduler().TryStart(request, nodes_.now())) {
      Begin(box, *dispatch);
    } else if (const auto refusal = node.Enqueue(request)) {
      OnRefused(request.id, *refusal);
    }
  }

  void OnRefused(RequestId id, const Refusal& refusal) {
    ++refused_;
    if (sent_.at(id).attempt < kAttempts)
      events_.emplace(nodes_.now() + std::max(refusal.retry_after, kStep),
                      Event{Event::Kind::kAttempt, id});
  }

  void Begin(int box, const Dispatch& dispatch) {
    const Sent& sent = sent_.at(dispatch.request);
    CHECK_EQUAL(sent.box, box);
    const int64_t tokens = sent.request.work.prompt_tokens;
    accounts_[sent.request.flow.workspace - 1].started[Second()] += tokens;
    Millis& free_at = free_at_[engine_by_id_.at(dispatch.target)];
    free_at =
        std::max(free_at, nodes_.now()) + Millis(tokens / kTokensReadPerMs + 1);
    events_.emplace(free_at, Event{Event::Kind::kFirstByte, dispatch.request});
    events_.emplace(free_at + kDecodeTime,
                    Event{Event::Kind::kEnd, dispatch.request});
  }

  void PlayEvents() {
    while (!events_.empty() && events_.begin()->first <= nodes_.now()) {
      const Event event = events_.begin()->second;
      events_.erase(events_.begin());
      Sent& sent = sent_.at(event.id);
      IngressScheduler& scheduler = nodes_.at(sent.box).ingress_scheduler();
      switch (event.kind) {
        case Event::Kind::kAttempt:
          ++sent.attempt;
          Attempt(sent);
          break;
        case Event::Kind::kFirstByte:
          scheduler.OnBytes(event.id, nodes_.now());
          break;
        case Event::Kind::kEnd:
          scheduler.Finish(event.id, sent.request.work.prompt_tokens);
          break;
      }
    }
  }

  std::vector<Traffic> traffic_;
  std::vector<Account> accounts_;  // in the order of traffic_
  testing::SharedNodes nodes_;
  std::mt19937_64 random_{1};
  std::vector<Millis> free_at_;  // when each engine has read all its prompts
  std::map<TargetId, size_t> engine_by_id_;
  int64_t capacity_;  // tokens per second
  Millis started_at_;
  std::multimap<Millis, Event> events_;
  std::map<RequestId, Sent> sent_;
  RequestId next_id_ = 1;
  int refused_ = 0;
};

// Users require a half.
constexpr double kRequiredShare = 0.5;

TEST_GROUP(FloodAheadOfWaiting){};

// A workspace below its share waits for seconds before it is refused.
TEST(FloodAheadOfWaiting, WorkspaceThatWaitsGetsItsShare) {
  struct Case {
    const char* what;
    int boxes;
    int halls;
    int engines;
    int64_t flood;
    int64_t medium;
  };
  for (const Case& row : {
           Case{"58 boxes", 58, 3, 90, 12'000'000, 900'000},
           Case{"8 boxes", 8, 3, 9, 1'200'000, 120'000},
       }) {
    std::vector<Traffic> traffic = {{0, row.boxes, row.flood}};
    for (int i = 0; i < 4; ++i)
      traffic.push_back({2 * i, 1 + i % 2, row.medium});
    Simulation simulation(row.boxes, row.engines, row.halls, traffic);
    simulation.Settle(Millis(3'000));
    simulation.Run(Millis(kSeconds * kSecond.count()));
    CHECK_TEXT(simulation.LeastShare(row.what) >= kRequiredShare, row.what);
  }
}

TEST_GROUP(FloodInTheFirstSecond){};

// Nothing is known of the others' demand when the first requests arrive.
TEST(FloodInTheFirstSecond, LeavesRoomForFloodsThroughFewBoxes) {
  struct Case {
    const char* what;
    int boxes;
    int halls;
    int engines;
    int64_t flood;
    int64_t others;
  };
  for (const Case& row : {
           Case{"8 boxes", 8, 3, 9, 7'000'000, 1'200'000},
           Case{"24 boxes", 24, 3, 27, 20'000'000, 3'000'000},
           Case{"58 boxes", 58, 3, 90, 40'000'000, 4'000'000},
       }) {
    std::vector<Traffic> traffic = {{0, row.boxes, row.flood}};
    for (int i = 0; i < 4; ++i)
      traffic.push_back({i, 1, row.others});
    Simulation simulation(row.boxes, row.engines, row.halls, traffic);
    simulation.Settle(Millis(3'000));
    simulation.Run(Millis(kSeconds * kSecond.count()));
    CHECK_TEXT(simulation.LeastShare(row.what) >= kRequiredShare, row.what);
  }
}

TEST_GROUP(FloodThatGrows){};

// Guards against boxes that take their own part of a flow for larger as its
// demand grows at all of them at once.
TEST(FloodThatGrows, DoesNotGetAheadBeforeItIsReported) {
  constexpr int kBoxes = 58;
  constexpr int kEngines = 90;
  constexpr int kHalls = 3;
  constexpr int64_t kGrowth = 14;
  const Millis steady_time(5'500);
  std::vector<Traffic> traffic = {{0, kBoxes, 10'000'000, 18'000}};
  for (int i = 0; i < 4; ++i)
    traffic.push_back({2 * i, 2, 3'000'000});
  Simulation simulation(kBoxes, kEngines, kHalls, traffic);
  simulation.Settle(Millis(3'000));
  simulation.Run(steady_time);
  simulation.traffic()[0].tokens_per_second *= kGrowth;
  simulation.Run(Millis(kSeconds * kSecond.count()) - steady_time);
  CHECK(simulation.LeastShare("58 boxes", 2) >= kRequiredShare);
}

TEST_GROUP(AmpleRoom){};

// Guards against refusals by shares of a declared capacity that is far below
// what the engines can do, while most of them are idle.
TEST(AmpleRoom, NoRequestIsRefusedWhileMostEnginesAreIdle) {
  constexpr int64_t kDeclared = 300'000;  // tokens per second
  struct Case {
    const char* what;
    int boxes;
    int engines;
    bool refuses;
  };
  for (const Case& row : {
           Case{"as many engines as declared", 9, 6, true},
           Case{"twenty times as many", 9, 120, false},
           Case{"the same at 30 boxes", 30, 120, false},
       }) {
    // Requests over the declared capacity, none of them in bulk.
    Simulation simulation(row.boxes, row.engines, 3,
                          {{0, row.boxes, 300'000},
                           {0, row.boxes, 200'000},
                           {0, row.boxes, 100'000}},
                          kDeclared);
    simulation.Settle(Millis(2'000));
    simulation.Run(Millis(kSeconds * kSecond.count()));
    CHECK_EQUAL_TEXT(row.refuses, simulation.refused() > 0,
                     (std::string(row.what) + ": refused " +
                      std::to_string(simulation.refused()))
                         .c_str());
  }
}

}  // namespace
}  // namespace sparbend
