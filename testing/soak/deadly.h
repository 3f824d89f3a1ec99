// The part of a soak in which requests end the targets that run them: each
// comes again and again, as a new try at another box, beside all other faults.
//
//   DeadlyCallers deadly(&world, seed, count, now);
//   deadly.SetBox(0, address); ... deadly.Finish();
//   const std::vector<std::string> broken = deadly.Judge(outages);
#ifndef TESTING_SOAK_DEADLY_H_
#define TESTING_SOAK_DEADLY_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testing/platform_world.h"
#include "testing/soak/promises.h"

namespace sparbend::testing {

class DeadlyCallers {
 public:
  // The route's path and its pool, whose targets have no proxies: a proxy
  // takes connections for a target that has ended.
  static constexpr const char* kPath = "/fragile/x";
  static constexpr const char* kPool = "fragile";

  // Adds the targets and starts to ask, `count` requests by turns; `now` is the
  // soak's clock.
  DeadlyCallers(PlatformWorld* world,
                uint64_t seed,
                int count,
                std::function<Millis()> now);
  ~DeadlyCallers();
  DeadlyCallers(const DeadlyCallers&) = delete;
  auto operator=(const DeadlyCallers&) -> DeadlyCallers& = delete;

  // Where a box takes callers, and with which key.
  void SetBox(int box, const std::string& address);
  void SetKey(int key);
  void Finish();

  // Call after Finish. A line for each request that was sent on too often.
  auto Judge(const std::vector<BoxOutage>& outages) const
      -> std::vector<std::string>;

 private:
  struct Sending {
    int box = 0;
    Millis at;
  };

  void AddTargets();
  void Run();
  void AskOnce(int request, int time);
  auto Answer(const SeenRequest& seen) -> TargetScript;

  PlatformWorld* world_;
  uint64_t seed_;
  int count_;
  std::function<Millis()> now_;
  mutable std::mutex mutex_;
  std::map<int, std::string> boxes_;
  std::map<std::string, int> box_of_try_;
  int key_ = 1;
  bool ending_ = false;
  std::map<std::string, std::vector<Sending>> sent_;  // by body
  std::thread thread_;
};

}  // namespace sparbend::testing

#endif  // TESTING_SOAK_DEADLY_H_
