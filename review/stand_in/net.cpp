#include "net.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <sstream>
#include <thread>

namespace review {
namespace {

constexpr size_t kPieceBytes = 16 * 1024;
const Clock::time_point kStart = Clock::now();

auto Address(int port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

auto ParseFields(std::istringstream* lines) -> Fields {
  Fields fields;
  std::string line;
  while (std::getline(*lines, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    const size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    const size_t value = line.find_first_not_of(' ', colon + 1);
    fields.all.emplace_back(line.substr(0, colon), value == std::string::npos
                                                       ? ""
                                                       : line.substr(value));
  }
  return fields;
}

}  // namespace

auto NowMs() -> int64_t {
  return std::chrono::duration_cast<Ms>(Clock::now() - kStart).count();
}

auto UnixMs() -> int64_t {
  return std::chrono::duration_cast<Ms>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(Ms(ms));
}

void SleepUntilMs(int64_t at) {
  std::this_thread::sleep_until(kStart + Ms(at));
}

auto Fields::Get(const std::string& name) const -> std::string {
  for (const auto& [field, value] : all) {
    if (strcasecmp(field.c_str(), name.c_str()) == 0)
      return value;
  }
  return "";
}

auto Fields::Has(const std::string& name) const -> bool {
  return std::any_of(all.begin(), all.end(), [&](const auto& field) {
    return strcasecmp(field.first.c_str(), name.c_str()) == 0;
  });
}

Channel::~Channel() {
  if (fd_ >= 0)
    close(fd_);
}

void Channel::Reset() {
  const linger now{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(fd_);
  fd_ = -1;
}

auto Channel::Write(const std::string& bytes) -> bool {
  for (size_t sent = 0; sent < bytes.size();) {
    const ssize_t size =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0)
      return false;
    sent += static_cast<size_t>(size);
  }
  return true;
}

auto Channel::Fill(int64_t until) -> bool {
  const int64_t left = until - NowMs();
  if (left <= 0)
    return false;
  pollfd waits{fd_, POLLIN, 0};
  if (poll(&waits, 1, static_cast<int>(left)) <= 0)
    return false;
  std::string piece(kPieceBytes, '\0');
  const ssize_t size = recv(fd_, piece.data(), piece.size(), 0);
  if (size <= 0)
    return false;
  buffer_.append(piece, 0, static_cast<size_t>(size));
  return true;
}

auto Channel::PeerGone() const -> bool {
  char byte = 0;
  const ssize_t size = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

auto Channel::ReadHead(int64_t until) -> std::optional<std::string> {
  size_t end = buffer_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(until))
      return std::nullopt;
    end = buffer_.find("\r\n\r\n");
  }
  std::string head = buffer_.substr(0, end);
  buffer_.erase(0, end + 4);
  return head;
}

auto Channel::ReadLine(int64_t until) -> std::optional<std::string> {
  size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(until))
      return std::nullopt;
    end = buffer_.find("\r\n");
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

auto Channel::ReadExactly(
    size_t size,
    int64_t until,
    const std::function<void(const std::string&)>& on_bytes,
    int64_t slow) -> bool {
  while (size > 0) {
    if (slow > 0)
      SleepMs(slow);
    if (buffer_.empty() && !Fill(until))
      return false;
    const size_t taken = std::min(size, buffer_.size());
    on_bytes(buffer_.substr(0, taken));
    buffer_.erase(0, taken);
    size -= taken;
  }
  return true;
}

auto Channel::ReadBody(const Fields& fields,
                       int64_t until,
                       const std::function<void(const std::string&)>& on_bytes,
                       int64_t slow) -> bool {
  if (fields.Get("Transfer-Encoding") != "chunked") {
    const std::string length = fields.Get("Content-Length");
    return length.empty() ||
           ReadExactly(std::stoul(length), until, on_bytes, slow);
  }
  while (true) {
    const auto line = ReadLine(until);
    if (!line || line->empty())
      return false;
    const size_t size = std::stoul(*line, nullptr, 16);
    if (size == 0)
      return ReadLine(until).has_value();
    if (!ReadExactly(size, until, on_bytes, slow) || !ReadLine(until))
      return false;
  }
}

auto Listen(int port) -> int {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Address(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

auto PortOf(int listener) -> int {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Below the ports that the system gives to outgoing connections.
auto FreePort() -> int {
  static int next = 12'000 + getpid() * 61 % 18'000;
  while (true) {
    const int port = ++next;
    const int fd = Listen(port);
    if (fd < 0)
      continue;
    close(fd);
    return port;
  }
}

auto Connect(int port, int64_t timeout_ms) -> int {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{timeout_ms / 1'000, (timeout_ms % 1'000) * 1'000};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = Address(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  limit = {60, 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

auto ParseRequestHead(const std::string& head) -> Request {
  std::istringstream lines(head);
  Request request;
  std::string version;
  std::string line;
  std::getline(lines, line);
  std::istringstream(line) >> request.method >> request.target >> version;
  request.fields = ParseFields(&lines);
  return request;
}

auto ParseResponseHead(const std::string& head) -> Response {
  std::istringstream lines(head);
  Response response;
  std::string version;
  std::string line;
  std::getline(lines, line);
  std::istringstream(line) >> version >> response.status;
  response.fields = ParseFields(&lines);
  return response;
}

auto QueryOf(const std::string& target, const std::string& name)
    -> std::string {
  const size_t query = target.find('?');
  if (query == std::string::npos)
    return "";
  std::istringstream pairs(target.substr(query + 1));
  for (std::string pair; std::getline(pairs, pair, '&');) {
    if (pair.starts_with(name + "="))
      return pair.substr(name.size() + 1);
  }
  return "";
}

auto Chunk(const std::string& bytes) -> std::string {
  std::ostringstream size;
  size << std::hex << bytes.size();
  return size.str() + "\r\n" + bytes + "\r\n";
}

}  // namespace review
