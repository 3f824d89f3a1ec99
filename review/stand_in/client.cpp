#include "client.hpp"

#include <sstream>

namespace review {

auto EventsOf(const std::string& body) -> std::vector<Event> {
  std::vector<Event> events;
  size_t at = 0;
  for (size_t end = body.find("\n\n"); end != std::string::npos;
       end = body.find("\n\n", at)) {
    std::istringstream lines(body.substr(at, end - at));
    Event event;
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with("id: "))
        event.id = line.substr(4);
      if (line.starts_with("data: "))
        event.data = line.substr(6);
    }
    events.push_back(event);
    at = end + 2;
  }
  return events;
}

auto Client::Ask(const std::string& head,
                 const std::string& body,
                 int64_t until) -> Answer {
  Answer answer;
  if (!channel_) {
    const int fd = Connect(port_, 1'000);
    if (fd < 0)
      return answer;
    channel_ = std::make_unique<Channel>(fd);
  }
  answer.connected = true;
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (!channel_->Write(head + length + body)) {
    Close();
    return answer;
  }
  const auto received = channel_->ReadHead(until);
  if (!received) {
    Close();
    return answer;
  }
  Response response = ParseResponseHead(*received);
  answer.status = response.status;
  answer.fields = response.fields;
  answer.complete = channel_->ReadBody(
      response.fields, until,
      [&](const std::string& piece) { answer.body += piece; });
  if (answer.fields.Get("Content-Type").starts_with("text/event-stream"))
    answer.events = EventsOf(answer.body);
  if (!answer.complete || answer.fields.Get("Connection") == "close")
    Close();
  return answer;
}

}  // namespace review
