// A descriptor that polls as writable takes PIPE_BUF bytes without waiting
// (pipe(7)), so it is asked before each piece of that size. Setting it
// non-blocking instead would change it for every process that shares it.
#include "sparbend/kernel/log_sink.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace sparbend {
namespace {

constexpr size_t kMostKept = 1024 * 1024;

auto Writable(int fd) -> bool {
  pollfd state{fd, POLLOUT, 0};
  return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

}  // namespace

void LogSink::Write(std::string_view line) {
  if (kept_.size() + line.size() >= kMostKept) {
    ++dropped_;
  } else {
    kept_.append(line);
    kept_ += '\n';
  }
  Flush();
}

void LogSink::Flush() {
  size_t written = 0;
  while (written < kept_.size() && Writable(fd_)) {
    const size_t size = std::min<size_t>(PIPE_BUF, kept_.size() - written);
    const ssize_t taken = write(fd_, kept_.data() + written, size);
    if (taken <= 0)
      break;  // the reader is gone or interrupted us; lines stay kept
    written += static_cast<size_t>(taken);
  }
  kept_.erase(0, written);
}

}  // namespace sparbend
