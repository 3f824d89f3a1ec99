// A fleet of pure boxes and simulated targets under requests that end their
// targets, beside others that do not: how often such a request is sent on, and
// whether a request that was only there when a target ended comes free. What
// boxes tell each other is lost, cut off, or added up by halls.
#include <algorithm>
#include <optional>
#include <vector>

#include "sparbend/core/quarantine.h"
#include "testing/properties.h"
#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr Millis kStep(10);
constexpr Millis kWarmUp(3'000);
// A deadly request ends its target so long after it was sent.
constexpr Millis kUntilEnd(100);
constexpr Millis kRestart(2'000);
// A box goes by what ended elsewhere within this time; kMostLate sendings
// after it are forgiven.
constexpr Millis kContact(3'000);
constexpr int kMostLate = 3;
constexpr size_t kThird = 3;
// Innocent requests that may be taken for deadly ones.
constexpr size_t kMostHeldOneIn = 500;
constexpr WorkspaceId kWorkspace = 1;
constexpr uint32_t kPath = 1;
constexpr uint32_t kDeadlyBody = 1;
constexpr uint32_t kFirstInnocentBody = 1'000;
// An innocent request's caller comes back once.
constexpr int kTries = 2;

struct Load {
  const char* name;
  int boxes = 9;
  int halls = 3;
  int targets = 9;
  int64_t deadly_ms = 200;  // between two sendings of a deadly request
  int deadly = 1;           // such requests, of different bodies
  int innocent_each = 1;    // innocent requests begun in each step
  Millis innocent_span{500};
  int loss_percent = 0;
  std::optional<std::string> cut =
      std::nullopt;  // a hall, for the first seconds
  Millis span{20'000};
};

auto RequestOf(uint32_t body) -> Fingerprint {
  return {kWorkspace, kPath, body};
}

// Plays one load step by step.
class Play {
 public:
  explicit Play(const Load& load)
      : load_(load),
        nodes_(load.boxes,
               testing::EngineTargets(load.targets, 64),
               load.halls),
        up_from_(static_cast<size_t>(load.targets)) {
    nodes_.SetLoss(load.loss_percent);
    nodes_.SetCut(load.cut);
    for (Millis end = nodes_.now() + kWarmUp; nodes_.now() < end;)
      nodes_.Step(kStep);
    began_ = nodes_.now();
    deadly_.resize(static_cast<size_t>(load.deadly));
  }

  void Run() {
    for (const Millis end = began_ + load_.span; nodes_.now() < end;) {
      nodes_.Step(kStep);
      if (nodes_.now() - began_ >= kCutFor)
        nodes_.SetCut(std::nullopt);
      StartDeadly();
      for (int i = 0; i < load_.innocent_each; ++i)
        StartInnocent(next_body_++, kTries);
      EndRuns();
    }
  }

  auto nodes() -> testing::SharedNodes& { return nodes_; }
  auto innocent() const -> int { return innocent_; }
  // Innocent requests that a box holds back at the end.
  auto innocent_held() -> size_t {
    const auto held = nodes_.at(0).quarantine().ListBlocked(nodes_.now());
    return static_cast<size_t>(std::ranges::count_if(held, [](const auto& row) {
      return row.request.body >= kFirstInnocentBody;
    }));
  }
  // Sendings of one deadly request later than kContact after the third target
  // ended under it.
  auto Late(size_t deadly) const -> int {
    const std::vector<Millis>& ends = deadly_[deadly].ends;
    if (ends.size() < kThird)
      return 0;
    const Millis from = ends[kThird - 1] + kContact;
    return static_cast<int>(std::ranges::count_if(
        deadly_[deadly].sent, [&](Millis sent) { return sent > from; }));
  }

 private:
  static constexpr Millis kCutFor{4'000};

  struct Sent {
    int box = 0;
    size_t target = 0;
    Fingerprint request;
    SuspicionVersion stamp;
    Millis ends;
    int tries_left = 0;
  };
  struct Deadly {
    std::vector<Millis> sent;
    std::vector<Millis> ends;
  };

  auto Random(size_t below) -> size_t {
    random_ = random_ * 6364136223846793005 + 1442695040888963407;
    return (random_ >> 33) % below;
  }
  auto RandomTarget() -> std::optional<size_t> {
    std::vector<size_t> up;
    for (size_t target = 0; target < up_from_.size(); ++target) {
      if (up_from_[target] <= nodes_.now())
        up.push_back(target);
    }
    return up.empty() ? std::nullopt : std::optional(up[Random(up.size())]);
  }

  // True if a box took the request and sent it on.
  auto Start(uint32_t body, Millis span, int tries_left) -> bool {
    const int box = static_cast<int>(Random(static_cast<size_t>(load_.boxes)));
    Quarantine& quarantine = nodes_.at(box).quarantine();
    const Fingerprint request = RequestOf(body);
    const std::optional<size_t> target = RandomTarget();
    const bool blocked =
        quarantine.BlockedFor(request, nodes_.now()) > Millis(0);
    if (!target || blocked)
      return false;
    runs_.push_back({box, *target, request,
                     quarantine.SuspicionVersionOf(request),
                     nodes_.now() + span, tries_left});
    return true;
  }
  void StartDeadly() {
    if ((nodes_.now() - began_).count() % load_.deadly_ms != 0)
      return;
    for (size_t i = 0; i < deadly_.size(); ++i) {
      const uint32_t body = kDeadlyBody + static_cast<uint32_t>(i);
      if (Start(body, kUntilEnd, 0))
        deadly_[i].sent.push_back(nodes_.now());
    }
  }
  void StartInnocent(uint32_t body, int tries) {
    innocent_ += tries == kTries ? 1 : 0;
    Start(body, load_.innocent_span, tries - 1);
  }

  void EndRuns() {
    for (size_t i = 0; i < runs_.size();) {
      if (runs_[i].ends > nodes_.now()) {
        ++i;
        continue;
      }
      const Sent run = runs_[i];
      runs_.erase(runs_.begin() + static_cast<int64_t>(i));
      if (run.request.body < kFirstInnocentBody) {
        deadly_[run.request.body - kDeadlyBody].ends.push_back(nodes_.now());
        EndTarget(run);
        i = 0;
      } else {
        nodes_.at(run.box).quarantine().OnWhole(run.request, run.stamp,
                                                nodes_.now());
      }
    }
  }
  void EndTarget(const Sent& last) {
    up_from_[last.target] = nodes_.now() + kRestart;
    std::vector<Sent> broken = {last};
    std::erase_if(runs_, [&](const Sent& run) {
      if (run.target != last.target)
        return false;
      broken.push_back(run);
      return true;
    });
    for (const Sent& run : broken)
      nodes_.at(run.box).OnTargetExit(run.request, run.stamp, nodes_.now());
    for (const Sent& run : broken) {
      if (run.tries_left > 0)
        StartInnocent(run.request.body, run.tries_left);
    }
  }

  Load load_;
  testing::SharedNodes nodes_;
  std::vector<Millis> up_from_;
  Millis began_;
  std::vector<Sent> runs_;
  std::vector<Deadly> deadly_;
  uint32_t next_body_ = kFirstInnocentBody;
  int innocent_ = 0;
  uint64_t random_ = 1;
};

TEST_GROUP(QuarantineFleet){};

TEST(QuarantineFleet, SendsADeadlyRequestFewTimesAndOthersAsBefore) {
  std::vector<Load> loads;
  loads.push_back({.name = "nine boxes"});
  loads.push_back(
      {.name = "seldom", .deadly_ms = 2'000, .span = Millis(40'000)});
  loads.push_back({.name = "often", .deadly_ms = 20});
  loads.push_back({.name = "three of them", .deadly = 3});
  loads.push_back({.name = "lost words", .loss_percent = 30});
  loads.push_back({.name = "a hall cut off", .cut = "h1"});
  loads.push_back({.name = "a large fleet",
                   .boxes = 85,
                   .targets = 60,
                   .deadly_ms = 100,
                   .innocent_each = 4,
                   .span = Millis(10'000)});
  loads.push_back({.name = "a large fleet, lost words",
                   .boxes = 85,
                   .targets = 60,
                   .deadly_ms = 100,
                   .innocent_each = 4,
                   .loss_percent = 10,
                   .span = Millis(10'000)});
  for (const Load& load : loads) {
    Play play(load);
    play.Run();
    for (int i = 0; i < load.deadly; ++i)
      CHECK_TEXT(play.Late(static_cast<size_t>(i)) <= kMostLate, load.name);
    CHECK_TEXT(play.innocent_held() * kMostHeldOneIn <=
                   static_cast<size_t>(play.innocent()),
               load.name);
  }
}

// One request is asked all the time at all boxes while targets end for other
// reasons: some at once, as with a rack, or one after the other.
TEST(QuarantineFleet, NeverHoldsARequestThatIsAnsweredElsewhere) {
  constexpr int kBoxes = 9;
  const Fingerprint polled = RequestOf(kFirstInnocentBody);
  struct Case {
    const char* name;
    int ends_at_once;
    Millis pause;  // between ends
  };
  const Case cases[] = {{"a rack", 4, Millis(5'000)},
                        {"one after the other", 1, Millis(300)}};
  for (const Case& row : cases) {
    testing::SharedNodes nodes(kBoxes, testing::EngineTargets(9, 64), 3);
    for (Millis end = nodes.now() + kWarmUp; nodes.now() < end;)
      nodes.Step(kStep);
    const Millis began = nodes.now();
    while (nodes.now() - began < Millis(10'000)) {
      nodes.Step(kStep);
      const int64_t since = (nodes.now() - began).count();
      const int box = static_cast<int>(since / kStep.count()) % kBoxes;
      Quarantine& quarantine = nodes.at(box).quarantine();
      CHECK_TEXT(quarantine.BlockedFor(polled, nodes.now()) == Millis(0),
                 row.name);
      quarantine.OnWhole(polled, quarantine.SuspicionVersionOf(polled),
                         nodes.now());
      if (since % row.pause.count() != 0)
        continue;
      for (int i = 0; i < row.ends_at_once; ++i) {
        Node& node = nodes.at((box + i + 1) % kBoxes);
        node.OnTargetExit(polled, node.quarantine().SuspicionVersionOf(polled),
                          nodes.now());
      }
    }
  }
}

// Boxes that were not there when the request was blocked hear of it.
TEST(QuarantineFleet, TellsABoxThatHasJustStarted) {
  struct Case {
    int boxes;
    int loss_percent;
  };
  const Case cases[] = {{9, 0}, {9, 30}, {85, 0}, {85, 10}};
  for (const Case& row : cases) {
    testing::SharedNodes nodes(row.boxes, testing::EngineTargets(9, 64), 3);
    nodes.SetLoss(row.loss_percent);
    const auto play = [&](Millis span) {
      for (const Millis end = nodes.now() + span; nodes.now() < end;)
        nodes.Step(kStep);
    };
    play(kWarmUp);
    const Fingerprint deadly = RequestOf(kDeadlyBody);
    nodes.at(0).OnTargetExit(deadly, {0, 0}, nodes.now());
    nodes.at(0).OnTargetExit(deadly, {0, 1}, nodes.now());
    play(Millis(10'000));
    nodes.Restart(1);
    play(kContact);
    for (int box = 0; box < row.boxes; ++box)
      CHECK(nodes.at(box).quarantine().BlockedFor(deadly, nodes.now()) >
            Millis(0));
  }
}

}  // namespace
}  // namespace sparbend
