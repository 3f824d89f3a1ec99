// A stand-in of an engine that runs as a process of its own, so that tests can
// kill it: the kernel then ends its connections as it does for a real engine.
//
//   EngineProcess engine(folder, "engine-1");
//   world.ListTarget("engine-1", "engines", engine.address());
//   engine.Kill();
//
// What it answers follows from the query of a request:
//
//   /stream/x?framing=close&events=6&pause=50&split=1
//
//   framing  how the answer is delimited: length, chunked (default), close
//   events   number of the last event, default 6; they count from 1, or from
//            the one after Last-Event-Id
//   pause    milliseconds before each event, default 20
//   split    1: pauses inside each event, too
//   plain    1: one body of that many pieces instead of a stream
//
// As a target of a soak (`soak`) it answers by DrawAnswer() instead, and prints
// each request that arrives as a JSON line, with the time of CLOCK_MONOTONIC.
// It cuts its answers in their heads from SIGUSR1 to SIGUSR2.
#ifndef TESTING_ENGINE_PROCESS_H_
#define TESTING_ENGINE_PROCESS_H_

#include <string>

#include "testing/harness.h"

namespace sparbend::testing {

class EngineProcess {
 public:
  // Starts the process and waits until it listens. `address`: where; port 0: at
  // one that the system chooses. `version`: ends the data of its events.
  // `soak`: its name as a target of a soak.
  EngineProcess(const std::string& folder,
                const std::string& name,
                const std::string& version = "v1",
                const std::string& address = "127.0.0.1:0",
                const std::string& soak = "");

  // Where it listens; empty if it could not be started.
  auto address() const -> const std::string& { return address_; }
  auto process() -> Process& { return process_; }
  // The requests that arrived so far (of a soak's target): `request`, `at` in
  // ms, `ran`.
  auto Arrivals() const -> std::vector<Json>;
  // Ends it by SIGKILL, and waits for that.
  void Kill();

 private:
  std::string output_;
  Process process_;
  std::string address_;
};

// The event `id` of an engine of `version`.
auto EngineEvent(int id, const std::string& version) -> std::string;
// Event `first` to `last`.
auto EngineEvents(int first, int last, const std::string& version = "v1")
    -> std::string;

}  // namespace sparbend::testing

#endif  // TESTING_ENGINE_PROCESS_H_
