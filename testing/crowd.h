// Clients that send the same bytes at once and keep their connections open, for
// tests of what a process does with peers that don't follow the protocol.
//
//   Crowd crowd(address, {.clients = 4, .begin = head, .piece = line,
//                         .piece_bytes = 1 << 20});
//   crowd.WaitUntilSettled();
//   ...  // the connections are open until `crowd` goes
#ifndef TESTING_CROWD_H_
#define TESTING_CROWD_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "sparbend/kernel/http.h"

namespace sparbend::testing {

// What each client of a crowd does.
struct CrowdScript {
  int clients = 1;
  std::string begin = {};    // sent first
  std::string piece = {};    // sent again and again then
  int64_t piece_bytes = 0;   // in all pieces together, at least
  Millis pause = Millis(0);  // after each piece, so that clients take turns
  std::string end = {};      // sent last
  bool reads = true;         // the answers, once all is sent
};

// Runs on a thread of its own.
class Crowd {
 public:
  Crowd(const std::string& address, const CrowdScript& script);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  auto operator=(const Crowd&) -> Crowd& = delete;

  // Waits until each client has sent all, or can't send more: its connection is
  // closed, or nobody reads from it.
  void WaitUntilSettled();
  auto sent_bytes() const -> int64_t { return sent_; }

 private:
  auto Play(tcp::endpoint address) -> asio::awaitable<void>;
  auto Write(tcp::socket* socket, const std::string& bytes)
      -> asio::awaitable<bool>;

  asio::io_context io_;
  CrowdScript script_;
  std::string pieces_;  // whole copies of the script's piece, for few writes
  std::vector<tcp::socket> open_;  // of clients that are done, in the thread
  std::atomic<int> sending_;
  std::atomic<int64_t> sent_ = 0;
  std::thread thread_;
};

}  // namespace sparbend::testing

#endif  // TESTING_CROWD_H_
