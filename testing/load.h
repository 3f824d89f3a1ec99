// Callers for many workspaces: closed loops or open arrivals, spread over the
// boxes by weight, costs heavy-tailed. Every answer is compared to the byte
// with what a target must have sent for exactly that request.
#ifndef TESTING_LOAD_H_
#define TESTING_LOAD_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "sparbend/core/verdict.h"
#include "sparbend/kernel/http.h"
#include "testing/standin_records.h"

namespace sparbend::testing {

// One stream of like requests.
struct Workload {
  std::string workspace;
  std::string key;
  std::string model;  // engines; empty: a plain service
  std::string path = "/v1/completions";
  std::vector<double> spread;  // weight of each box; empty: even
  int callers = 0;             // closed loops, or
  double rate = 0;             // arrivals a second
  int64_t cost_min = 4;        // output tokens, bounded Pareto
  int64_t cost_max = 200;
  double cost_shape = 1.3;
  size_t prompt_bytes = 64;
  int prompts = 50;  // distinct prompts in use
  bool stream = true;
  bool once = false;  // sends an Idempotency-Key as well
  Millis begin = Millis(0);
  Millis end = Millis(1'000'000);
};

// What one caller saw of one request.
enum class Seen {
  kAnswered,   // whole and right
  kWrong,      // whole, but not its own answer
  kRefused,    // told that it was not run
  kUncertain,  // told that it may have run
  kLost,       // no whole answer and no word
};

struct Sample {
  std::string workspace;
  std::string tag;
  Seen seen = Seen::kLost;
  Verdict verdict = Verdict::kMayHaveRun;
  int status = 0;
  int resent = 0;
  int64_t tokens = 0;  // input and output
  double began_ms = 0;
  double first_ms = 0;  // to the first byte of the body
  double total_ms = 0;
  bool once = false;
};

class Load {
 public:
  // Addresses of the boxes' caller listeners, by index of `spread`.
  Load(asio::io_context* io, std::vector<std::string> boxes, uint64_t seed);

  void Add(Workload workload);
  // Runs for `duration`, then lets requests under way end for up to `patience`.
  auto Run(Millis duration, Millis patience) -> asio::awaitable<void>;

  // A box stopped or came back at another address.
  void SetBox(size_t box, const std::string& address);

  auto samples() const -> const std::vector<Sample>& { return samples_; }
  // Requests sent and not yet ended, by workspace.
  auto outstanding() const -> const std::map<std::string, int>& {
    return outstanding_;
  }
  auto elapsed_ms() const -> double;

 private:
  using Stream = std::unique_ptr<beast::tcp_stream>;
  struct Draft;
  struct Reply;

  auto ClosedLoop(const Workload* workload) -> asio::awaitable<void>;
  auto OpenArrivals(const Workload* workload) -> asio::awaitable<void>;
  auto OneRequest(const Workload* workload) -> asio::awaitable<Sample>;
  auto Exchange(size_t box, const StringRequest& request, Reply* reply)
      -> asio::awaitable<bool>;
  auto Compose(const Workload& workload) -> Draft;
  auto PickBox(const Workload& workload) -> size_t;
  auto Judge(const Draft& draft, const Reply& reply) const -> Seen;
  auto Cost(const Workload& workload) -> int64_t;

  asio::io_context* io_;
  std::vector<std::string> boxes_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Workload>> workloads_;
  std::map<std::string, std::vector<Stream>> idle_;
  std::vector<Sample> samples_;
  std::map<std::string, int> outstanding_;
  std::chrono::steady_clock::time_point start_;
  bool stopping_ = false;
  int running_ = 0;
  uint64_t next_tag_ = 1;
};

// The whole body an engine's stand-in streams for a request body.
auto ExpectedStream(const std::string& body, int64_t input, int64_t output)
    -> std::string;

}  // namespace sparbend::testing

#endif  // TESTING_LOAD_H_
