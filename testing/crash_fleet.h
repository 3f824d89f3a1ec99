// Three boxes and nine targets on the platform's wire, of which some requests
// crash the target that begins to answer them.
//
//   CrashFleet fleet("name", [](const SeenRequest& request) {
//     return request.body == "bad" ? request.body : "";
//   });
//   fleet.Ask({.box = 0, .path = "/stream/x", .body = "bad"});
//   fleet.LateSendings("bad", 3);
#ifndef TESTING_CRASH_FLEET_H_
#define TESTING_CRASH_FLEET_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "testing/platform_world.h"

namespace sparbend::testing {

class CrashFleet {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  // What of a request crashes its target; empty: nothing does.
  using CrashCause = std::function<std::string(const SeenRequest&)>;

  static constexpr int kBoxes = 3;
  static constexpr int kTargets = 9;
  static constexpr Millis kWaitTimeout{20'000};
  // By then all boxes act on what one of them has observed.
  static constexpr Millis kContact{3'000};

  struct Question {
    int box = 0;
    std::string path;
    std::string body;
    std::string key = "the-key";  // of workspace w; "another-key": of v
    std::string parts;            // of the prompt; empty: not stated
  };

  // `framing`: of answers during which a target crashes.
  CrashFleet(const std::string& name,
             CrashCause cause,
             Framing framing = Framing::kChunked);

  auto ready() const -> bool { return ready_; }
  auto world() -> PlatformWorld& { return world_; }
  auto Ask(const Question& question) -> Reply;
  // When targets received requests with `cause`, in order.
  auto ReceivedAt(const std::string& cause) -> std::vector<TimePoint>;
  // Requests with `cause` that targets received later than kContact after the
  // one that was received as number `known`.
  auto LateSendings(const std::string& cause, size_t known) -> int;

  static auto BoxName(int box) -> std::string;

 private:
  auto KnowsAll(int box) -> bool;
  auto Answer(const SeenRequest& request) -> TargetScript;

  CrashCause cause_;
  Framing framing_;
  std::mutex mutex_;
  std::map<std::string, std::vector<TimePoint>> received_;  // by cause
  std::atomic<int> asked_ = 0;
  bool ready_ = true;
  PlatformWorld world_;
};

}  // namespace sparbend::testing

#endif  // TESTING_CRASH_FLEET_H_
