// A pipe that poll() reports as writable accepts PIPE_BUF bytes without
// blocking (pipe(7)), so poll() is called before each piece of that size. The
// descriptor is not made non-blocking, because that would affect all processes
// that share it.
#include "sparbend/kernel/log_sink.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace sparbend {
namespace {

constexpr size_t kMaxBufferedBytes = 1024 * 1024;

auto IsWritable(int fd) -> bool {
  pollfd poll_state{fd, POLLOUT, 0};
  return poll(&poll_state, 1, 0) == 1 && (poll_state.revents & POLLOUT) != 0;
}

}  // namespace

void LogSink::Write(std::string_view line) {
  if (buffer_.size() + line.size() >= kMaxBufferedBytes) {
    ++dropped_lines_;
  } else {
    buffer_.append(line);
    buffer_ += '\n';
  }
  Flush();
}

void LogSink::Flush() {
  size_t written = 0;
  while (written < buffer_.size() && IsWritable(fd_)) {
    const size_t size = std::min<size_t>(PIPE_BUF, buffer_.size() - written);
    const ssize_t accepted_bytes = write(fd_, buffer_.data() + written, size);
    if (accepted_bytes <= 0)
      break;  // reader gone, or a signal; lines stay in the buffer
    written += static_cast<size_t>(accepted_bytes);
  }
  buffer_.erase(0, written);
}

}  // namespace sparbend
