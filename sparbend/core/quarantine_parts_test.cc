// Simulates a fleet of boxes and targets under requests that have one part of
// their prompts in common, which crashes the targets, and are otherwise all
// different. Sound requests share their other parts.
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
// Time from sending a request with the deadly part until its target exits, and
// until a sound request is answered.
constexpr int64_t kMinMsToExit = 50;
constexpr int64_t kMaxMsToExit = 200;
constexpr int64_t kMinMsToAnswer = 200;
constexpr int64_t kMaxMsToAnswer = 1'500;
constexpr Millis kRestartTime(3'000);
// By then boxes act on what others observed.
constexpr Millis kContact(3'000);
constexpr size_t kExitsUntilKnown = 5;
constexpr int kMaxLateSends = 3;
constexpr int kMinSoundAsked = 20;
constexpr int kMinSentInverse = 2;  // of sound requests, at least one of two

constexpr WorkspaceId kWorkspace = 1;
constexpr uint32_t kPath = 1;
constexpr PartId kDeadly = 1;  // and the ids that follow, if there are several
constexpr PartId kCompanion = 100;
constexpr PartId kFirstPart = 200;
constexpr PartId kDocument = 1'000;
constexpr size_t kFirstParts = 4;
constexpr size_t kDocuments = 200;

// Which parts precede the deadly one in the requests that hold it.
enum class Companion {
  kUsual,       // a first part of most sound requests
  kNew,         // a part that no request held before; sound ones do later
  kNewAtTimes,  // as before, but every other such request lacks it
  kRare,        // a part that few sound requests hold
};

struct Load {
  const char* name;
  int boxes = 9;
  int halls = 3;
  int targets = 9;
  int64_t deadly_interval_ms = 200;  // between requests with a deadly part
  int deadly_parts = 1;
  Companion companion = Companion::kUsual;
  Millis answered_until{0};  // until then the deadly part crashes nothing
  int crash_percent = 100;   // of requests with the deadly part, else answered
  int loss_percent = 0;
  std::optional<std::string> cut_hall = std::nullopt;  // for kCutDuration
  int restarted_boxes = 0;                             // after kRestartAfter
  Millis duration{16'000};
};

constexpr Millis kCutDuration{4'000};
constexpr Millis kRestartAfter{4'000};
// From then on sound requests hold a new companion.
constexpr Millis kCompanionInUse{2'000};
constexpr int64_t kRareIntervalMs = 700;

class Simulation {
 public:
  explicit Simulation(const Load& load)
      : load_(load),
        nodes_(load.boxes,
               testing::EngineTargets(load.targets, 64),
               load.halls),
        up_at_(static_cast<size_t>(load.targets)) {
    nodes_.SetLoss(load.loss_percent);
    deadly_.resize(static_cast<size_t>(load.deadly_parts));
    started_at_ = nodes_.now() + kWarmUp;
    while (nodes_.now() < started_at_)
      Step();
    nodes_.SetCut(load.cut_hall);
  }

  void Run() {
    while (Elapsed() < load_.duration) {
      Step();
      if (Elapsed() == kCutDuration)
        nodes_.SetCut(std::nullopt);
      if (Elapsed() == kRestartAfter) {
        for (int box = 0; box < load_.restarted_boxes; ++box)
          nodes_.Restart(box);
      }
      SendDeadlyRequests();
    }
  }

  auto LateSends(size_t deadly) const -> int {
    const Deadly& part = deadly_[deadly];
    if (part.exited_at.size() < kExitsUntilKnown)
      return 0;
    const Millis from = part.exited_at[kExitsUntilKnown - 1] + kContact;
    return static_cast<int>(std::ranges::count_if(
        part.sent_at, [&](Millis sent) { return sent > from; }));
  }
  auto Exits(size_t deadly) const -> size_t {
    return deadly_[deadly].exited_at.size();
  }
  // Sound requests with the companion that came later than twice kContact after
  // the fifth exit, or the last if there were fewer: asked, sent.
  auto SoundLater() const -> std::pair<int, int> {
    Millis from(0);
    for (const Deadly& part : deadly_) {
      if (!part.exited_at.empty())
        from = std::max(
            from,
            part.exited_at[std::min(part.exited_at.size(), kExitsUntilKnown) -
                           1]);
    }
    std::pair<int, int> counts;
    for (const auto& [at, sent] : sound_) {
      counts.first += at > from + kContact + kContact ? 1 : 0;
      counts.second += at > from + kContact + kContact && sent ? 1 : 0;
    }
    return counts;
  }

 private:
  struct Attempt {
    int box = 0;
    size_t target = 0;
    std::vector<SentSuspect> sent;
    Millis ends_at;
    std::optional<size_t> deadly;
  };
  struct Deadly {
    std::vector<Millis> sent_at;
    std::vector<Millis> exited_at;
  };

  auto Elapsed() const -> Millis { return nodes_.now() - started_at_; }
  auto Random(size_t below) -> size_t {
    random_ = random_ * 6364136223846793005 + 1442695040888963407;
    return (random_ >> 33) % below;
  }
  auto RandomMillis(int64_t from, int64_t to) -> Millis {
    return Millis(from +
                  static_cast<int64_t>(Random(static_cast<size_t>(to - from))));
  }
  auto Every(int64_t interval_ms) const -> bool {
    return nodes_.now().count() % interval_ms == 0;
  }

  void Step() {
    nodes_.Step(kStepInterval);
    // Documents that are used more often have lower numbers.
    const auto document =
        kDocument + static_cast<PartId>(Random(1 + Random(kDocuments)));
    const auto first = kFirstPart + static_cast<PartId>(Random(kFirstParts));
    SendSound({first, document},
              load_.companion == Companion::kUsual && first == kFirstPart);
    if (load_.companion == Companion::kRare && Every(kRareIntervalMs))
      SendSound({kCompanion, document}, true);
    const bool new_companion = load_.companion == Companion::kNew ||
                               load_.companion == Companion::kNewAtTimes;
    if (new_companion && Elapsed() >= kCompanionInUse && Every(100))
      SendSound({kCompanion, document}, true);
    EndAttempts();
  }

  void SendSound(const std::vector<PartId>& parts, bool counts) {
    const bool sent =
        Send(parts, RandomMillis(kMinMsToAnswer, kMaxMsToAnswer), std::nullopt);
    if (counts)
      sound_.emplace_back(nodes_.now(), sent);
  }
  void SendDeadlyRequests() {
    if (!Every(load_.deadly_interval_ms))
      return;
    for (size_t i = 0; i < deadly_.size(); ++i) {
      ++deadly_requests_;
      std::vector<PartId> parts;
      if (load_.companion == Companion::kUsual)
        parts.push_back(kFirstPart);
      else if (load_.companion != Companion::kNewAtTimes ||
               deadly_requests_ % 2 == 0)
        parts.push_back(kCompanion);
      parts.push_back(kDeadly + static_cast<PartId>(i));
      const bool crashes =
          Elapsed() >= load_.answered_until &&
          (load_.crash_percent == 100 ||
           Random(100) < static_cast<size_t>(load_.crash_percent));
      const Millis span = RandomMillis(kMinMsToExit, kMaxMsToExit);
      if (Send(parts, span, crashes ? std::optional(i) : std::nullopt) &&
          crashes && IsInTouch(attempts_.back().box))
        deadly_[i].sent_at.push_back(nodes_.now());
    }
  }
  // Whether the box has not been started within kContact.
  auto IsInTouch(int box) const -> bool {
    return box >= load_.restarted_boxes || Elapsed() < kRestartAfter ||
           Elapsed() >= kRestartAfter + kContact;
  }
  // True if a box sent the request to a target, or there was none.
  auto Send(const std::vector<PartId>& parts,
            Millis span,
            std::optional<size_t> deadly) -> bool {
    const int box = static_cast<int>(Random(static_cast<size_t>(load_.boxes)));
    std::vector<Fingerprint> request = {{kWorkspace, kPath, ++bodies_}};
    for (const PartId part : parts)
      request.push_back(PartFingerprint(kWorkspace, part));
    Node& node = nodes_.at(box);
    if (node.quarantine().RefusedFor(request, nodes_.now()) > Millis(0))
      return false;
    std::vector<size_t> up;
    for (size_t target = 0; target < up_at_.size(); ++target) {
      if (up_at_[target] <= nodes_.now())
        up.push_back(target);
    }
    if (up.empty())
      return !deadly;
    attempts_.push_back({box, up[Random(up.size())],
                         node.OnAttemptSent(request, nodes_.now()),
                         nodes_.now() + span, deadly});
    return true;
  }

  void EndAttempts() {
    for (size_t i = 0; i < attempts_.size();) {
      if (attempts_[i].ends_at > nodes_.now()) {
        ++i;
        continue;
      }
      const Attempt ended = attempts_[i];
      if (ended.deadly) {
        deadly_[*ended.deadly].exited_at.push_back(nodes_.now());
        ExitTarget(ended.target);
        i = 0;
        continue;
      }
      attempts_.erase(attempts_.begin() + static_cast<int64_t>(i));
      nodes_.at(ended.box).quarantine().OnAnswered(ended.sent, nodes_.now());
    }
  }
  void ExitTarget(size_t target) {
    up_at_[target] = nodes_.now() + kRestartTime;
    std::erase_if(attempts_, [&](const Attempt& attempt) {
      if (attempt.target != target)
        return false;
      nodes_.at(attempt.box).OnTargetExit(attempt.sent, nodes_.now());
      return true;
    });
  }

  Load load_;
  testing::SharedNodes nodes_;
  std::vector<Millis> up_at_;
  Millis started_at_;
  std::vector<Attempt> attempts_;
  std::vector<Deadly> deadly_;
  std::vector<std::pair<Millis, bool>> sound_;  // when, whether it was sent
  int deadly_requests_ = 0;
  uint32_t bodies_ = 0;
  uint64_t random_ = 1;
};

TEST_GROUP(QuarantineParts){};

TEST(QuarantineParts, DeadlyPartsAreSentFewTimesAndSoundRequestsGoOn) {
  std::vector<Load> loads;
  loads.push_back({.name = "nine boxes"});
  loads.push_back({.name = "seldom",
                   .deadly_interval_ms = 2'000,
                   .duration = Millis(40'000)});
  loads.push_back({.name = "often", .deadly_interval_ms = 20});
  loads.push_back({.name = "two deadly parts", .deadly_parts = 2});
  loads.push_back({.name = "new companion", .companion = Companion::kNew});
  loads.push_back(
      {.name = "new companion at times", .companion = Companion::kNewAtTimes});
  loads.push_back({.name = "rare companion",
                   .companion = Companion::kRare,
                   .duration = Millis(30'000)});
  loads.push_back({.name = "turned deadly", .answered_until = Millis(3'000)});
  loads.push_back({.name = "lost datagrams", .loss_percent = 30});
  loads.push_back({.name = "a hall cut off", .cut_hall = "h1"});
  loads.push_back({.name = "restarted boxes", .restarted_boxes = 4});
  loads.push_back({.name = "a large fleet",
                   .boxes = 85,
                   .targets = 60,
                   .deadly_interval_ms = 100});
  loads.push_back({.name = "a large fleet, new companion, lost datagrams",
                   .boxes = 85,
                   .targets = 60,
                   .deadly_interval_ms = 100,
                   .companion = Companion::kNew,
                   .loss_percent = 10});
  loads.push_back({.name = "a large fleet, turned deadly",
                   .boxes = 85,
                   .targets = 60,
                   .deadly_interval_ms = 100,
                   .answered_until = Millis(3'000)});
  for (const Load& load : loads) {
    Simulation simulation(load);
    simulation.Run();
    for (size_t i = 0; i < static_cast<size_t>(load.deadly_parts); ++i)
      CHECK_TEXT(simulation.LateSends(i) <= kMaxLateSends, load.name);
    const auto [asked, sent] = simulation.SoundLater();
    CHECK_TEXT(asked >= kMinSoundAsked, load.name);
    CHECK_TEXT(sent * kMinSentInverse >= asked, load.name);
  }
}

TEST_GROUP(PartDeadlyAtTimes){};

// Guards against a part that each complete answer frees although it crashes
// targets again and again.
TEST(PartDeadlyAtTimes, IsSentFewTimes) {
  Simulation simulation({.name = "every second", .crash_percent = 50});
  simulation.Run();
  CHECK(simulation.LateSends(0) <= kMaxLateSends);
}

}  // namespace
}  // namespace sparbend
