// sparbend-bench: the measured runs, and the demonstration.
#include <csignal>
#include <iostream>

#include <tclap/CmdLine.h>

#include "testing/bench.h"
#include "testing/demo.h"
#include "testing/relay.h"

auto main(int argc, char** argv) -> int {
  TCLAP::CmdLine line("sparbend-bench: measured runs on loopback", ' ',
                      SPARBEND_VERSION);
  TCLAP::SwitchArg demo("", "demo", "Run the demonstration instead", line);
  TCLAP::ValueArg<std::string> examples("", "examples",
                                        "Declarations of the demonstration",
                                        false, "examples", "DIRECTORY", line);
  TCLAP::ValueArg<int> seconds("", "seconds", "Length of the demonstration",
                               false, 15, "N", line);
  TCLAP::ValueArg<std::string> report("", "report", "Where reports go", false,
                                      "build/report", "DIRECTORY", line);
  TCLAP::MultiArg<std::string> only("", "only", "Only this run", false, "NAME",
                                    line);
  TCLAP::ValueArg<std::string> relay("", "relay",
                                     "Be the bare relay before this target",
                                     false, "", "IP:PORT", line);
  line.parse(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  if (!relay.getValue().empty())
    return sparbend::testing::RunRelay(relay.getValue());
  if (demo.getValue())
    return sparbend::testing::RunDemo(examples.getValue(), seconds.getValue());
  return sparbend::testing::RunBench(report.getValue(), only.getValue());
}
