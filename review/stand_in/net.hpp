// Blocking sockets on loopback and the little of HTTP/1.1 that the stand-ins of
// the review need.
#ifndef REVIEW_STAND_IN_NET_HPP_
#define REVIEW_STAND_IN_NET_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

// Milliseconds since the start of the program.
auto NowMs() -> int64_t;
// Milliseconds since 1970.
auto UnixMs() -> int64_t;
void SleepMs(int64_t ms);
void SleepUntilMs(int64_t at);

struct Fields {
  std::vector<std::pair<std::string, std::string>> all;

  // The first value of the field, in any case of its name; empty: none.
  auto Get(const std::string& name) const -> std::string;
  auto Has(const std::string& name) const -> bool;
};

struct Request {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
};

struct Response {
  int status = 0;
  Fields fields;
  std::string body;
  bool complete = false;  // by its length or its last chunk
};

// A connected socket with what has been read ahead. Not copied.
class Channel {
 public:
  explicit Channel(int fd) : fd_(fd) {}
  ~Channel();
  Channel(const Channel&) = delete;
  auto operator=(const Channel&) -> Channel& = delete;

  auto fd() const -> int { return fd_; }
  auto Write(const std::string& bytes) -> bool;
  // Reads more bytes into the buffer; false at the end, an error or `until`.
  auto Fill(int64_t until) -> bool;
  // Whether the other side has closed or reset the connection.
  auto PeerGone() const -> bool;
  // Closes with a reset.
  void Reset();

  // Reads the head of a request or an answer, without the empty line.
  auto ReadHead(int64_t until) -> std::optional<std::string>;
  // Reads the body that `fields` state. `on_bytes` gets the pieces. `slow`: the
  // pause before each piece, in ms. Returns whether it is complete.
  auto ReadBody(const Fields& fields,
                int64_t until,
                const std::function<void(const std::string&)>& on_bytes,
                int64_t slow = 0) -> bool;

 private:
  auto ReadLine(int64_t until) -> std::optional<std::string>;
  auto ReadExactly(size_t size,
                   int64_t until,
                   const std::function<void(const std::string&)>& on_bytes,
                   int64_t slow) -> bool;

  int fd_;
  std::string buffer_;
};

// A listening socket on 127.0.0.1; port 0: any free one. -1 if it fails.
auto Listen(int port) -> int;
auto PortOf(int listener) -> int;
// A port that nothing uses now.
auto FreePort() -> int;
auto Connect(int port, int64_t timeout_ms) -> int;

auto ParseRequestHead(const std::string& head) -> Request;
auto ParseResponseHead(const std::string& head) -> Response;
// The value of a parameter of the target's query; empty: none.
auto QueryOf(const std::string& target, const std::string& name) -> std::string;
auto Chunk(const std::string& bytes) -> std::string;

}  // namespace review

#endif  // REVIEW_STAND_IN_NET_HPP_
