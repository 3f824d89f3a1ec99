#include "testing/engine_process.h"

#include <csignal>
#include <fstream>

namespace sparbend::testing {
namespace {

constexpr Millis kStartTime = Millis(10'000);

auto Arguments(const std::string& version,
               const std::string& address,
               const std::string& soak) -> std::vector<std::string> {
  std::vector<std::string> arguments = {Cluster::Program("sparbend-engine"),
                                        "--listen", address, "--software",
                                        version};
  if (!soak.empty())
    arguments.insert(arguments.end(), {"--soak", soak});
  return arguments;
}

}  // namespace

auto EngineEvent(int id, const std::string& version) -> std::string {
  const std::string number = std::to_string(id);
  return "id: " + number + "\ndata: piece" + number + " " + version + "\n\n";
}

auto EngineEvents(int first, int last, const std::string& version)
    -> std::string {
  std::string events;
  for (int id = first; id <= last; ++id)
    events += EngineEvent(id, version);
  return events;
}

EngineProcess::EngineProcess(const std::string& folder,
                             const std::string& name,
                             const std::string& version,
                             const std::string& address,
                             const std::string& soak)
    : output_(folder + "/" + name + ".out"),
      process_(Arguments(version, address, soak), output_) {
  WaitFor(kStartTime, [this] {
    std::ifstream output(output_);
    std::string line;
    if (!std::getline(output, line) || output.eof())
      return false;  // not written to its end
    const Result<Json> started = ParseJson(line, line.size());
    if (started && started->contains("address"))
      address_ = started->at("address");
    return !address_.empty();
  });
}

auto EngineProcess::Arrivals() const -> std::vector<Json> {
  std::vector<Json> arrivals;
  std::ifstream output(output_);
  for (std::string line; std::getline(output, line);) {
    const Result<Json> arrival = ParseJson(line, line.size());
    if (arrival && arrival->contains("request"))
      arrivals.push_back(*arrival);
  }
  return arrivals;
}

void EngineProcess::Kill() {
  process_.Signal(SIGKILL);
  process_.Wait(kStartTime);
}

}  // namespace sparbend::testing
