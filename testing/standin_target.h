// Stand-ins for the platform's targets: model engines that batch and stream,
// and plain services. Many live in one process; each has its own listener.
#ifndef TESTING_STANDIN_TARGET_H_
#define TESTING_STANDIN_TARGET_H_

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "sparbend/kernel/http.h"
#include "testing/standin_records.h"

namespace sparbend::testing {

struct TargetOptions {
  std::string name;
  std::string hall;
  std::string pool;
  std::string address = "127.0.0.1:0";
  bool engine = true;
  int slots = 8;
  Millis first_token = Millis(5);
  int64_t token_us = 20'000;
  int64_t prefill_us = 0;    // per prompt token not in the cache
  size_t cache_entries = 8;  // prompt prefixes kept
  Millis service_time = Millis(5);
  Millis resume_time = Millis(3'000);  // a broken stream is kept so long
  bool resumes = true;
  Millis load_lag = Millis(200);
};

// How a target misbehaves on purpose.
enum class TargetFault {
  kNone,
  kGarbage,   // answers bytes that are no HTTP
  kRefuse,    // answers 503 and says that it did not run it
  kHang,      // takes requests, runs them, and never answers
  kCutShort,  // closes in the middle of each answer
};

class StandinTarget {
 public:
  StandinTarget(asio::io_context* io, TargetOptions options, Records* records);
  ~StandinTarget();

  auto Listen() -> std::error_code;
  auto address() const -> std::string { return address_; }
  auto options() const -> const TargetOptions& { return options_; }

  void SetFault(TargetFault fault) { fault_ = fault; }
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  // Requests of boxes in these halls do not get through: their connections
  // are reset. A box's hall is read off its name, which begins request ids.
  void SetCutHalls(std::set<std::string> halls) { cut_ = std::move(halls); }
  // Closes the listener and resets every connection, as if killed; runs under
  // way are lost. Revive listens again at the same address.
  void Kill();
  auto Revive() -> std::error_code;
  // Resets every connection; work under way goes on and can be resumed.
  void DropConnections();

  auto running() const -> int { return running_; }
  // Time slots have been busy, in slot milliseconds.
  auto busy_ms() const -> int64_t;

 private:
  struct Generation;
  struct Connection;

  auto Accept(uint64_t life) -> asio::awaitable<void>;
  auto Serve(std::shared_ptr<Connection> connection, uint64_t life)
      -> asio::awaitable<void>;
  auto Answer(Connection* connection, const StringRequest& request)
      -> asio::awaitable<bool>;
  auto AnswerEngine(Connection* connection, const StringRequest& request)
      -> asio::awaitable<bool>;
  auto AnswerService(Connection* connection, const StringRequest& request)
      -> asio::awaitable<bool>;
  auto Stream(Connection* connection,
              std::shared_ptr<Generation> generation,
              int64_t from) -> asio::awaitable<bool>;
  auto Whole(Connection* connection, std::shared_ptr<Generation> generation)
      -> asio::awaitable<bool>;
  auto NewGeneration(const StringRequest& request)
      -> std::shared_ptr<Generation>;
  auto WaitForSlot(int priority) -> asio::awaitable<void>;
  auto WaitForToken(const Generation& generation, int64_t index)
      -> asio::awaitable<void>;
  void Produce(Generation* generation, int64_t index);
  void EndGeneration(Generation* generation, bool whole);
  auto KeepForResume(std::shared_ptr<Generation> generation)
      -> asio::awaitable<void>;
  void ReleaseSlot();
  void CountBusy();
  auto CachedTokens(const std::string& prompt, int64_t tokens) -> int64_t;
  void Decorate(http::response_header<>* header);
  auto Refuse(Connection* connection) -> asio::awaitable<bool>;
  auto IsCut(const std::string& request_id) const -> bool;

  asio::io_context* io_;
  TargetOptions options_;
  Records* records_;
  tcp::acceptor acceptor_;
  std::string address_;
  TargetFault fault_ = TargetFault::kNone;
  bool leaving_ = false;
  std::set<std::string> cut_;
  uint64_t life_ = 1;
  int running_ = 0;
  int64_t busy_us_ = 0;
  std::chrono::steady_clock::time_point busy_counted_;
  std::multimap<int, std::shared_ptr<asio::steady_timer>> waiting_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::map<std::string, std::shared_ptr<Generation>> resumable_;
  std::list<std::string> cache_;  // newest first
  int reported_load_ = 0;
  std::chrono::steady_clock::time_point load_reported_;
};

}  // namespace sparbend::testing

#endif  // TESTING_STANDIN_TARGET_H_
