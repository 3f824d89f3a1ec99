// Writes log lines to a file descriptor without waiting for its reader. Lines
// that can't be written are buffered; when the buffer is full, lines are
// dropped and counted.
//
//   LogSink sink(STDOUT_FILENO);
//   sink.Write(line);
//   sink.Flush();  // call periodically, in case no further line is written
#ifndef SPARBEND_KERNEL_LOG_SINK_H_
#define SPARBEND_KERNEL_LOG_SINK_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace sparbend {

class LogSink {
 public:
  explicit LogSink(int fd) : fd_(fd) {}

  // Writes or buffers `line`, given without its newline. O(size); with an empty
  // buffer, one or two system calls.
  void Write(std::string_view line);
  // Writes buffered lines as far as the reader accepts them.
  void Flush();

  // The number of lines dropped so far.
  auto dropped() const -> int64_t { return dropped_lines_; }

 private:
  int fd_;
  std::string buffer_;
  int64_t dropped_lines_ = 0;
};

}  // namespace sparbend

#endif  // SPARBEND_KERNEL_LOG_SINK_H_
