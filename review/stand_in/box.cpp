#include "box.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <sstream>

namespace review {
namespace {

void Replace(std::string* text,
             const std::string& from,
             const std::string& to) {
  for (size_t at = text->find(from); at != std::string::npos;
       at = text->find(from, at + to.size()))
    text->replace(at, from.size(), to);
}

// Drops a section that stands once for each entry of a list: here it is empty.
void DropSection(std::string* text, const std::string& name) {
  const std::string begin = "{{#" + name + "}}";
  const std::string end = "{{/" + name + "}}";
  const size_t from = text->find(begin);
  const size_t to = text->find(end);
  if (from != std::string::npos && to != std::string::npos)
    text->erase(from, to + end.size() - from);
}

}  // namespace

Box::Box(const BoxOptions& options, const std::string& folder, Record* record)
    : options_(options),
      folder_(folder),
      record_(record),
      callers_(FreePort()),
      ready_(FreePort()),
      peers_(FreePort()),
      control_(FreePort()) {}

Box::~Box() {
  Kill();
}

auto Box::Settings() const -> std::string {
  std::ifstream file("deploy/settings.toml");
  std::stringstream bytes;
  bytes << file.rdbuf();
  std::string text = bytes.str();
  const auto address = [](int port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  DropSection(&text, "seeds");
  const std::map<std::string, std::string> gaps = {
      {"{{node}}", options_.name},
      {"{{zone}}", options_.zone},
      {"{{listen.front}}", address(callers_)},
      {"{{listen.ready}}", address(ready_)},
      {"{{listen.control}}", address(control_)},
      {"{{ip}}:{{internal-ports.0}}", address(peers_)},
      {"{{platform.address}}", address(options_.store_port)},
      {"{{bounds.budget-slack}}", "58"},
      {"{{bounds.budget-window-s}}", "10"},
      {"{{bounds.budget-ratio}}", "0.2"},
      {"{{bounds.drain-ms}}", "2000"},
      {"{{bounds.grace-s}}", "8"},
      {"{{limits.memory-mb}}", std::to_string(options_.memory_mb)},
      {"{{limits.max-fds}}", "4100"},
      {"{{limits.cpu-share}}", "0.25"},
  };
  for (const auto& [gap, value] : gaps)
    Replace(&text, gap, value);
  return text;
}

void Box::Start() {
  const std::string settings = folder_ + "/" + options_.name + ".toml";
  const std::string log = folder_ + "/" + options_.name + ".log";
  std::ofstream(settings) << Settings();
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(127);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    execl("target/sparbendd", "target/sparbendd", "--config", settings.c_str(),
          nullptr);
    _exit(127);
  }
  record_->Line("box " + options_.name + ": started");
}

void Box::Signal(int signal) {
  if (pid_ > 0)
    kill(pid_, signal);
}

void Box::Kill() {
  if (pid_ <= 0)
    return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

auto Box::HasEnded() -> bool {
  if (pid_ <= 0)
    return true;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_)
    return false;
  pid_ = -1;
  record_->Line("box " + options_.name + ": ended by itself, status " +
                std::to_string(status));
  return true;
}

auto Box::WaitReady(int64_t timeout_ms) -> bool {
  const int64_t until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    const int fd = Connect(ready_, 200);
    if (fd >= 0) {
      Channel channel(fd);
      channel.Write("GET /readyz HTTP/1.1\r\nHost: box\r\n\r\n");
      const auto head = channel.ReadHead(NowMs() + 1'000);
      if (head && ParseResponseHead(*head).status == 200)
        return true;
    }
    SleepMs(50);
  }
  return false;
}

auto Box::ResidentBytes() const -> int64_t {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  int64_t size = 0;
  int64_t resident = 0;
  file >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

}  // namespace review
