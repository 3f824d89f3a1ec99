// Stand-ins for the scripts of this review: the platform's store, engines,
// requesters, and the processes of the project. They speak what PROTOCOL.md
// says, on loopback, with one thread a connection. Nothing here is built or run
// by the project itself.
#ifndef REVIEW_STAND_IN_2_WORLD_HPP_
#define REVIEW_STAND_IN_2_WORLD_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace world {

using Clock = std::chrono::steady_clock;

inline auto Begin() -> Clock::time_point& {
  static Clock::time_point begin = Clock::now();
  return begin;
}
// Milliseconds since the script began.
inline auto NowMs() -> int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               Begin())
      .count();
}
inline auto UnixMs() -> int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(int64_t span) {
  if (span > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(span));
}
inline void SleepUntil(int64_t at) {
  SleepMs(at - NowMs());
}

// The file record.txt: one line for each thing that was sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << NowMs() << " " << text << "\n";
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// ---------------------------------------------------------------- sockets

inline auto Listen(uint16_t* port) -> int {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(*port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return fd;
}

// A port that is free now, for TCP and UDP.
inline auto FreePort() -> uint16_t {
  static std::set<uint16_t> given;
  for (int tries = 0; tries < 200; ++tries) {
    uint16_t port = 0;
    const int fd = Listen(&port);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool free =
        bind(udp, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    close(udp);
    if (free && given.insert(port).second)
      return port;
  }
  return 0;
}

inline auto Connect(uint16_t port, int64_t timeout_ms) -> int {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    pollfd wait{fd, POLLOUT, 0};
    int error = errno;
    if (error == EINPROGRESS &&
        poll(&wait, 1, static_cast<int>(timeout_ms)) == 1) {
      socklen_t size = sizeof(error);
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, 0);
  return fd;
}

inline auto SendAll(int fd, std::string_view bytes) -> bool {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

inline void ResetClose(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(fd);
}

// Reads a connection line by line and by length.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  // Reads more; false at the end, an error or after `until` (NowMs).
  auto More(int64_t until) -> bool {
    pollfd wait{fd_, POLLIN, 0};
    const int64_t left = until - NowMs();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) != 1) {
      timed_out = true;
      return false;
    }
    char piece[16384];
    const ssize_t size = recv(fd_, piece, sizeof(piece), 0);
    if (size < 0)
      was_reset = true;
    if (size <= 0)
      return false;
    bytes_.append(piece, static_cast<size_t>(size));
    return true;
  }
  auto Line(int64_t until) -> std::optional<std::string> {
    size_t at = 0;
    while ((at = bytes_.find("\r\n")) == std::string::npos) {
      if (!More(until))
        return std::nullopt;
    }
    std::string line = bytes_.substr(0, at);
    bytes_.erase(0, at + 2);
    return line;
  }
  auto Take(size_t size, int64_t until) -> std::optional<std::string> {
    while (bytes_.size() < size) {
      if (!More(until))
        return std::nullopt;
    }
    std::string taken = bytes_.substr(0, size);
    bytes_.erase(0, size);
    return taken;
  }
  auto buffered() -> std::string& { return bytes_; }

  bool timed_out = false;
  bool was_reset = false;

 private:
  int fd_;
  std::string bytes_;
};

inline auto Lower(std::string text) -> std::string {
  for (char& letter : text)
    letter =
        static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  return text;
}

struct Message {
  std::string first;  // request line or status line
  std::map<std::string, std::string> fields;
  std::string body;
  auto Field(const std::string& name) const -> std::string {
    const auto found = fields.find(Lower(name));
    return found == fields.end() ? "" : found->second;
  }
  auto path() const -> std::string {
    const size_t begin = first.find(' ') + 1;
    return first.substr(begin, first.find(' ', begin) - begin);
  }
  auto status() const -> int { return std::atoi(first.substr(9, 3).c_str()); }
};

inline auto ReadHead(Reader* reader, int64_t until) -> std::optional<Message> {
  Message message;
  auto line = reader->Line(until);
  if (!line)
    return std::nullopt;
  message.first = *line;
  while (true) {
    line = reader->Line(until);
    if (!line)
      return std::nullopt;
    if (line->empty())
      return message;
    const size_t colon = line->find(':');
    if (colon == std::string::npos)
      continue;
    size_t value = colon + 1;
    while (value < line->size() && (*line)[value] == ' ')
      ++value;
    message.fields[Lower(line->substr(0, colon))] = line->substr(value);
  }
}

// A request with its body, by length or in chunks.
inline auto ReadRequest(Reader* reader, int64_t until)
    -> std::optional<Message> {
  auto message = ReadHead(reader, until);
  if (!message)
    return std::nullopt;
  if (Lower(message->Field("Transfer-Encoding")) == "chunked") {
    while (true) {
      const auto line = reader->Line(until);
      if (!line)
        return std::nullopt;
      const size_t size = std::strtoul(line->c_str(), nullptr, 16);
      const auto piece = reader->Take(size + 2, until);
      if (!piece)
        return std::nullopt;
      message->body += piece->substr(0, size);
      if (size == 0)
        return message;
    }
  }
  const size_t size =
      std::strtoul(message->Field("Content-Length").c_str(), nullptr, 10);
  const auto body = reader->Take(size, until);
  if (!body)
    return std::nullopt;
  message->body = *body;
  return message;
}

// ------------------------------------------------------------------ store

inline auto Base64(const std::string& bytes) -> std::string {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j)
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    for (size_t j = 0; j < 4; ++j)
      text += j <= bytes.size() - i ? kDigits[group >> (18 - 6 * j) & 63] : '=';
  }
  return text;
}

inline auto BigEndian(uint64_t number, int size) -> std::string {
  std::string bytes;
  for (int shift = 8 * (size - 1); shift >= 0; shift -= 8)
    bytes += static_cast<char>(number >> shift & 0xff);
  return bytes;
}

inline auto JsonText(const std::string& text) -> std::string {
  std::string out = "\"";
  for (const char letter : text) {
    if (letter == '"' || letter == '\\')
      out += '\\';
    out += letter;
  }
  return out + "\"";
}

// The platform's store: a log of topics with one partition each. Its answers
// take about 4 ms.
class Store {
 public:
  Store() {
    fd_ = Listen(&port_);
    std::thread([this] { Accept(); }).detach();
  }
  auto port() const -> uint16_t { return port_; }

  // While it is down it answers every call with 503 and does nothing.
  void SetDown(bool down) { down_ = down; }
  auto down() const -> bool { return down_; }

  // Writes a record as an operator or an engine does; an empty value drops the
  // key. Returns its offset.
  auto Put(const std::string& topic,
           const std::string& key,
           const std::string& value) -> int64_t {
    return AppendRaw(topic, static_cast<char>(key.size()) + key + value);
  }

 private:
  struct Topic {
    std::vector<std::string> records;
  };

  auto AppendRaw(const std::string& topic, std::string record) -> int64_t {
    const std::lock_guard lock(mutex_);
    std::vector<std::string>& records = topics_[topic].records;
    records.push_back(std::move(record));
    changed_.notify_all();
    return static_cast<int64_t>(records.size()) - 1;
  }
  void Accept() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] {
        Serve(fd);
        close(fd);
      }).detach();
    }
  }
  void Serve(int fd) {
    Reader reader(fd);
    while (true) {
      const auto request = ReadRequest(&reader, NowMs() + 600'000);
      if (!request)
        return;
      SleepMs(4);
      if (down_) {
        if (!SendAll(fd,
                     "HTTP/1.1 503 X\r\nStore-Era: 1\r\n"
                     "Content-Length: 0\r\n\r\n"))
          return;
        continue;
      }
      std::string type = "application/json";
      int status = 200;
      const std::string body = Handle(*request, &status, &type);
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(status) +
                           " X\r\nContent-Type: " + type +
                           "\r\nStore-Era: 1\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }
  static auto Query(const std::string& path, const std::string& name)
      -> std::string {
    const size_t mark = path.find('?');
    std::stringstream rest(mark == std::string::npos ? ""
                                                     : path.substr(mark + 1));
    for (std::string pair; std::getline(rest, pair, '&');) {
      if (pair.starts_with(name + "="))
        return pair.substr(name.size() + 1);
    }
    return "";
  }
  auto Handle(const Message& request, int* status, std::string* type)
      -> std::string {
    const std::string path = request.path();
    const std::string topic = Query(path, "topic");
    if (path.starts_with("/api/log-newest"))
      return Newest(topic);
    if (path.starts_with("/api/log-read"))
      return Read(topic, std::atoll(Query(path, "from").c_str()),
                  std::atoll(Query(path, "wait-ms").c_str()), status, type);
    if (path.starts_with("/api/log-append"))
      return Append(topic, request.body);
    *status = 404;
    return "{}";
  }
  auto Newest(const std::string& topic) -> std::string {
    const std::lock_guard lock(mutex_);
    const std::vector<std::string>& records = topics_[topic].records;
    std::map<std::string, size_t> newest;
    for (size_t i = 0; i < records.size(); ++i)
      newest[KeyOf(records[i])] = i;
    std::string items;
    for (const auto& [key, at] : newest) {
      const std::string value = records[at].substr(1 + key.size());
      if (value.empty())
        continue;
      items += (items.empty() ? "" : ",") + std::string("{\"key\":") +
               JsonText(key) + ",\"value\":\"" + Base64(value) +
               "\",\"offset\":" + std::to_string(at) + "}";
    }
    return "{\"items\":[" + items + "],\"has-more\":false,\"end-offset\":" +
           std::to_string(records.size()) + "}";
  }
  static auto KeyOf(const std::string& record) -> std::string {
    return record.substr(1, static_cast<unsigned char>(record[0]));
  }
  auto Read(const std::string& topic,
            int64_t from,
            int64_t wait_ms,
            int* status,
            std::string* type) -> std::string {
    std::unique_lock lock(mutex_);
    const auto size = [&] {
      return static_cast<int64_t>(topics_[topic].records.size());
    };
    changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                      [&] { return size() > from; });
    if (from > size()) {
      *status = 410;
      return "{\"first\":0}";
    }
    *type = "application/octet-stream";
    std::string body =
        BigEndian(static_cast<uint64_t>(size()), 8) + BigEndian(0, 8);
    for (int64_t i = from; i < size() && body.size() < 1'000'000; ++i) {
      const std::string& record =
          topics_[topic].records[static_cast<size_t>(i)];
      body += BigEndian(record.size(), 4) + record;
    }
    return body;
  }
  auto Append(const std::string& topic, std::string_view body) -> std::string {
    int64_t first = -1;
    int64_t end = 0;
    while (body.size() >= 4) {
      uint32_t size = 0;
      for (int i = 0; i < 4; ++i)
        size = size << 8 |
               static_cast<unsigned char>(body[static_cast<size_t>(i)]);
      const int64_t at = AppendRaw(topic, std::string(body.substr(4, size)));
      first = first < 0 ? at : first;
      end = at + 1;
      body.remove_prefix(4 + size);
    }
    return "{\"offset\":" + std::to_string(first) +
           ",\"end-offset\":" + std::to_string(end) + "}";
  }

  int fd_ = -1;
  uint16_t port_ = 0;
  std::atomic<bool> down_ = false;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
};

// ---------------------------------------------------------------- engines

// An engine or a server of a plain service. It writes its entry into the store
// every 1,200 ms, and serves each connection in a thread of its own, one
// request at a time.
class Engine {
 public:
  // Answers `request` on `fd`; returns whether the connection is kept.
  using Handler = std::function<bool(Engine*, int fd, const Message& request)>;

  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    std::string version = "v1";
    int slots = 64;
  };

  Engine(Store* store, Options options, Handler handler)
      : store_(store),
        options_(std::move(options)),
        handler_(std::move(handler)) {}

  // Starts to serve, and then says so in the store. Its address stays the same
  // over its lives.
  auto Start() -> bool {
    const int fd = Listen(&port_);
    if (fd < 0)
      return false;
    int life = 0;
    {
      const std::lock_guard lock(mutex_);
      listener_ = fd;
      life = ++life_;
      born_ms_ = UnixMs();
      seq_ = 0;
    }
    std::thread([this, fd, life] { Accept(fd, life); }).detach();
    std::thread([this, life] {
      while (Beat(life))
        SleepMs(1'200);
    }).detach();
    return true;
  }
  // Ends as a process does that is killed: the listener and all connections are
  // closed, and nothing is said to the store.
  void Crash() {
    const std::lock_guard lock(mutex_);
    ++life_;
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    listener_ = -1;
    for (const int fd : open_) {
      const linger now{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      shutdown(fd, SHUT_RD);
    }
    crashed_.insert(open_.begin(), open_.end());
    // The handlers see `alive` and close; a reset follows.
  }
  // Writes the entry now, if the store takes it.
  auto Beat(int life) -> bool {
    std::string value;
    {
      const std::lock_guard lock(mutex_);
      if (life != life_)
        return false;
      value = "{\"service\":" + JsonText(options_.service) +
              ",\"address\":\"127.0.0.1:" + std::to_string(port_) +
              "\",\"zone\":" + JsonText(options_.zone) +
              ",\"version\":" + JsonText(options_.version) +
              ",\"slots\":" + std::to_string(options_.slots) +
              ",\"state\":" + JsonText(state_) +
              ",\"cold-left-ms\":0,\"born\":" + std::to_string(born_ms_) +
              ",\"seq\":" + std::to_string(++seq_) + "}";
    }
    if (!store_->down())
      store_->Put("keyed.servers", options_.id, value);
    return true;
  }
  void SetVersion(const std::string& version) {
    const std::lock_guard lock(mutex_);
    options_.version = version;
  }
  auto version() -> std::string {
    const std::lock_guard lock(mutex_);
    return options_.version;
  }
  auto id() const -> const std::string& { return options_.id; }
  auto port() const -> uint16_t { return port_; }
  auto life() -> int {
    const std::lock_guard lock(mutex_);
    return life_;
  }

 private:
  void Accept(int listener, int life) {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        const std::lock_guard lock(mutex_);
        if (life != life_) {
          ResetClose(fd);
          return;
        }
        open_.insert(fd);
      }
      std::thread([this, fd, life] { Serve(fd, life); }).detach();
    }
  }
  void Serve(int fd, int life) {
    Reader reader(fd);
    while (life == this->life()) {
      const auto request = ReadRequest(&reader, NowMs() + 600'000);
      if (!request || life != this->life())
        break;
      const std::string expected = request->Field("X-Sparbend-Expect-Instance");
      if (!expected.empty() && expected != options_.id) {
        if (!SendAll(fd,
                     "HTTP/1.1 421 Misdirected Request\r\n"
                     "X-Sparbend-Attempt-Id: " +
                         request->Field("X-Sparbend-Attempt-Id") +
                         "\r\nX-Sparbend-Instance-Id: " + options_.id +
                         "\r\nX-Sparbend-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n"))
          break;
        continue;
      }
      if (!handler_(this, fd, *request))
        break;
    }
    {
      const std::lock_guard lock(mutex_);
      open_.erase(fd);
      crashed_.erase(fd);
    }
    close(fd);
  }

  Store* store_;
  Options options_;
  Handler handler_;
  std::mutex mutex_;
  uint16_t port_ = 0;
  int listener_ = -1;
  int life_ = 0;
  int64_t born_ms_ = 0;
  int64_t seq_ = 0;
  std::string state_ = "ready";
  std::set<int> open_;
  std::set<int> crashed_;
};

// ------------------------------------------------------------------ boxes

// One process of the project, started with the command of deploy/system.toml
// and settings that are deploy/settings.toml, filled as DEPLOY.md says.
class Box {
 public:
  struct Deployment {
    std::string root;    // of the repository
    std::string folder;  // for settings and logs
    uint16_t store = 0;
    std::vector<std::string> seeds;
  };
  Box(const Deployment& deployment, std::string name, std::string zone)
      : deployment_(deployment),
        name_(std::move(name)),
        zone_(std::move(zone)),
        front_(FreePort()),
        ready_(FreePort()),
        peers_(FreePort()),
        control_(FreePort()) {}
  ~Box() { Kill(); }
  Box(const Box&) = delete;
  auto operator=(const Box&) -> Box& = delete;

  auto front() const -> uint16_t { return front_; }
  auto control() const -> std::string {
    return "127.0.0.1:" + std::to_string(control_);
  }
  auto name() const -> const std::string& { return name_; }
  auto pid() const -> pid_t { return pid_; }
  void SetSeeds(std::vector<std::string> seeds) {
    deployment_.seeds = std::move(seeds);
  }

  auto Start() -> bool {
    const std::string settings = deployment_.folder + "/" + name_ + ".toml";
    if (!WriteSettings(settings))
      return false;
    const std::string log = deployment_.folder + "/" + name_ + "-" +
                            std::to_string(++lives_) + ".log";
    // `run` of the deploy file, with the place of the settings file.
    const std::string program = deployment_.root + "/target/sparbendd";
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
      dup2(out, 1);
      dup2(out, 2);
      if (chdir(deployment_.root.c_str()) != 0)
        _exit(126);
      execl(program.c_str(), program.c_str(), "--config", settings.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
    return pid_ > 0;
  }
  void Signal(int signal) {
    if (pid_ > 0)
      kill(pid_, signal);
  }
  void Kill() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  // Whether the process has ended by itself, and how (wait status).
  auto Ended(int* status) -> bool {
    if (pid_ <= 0 || waitpid(pid_, status, WNOHANG) != pid_)
      return false;
    pid_ = -1;
    return true;
  }
  auto IsReady() -> bool {
    const int fd = Connect(ready_, 500);
    if (fd < 0)
      return false;
    SendAll(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    Reader reader(fd);
    const auto head = ReadHead(&reader, NowMs() + 1'000);
    close(fd);
    return head && head->status() == 200;
  }
  auto WaitReady(int64_t span) -> bool {
    for (const int64_t until = NowMs() + span; NowMs() < until; SleepMs(50)) {
      if (IsReady())
        return true;
    }
    return false;
  }
  // Resident memory in KB; 0 if the process is gone.
  auto ResidentKb() const -> int64_t {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmRSS:"))
        return std::atoll(line.c_str() + 6);
    }
    return 0;
  }

 private:
  auto WriteSettings(const std::string& path) -> bool {
    std::ifstream file(deployment_.root + "/deploy/settings.toml");
    std::stringstream text;
    text << file.rdbuf();
    std::string settings = text.str();
    if (settings.empty())
      return false;
    const auto replace = [&](const std::string& gap, const std::string& value) {
      for (size_t at; (at = settings.find(gap)) != std::string::npos;)
        settings.replace(at, gap.size(), value);
    };
    std::string seeds;
    for (const std::string& seed : deployment_.seeds)
      seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
    const std::string address = "127.0.0.1:";
    replace("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds);
    replace("{{node}}", name_);
    replace("{{zone}}", zone_);
    replace("{{listen.front}}", address + std::to_string(front_));
    replace("{{listen.ready}}", address + std::to_string(ready_));
    replace("{{ip}}:{{internal-ports.0}}", address + std::to_string(peers_));
    replace("{{listen.control}}", control());
    replace("{{platform.address}}",
            address + std::to_string(deployment_.store));
    replace("{{bounds.budget-slack}}", "56");
    replace("{{bounds.budget-window-s}}", "10");
    replace("{{bounds.budget-ratio}}", "0.2");
    replace("{{limits.memory-mb}}", "260");
    replace("{{limits.max-fds}}", "4100");
    replace("{{limits.cpu-share}}", "0.25");
    replace("{{bounds.drain-ms}}", "2000");
    replace("{{bounds.grace-s}}", "8");
    if (settings.find("{{") != std::string::npos)
      return false;
    std::ofstream(path) << settings;
    return true;
  }

  Deployment deployment_;
  std::string name_;
  std::string zone_;
  uint16_t front_;
  uint16_t ready_;
  uint16_t peers_;
  uint16_t control_;
  pid_t pid_ = -1;
  int lives_ = 0;
};

// ------------------------------------------------------------- requesters

// A part of an answer's body that is still framed in chunks, unframed as it
// comes.
struct Answer {
  bool connected = false;
  int status = 0;  // 0: no answer
  std::map<std::string, std::string> fields;
  std::string body;
  bool complete = false;
  bool reset = false;
  int64_t took_ms = 0;
};

// Sends `request` on `fd` and reads the answer until `until`.
inline auto Exchange(int fd,
                     Reader* reader,
                     const std::string& request,
                     int64_t until) -> Answer {
  Answer answer;
  const int64_t begin = NowMs();
  answer.connected = true;
  if (SendAll(fd, request)) {
    if (const auto head = ReadHead(reader, until)) {
      answer.status = head->status();
      answer.fields = head->fields;
      if (Lower(head->Field("Transfer-Encoding")) == "chunked") {
        while (true) {
          const auto line = reader->Line(until);
          if (!line)
            break;
          const size_t size = std::strtoul(line->c_str(), nullptr, 16);
          bool whole = true;
          while (reader->buffered().size() < size + 2 && whole)
            whole = reader->More(until);
          if (!whole) {
            answer.body += reader->buffered().substr(0, size);
            break;
          }
          const auto piece = reader->Take(size + 2, until);
          answer.body += piece->substr(0, size);
          if (size == 0) {
            answer.complete = true;
            break;
          }
        }
      } else if (!head->Field("Content-Length").empty()) {
        const auto body = reader->Take(
            std::strtoul(head->Field("Content-Length").c_str(), nullptr, 10),
            until);
        answer.complete = body.has_value();
        answer.body = body.value_or(reader->buffered());
      } else {
        while (reader->More(until)) {
        }
        answer.body = std::exchange(reader->buffered(), "");
        answer.complete = !reader->was_reset && !reader->timed_out;
      }
    }
  }
  answer.reset = reader->was_reset;
  answer.took_ms = NowMs() - begin;
  return answer;
}

inline auto Ask(uint16_t port, const std::string& request, int64_t span)
    -> Answer {
  const int64_t until = NowMs() + span;
  const int fd = Connect(port, 1'000);
  if (fd < 0)
    return {};
  Reader reader(fd);
  Answer answer = Exchange(fd, &reader, request, until);
  close(fd);
  return answer;
}

// ------------------------------------------------------------------ folder

inline auto TemporaryFolder() -> std::string {
  const char* base = std::getenv("TMPDIR");
  std::string path =
      std::string(base == nullptr ? "/tmp" : base) + "/sparbend-review-XXXXXX";
  return mkdtemp(path.data()) == nullptr ? "" : path;
}

inline auto HasTrouble() -> bool {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// Leaves the process without waiting for the threads of the stand-ins.
[[noreturn]] inline void Leave(int code) {
  std::fflush(nullptr);
  _exit(code);
}

}  // namespace world

#endif  // REVIEW_STAND_IN_2_WORLD_HPP_
