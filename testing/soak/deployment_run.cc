// The main thread is operator, store and clock of the targets: each turn of its
// loop begins and ends faults, writes heartbeats and changes the configuration.
#include "testing/soak/deployment_run.h"

#include <signal.h>

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <optional>

#include "platform/wire.h"
#include "testing/engine_process.h"
#include "testing/platform_world.h"
#include "testing/soak/answers.h"
#include "testing/soak/callers.h"
#include "testing/soak/judge_config.h"
#include "testing/soak/odd_records.h"
#include "testing/soak/operator.h"

namespace sparbend::testing {
namespace {

constexpr Millis kLook = Millis(20);
constexpr int kFirstBox = 100;
// A slow box runs in one turn of so many.
constexpr uint64_t kSlowTurns = 5;
constexpr Millis kSnapshotInterval = Millis(250);
// How old the copy is that the store comes back from.
constexpr int64_t kLeastAgeMs = 500;
constexpr int64_t kMostAgeMs = 5'000;
// Within which an operator writes again what the store has lost.
constexpr int64_t kMostRewriteMs = 1'500;
constexpr const char* kBoxSettings = "drain_notice_ms = 300\ngrace_s = 8\n";
constexpr size_t kMostLines = 30;  // printed
constexpr const char* kOddKey = "odd";
// How long a started engine serves before its record is written.
constexpr int64_t kLeastLagMs = 100;
constexpr int64_t kMostLagMs = 300;
// A box that is told to end takes no longer than its grace and some.
constexpr Millis kMostDrain = Millis(10'000);

auto UnixMillis() -> int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct SoakTarget {
  std::string name;
  std::string pool;
  std::string address;
  std::string hall;
  int version = 1;
  int64_t started_at_ms = 0;
  int heartbeats = 0;  // since its start
  Millis next_heartbeat;
  bool down = false;
  bool starting = false;  // as soon as it has written its record
  bool joins = false;     // it is in the list only while it has joined
  bool cuts_heads = false;
  bool paused = false;  // by SIGSTOP
  // The lives of an engine that is a process; the last one is the present.
  std::vector<std::unique_ptr<EngineProcess>> lives;
};

class DeploymentSoak {
 public:
  DeploymentSoak(uint64_t seed, const Deployment& shape)
      : shape_(shape),
        random_(seed),
        start_(std::chrono::steady_clock::now()),
        operators_(shape),
        world_("deployment-" + std::to_string(seed)) {
    report_.seed = seed;
    report_.plan = MakeDeploymentPlan(seed, shape);
    report_.folder = world_.folder();
  }

  auto Run() -> DeploymentReport {
    StartAll();
    SoakCallers callers(
        report_.seed, shape_.callers_per_box * shape_.boxes,
        [this] { return Now(); },
        [this](std::mt19937_64* random) { return operators_.Draw(random); });
    live_ = &callers;
    for (int box = 0; box < shape_.boxes; ++box)
      callers.SetBox(box, world_.box(BoxName(box)).callers);
    Play();
    SoakRecord record;
    record.asked = callers.Finish();
    {
      const std::lock_guard lock(mutex_);
      record.arrivals = arrivals_;
    }
    AddArrivalsOfProcesses(&record.arrivals);
    record.outages = outages_;
    record.store_trouble = store_trouble_;
    record.versions = versions_;
    for (std::vector<std::string>& lines :
         std::vector{JudgeConfig(record, shape_.bounds),
                     JudgePoolBudgets(record, shape_.budget),
                     Judge(record.asked, record.arrivals, record.outages,
                           /*limits=*/std::nullopt)})
      std::ranges::move(lines, std::back_inserter(report_.broken));
    report_.asked = record.asked.size();
    report_.answered = static_cast<size_t>(std::ranges::count_if(
        record.asked,
        [](const Asked& a) { return a.status == 200 && a.whole; }));
    for (const Asked& asked : record.asked) {
      if (asked.resumes.empty())
        continue;
      ++report_.taken_up;
      report_.went_on += asked.status == 200 && !asked.body.empty() ? 1 : 0;
    }
    report_.versions = versions_.size();
    if (report_.answered == 0)
      report_.broken.emplace_back("nothing was answered at all");
    return report_;
  }

 private:
  static auto BoxName(int box) -> std::string {
    // No name is a part of another.
    return "box-" + std::to_string(kFirstBox + box);
  }
  auto Hall(size_t number) const -> std::string {
    return "hall-" + std::to_string(number % static_cast<size_t>(shape_.halls));
  }
  auto Now() const -> Millis {
    return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::steady_clock::now() - start_)
                      .count());
  }
  auto BoxOf(const DeploymentStep& step) const -> int {
    return step.index % shape_.boxes;
  }
  auto TargetOf(const DeploymentStep& step) -> SoakTarget& {
    return targets_[static_cast<size_t>(step.index) % targets_.size()];
  }

  void StartAll() {
    WriteConfig(/*changed=*/true);
    for (const SoakPool& pool : shape_.pools) {
      for (int number = 0; number < pool.targets; ++number)
        AddTarget(pool, number);
      if (pool.streams)
        AddJoiner(pool);
    }
    gone_.resize(static_cast<size_t>(shape_.boxes));
    stopped_.resize(gone_.size());
    for (int box = 0; box < shape_.boxes; ++box)
      StartBox(box);
    for (int box = 0; box < shape_.boxes; ++box) {
      if (!world_.WaitReady(BoxName(box)))
        report_.broken.push_back("not ready at the start: " + BoxName(box));
    }
  }

  void StartBox(int box) {
    world_.StartBox(BoxName(box), kBoxSettings, Millis(300), shape_.program,
                    Hall(static_cast<size_t>(box)));
  }

  void AddTarget(const SoakPool& pool, int number) {
    SoakTarget target;
    target.name = pool.name + "-" + std::to_string(number);
    target.pool = pool.name;
    target.hall = Hall(targets_.size());
    target.version = 1 + number % shape_.versions;
    target.started_at_ms = UnixMillis();
    const size_t place = targets_.size();
    {
      const std::lock_guard lock(mutex_);
      targets_.push_back(std::move(target));
    }
    if (shape_.processes && pool.streams) {
      StartEngine(&targets_[place]);
      WriteRecord(&targets_[place]);
      return;
    }
    AddTargetInProcess(place);
  }

  void AddTargetInProcess(size_t place) {
    const SoakTarget& target = targets_[place];
    const std::string address = world_.AddTarget(
        target.name, target.pool,
        [this, place](const SeenRequest& seen) { return Answer(place, seen); },
        /*reads_body=*/true, "v" + std::to_string(target.version));
    targets_[place].address = address;
    WriteRecord(&targets_[place]);
  }

  // At the address of its earlier lives.
  void StartEngine(SoakTarget* target) {
    const std::string life =
        target->name + "-life-" + std::to_string(target->lives.size() + 1);
    target->lives.push_back(std::make_unique<EngineProcess>(
        world_.folder(), life,
        "v" + std::to_string(target->version) + "@" + target->pool,
        target->lives.empty() ? "127.0.0.1:0" : target->address, target->name));
    target->paused = false;
    target->address = target->lives.back()->address();
    if (target->address.empty())
      report_.broken.push_back("an engine did not start: " + life);
    if (target->cuts_heads)
      target->lives.back()->process().Signal(SIGUSR1);
  }

  void StopTarget(SoakTarget* target) {
    if (target->lives.empty())
      world_.StopTarget(target->name);
    else
      target->lives.back()->Kill();
  }

  // Engines state the time of a clock that all processes share.
  void AddArrivalsOfProcesses(std::vector<Arrival>* arrivals) const {
    const Millis start(std::chrono::duration_cast<std::chrono::milliseconds>(
                           start_.time_since_epoch())
                           .count());
    for (const SoakTarget& target : targets_) {
      for (const auto& life : target.lives) {
        for (const Json& arrival : life->Arrivals())
          arrivals->push_back({arrival.at("request"), target.name,
                               Millis(arrival.at("at")) - start,
                               arrival.at("ran"), target.pool});
      }
    }
  }

  void AddJoiner(const SoakPool& pool) {
    AddTarget(pool, pool.targets);
    SoakTarget& target = targets_.back();
    target.joins = true;
    joiners_.push_back(&target);
    Leave(&target);
  }

  // It takes no more requests, and its record is gone.
  void Leave(SoakTarget* target) {
    target->down = true;
    target->starting = false;
    world_.Put(platform::kTargetsTopic, target->name, "");
    StopTarget(target);
  }

  auto Answer(size_t place, const SeenRequest& seen) -> TargetScript {
    const std::lock_guard lock(mutex_);
    const SoakTarget& target = targets_[place];
    if (target.cuts_heads) {
      arrivals_.push_back(
          {seen.id, target.name, Now(), /*ran=*/true, target.pool});
      return AnswerCutInHead(seen);
    }
    const SoakAnswer answer =
        DrawAnswer(seen, "v" + std::to_string(target.version));
    arrivals_.push_back({seen.id, target.name, Now(), answer.ran, target.pool});
    return answer.script;
  }

  static auto RecordOf(const SoakTarget& target) -> Json {
    return {{"service", target.pool},
            {"address", target.address},
            {"zone", target.hall},
            {"version", "v" + std::to_string(target.version)},
            {"slots", 16},
            {"state", "ready"},
            {"seq", target.heartbeats},
            {"born", target.started_at_ms},
            {"cold-left-ms", 0}};
  }

  void WriteRecord(SoakTarget* target) {
    target->next_heartbeat = Now() + shape_.heartbeat;
    ++target->heartbeats;
    world_.Put(platform::kTargetsTopic, target->name, RecordOf(*target).dump());
  }

  // The newest configuration again, or with a change.
  void WriteConfig(bool changed) {
    ConfigVersion version = operators_.Allowed();
    version.sent = Now();
    world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
               operators_.Document());
    version.acked = Now();
    if (changed)
      versions_.push_back(version);
    next_change_ = Now() + shape_.change_interval;
  }

  void Play() {
    const Millis begin = Now();
    const Millis until = begin + shape_.span + shape_.watch;
    size_t next = 0;
    const DeploymentPlan& plan = report_.plan;
    while (next < plan.size() || !active_.empty() || Now() < until) {
      const Millis now = Now() - begin;
      while (next < plan.size() && plan[next].at <= now)
        Begin(plan[next++]);
      std::vector<DeploymentStep> over;
      std::erase_if(active_, [&](const DeploymentStep& step) {
        const bool ends = step.at + step.span <= now && !Drains(step, now);
        if (ends)
          over.push_back(step);
        return ends;
      });
      for (const DeploymentStep& step : over)
        End(step);
      ApplyFaults();
      Operate();
      CheckBoxes();
      std::this_thread::sleep_for(std::chrono::milliseconds(kLook.count()));
    }
  }

  // What operators, targets and the store do all the time.
  void Operate() {
    const Millis now = Now();
    if (away_)
      return;
    if (lost_ && now >= rewrite_at_) {
      WriteConfig(/*changed=*/false);
      for (const SoakTarget* joiner : joiners_) {
        if (joiner->down)
          world_.Put(platform::kTargetsTopic, joiner->name, "");
      }
      store_trouble_.back().to = Now();
      lost_ = false;
    }
    if (!lost_ && now >= next_change_ && changes_left_ != 0) {
      if (changes_left_)
        --*changes_left_;
      operators_.Change(&random_);
      WriteConfig(/*changed=*/true);
    }
    for (SoakTarget& target : targets_) {
      if (target.joins && !target.down && !Joined(target))
        Leave(&target);
      else if (target.starting)
        Start(&target);
      else if (!target.down && !target.paused && now >= target.next_heartbeat)
        WriteRecord(&target);
    }
    if (snapshots_.empty() ||
        now >= snapshots_.back().first + kSnapshotInterval)
      snapshots_.emplace_back(now, world_.TopicSizes());
    while (snapshots_.front().first + Millis(kMostAgeMs) < now)
      snapshots_.pop_front();
  }

  void Start(SoakTarget* target) {
    {
      const std::lock_guard lock(mutex_);
      target->version = target->joins ? shape_.versions + 1
                                      : 1 + target->version % shape_.versions;
    }
    target->started_at_ms = UnixMillis();
    target->heartbeats = 0;
    WriteRecord(target);
    if (target->lives.empty())
      world_.StartTarget(target->name);
    else
      StartEngine(target);
    target->down = false;
    target->starting = false;
  }

  void Begin(const DeploymentStep& step) {
    const bool of_box = (step.act >= DeploymentAct::kPauseBox &&
                         step.act <= DeploymentAct::kCutOffBox) ||
                        step.act == DeploymentAct::kDrainBox;
    if (of_box && gone_[static_cast<size_t>(BoxOf(step))])
      return;
    switch (step.act) {
      case DeploymentAct::kReturnStore:
        if (away_)
          return;
        if (!lost_)
          store_trouble_.push_back({Now(), Now() + shape_.span + shape_.watch});
        away_ = true;
        break;
      case DeploymentAct::kRestartTarget:
        if (TargetOf(step).down || TargetOf(step).joins)
          return;
        TargetOf(step).down = true;
        StopTarget(&TargetOf(step));
        break;
      case DeploymentAct::kPauseBox:
      case DeploymentAct::kSlowBox:
      case DeploymentAct::kCutOffBox:
        BeginOutage(BoxOf(step), /*same_process=*/true);
        break;
      case DeploymentAct::kKillBox:
        BeginOutage(BoxOf(step), /*same_process=*/false);
        gone_[static_cast<size_t>(BoxOf(step))] = true;
        world_.box(BoxName(BoxOf(step))).process->Signal(SIGKILL);
        break;
      case DeploymentAct::kJoinTarget:
        if (!JoinerOf(step).down)
          return;
        JoinerOf(step).starting = true;
        break;
      case DeploymentAct::kCutHeads:
        SetCutsHeads(&TargetOf(step), true);
        break;
      case DeploymentAct::kOddRecord:
        if (away_)
          return;
        WriteOddRecord(step);
        break;
      case DeploymentAct::kDrainBox:
        DrainBox(BoxOf(step));
        break;
      case DeploymentAct::kKillEngine:
        if (EngineOf(step) != nullptr)
          ReplaceEngine(EngineOf(step), step.index);
        return;
      case DeploymentAct::kPauseEngine:
        if (EngineOf(step) == nullptr)
          return;
        PauseEngine(EngineOf(step));
        break;
    }
    active_.push_back(step);
  }

  // An engine that is a process and serves; null if there is none.
  auto EngineOf(const DeploymentStep& step) -> SoakTarget* {
    std::vector<SoakTarget*> engines;
    for (SoakTarget& target : targets_) {
      if (!target.lives.empty() && !target.joins)
        engines.push_back(&target);
    }
    if (engines.empty())
      return nullptr;
    SoakTarget* engine =
        engines[static_cast<size_t>(step.index) % engines.size()];
    return engine->down ? nullptr : engine;
  }

  // The list has the record of the one before for a while.
  void ReplaceEngine(SoakTarget* engine, int number) {
    engine->lives.back()->Kill();
    if (number / 2 % 2 == 0)
      engine->version = 1 + engine->version % shape_.versions;
    StartEngine(engine);
    engine->started_at_ms = UnixMillis();
    engine->heartbeats = 0;
    engine->next_heartbeat =
        Now() + Millis(kLeastLagMs + number % (kMostLagMs - kLeastLagMs));
  }

  void PauseEngine(SoakTarget* engine) {
    engine->paused = true;
    engine->lives.back()->process().Signal(SIGSTOP);
  }

  void DrainBox(int box) {
    BeginOutage(box, /*same_process=*/false, /*loses=*/false);
    gone_[static_cast<size_t>(box)] = true;
    Process& process = *world_.box(BoxName(box)).process;
    process.Signal(SIGTERM);
    process.Signal(SIGCONT);
    stopped_[static_cast<size_t>(box)] = false;
  }

  // Whether the box still ends.
  auto Drains(const DeploymentStep& step, Millis now) -> bool {
    return step.act == DeploymentAct::kDrainBox && now < step.at + kMostDrain &&
           !world_.box(BoxName(BoxOf(step))).process->Wait(Millis(0));
  }

  void StartBoxAgain(int box) {
    stopped_[static_cast<size_t>(box)] = false;
    StartBox(box);
    gone_[static_cast<size_t>(box)] = false;
    EndOutage(box, /*same_process=*/false);
    live_->SetBox(box, world_.box(BoxName(box)).callers);
  }

  void End(const DeploymentStep& step) {
    switch (step.act) {
      case DeploymentAct::kReturnStore:
        ReturnStore(step);
        break;
      case DeploymentAct::kRestartTarget:
        TargetOf(step).starting = true;
        break;
      case DeploymentAct::kPauseBox:
      case DeploymentAct::kSlowBox:
      case DeploymentAct::kCutOffBox:
        if (!Disturbed(BoxOf(step)))
          EndOutage(BoxOf(step), /*same_process=*/true);
        break;
      case DeploymentAct::kJoinTarget:  // it leaves in Operate()
        break;
      case DeploymentAct::kCutHeads:
        SetCutsHeads(&TargetOf(step), false);
        break;
      case DeploymentAct::kOddRecord:
        if (away_)
          break;
        world_.Put(platform::kTargetsTopic, kOddKey, "");
        world_.Put(platform::kBoxesTopic, kOddKey, "");
        break;
      case DeploymentAct::kDrainBox: {
        const auto code =
            world_.box(BoxName(BoxOf(step))).process->Wait(Millis(0));
        if (code != 0)
          report_.broken.push_back(
              "a box did not end in order after SIGTERM: " +
              BoxName(BoxOf(step)) + ", " +
              (code ? "ended with " + std::to_string(*code) : "still runs"));
        StartBoxAgain(BoxOf(step));
        break;
      }
      case DeploymentAct::kKillBox:
        StartBoxAgain(BoxOf(step));
        break;
      case DeploymentAct::kKillEngine:
        break;
      case DeploymentAct::kPauseEngine:
        ContinueEngines();
        break;
    }
  }

  auto Active(DeploymentAct act, int box) const -> bool {
    return std::ranges::any_of(active_, [&](const DeploymentStep& step) {
      return step.act == act && BoxOf(step) == box;
    });
  }
  auto Disturbed(int box) const -> bool {
    return Active(DeploymentAct::kPauseBox, box) ||
           Active(DeploymentAct::kSlowBox, box) ||
           Active(DeploymentAct::kCutOffBox, box);
  }
  // Those that no act pauses any more.
  void ContinueEngines() {
    for (SoakTarget& target : targets_) {
      if (!target.paused ||
          std::ranges::any_of(active_, [&](const DeploymentStep& step) {
            return step.act == DeploymentAct::kPauseEngine &&
                   EngineOf(step) == &target;
          }))
        continue;
      target.paused = false;
      target.lives.back()->process().Signal(SIGCONT);
    }
  }

  auto JoinerOf(const DeploymentStep& step) -> SoakTarget& {
    return *joiners_[static_cast<size_t>(step.index) % joiners_.size()];
  }
  auto Joined(const SoakTarget& target) -> bool {
    return std::ranges::any_of(active_, [&](const DeploymentStep& step) {
      return step.act == DeploymentAct::kJoinTarget &&
             &JoinerOf(step) == &target;
    });
  }

  void SetCutsHeads(SoakTarget* target, bool cuts) {
    const std::lock_guard lock(mutex_);
    target->cuts_heads = cuts;
    if (!target->lives.empty())
      target->lives.back()->process().Signal(cuts ? SIGUSR1 : SIGUSR2);
  }

  // Under a key of its own, or in the place of a target's record, which the
  // target's next heartbeat writes again; among the boxes' records at times.
  void WriteOddRecord(const DeploymentStep& step) {
    constexpr int kTargetKeys = 2;  // in so many, one has a target's key
    const SoakTarget& target = TargetOf(step);
    const std::string odd = OddRecord(
        step.index / static_cast<int>(targets_.size()), RecordOf(target));
    const bool in_place = step.span.count() % kTargetKeys == 0 && !target.down;
    world_.Put(platform::kTargetsTopic, in_place ? target.name : kOddKey, odd);
    if (!in_place)
      world_.Put(platform::kBoxesTopic, kOddKey, odd);
  }

  void ApplyFaults() {
    ++turn_;
    StoreFault fault;
    fault.refuses = away_;
    for (int box = 0; box < shape_.boxes; ++box) {
      if (!away_ && Active(DeploymentAct::kCutOffBox, box)) {
        fault.silent = true;
        fault.only_agent = BoxName(box);
      }
      const auto place = static_cast<size_t>(box);
      const bool stop =
          Active(DeploymentAct::kPauseBox, box) ||
          (Active(DeploymentAct::kSlowBox, box) && turn_ % kSlowTurns != 0);
      if (gone_[place] || stop == stopped_[place])
        continue;
      stopped_[place] = stop;
      world_.box(BoxName(box)).process->Signal(stop ? SIGSTOP : SIGCONT);
    }
    world_.SetFault(fault);
  }

  void BeginOutage(int box, bool same_process, bool loses = true) {
    outages_.push_back(
        {box, Now(), Now() + shape_.span + shape_.watch, loses, same_process});
  }
  // Of all that began at the box.
  void EndOutage(int box, bool same_process) {
    for (BoxOutage& outage : outages_) {
      if (outage.box == box && outage.same_process == same_process &&
          outage.to > Now())
        outage.to = Now();
    }
  }

  void ReturnStore(const DeploymentStep& step) {
    const Millis age(kLeastAgeMs + step.index % (kMostAgeMs - kLeastAgeMs));
    std::map<std::string, size_t> copy = world_.TopicSizes();
    for (const auto& [at, sizes] : snapshots_) {
      if (at + age <= Now() || at == snapshots_.front().first)
        copy = sizes;
    }
    const std::string topic(platform::kDeclarationsTopic);
    const size_t lost = world_.TopicSizes()[topic] - copy[topic];
    changes_left_.reset();
    if (step.index / 3 % 2 == 0)
      changes_left_ = std::max(0, static_cast<int>(lost) - step.index % 3);
    world_.ReturnFromCopy(copy);
    snapshots_.clear();
    away_ = false;
    lost_ = true;
    rewrite_at_ = Now() + Millis(step.index % kMostRewriteMs);
  }

  void CheckBoxes() {
    for (int box = 0; box < shape_.boxes; ++box) {
      if (gone_[static_cast<size_t>(box)])
        continue;
      const auto code = world_.box(BoxName(box)).process->Wait(Millis(0));
      if (!code)
        continue;
      report_.broken.push_back("a box ended by itself with " +
                               std::to_string(*code) + ": " + BoxName(box) +
                               " at " + std::to_string(Now().count()) + " ms");
      gone_[static_cast<size_t>(box)] = true;
    }
  }

  Deployment shape_;
  std::mt19937_64 random_;
  std::chrono::steady_clock::time_point start_;
  SoakOperator operators_;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::deque<SoakTarget> targets_;  // places stay
  PlatformWorld world_;             // its thread calls Answer()
  SoakCallers* live_ = nullptr;
  std::vector<DeploymentStep> active_;
  std::vector<SoakTarget*> joiners_;
  uint64_t turn_ = 0;
  std::vector<bool> gone_;     // boxes that were killed or ended
  std::vector<bool> stopped_;  // by SIGSTOP
  std::vector<BoxOutage> outages_;
  std::vector<SoakSpan> store_trouble_;
  std::vector<ConfigVersion> versions_;
  // By time: how many records each topic had.
  std::deque<std::pair<Millis, std::map<std::string, size_t>>> snapshots_;
  bool away_ = false;  // the store takes no calls
  bool lost_ = false;  // it is back, and the operator has written nothing yet
  Millis rewrite_at_;
  // After a return from a copy an operator may change no more than what was
  // lost, so that the log stays about as long as it was.
  std::optional<int> changes_left_;
  Millis next_change_;
  DeploymentReport report_;
};

}  // namespace

auto RunDeployment(uint64_t seed, const Deployment& deployment)
    -> DeploymentReport {
  return DeploymentSoak(seed, deployment).Run();
}

void PrintDeployment(const DeploymentReport& report) {
  std::cout << "seed " << report.seed << ": " << report.asked << " asked, "
            << report.answered << " answered, " << report.versions
            << " versions of the configuration, " << report.went_on << " of "
            << report.taken_up << " interrupted streams went on, "
            << report.broken.size() << " promises broken\n";
  if (report.broken.empty())
    return;
  std::map<std::string, int> counts;  // by promise
  for (const std::string& line : report.broken)
    ++counts[line.substr(0, line.rfind(": request"))];
  for (const auto& [promise, count] : counts)
    std::cout << "  " << count << " x " << promise << "\n";
  for (size_t i = 0; i < std::min(kMostLines, report.broken.size()); ++i)
    std::cout << "  " << report.broken[i] << "\n";
  for (const DeploymentStep& step : report.plan)
    std::cout << "  at " << step.at.count() << " ms: " << ToString(step.act)
              << " " << step.index << " for " << step.span.count() << " ms\n";
  std::cout << "  logs: " << report.folder << "\n";
}

}  // namespace sparbend::testing
