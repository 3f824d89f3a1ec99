// sparbendd: the process of one ingress box. It reads its settings and starts
// the services in order. On SIGTERM, SIGINT or an operator's drain it makes a
// planned stop: it reports that it is not ready, accepts no new connections and
// completes every request in progress.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <tclap/CmdLine.h>

#include "daemon/allocated_bytes.h"
#include "platform/register.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/log.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/admin.h"
#include "sparbend/services/claims.h"
#include "sparbend/services/config.h"
#include "sparbend/services/declarations.h"
#include "sparbend/services/directory.h"
#include "sparbend/services/forward.h"
#include "sparbend/services/frontend.h"
#include "sparbend/services/list.h"
#include "sparbend/services/metrics.h"
#include "sparbend/services/own_protocol.h"
#include "sparbend/services/peers.h"
#include "sparbend/services/persisted_origins.h"
#include "sparbend/services/runner.h"
#include "sparbend/services/scheduler.h"
#include "sparbend/services/stream_continuation.h"
#include "sparbend/services/target_probe.h"

namespace sparbend {
namespace {

constexpr int kExitUsage = 2;
constexpr int kExitDrainAborted = 3;
constexpr Millis kDrainPollInterval = Millis(20);
// After an interrupt during a drain: long enough for refusals to reach their
// clients, and short for the person who waits at a terminal.
constexpr Millis kInterruptedDrainTime = Millis(300);

// Returns the incarnation of this process: tenths of a second since 2025. It
// increases with each start of a box, since a start takes longer than a tenth
// of a second, and fits 32 bits for 13 years.
auto Incarnation() -> uint32_t {
  constexpr int64_t kYear2025Ms = 1'735'689'600'000;
  constexpr int64_t kMsPerTick = 100;
  return static_cast<uint32_t>((WallClock().count() - kYear2025Ms) /
                               kMsPerTick);
}

// Owns all services of a box and carries out its planned stop.
class Daemon {
 public:
  explicit Daemon(const Settings& settings)
      : settings_(settings),
        kernel_(MemoryBudget(MemoryBudget::LimitWithin(settings.memory_mb),
                             AllocatedBytes)),
        signals_(kernel_.io(), SIGTERM, SIGINT),
        reloads_(kernel_.io(), SIGHUP) {}

  auto Run() -> int {
    const uint32_t incarnation = Incarnation();
    kernel_.Register("metrics", std::make_shared<Metrics>());
    scheduler_ = std::make_shared<Scheduler>(&kernel_, settings_, incarnation);
    kernel_.Register("scheduler", scheduler_);
    kernel_.Register("peers", std::make_shared<Peers>(&kernel_, settings_));
    if (settings_.store_address.empty())
      RegisterOwnInterface();
    else
      RegisterPlatformInterface();
    kernel_.Register("target-probe",
                     std::make_shared<TargetProbe>(&kernel_, settings_));
    kernel_.Register("crash-watch",
                     std::make_shared<CrashWatch>(&kernel_, settings_));
    kernel_.Register("persisted-origins",
                     std::make_shared<PersistedOrigins>(&kernel_));
    kernel_.Register("stream-continuation",
                     std::make_shared<StreamContinuation>(&kernel_));
    kernel_.Register("forward", std::make_shared<Forward>(&kernel_, settings_));
    runner_ = std::make_shared<Runner>(&kernel_, settings_);
    kernel_.Register("runner", runner_);
    frontend_ = std::make_shared<Frontend>(&kernel_, settings_, incarnation);
    kernel_.Register("front", frontend_);
    admin_ = std::make_shared<Admin>(&kernel_, settings_, [this] { Drain(); });
    kernel_.Register("admin", admin_);
    kernel_.Start();
    signals_.async_wait([this](boost::system::error_code error, int) {
      if (!error)
        Drain();
    });
    WatchReloads();
    Log(LogLevel::kInfo, "started",
        {{"version", SPARBEND_VERSION},
         {"hall", settings_.hall},
         {"callers", frontend_->address()},
         {"admin", admin_->address()},
         {"peers", scheduler_->peer_address()},
         {"incarnation", incarnation},
         {"policy", ToString(settings_.policy)}});
    kernel_.Run();
    return exit_code_;
  }

 private:
  void RegisterOwnInterface() {
    kernel_.Register("config",
                     std::make_shared<ConfigService>(&kernel_, settings_));
    kernel_.Register("claims", std::make_shared<Claims>(&kernel_, settings_));
    kernel_.Register("list",
                     std::make_shared<ListService>(&kernel_, settings_));
    kernel_.Register("caller-dialect", MakeOwnClientProtocol(settings_));
    kernel_.Register("target-dialect", MakeOwnTargetProtocol());
  }

  // There is no service "claims": every request enters at one box, under an id
  // of its own.
  void RegisterPlatformInterface() {
    platform::RegisterPlatform(&kernel_, settings_);
    kernel_.Register("config",
                     std::make_shared<Declarations>(&kernel_, settings_));
    kernel_.Register("directory",
                     std::make_shared<Directory>(&kernel_, settings_));
  }

  // SIGHUP reloads the settings file, but only the log level takes effect at
  // run time; all other settings do so from the next start on.
  void WatchReloads() {
    reloads_.async_wait([this](boost::system::error_code error, int) {
      if (error)
        return;
      Reload();
      WatchReloads();
    });
  }

  void Reload() {
    const Result<Settings> settings = LoadSettings(settings_.path);
    if (!settings) {
      Log(LogLevel::kError, "reload-failed",
          {{"why", settings.error().detail}});
      return;
    }
    SetLogLevel(ParseLogLevel(settings->log_level));
    Log(LogLevel::kInfo, "reloaded",
        {{"log_level", settings->log_level},
         {"log_level_before", settings_.log_level}});
    settings_.log_level = settings->log_level;
  }

  void Drain() {
    if (draining_)
      return;
    draining_ = true;
    Log(LogLevel::kInfo, "draining", {{"requests", runner_->active()}});
    admin_->SetDraining();
    frontend_->Leave();
    scheduler_->Leave();
    scheduler_->BeginDrain(kernel_.Now() + settings_.drain_time);
    WatchRepeatedStops();
    kernel_.Spawn("drain", FinishRequests());
  }

  // Handles signals during the drain. A platform may send SIGTERM more than
  // once, so it is only logged; SIGINT comes from a person at a terminal who
  // wants the process to exit, so what has no answer yet is refused.
  void WatchRepeatedStops() {
    signals_.async_wait([this](boost::system::error_code error, int signal) {
      if (error)
        return;
      Log(LogLevel::kInfo, "stop-repeated",
          {{"requests", runner_->active()}, {"interrupt", signal == SIGINT}});
      if (signal == SIGINT)
        scheduler_->BeginDrain(std::min(scheduler_->drain()->end(),
                                        kernel_.Now() + kInterruptedDrainTime));
      WatchRepeatedStops();
    });
  }

  void AbortDrain(const std::string& why) {
    Log(LogLevel::kWarning, "drain-cut-short",
        {{"why", why},
         {"requests", runner_->active()},
         {"connections", frontend_->unfinished()}});
    exit_code_ = kExitDrainAborted;
    kernel_.Stop();
  }

  // Refuses what can't be completed before the drain ends.
  void RefuseLate(Millis now) {
    scheduler_->RefuseUnservable();
    if (now >= scheduler_->drain()->last_start())
      frontend_->RefuseArriving();
    if (now >= scheduler_->drain()->last_send())
      runner_->EndUnanswered();
  }

  // The last refusals are made before the deadline is checked, so that they are
  // also sent by a process that was paused until then.
  auto FinishRequests() -> asio::awaitable<void> {
    const Millis notice_end = kernel_.Now() + settings_.drain_notice;
    bool notified = false;
    while (true) {
      const Millis now = kernel_.Now();
      const Millis deadline = scheduler_->drain()->end();
      if (!notified && now >= std::min(notice_end, deadline)) {
        notified = true;
        frontend_->Drain();
      }
      RefuseLate(now);
      co_await Sleep(kDrainPollInterval);
      if (notified && runner_->active() == 0 && frontend_->unfinished() == 0)
        break;
      if (now >= deadline) {
        AbortDrain("requests are still active at the end of the drain time");
        co_return;
      }
    }
    // Lets the last answers leave the socket.
    co_await Sleep(kDrainPollInterval);
    Log(LogLevel::kInfo, "drained");
    kernel_.Stop();
  }

  Settings settings_;
  Kernel kernel_;
  asio::signal_set signals_;
  asio::signal_set reloads_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Runner> runner_;
  std::shared_ptr<Frontend> frontend_;
  std::shared_ptr<Admin> admin_;
  bool draining_ = false;
  int exit_code_ = 0;
};

auto Main(int argc, char** argv) -> int {
  TCLAP::CmdLine line("sparbendd: one ingress box of the sparbend fleet", ' ',
                      SPARBEND_VERSION);
  TCLAP::ValueArg<std::string> config("c", "config", "Settings file (TOML)",
                                      true, "", "FILE", line);
  TCLAP::SwitchArg check("", "check", "Check the settings and exit", line);
  line.parse(argc, argv);
  const Result<Settings> settings = LoadSettings(config.getValue());
  if (!settings) {
    std::cerr << settings.error().detail << "\n";
    return kExitUsage;
  }
  if (check.getValue()) {
    std::cout << config.getValue() << ": ok\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  ReturnFreedMemory();
  StartLog(settings->name, ParseLogLevel(settings->log_level));
  int code = 0;
  try {
    Daemon daemon(*settings);
    code = daemon.Run();
    // All log lines are written. Skips the destructors: coroutines that still
    // wait on connections refer to services, and destroying them in order would
    // only delay the exit of a process that is about to be killed.
    std::_Exit(code);
  } catch (const std::exception& error) {
    // The most likely cause is a listening address that is already in use.
    Log(LogLevel::kError, "cannot-start", {{"error", error.what()}});
    code = 1;
  }
  StopLog();
  return code;
}

}  // namespace
}  // namespace sparbend

auto main(int argc, char** argv) -> int {
  return sparbend::Main(argc, argv);
}
