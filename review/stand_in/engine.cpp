#include "engine.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

auto Engine::Call::Ended() const -> bool {
  return !engine->running() || engine->boot() != boot;
}

Engine::Engine(Options options, Store* store, Record* record, Handler handler)
    : options_(std::move(options)),
      store_(store),
      record_(record),
      handler_(std::move(handler)) {}

auto Engine::Entry() -> std::string {
  std::string entry =
      "{\"service\":\"" + options_.service +
      "\",\"address\":\"127.0.0.1:" + std::to_string(port_) + "\",\"zone\":\"" +
      options_.zone + "\",\"version\":\"" + options_.version +
      "\",\"slots\":" + std::to_string(options_.slots) +
      ",\"state\":\"ready\",\"cold-left-ms\":0,\"born\":" +
      std::to_string(born_) + ",\"seq\":" + std::to_string(++seq_);
  if (options_.model)
    entry +=
        ",\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
        "\"adapters\":[]}]";
  return entry + "}";
}

void Engine::WriteEntry() {
  const std::lock_guard lock(mutex_);
  store_->Put("keyed.servers", options_.id, Entry());
}

void Engine::Beat() {
  while (true) {
    SleepMs(options_.heartbeat_ms);
    if (running_)
      WriteEntry();
  }
}

void Engine::Open() {
  {
    const std::lock_guard lock(mutex_);
    ++boot_;
    born_ = UnixMs();
    seq_ = 0;
  }
  listener_ = Listen(port_);
  if (listener_ < 0) {
    record_->Line("engine " + options_.id + ": no port");
    _exit(2);
  }
  port_ = PortOf(listener_);
  WriteEntry();
  running_ = true;
  std::thread([this, listener = listener_, boot = boot_.load()] {
    Accept(listener, boot);
  }).detach();
}

void Engine::Start() {
  Open();
  std::thread([this] { Beat(); }).detach();
}

void Engine::Crash() {
  running_ = false;
  shutdown(listener_, SHUT_RDWR);
  const std::lock_guard lock(mutex_);
  for (const int fd : sockets_)
    shutdown(fd, SHUT_RDWR);
  record_->Line("engine " + options_.id + ": crashed, software " +
                options_.version);
}

void Engine::StartAgain(const std::string& version) {
  options_.version = version;
  Open();
  record_->Line("engine " + options_.id + ": started again, software " +
                version + ", its entry is in the store");
}

void Engine::Accept(int listener, int boot) {
  while (true) {
    const int fd = accept(listener, nullptr, nullptr);
    if (fd < 0)
      break;
    if (!running_ || boot_ != boot) {
      close(fd);
      break;
    }
    std::thread([this, fd, boot] { Serve(fd, boot); }).detach();
  }
  close(listener);
}

void Engine::Serve(int fd, int boot) {
  {
    const std::lock_guard lock(mutex_);
    sockets_.insert(fd);
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  {
    Channel channel(fd);
    for (bool open = true; open;) {
      const auto head = channel.ReadHead(NowMs() + 60'000);
      if (!head || !running_ || boot_ != boot)
        break;
      Call call{this, &channel, ParseRequestHead(*head), options_.version,
                boot};
      const Fields& fields = call.request.fields;
      const std::string expected = fields.Get("X-Sparbend-Expect-Instance");
      if (call.request.target == "/health") {
        open = channel.Write("HTTP/1.1 200 OK\r\nX-Sparbend-Instance-Id: " +
                             options_.id + "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (!expected.empty() && expected != options_.id) {
        channel.ReadBody(fields, NowMs() + 10'000, [](const std::string&) {});
        open = channel.Write(
            "HTTP/1.1 421 Misdirected Request\r\nX-Sparbend-Attempt-Id: " +
            call.Id() +
            "\r\nX-Sparbend-Not-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n");
        continue;
      }
      open = handler_(&call);
    }
    const std::lock_guard lock(mutex_);
    sockets_.erase(fd);
  }
}

auto AnswerHead(const Engine::Call& call, const std::string& fields)
    -> std::string {
  return "HTTP/1.1 200 OK\r\nX-Sparbend-Attempt-Id: " + call.Id() +
         "\r\nX-Sparbend-Response-Signature: sig-" + call.Id() +
         "\r\nX-Sparbend-Weight-Versions: 1\r\n" + fields + "\r\n";
}

}  // namespace review
