// Faults are not undone one by one: what is in force is worked out anew from
// the steps that are active, so steps may overlap in any way.
//
// After the plan all faults end, and the system must serve again with the
// newest configuration; then a target is told to be leaving, in calm weather,
// and must get nothing new.
#include "testing/soak/run.h"

#include <signal.h>

#include <algorithm>
#include <iostream>

#include "platform/wire.h"
#include "testing/platform_world.h"
#include "testing/soak/answers.h"
#include "testing/soak/callers.h"
#include "testing/soak/deadly.h"
#include "testing/soak/promises.h"
#include "testing/soak/turned_away.h"

namespace sparbend::testing {
namespace {

constexpr int kCallersPerBox = 4;
constexpr Millis kLook = Millis(20);
// As the boxes' settings in PlatformWorld have it.
constexpr BudgetLimits kBudget = {0.2, 30, Millis(10'000)};
constexpr Millis kHealed = Millis(20'000);  // patience, not a bound
constexpr Millis kDrainBound = Millis(3'000);
constexpr Millis kDrainLook = Millis(1'500);
constexpr Millis kStopPatience = Millis(12'000);
constexpr const char* kBoxSettings = "drain_notice_ms = 300\ngrace_s = 8\n";

auto DeclarationsOf(int key) -> std::string {
  const auto route = [](const char* name, const char* kind, int attempts,
                        const char* pool, bool resumable) {
    return Json{{"name", name},
                {"host", "127.0.0.1"},
                {"path-prefix", "/" + std::string(name) + "/"},
                {"kind", kind},
                {"max-attempts", attempts},
                {"timeout-ms", 3'000},
                {"target-latency-ms", 500},
                {"resumable", resumable},
                {"service", pool}};
  };
  return Json{{"version", key},
              {"routes",
               {route("once", "non_idempotent", 1, "plain", false),
                route("again", "idempotent", 2, "plain", false),
                route("stream", "streaming", 1, "engines", false),
                route("resumed", "streaming", 2, "engines", true),
                route("fragile", "streaming", 1, DeadlyCallers::kPool, false)}},
              {"services",
               {{{"name", "plain"}, {"max-conns", 100}},
                {{"name", "engines"},
                 {"max-conns", 100},
                 {"engine", {{"kv-capacity", 100'000}, {"stride", 1}}}},
                {{"name", DeadlyCallers::kPool},
                 {"max-conns", 100},
                 {"engine", {{"kv-capacity", 100'000}, {"stride", 1}}}}}},
              {"tenants",
               {{{"name", "w"}, {"api-keys", {"key-" + std::to_string(key)}}}}}}
      .dump();
}

constexpr int kVersions = 2;

// The software version of a target: the engines are of two.
auto VersionOf(const std::string& target) -> std::string {
  const int number = std::atoi(target.substr(target.rfind('-') + 1).c_str());
  return "v" + std::to_string(1 + number / 2 % kVersions);
}

class Soak {
 public:
  Soak(uint64_t seed, const SoakShape& shape)
      : shape_(shape),
        plan_(MakePlan(seed, shape)),
        start_(std::chrono::steady_clock::now()),
        world_("soak-" + std::to_string(seed)),
        seed_(seed) {
    report_.seed = seed;
  }

  auto Run() -> SoakReport {
    if (shape_.refusing)
      refusing_ = std::make_unique<RefusingTargets>(
          seed_, shape_.targets, shape_.span, [this] { return Now(); });
    if (shape_.partitions)
      world_.StoreProxy();  // for all boxes
    StartAll();
    SoakCallers callers(seed_, kCallersPerBox * shape_.boxes,
                        [this] { return Now(); });
    live_ = &callers;
    if (shape_.deadly > 0)
      deadly_ = std::make_unique<DeadlyCallers>(&world_, seed_, shape_.deadly,
                                                [this] { return Now(); });
    for (int box = 0; box < shape_.boxes; ++box)
      TellCallers(box);
    PlayPlan();
    Heal();
    CheckServing();
    CheckDrain();
    const std::vector<Asked> asked = callers.Finish();
    JudgeDeadly();
    if (refusing_) {
      for (std::string& line : refusing_->Judge(asked, outages_))
        report_.broken.push_back(std::move(line));
    }
    for (std::string& line : Judge(asked, Arrivals(), outages_, kBudget))
      report_.broken.push_back(std::move(line));
    report_.asked = asked.size();
    report_.answered = static_cast<size_t>(std::ranges::count_if(
        asked, [](const Asked& a) { return a.status == 200 && a.whole; }));
    report_.resumed = static_cast<size_t>(std::ranges::count_if(
        asked, [](const Asked& a) { return !a.resumes.empty(); }));
    report_.continued =
        static_cast<size_t>(std::ranges::count_if(asked, [](const Asked& a) {
          return !a.resumes.empty() && a.status == 200;
        }));
    if (report_.answered == 0)
      report_.broken.push_back("nothing was answered at all");
    return report_;
  }

 private:
  struct BoxState {
    bool gone = false;      // killed or ended
    bool stopping = false;  // told to stop
    Millis since;           // of either
  };

  static auto BoxName(int box) -> std::string {
    return "box-" + std::to_string(box);
  }
  auto Now() const -> Millis {
    return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::steady_clock::now() - start_)
                      .count());
  }

  void StartAll() {
    world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
               DeclarationsOf(key_));
    for (int target = 0; target < shape_.targets; ++target)
      AddTarget(target);
    states_.resize(static_cast<size_t>(shape_.boxes));
    for (int box = 0; box < shape_.boxes; ++box) {
      world_.StartBox(BoxName(box), kBoxSettings);
      if (!world_.WaitReady(BoxName(box)))
        report_.broken.push_back("not ready at the start: " + BoxName(box));
    }
  }

  static auto TargetName(int target) -> std::string {
    return "target-" + std::to_string(target);
  }
  static auto IsEngine(int target) -> bool { return target % 2 == 1; }
  static auto PoolOf(int target) -> std::string {
    return IsEngine(target) ? "engines" : "plain";
  }

  // Each behind its proxy.
  void AddTarget(int target) {
    const std::string name = TargetName(target);
    const std::string real = world_.AddTarget(
        name, PoolOf(target),
        [this](const SeenRequest& seen) { return Answer(seen); },
        /*reads_body=*/true, VersionOf(name));
    proxies_.push_back(std::make_unique<TcpProxy>(real));
    List(target);
  }

  void List(int target) {
    const std::string name = TargetName(target);
    world_.ListTarget(name, PoolOf(target),
                      proxies_[static_cast<size_t>(target)]->address(), "ready",
                      /*sign_of_life=*/1, VersionOf(name));
  }

  // Lists the engines of the versions that no active step removes, and drops
  // the records of the others.
  void ListVersions() {
    for (int target = 0; target < shape_.targets; ++target) {
      if (!IsEngine(target))
        continue;
      const bool removed =
          std::ranges::any_of(active_, [&](const SoakStep& step) {
            return step.act == SoakAct::kRemoveVersion &&
                   step.index % kVersions == target / 2 % kVersions;
          });
      if (removed)
        world_.Put(platform::kTargetsTopic, TargetName(target), "");
      else
        List(target);
    }
  }

  auto Answer(const SeenRequest& seen) -> TargetScript {
    Arrival arrival{seen.id, seen.target, Now(), true};
    if (refusing_) {
      if (auto refusal = refusing_->Answer(seen)) {
        arrival.ran = false;
        const std::lock_guard lock(mutex_);
        arrivals_.push_back(arrival);
        return *refusal;
      }
    }
    SoakAnswer answer = DrawAnswer(seen, VersionOf(seen.target));
    arrival.ran = answer.ran;
    TargetScript& script = answer.script;
    if (refusing_ && !script.pieces.empty()) {
      std::string& head = script.pieces.front();
      head.insert(head.find("\r\n") + 2,
                  refusing_->FieldsOf(seen, answer.whole));
    }
    const std::lock_guard lock(mutex_);
    arrivals_.push_back(arrival);
    return script;
  }

  auto Arrivals() -> std::vector<Arrival> {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }

  void PlayPlan() {
    const Millis begin = Now();
    size_t next = 0;
    while (next < plan_.size() || !active_.empty()) {
      const Millis now = Now() - begin;
      while (next < plan_.size() && plan_[next].at <= now)
        Begin(plan_[next++]);
      bool version_back = false;
      std::erase_if(active_, [&](const SoakStep& step) {
        const bool over = step.at + step.span <= now;
        if (over)
          End(step);
        version_back |= over && step.act == SoakAct::kRemoveVersion;
        return over;
      });
      if (version_back)
        ListVersions();
      ApplyNetwork();
      RestartThoseGone();
      std::this_thread::sleep_for(std::chrono::milliseconds(kLook.count()));
    }
  }

  auto StateOf(const SoakStep& step) -> BoxState& {
    return states_[static_cast<size_t>(step.index)];
  }

  void Begin(const SoakStep& step) {
    active_.push_back(step);
    const bool of_box = step.act <= SoakAct::kReloadBox;
    if (of_box && StateOf(step).gone)
      return;
    Process* process =
        of_box ? world_.box(BoxName(step.index)).process.get() : nullptr;
    switch (step.act) {
      case SoakAct::kPauseBox:
        process->Signal(SIGSTOP);
        outages_.push_back({step.index, Now(), Now() + step.span + kHealed});
        break;
      case SoakAct::kKillBox:
        // The connections may end before Signal() returns.
        MarkGone(step.index, true);
        process->Signal(SIGKILL);
        break;
      case SoakAct::kStopBox:
        process->Signal(SIGTERM);
        if (!StateOf(step).stopping)
          StateOf(step).since = Now();
        StateOf(step).stopping = true;
        break;
      case SoakAct::kReloadBox:
        process->Signal(SIGHUP);
        break;
      case SoakAct::kConfigure:
        Configure();
        break;
      case SoakAct::kKillAllBoxes:
        KillAll();
        break;
      case SoakAct::kRemoveVersion:
        ListVersions();
        break;
      default:
        break;
    }
  }

  void End(const SoakStep& step) {
    if (step.act == SoakAct::kPauseBox && !StateOf(step).gone)
      world_.box(BoxName(step.index)).process->Signal(SIGCONT);
  }

  void KillAll() {
    for (int box = 0; box < shape_.boxes; ++box) {
      if (states_[static_cast<size_t>(box)].gone)
        continue;
      MarkGone(box, true);
      world_.box(BoxName(box)).process->Signal(SIGKILL);
    }
  }

  void MarkGone(int box, bool loses) {
    BoxState& state = states_[static_cast<size_t>(box)];
    const Millis from = state.stopping ? state.since : Now();
    outages_.push_back({box, from, Now(), loses});
    state.gone = true;
    state.stopping = false;
  }

  void Configure() {
    ++key_;
    world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
               DeclarationsOf(key_));
    live_->SetKey(key_);
    if (deadly_)
      deadly_->SetKey(key_);
  }

  auto Active(SoakAct act, int index) const -> bool {
    return std::ranges::any_of(active_, [&](const SoakStep& step) {
      return step.act == act && step.index == index;
    });
  }
  auto ActiveAnywhere(SoakAct act) const -> bool {
    return std::ranges::any_of(
        active_, [&](const SoakStep& step) { return step.act == act; });
  }

  void ApplyNetwork() {
    for (int target = 0; target < shape_.targets; ++target) {
      TcpFault fault;
      if (Active(SoakAct::kDelayTarget, target))
        fault.delay = Millis(80);
      if (Active(SoakAct::kResetTarget, target))
        fault.reset_after = 120;
      if (Active(SoakAct::kResetAnswers, target))
        fault.reset_answer_after = 90;
      fault.swallow_answer = Active(SoakAct::kSilenceTarget, target);
      proxies_[static_cast<size_t>(target)]->Set(fault);
      proxies_[static_cast<size_t>(target)]->SetHeld(
          Active(SoakAct::kHoldTarget, target));
      const bool disturbed =
          std::ranges::any_of(active_, [&](const SoakStep& step) {
            return step.act >= SoakAct::kDelayTarget &&
                   step.act <= SoakAct::kSilenceTarget && step.index == target;
          });
      if (refusing_ && disturbed)
        refusing_->NoteDisturbed("target-" + std::to_string(target));
    }
    StoreFault store;
    store.refuses = ActiveAnywhere(SoakAct::kRefuseStore);
    store.silent = ActiveAnywhere(SoakAct::kSilenceStore);
    store.history_gone = ActiveAnywhere(SoakAct::kLoseHistory);
    if (!store.refuses && !store.silent) {
      for (int box = 0; box < shape_.boxes; ++box) {
        if (!Active(SoakAct::kRefuseOneBox, box))
          continue;
        store.refuses = true;
        store.only_agent = BoxName(box);
      }
    }
    world_.SetFault(store);
    if (shape_.partitions)
      world_.StoreProxy().SetHeld(ActiveAnywhere(SoakAct::kHoldStore));
  }

  // A box whose fault is over starts again; one told to stop, once it ended.
  void RestartThoseGone() {
    for (int box = 0; box < shape_.boxes; ++box) {
      BoxState& state = states_[static_cast<size_t>(box)];
      if (state.stopping) {
        const auto code = world_.box(BoxName(box)).process->Wait(Millis(0));
        if (!code)
          continue;
        if (*code != 0)
          report_.broken.push_back("a planned stop ended with " +
                                   std::to_string(*code) + ": " + BoxName(box));
        MarkGone(box, false);
      }
      if (!state.gone || Active(SoakAct::kKillBox, box) ||
          ActiveAnywhere(SoakAct::kKillAllBoxes))
        continue;
      world_.StartBox(BoxName(box), kBoxSettings);
      state.gone = false;
      outages_.back().to = std::max(outages_.back().to, Now());
      TellCallers(box);
    }
  }

  void TellCallers(int box) {
    const std::string& address = world_.box(BoxName(box)).callers;
    live_->SetBox(box, address);
    if (deadly_)
      deadly_->SetBox(box, address);
  }

  void JudgeDeadly() {
    if (!deadly_)
      return;
    deadly_->Finish();
    for (std::string& line : deadly_->Judge(outages_))
      report_.broken.push_back(std::move(line));
  }

  void Heal() {
    active_.clear();
    ApplyNetwork();
    const bool all_up = WaitFor(kStopPatience, [&] {
      RestartThoseGone();
      return std::ranges::none_of(states_, [](const BoxState& state) {
        return state.gone || state.stopping;
      });
    });
    if (!all_up)
      report_.broken.push_back("a box that was told to stop did not end");
    Configure();
  }

  // Every box takes the newest key, and no older one.
  void CheckServing() {
    for (int box = 0; box < shape_.boxes; ++box) {
      const auto status = [&](int key) {
        return Call(world_.box(BoxName(box)).callers, "POST", "/again/x", "b",
                    {{"Authorization", "Token key-" + std::to_string(key)},
                     {platform::kAttemptIdField,
                      "check-" + std::to_string(box) + "-" +
                          std::to_string(Now().count())}},
                    kHealed)
            .status;
      };
      if (!WaitFor(kHealed, [&] { return status(key_) == 200; }))
        report_.broken.push_back("does not serve again: " + BoxName(box));
      else if (status(key_ - 1) != 401)
        report_.broken.push_back("takes an old key: " + BoxName(box));
    }
  }

  void CheckDrain() {
    if (shape_.targets < 3)
      return;  // nobody could take over
    world_.ListTarget("target-0", "plain", proxies_[0]->address(), "draining");
    std::this_thread::sleep_for(std::chrono::milliseconds(kDrainBound.count()));
    const Millis from = Now();
    std::this_thread::sleep_for(std::chrono::milliseconds(kDrainLook.count()));
    for (const Arrival& arrival : Arrivals()) {
      if (arrival.target == "target-0" && arrival.at > from)
        report_.broken.push_back("new work at a leaving target: " + arrival.id);
    }
  }

  SoakShape shape_;
  SoakPlan plan_;
  std::chrono::steady_clock::time_point start_;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::unique_ptr<RefusingTargets> refusing_;
  std::vector<std::unique_ptr<TcpProxy>> proxies_;
  // The world's targets call it until the world is gone.
  std::unique_ptr<DeadlyCallers> deadly_;
  PlatformWorld world_;
  SoakCallers* live_ = nullptr;
  uint64_t seed_;
  std::vector<SoakStep> active_;
  std::vector<BoxState> states_;
  std::vector<BoxOutage> outages_;
  int key_ = 1;
  SoakReport report_;
};

}  // namespace

auto RunSoak(uint64_t seed, const SoakShape& shape) -> SoakReport {
  return Soak(seed, shape).Run();
}

void PrintSoak(const SoakReport& report, const SoakPlan& plan) {
  std::cout << "seed " << report.seed << ": " << report.asked << " asked, "
            << report.answered << " answered, " << report.continued << " of "
            << report.resumed << " resumed streams continued, "
            << report.broken.size() << " promises broken\n";
  if (report.broken.empty())
    return;
  for (const std::string& line : report.broken)
    std::cout << "  " << line << "\n";
  for (const SoakStep& step : plan)
    std::cout << "  at " << step.at.count() << " ms: " << ToString(step.act)
              << " " << step.index << " for " << step.span.count() << " ms\n";
}

}  // namespace sparbend::testing
