// sparbendd: one entry box. Reads its settings, starts the services in order,
// and on SIGTERM or an operator's drain stops as planned: readiness off, no
// new connections, every request under way to its end.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <tclap/CmdLine.h>

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
#include "sparbend/services/runner.h"
#include "sparbend/services/scheduler.h"
#include "sparbend/services/target_probe.h"

namespace sparbend {
namespace {

constexpr int kExitUsage = 2;
constexpr int kExitDrainCutShort = 3;
constexpr Millis kDrainLook = Millis(20);

// Tenths of a second since 2025: rises with each start of a box, since a start
// takes longer than that, and fits 32 bits for 13 years.
auto Incarnation() -> uint32_t {
  constexpr int64_t kYear2025Ms = 1'735'689'600'000;
  constexpr int64_t kTenthMs = 100;
  return static_cast<uint32_t>((WallClock().count() - kYear2025Ms) / kTenthMs);
}

// All services of a box and its planned stop.
class Daemon {
 public:
  explicit Daemon(const Settings& settings)
      : settings_(settings),
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
    kernel_.Register("forward", std::make_shared<Forward>(&kernel_, settings_));
    runner_ = std::make_shared<Runner>(&kernel_, settings_);
    kernel_.Register("runner", runner_);
    front_ = std::make_shared<Frontend>(&kernel_, settings_, incarnation);
    kernel_.Register("front", front_);
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
         {"callers", front_->address()},
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

  // No claims: every request enters at one box under an id of its own.
  void RegisterPlatformInterface() {
    platform::RegisterPlatform(&kernel_, settings_);
    kernel_.Register("config",
                     std::make_shared<Declarations>(&kernel_, settings_));
    kernel_.Register("directory",
                     std::make_shared<Directory>(&kernel_, settings_));
  }

  // Nothing that changes at run time is read from the settings but the level
  // of logs; the rest is in force from the next start on.
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
    front_->Leave();
    scheduler_->Leave();
    WatchImpatience();
    kernel_.Spawn("drain", FinishRequests());
  }

  // A platform may tell a process to stop more than once; only somebody at a
  // terminal asks for an end at once.
  void WatchImpatience() {
    signals_.async_wait([this](boost::system::error_code error, int signal) {
      if (error)
        return;
      if (signal == SIGINT)
        return CutShort("interrupted while draining");
      Log(LogLevel::kInfo, "stop-repeated", {{"requests", runner_->active()}});
      WatchImpatience();
    });
  }

  void CutShort(const std::string& why) {
    Log(LogLevel::kWarning, "drain-cut-short",
        {{"why", why}, {"requests", runner_->active()}});
    exit_code_ = kExitDrainCutShort;
    kernel_.Stop();
  }

  auto FinishRequests() -> asio::awaitable<void> {
    const Millis give_up = kernel_.Now() + settings_.drain_time;
    co_await Sleep(settings_.drain_notice);
    front_->Drain();
    while (runner_->active() > 0) {
      if (kernel_.Now() >= give_up) {
        CutShort("the drain time is over");
        co_return;
      }
      co_await Sleep(kDrainLook);
    }
    co_await Sleep(kDrainLook);  // the last answers leave the socket
    Log(LogLevel::kInfo, "drained");
    kernel_.Stop();
  }

  Settings settings_;
  Kernel kernel_;
  asio::signal_set signals_;
  asio::signal_set reloads_;
  std::shared_ptr<Scheduler> scheduler_;
  std::shared_ptr<Runner> runner_;
  std::shared_ptr<Frontend> front_;
  std::shared_ptr<Admin> admin_;
  bool draining_ = false;
  int exit_code_ = 0;
};

auto Main(int argc, char** argv) -> int {
  TCLAP::CmdLine line("sparbendd: one entry box of the sparbend fleet", ' ',
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
  StartLog(settings->name, ParseLogLevel(settings->log_level));
  int code = 0;
  try {
    Daemon daemon(*settings);
    code = daemon.Run();
    // Every line is out. Connections whose coroutines still wait refer to
    // services; taking all that apart could only delay the end of a process
    // that is about to be killed.
    std::_Exit(code);
  } catch (const std::exception& error) {
    // A listening address that is taken, most likely.
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
