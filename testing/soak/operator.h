// The operator of a soaked deployment, who changes its configuration: adds
// keys of workspaces and takes them away, adds, removes, moves and splits
// routes, and changes whether streams may be resumed. Draws requests too, on
// routes and with keys of the newest versions and of others. Calls are safe
// from any thread.
//
//   SoakOperator operators(deployment);
//   operators.Change(&random);
//   world.Put(topic, key, operators.Document());
#ifndef TESTING_SOAK_OPERATOR_H_
#define TESTING_SOAK_OPERATOR_H_

#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "testing/soak/deployment.h"
#include "testing/soak/judge_config.h"

namespace sparbend::testing {

class SoakOperator {
 public:
  explicit SoakOperator(const Deployment& deployment);

  // One change of the configuration.
  void Change(std::mt19937_64* random);
  // The newest configuration, in JSON.
  auto Document() -> std::string;
  // What it allows; the times are left to the caller.
  auto Allowed() -> ConfigVersion;
  // A request on a route, and with a key, that some version has.
  auto Draw(std::mt19937_64* random) -> Asked;

 private:
  struct Route {
    int number = 0;
    std::string path;
    SoakRoute kind = SoakRoute::kOnce;
    std::set<std::string> pools;  // its requests are split over them
    bool resumable = false;
  };

  void AddRoute(std::mt19937_64* random);
  void AddKey(std::mt19937_64* random);
  auto DrawPool(std::mt19937_64* random, bool streams) -> std::string;
  // Moves the route; where engines are processes, splits it at times, or
  // changes whether its streams may be resumed.
  void ChangeRoute(std::mt19937_64* random, Route* route);

  Deployment deployment_;
  std::mutex mutex_;
  int version_ = 3;
  int next_key_ = 0;
  int next_route_ = 0;
  std::vector<std::vector<std::string>> keys_;  // by workspace, oldest first
  std::vector<Route> routes_;                   // oldest first
  std::vector<std::string> past_keys_;          // taken away
  std::vector<Route> past_routes_;
};

}  // namespace sparbend::testing

#endif  // TESTING_SOAK_OPERATOR_H_
