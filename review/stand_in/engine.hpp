// A stand-in of a server of the platform (an engine or a plain service): it
// keeps its entry in the store, serves what its handler says, and can crash and
// start again under its id.
#ifndef REVIEW_STAND_IN_ENGINE_HPP_
#define REVIEW_STAND_IN_ENGINE_HPP_

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "net.hpp"
#include "record.hpp"
#include "store.hpp"

namespace review {

class Engine {
 public:
  // A request whose head has been read. The handler reads its body.
  struct Call {
    Engine* engine = nullptr;
    Channel* channel = nullptr;
    Request request;
    std::string version;  // of this boot's software
    int boot = 0;

    auto Id() const -> std::string {
      return request.fields.Get("X-Sparbend-Attempt-Id");
    }
    // Whether the boot that took the request has ended.
    auto Ended() const -> bool;
  };
  // Returns whether the connection stays open.
  using Handler = std::function<bool(Call*)>;

  struct Options {
    std::string id;
    std::string service;
    std::string zone = "hall-a";
    std::string version = "v1";
    int slots = 64;
    bool model = false;  // a model engine
    int64_t heartbeat_ms = 1'200;
  };

  Engine(Options options, Store* store, Record* record, Handler handler);

  // Writes its entry, then serves.
  void Start();
  // All its connections end, its address refuses, and it says nothing.
  void Crash();
  // Starts again under its id, at its address, with that software.
  void StartAgain(const std::string& version);
  // Writes its entry again, as after a return of the store.
  void WriteEntry();

  auto id() const -> const std::string& { return options_.id; }
  auto boot() const -> int { return boot_; }
  auto running() const -> bool { return running_; }

 private:
  auto Entry() -> std::string;
  void Open();
  void Accept(int listener, int boot);
  void Serve(int fd, int boot);
  void Beat();

  Options options_;
  Store* store_;
  Record* record_;
  Handler handler_;
  int port_ = 0;
  int listener_ = -1;
  std::atomic<int> boot_{0};
  std::atomic<bool> running_{false};
  std::mutex mutex_;
  int64_t born_ = 0;
  int64_t seq_ = 0;
  std::set<int> sockets_;
};

// The head of a good answer of the engine to that request.
auto AnswerHead(const Engine::Call& call, const std::string& fields)
    -> std::string;

}  // namespace review

#endif  // REVIEW_STAND_IN_ENGINE_HPP_
