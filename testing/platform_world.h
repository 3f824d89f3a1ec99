// Stand-ins that speak the platform's wire, for tests without its bench: the
// store with its keyed topics, and targets whose answers are scripted byte by
// byte. They run on a thread of their own in the test's process; the boxes
// are real processes.
#ifndef TESTING_PLATFORM_WORLD_H_
#define TESTING_PLATFORM_WORLD_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "sparbend/core/answer_end.h"
#include "sparbend/kernel/http_server.h"
#include "testing/fault_proxy.h"
#include "testing/harness.h"

namespace sparbend::testing {

// How the store misbehaves.
struct StoreFault {
  bool refuses = false;       // answers 503
  bool silent = false;        // takes calls and never answers
  bool history_gone = false;  // reads get 410 until the next list
  std::string only_agent;     // only callers whose name holds this; "": all
  std::string only_topic;     // only calls on this topic; "": all
};

// What a target does with one request.
struct TargetScript {
  std::vector<std::string> pieces;  // written one after the other
  bool endless = false;  // then the last piece again until the caller closes
  Millis pause;          // before each piece
  bool close = false;    // then closes orderly
  bool reset = false;    // then resets
  bool hang = false;     // then does nothing until the caller goes
  bool end = false;      // then the target ends, as by a crash
};

// A request as a target saw it.
struct SeenRequest {
  std::string target;
  std::string id;
  std::string path;
  std::string body;
  std::map<std::string, std::string> fields;  // lower-case names
  bool caller_left = false;  // the connection ended before the script did
};

class PlatformWorld {
 public:
  using Handler = std::function<TargetScript(const SeenRequest&)>;

  explicit PlatformWorld(const std::string& name);
  ~PlatformWorld();

  // Writes a record as an operator or a target would; an empty value drops
  // the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  // The store is back from a copy that lacks the last `lost` records of the
  // topic, in a new era; what `again` holds was written since, at the offsets
  // that were given out before.
  void ReturnFromOlderCopy(
      const std::string& topic,
      size_t lost,
      const std::vector<std::pair<std::string, std::string>>& again);
  // How many records each topic has: what a copy of the store would hold.
  auto TopicSizes() -> std::map<std::string, size_t>;
  // The store is back from the copy that held so many records of each topic, in
  // a new era.
  void ReturnFromCopy(const std::map<std::string, size_t>& sizes);
  // Whether the topic has a record of the key.
  auto HasRecord(const std::string& topic, const std::string& key) -> bool;
  void SetFault(const StoreFault& fault);
  // A proxy before the store, for the boxes that start from now on.
  auto StoreProxy() -> TcpProxy&;
  auto store_calls() -> int;
  // Calls of that box on that topic.
  auto store_calls(const std::string& box, const std::string& topic) -> int;
  // Seeds of the boxes that start from now on: addresses for calls of boxes.
  void SetSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

  // A target at an address of its own, listed in the store. With `reads_body`
  // off it answers once it has read a request's head. One that ended starts
  // again at its address under another name, and tells it to the store.
  auto AddTarget(const std::string& name,
                 const std::string& pool,
                 Handler handler,
                 bool reads_body = true,
                 const std::string& version = "v1") -> std::string;
  void ListTarget(const std::string& name,
                  const std::string& pool,
                  const std::string& address,
                  const std::string& state = "ready",
                  int sign_of_life = 1,
                  const std::string& version = "v1");
  // The target of that name ends, as by a crash that resets its connections,
  // and listens again at its address. Its record stays as it is.
  void StopTarget(const std::string& name);
  void StartTarget(const std::string& name);
  // The target crashes and starts again at once, under its name and at its
  // address, with software of `version`. Its record is written before it
  // serves; if not `recorded`, it stays as it was.
  void RestartTarget(const std::string& name,
                     const std::string& version,
                     Handler handler,
                     bool recorded = true);
  // Cuts the targets off as a network does that resets: they live on, refuse
  // connections, and those that exist are reset by the next request on them.
  void SetCutOff(bool cut_off);
  // Targets that ended so far.
  auto ended() -> int;
  // Connections to targets that were reset between two requests.
  auto resets() const -> int { return resets_; }
  auto Seen() -> std::vector<SeenRequest>;
  auto SeenOf(const std::string& id) -> std::vector<SeenRequest>;

  struct Box {
    std::string callers;
    std::string admin;
    std::string log_file;
    std::unique_ptr<Process> process;
  };
  // For files of a test.
  auto folder() const -> const std::string& { return folder_; }
  // Starts a box and waits until it tells its addresses. `program`: another
  // build's sparbendd; empty: this build's.
  auto StartBox(const std::string& name,
                const std::string& extra_settings = "",
                Millis connect_time = Millis(300),
                const std::string& program = "",
                const std::string& hall = "h") -> Box&;
  auto box(const std::string& name) -> Box& { return boxes_.at(name); }
  auto HasBox(const std::string& name) const -> bool {
    return boxes_.contains(name);
  }
  auto WaitReady(const std::string& name, bool ready = true) -> bool;
  // Lines of a box's log with this event.
  auto Events(const std::string& name, const std::string& event)
      -> std::vector<Json>;

 private:
  struct Target;
  struct Record {
    std::string key;
    std::string value;
  };

  // Answers with the store's era.
  auto HandleInEra(StringRequest request) -> asio::awaitable<StringResponse>;
  auto HandleStore(StringRequest request) -> asio::awaitable<StringResponse>;
  auto Newest(const std::string& topic) -> StringResponse;
  auto Read(const std::string& topic, int64_t from, Millis wait)
      -> asio::awaitable<StringResponse>;
  auto Append(const std::string& topic, const std::string& body)
      -> StringResponse;
  auto Accept(std::shared_ptr<Target> target) -> asio::awaitable<void>;
  auto Serve(std::shared_ptr<Target> target, tcp::socket socket)
      -> asio::awaitable<void>;
  void EndTarget(const std::shared_ptr<Target>& target);
  // Calls `action` with the target of that name on the world's thread.
  void WithTarget(const std::string& name,
                  const std::function<void(std::shared_ptr<Target>)>& action);
  auto StartAgain(std::shared_ptr<Target> target, tcp::endpoint address)
      -> asio::awaitable<void>;

  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  HttpServer store_;
  std::unique_ptr<TcpProxy> store_proxy_;  // null: boxes reach it directly
  std::mutex mutex_;
  StoreFault fault_;
  int store_calls_ = 0;
  std::vector<std::pair<std::string, std::string>> calls_;  // agent and path
  std::vector<std::string> seeds_;
  int64_t era_ = 1;
  int ended_ = 0;
  std::atomic<int> resets_ = 0;
  bool cut_off_ = false;  // on the world's own thread
  std::map<std::string, std::vector<Record>> topics_;
  std::vector<std::shared_ptr<Target>> targets_;
  std::vector<SeenRequest> seen_;
  std::string folder_;
  std::map<std::string, Box> boxes_;
  std::thread thread_;
};

// Plays `script` on a connection; whether that stays open.
auto PlayScript(const TargetScript& script, tcp::socket* socket)
    -> asio::awaitable<bool>;

// A request as a target sees it.
auto ReadSeen(const http::request<http::string_body>& request) -> SeenRequest;

// A good answer of a target to `request`.
auto GoodAnswer(const SeenRequest& request, const std::string& body)
    -> std::string;
// The header of an answer to `request` whose body has `size` bytes. `fields`:
// further header lines, each with its end.
auto AnswerHead(const SeenRequest& request,
                Framing framing,
                size_t size,
                const std::string& fields = "") -> std::string;
// A piece of that body as it is sent, and what follows the last one.
auto FramedPiece(Framing framing, const std::string& piece) -> std::string;
auto FramedEnd(Framing framing) -> std::string;
// The head of a stream of events that answers `request`.
auto StreamHead(const SeenRequest& request) -> std::string;
// One event as a chunk of that stream, and its end.
auto StreamEvent(int id) -> std::string;
auto StreamEnd() -> std::string;

}  // namespace sparbend::testing

#endif  // TESTING_PLATFORM_WORLD_H_
