// Plays soaks by hand:
//   sparbend-soak --first 1 --seeds 50 [--boxes 3] [--acts 14] [--span 8000]
//   [--deadly 2] [--refusing] [--upgrades] [--partitions]
// Exits with 1 if a promise was broken.
#include <iostream>

#include <tclap/CmdLine.h>

#include "testing/soak/run.h"

namespace sparbend::testing {
namespace {

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
  line.parse(argc, argv);
  SoakShape shape;
  shape.boxes = boxes.getValue();
  shape.targets = targets.getValue();
  shape.acts = acts.getValue();
  shape.span = Millis(span.getValue());
  shape.deadly = deadly.getValue();
  shape.refusing = refusing.getValue();
  shape.upgrades = upgrades.getValue();
  shape.partitions = partitions.getValue();
  int failed = 0;
  for (int i = 0; i < seeds.getValue(); ++i) {
    const uint64_t seed = first.getValue() + static_cast<uint64_t>(i);
    const SoakReport report = RunSoak(seed, shape);
    PrintSoak(report, MakePlan(seed, shape));
    std::cout.flush();
    failed += report.broken.empty() ? 0 : 1;
  }
  std::cout << failed << " of " << seeds.getValue() << " seeds failed\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace sparbend::testing

auto main(int argc, char** argv) -> int {
  return sparbend::testing::Main(argc, argv);
}
