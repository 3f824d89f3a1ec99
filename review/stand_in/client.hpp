// A requester: sends one request at a time and reads the answer to its end.
#ifndef REVIEW_STAND_IN_CLIENT_HPP_
#define REVIEW_STAND_IN_CLIENT_HPP_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net.hpp"

namespace review {

struct Event {
  std::string id;
  std::string data;
};

struct Answer {
  int status = 0;  // 0: none
  Fields fields;
  std::string body;
  bool complete = false;  // the answer is whole
  bool connected = false;
  std::vector<Event> events;  // whole ones, of a stream
};

// The events that `body` holds whole.
auto EventsOf(const std::string& body) -> std::vector<Event>;

class Client {
 public:
  // `port`: of a box's listener for requesters.
  explicit Client(int port) : port_(port) {}

  // Sends the request on the kept channel, or on a new one, and waits for its
  // answer until `until`. `head` ends without the empty line and without a
  // length.
  auto Ask(const std::string& head, const std::string& body, int64_t until)
      -> Answer;
  // Whether the channel of the last request is still open.
  auto kept() const -> bool { return channel_ != nullptr; }
  void Close() { channel_.reset(); }

 private:
  int port_;
  std::unique_ptr<Channel> channel_;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_CLIENT_HPP_
