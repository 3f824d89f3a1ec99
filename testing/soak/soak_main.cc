// Plays soaks by hand:
//   sparbend-soak --first 1 --seeds 50 [--boxes 3] [--acts 14] [--span 8000]
//   [--deadly 2] [--refusing] [--upgrades] [--partitions]
// or of a deployment, with the numbers of a site file or those built in:
//   sparbend-soak --first 1 --seeds 50 --deployment | --site FILE
//   [--act return-store ...] [--most-boxes 24] [--most-targets 32]
//   [--program SPARBENDD] [--processes] [--pairs 4]
// Exits with 1 if a promise was broken.
#include <functional>
#include <iostream>

#include <tclap/CmdLine.h>

#include "testing/soak/deployment_run.h"
#include "testing/soak/run.h"

namespace sparbend::testing {
namespace {

// Calls `play`, which returns whether all promises held, with each seed.
auto PlaySeeds(uint64_t first,
               int seeds,
               const std::function<bool(uint64_t)>& play) -> int {
  int failed = 0;
  for (int i = 0; i < seeds; ++i) {
    failed += play(first + static_cast<uint64_t>(i)) ? 0 : 1;
    std::cout.flush();
  }
  std::cout << failed << " of " << seeds << " seeds failed\n";
  return failed == 0 ? 0 : 1;
}

auto Main(int argc, char** argv) -> int {
  TCLAP::CmdLine line("sparbend-soak: random faults against real boxes", ' ',
                      SPARBEND_VERSION);
  TCLAP::ValueArg<uint64_t> first("", "first", "First seed", false, 1, "SEED",
                                  line);
  TCLAP::ValueArg<int> seeds("", "seeds", "How many seeds", false, 1, "COUNT",
                             line);
  const SoakShape usual;
  TCLAP::ValueArg<int> boxes("", "boxes", "Boxes", false, usual.boxes, "COUNT",
                             line);
  TCLAP::ValueArg<int> targets("", "targets", "Targets", false, usual.targets,
                               "COUNT", line);
  TCLAP::ValueArg<int> acts("", "acts", "Faults", false, usual.acts, "COUNT",
                            line);
  TCLAP::ValueArg<int64_t> span("", "span", "Faults begin in this time, ms",
                                false, usual.span.count(), "MS", line);
  TCLAP::ValueArg<int> deadly("", "deadly", "Requests that end their targets",
                              false, 2, "COUNT", line);
  TCLAP::SwitchArg refusing("", "refusing",
                            "Targets ask for no requests, and leave", line);
  TCLAP::SwitchArg upgrades(
      "", "upgrades", "Versions of engines leave, and all boxes end at once",
      line);
  TCLAP::SwitchArg partitions(
      "", "partitions", "Partitions from targets and the store, which heal",
      line);
  TCLAP::SwitchArg deployment(
      "", "deployment", "A soak of a deployment, of the usual numbers", line);
  TCLAP::ValueArg<std::string> site("", "site",
                                    "A soak of a deployment, as this site's",
                                    false, "", "FILE", line);
  TCLAP::MultiArg<std::string> only("", "act", "Draw these faults (deployment)",
                                    false, "NAME", line);
  const DeploymentLimits limits;
  TCLAP::ValueArg<int> most_boxes("", "most-boxes", "Boxes of a site at most",
                                  false, limits.boxes, "COUNT", line);
  TCLAP::ValueArg<int> most_targets("", "most-targets",
                                    "Targets of a site at most", false,
                                    limits.targets, "COUNT", line);
  TCLAP::ValueArg<std::string> program(
      "", "program", "Another sparbendd (deployment)", false, "", "FILE", line);
  TCLAP::SwitchArg processes(
      "", "processes", "Engines are processes, which are killed (deployment)",
      line);
  TCLAP::ValueArg<int> pairs("", "pairs", "Pairs of faults (deployment)", false,
                             Deployment().pairs, "COUNT", line);
  line.parse(argc, argv);
  if (deployment.getValue() || !site.getValue().empty()) {
    Result<Deployment> shape = Deployment();
    if (!site.getValue().empty())
      shape = ReadDeployment(site.getValue(),
                             {most_boxes.getValue(), most_targets.getValue()});
    if (!shape) {
      std::cerr << site.getValue() << ": " << shape.error().detail << "\n";
      return 2;
    }
    shape->acts = only.getValue();
    shape->program = program.getValue();
    shape->processes = processes.getValue();
    shape->pairs = pairs.getValue();
    std::cout << ToString(*shape) << "\n";
    return PlaySeeds(first.getValue(), seeds.getValue(), [&](uint64_t seed) {
      const DeploymentReport report = RunDeployment(seed, *shape);
      PrintDeployment(report);
      return report.broken.empty();
    });
  }
  SoakShape shape;
  shape.boxes = boxes.getValue();
  shape.targets = targets.getValue();
  shape.acts = acts.getValue();
  shape.span = Millis(span.getValue());
  shape.deadly = deadly.getValue();
  shape.refusing = refusing.getValue();
  shape.upgrades = upgrades.getValue();
  shape.partitions = partitions.getValue();
  return PlaySeeds(first.getValue(), seeds.getValue(), [&](uint64_t seed) {
    const SoakReport report = RunSoak(seed, shape);
    PrintSoak(report, MakePlan(seed, shape));
    return report.broken.empty();
  });
}

}  // namespace
}  // namespace sparbend::testing

auto main(int argc, char** argv) -> int {
  return sparbend::testing::Main(argc, argv);
}
