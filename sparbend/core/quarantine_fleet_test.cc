// Simulates a fleet of boxes and targets under requests that crash their
// targets, beside harmless ones. Checks how often a crash-inducing request is
// still sent, and that a harmless request that was at a target when it exited
// does not stay blocked. Load reports between boxes are lost, cut off, or
// aggregated by halls.
#include <algorithm>
#include <optional>
#include <vector>

#include "sparbend/core/quarantine.h"
#include "testing/properties.h"
#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr Millis kStepInterval(10);
constexpr Millis kWarmUp(3'000);
// Time from sending a crash-inducing request until its target exits.
constexpr Millis kTimeToExit(100);
// Time until a target that exited accepts requests again.
constexpr Millis kRestartTime(2'000);
// Within this time a box has received the exits that others observed;
// kMaxLateSends attempts that are sent later are tolerated.
constexpr Millis kGossipSettleTime(3'000);
constexpr int kMaxLateSends = 3;
// The exit by which a box must know that the request is crash-inducing.
constexpr size_t kExitsUntilKnown = 3;
// At most one of this many harmless requests may be blocked.
constexpr size_t kMinHarmlessPerBlocked = 500;
constexpr WorkspaceId kWorkspace = 1;
constexpr uint32_t kPath = 1;
constexpr uint32_t kFirstCrashingBody = 1;
constexpr uint32_t kFirstHarmlessBody = 1'000;
// Attempts at a harmless request: its client retries once.
constexpr int kAttempts = 2;

struct Load {
  const char* name;
  int boxes = 9;
  int halls = 3;
  int targets = 9;
  int64_t crashing_interval_ms = 200;  // between sends of each crashing request
  int crashing = 1;           // crash-inducing requests, with different bodies
  int harmless_per_step = 1;  // harmless requests sent in each step
  Millis harmless_duration{500};
  int loss_percent = 0;
  std::optional<std::string> cut_hall =
      std::nullopt;  // hall that is cut off for the first kCutDuration
  Millis duration{20'000};
};

auto RequestOf(uint32_t body) -> Fingerprint {
  return {kWorkspace, kPath, body};
}

// Simulates one load in steps of kStepInterval.
class Simulation {
 public:
  explicit Simulation(const Load& load)
      : load_(load),
        nodes_(load.boxes,
               testing::EngineTargets(load.targets, 64),
               load.halls),
        up_at_(static_cast<size_t>(load.targets)) {
    nodes_.SetLoss(load.loss_percent);
    nodes_.SetCut(load.cut_hall);
    for (Millis end = nodes_.now() + kWarmUp; nodes_.now() < end;)
      nodes_.Step(kStepInterval);
    started_at_ = nodes_.now();
    crashing_.resize(static_cast<size_t>(load.crashing));
  }

  void Run() {
    for (const Millis end = started_at_ + load_.duration; nodes_.now() < end;) {
      nodes_.Step(kStepInterval);
      if (nodes_.now() - started_at_ >= kCutDuration)
        nodes_.SetCut(std::nullopt);
      SendCrashingRequests();
      for (int i = 0; i < load_.harmless_per_step; ++i)
        SendHarmlessRequest(next_body_++, kAttempts);
      EndAttempts();
    }
  }

  auto nodes() -> testing::SharedNodes& { return nodes_; }
  auto harmless() const -> int { return harmless_; }
  // Harmless requests that a box blocks at the end.
  auto blocked_harmless() -> size_t {
    const auto blocked = nodes_.at(0).quarantine().ListBlocked(nodes_.now());
    return static_cast<size_t>(
        std::ranges::count_if(blocked, [](const auto& row) {
          return row.suspect.body >= kFirstHarmlessBody;
        }));
  }
  // How often a crash-inducing request was sent later than kGossipSettleTime
  // after the third target exit that it caused.
  auto LateSends(size_t crashing) const -> int {
    const std::vector<Millis>& exits = crashing_[crashing].exited_at;
    if (exits.size() < kExitsUntilKnown)
      return 0;
    const Millis from = exits[kExitsUntilKnown - 1] + kGossipSettleTime;
    return static_cast<int>(std::ranges::count_if(
        crashing_[crashing].sent_at, [&](Millis sent) { return sent > from; }));
  }

 private:
  static constexpr Millis kCutDuration{4'000};

  struct Attempt {
    int box = 0;
    size_t target = 0;
    Fingerprint request;
    SuspicionVersion version;  // at the time of sending
    Millis ends_at;
    int attempts_left = 0;
  };
  struct CrashingRequest {
    std::vector<Millis> sent_at;
    std::vector<Millis> exited_at;
  };

  auto Random(size_t below) -> size_t {
    random_ = random_ * 6364136223846793005 + 1442695040888963407;
    return (random_ >> 33) % below;
  }
  auto RandomTarget() -> std::optional<size_t> {
    std::vector<size_t> up;
    for (size_t target = 0; target < up_at_.size(); ++target) {
      if (up_at_[target] <= nodes_.now())
        up.push_back(target);
    }
    return up.empty() ? std::nullopt : std::optional(up[Random(up.size())]);
  }

  // True if a box sent the request to a target.
  auto Send(uint32_t body, Millis span, int attempts_left) -> bool {
    const int box = static_cast<int>(Random(static_cast<size_t>(load_.boxes)));
    Quarantine& quarantine = nodes_.at(box).quarantine();
    const Fingerprint request = RequestOf(body);
    const std::optional<size_t> target = RandomTarget();
    const bool blocked =
        quarantine.BlockedFor(request, nodes_.now()) > Millis(0);
    if (!target || blocked)
      return false;
    attempts_.push_back({box, *target, request,
                         quarantine.SuspicionVersionOf(request),
                         nodes_.now() + span, attempts_left});
    return true;
  }
  void SendCrashingRequests() {
    if ((nodes_.now() - started_at_).count() % load_.crashing_interval_ms != 0)
      return;
    for (size_t i = 0; i < crashing_.size(); ++i) {
      const uint32_t body = kFirstCrashingBody + static_cast<uint32_t>(i);
      if (Send(body, kTimeToExit, 0))
        crashing_[i].sent_at.push_back(nodes_.now());
    }
  }
  void SendHarmlessRequest(uint32_t body, int attempts_left) {
    harmless_ += attempts_left == kAttempts ? 1 : 0;
    Send(body, load_.harmless_duration, attempts_left - 1);
  }

  void EndAttempts() {
    for (size_t i = 0; i < attempts_.size();) {
      if (attempts_[i].ends_at > nodes_.now()) {
        ++i;
        continue;
      }
      const Attempt attempt = attempts_[i];
      attempts_.erase(attempts_.begin() + static_cast<int64_t>(i));
      if (attempt.request.body < kFirstHarmlessBody) {
        crashing_[attempt.request.body - kFirstCrashingBody]
            .exited_at.push_back(nodes_.now());
        ExitTarget(attempt);
        i = 0;
      } else {
        nodes_.at(attempt.box)
            .quarantine()
            .ClearSuspicion(attempt.request, attempt.version, nodes_.now());
      }
    }
  }
  void ExitTarget(const Attempt& last) {
    up_at_[last.target] = nodes_.now() + kRestartTime;
    std::vector<Attempt> interrupted = {last};
    std::erase_if(attempts_, [&](const Attempt& attempt) {
      if (attempt.target != last.target)
        return false;
      interrupted.push_back(attempt);
      return true;
    });
    for (const Attempt& attempt : interrupted)
      nodes_.at(attempt.box)
          .OnTargetExit({{attempt.request, attempt.version}}, nodes_.now());
    for (const Attempt& attempt : interrupted) {
      if (attempt.attempts_left > 0)
        SendHarmlessRequest(attempt.request.body, attempt.attempts_left);
    }
  }

  Load load_;
  testing::SharedNodes nodes_;
  std::vector<Millis> up_at_;
  Millis started_at_;
  std::vector<Attempt> attempts_;
  std::vector<CrashingRequest> crashing_;
  uint32_t next_body_ = kFirstHarmlessBody;
  int harmless_ = 0;
  uint64_t random_ = 1;
};

TEST_GROUP(QuarantineFleet){};

TEST(QuarantineFleet, SendsACrashInducingRequestFewTimesAndOthersAsUsual) {
  std::vector<Load> loads;
  loads.push_back({.name = "nine boxes"});
  loads.push_back({.name = "seldom",
                   .crashing_interval_ms = 2'000,
                   .duration = Millis(40'000)});
  loads.push_back({.name = "often", .crashing_interval_ms = 20});
  loads.push_back({.name = "three such requests", .crashing = 3});
  loads.push_back({.name = "lost datagrams", .loss_percent = 30});
  loads.push_back({.name = "a hall cut off", .cut_hall = "h1"});
  loads.push_back({.name = "a large fleet",
                   .boxes = 85,
                   .targets = 60,
                   .crashing_interval_ms = 100,
                   .harmless_per_step = 4,
                   .duration = Millis(10'000)});
  loads.push_back({.name = "a large fleet, lost datagrams",
                   .boxes = 85,
                   .targets = 60,
                   .crashing_interval_ms = 100,
                   .harmless_per_step = 4,
                   .loss_percent = 10,
                   .duration = Millis(10'000)});
  for (const Load& load : loads) {
    Simulation simulation(load);
    simulation.Run();
    for (int i = 0; i < load.crashing; ++i)
      CHECK_TEXT(simulation.LateSends(static_cast<size_t>(i)) <= kMaxLateSends,
                 load.name);
    CHECK_TEXT(simulation.blocked_harmless() * kMinHarmlessPerBlocked <=
                   static_cast<size_t>(simulation.harmless()),
               load.name);
  }
}

// One harmless request is sent continually at all boxes while targets exit for
// other reasons: several at the same time, as when a rack fails, or one after
// the other.
TEST(QuarantineFleet, NeverBlocksARequestThatIsAnsweredElsewhere) {
  constexpr int kBoxes = 9;
  const Fingerprint request = RequestOf(kFirstHarmlessBody);
  struct Case {
    const char* name;
    int simultaneous_exits;
    Millis interval;  // between exits
  };
  const Case cases[] = {{"a rack fails", 4, Millis(5'000)},
                        {"one after the other", 1, Millis(300)}};
  for (const Case& row : cases) {
    testing::SharedNodes nodes(kBoxes, testing::EngineTargets(9, 64), 3);
    for (Millis end = nodes.now() + kWarmUp; nodes.now() < end;)
      nodes.Step(kStepInterval);
    const Millis started_at = nodes.now();
    while (nodes.now() - started_at < Millis(10'000)) {
      nodes.Step(kStepInterval);
      const int64_t elapsed_ms = (nodes.now() - started_at).count();
      const int box =
          static_cast<int>(elapsed_ms / kStepInterval.count()) % kBoxes;
      Quarantine& quarantine = nodes.at(box).quarantine();
      CHECK_TEXT(quarantine.BlockedFor(request, nodes.now()) == Millis(0),
                 row.name);
      quarantine.ClearSuspicion(request, quarantine.SuspicionVersionOf(request),
                                nodes.now());
      if (elapsed_ms % row.interval.count() != 0)
        continue;
      for (int i = 0; i < row.simultaneous_exits; ++i) {
        Node& node = nodes.at((box + i + 1) % kBoxes);
        node.OnTargetExit(node.quarantine().VersionsOf({request}), nodes.now());
      }
    }
  }
}

// A box that starts after the request was blocked receives the row.
TEST(QuarantineFleet, ReportsRowsToABoxThatHasJustStarted) {
  struct Case {
    int boxes;
    int loss_percent;
  };
  const Case cases[] = {{9, 0}, {9, 30}, {85, 0}, {85, 10}};
  for (const Case& row : cases) {
    testing::SharedNodes nodes(row.boxes, testing::EngineTargets(9, 64), 3);
    nodes.SetLoss(row.loss_percent);
    const auto advance = [&](Millis span) {
      for (const Millis end = nodes.now() + span; nodes.now() < end;)
        nodes.Step(kStepInterval);
    };
    advance(kWarmUp);
    const Fingerprint crashing = RequestOf(kFirstCrashingBody);
    nodes.at(0).OnTargetExit({{crashing, {0, 0}}}, nodes.now());
    nodes.at(0).OnTargetExit({{crashing, {0, 1}}}, nodes.now());
    advance(Millis(10'000));
    nodes.Restart(1);
    advance(kGossipSettleTime);
    for (int box = 0; box < row.boxes; ++box)
      CHECK(nodes.at(box).quarantine().BlockedFor(crashing, nodes.now()) >
            Millis(0));
  }
}

}  // namespace
}  // namespace sparbend
