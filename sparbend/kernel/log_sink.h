// Writes log lines to a descriptor without ever waiting for its reader: lines
// that find no room are kept within a bound, and beyond it dropped and
// counted.
#ifndef SPARBEND_KERNEL_LOG_SINK_H_
#define SPARBEND_KERNEL_LOG_SINK_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace sparbend {

class LogSink {
 public:
  explicit LogSink(int fd) : fd_(fd) {}

  // Takes a line without its end. O(size), one system call or two.
  void Write(std::string_view line);
  // Writes what was kept, as far as the reader takes it.
  void Flush();

  auto dropped() const -> int64_t { return dropped_; }

 private:
  int fd_;
  std::string kept_;
  int64_t dropped_ = 0;
};

}  // namespace sparbend

#endif  // SPARBEND_KERNEL_LOG_SINK_H_
