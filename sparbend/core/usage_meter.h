// Measures the service of an answer as it passes: events of a stream while it
// runs, and the usage that the engine states at its end.
#ifndef SPARBEND_CORE_USAGE_METER_H_
#define SPARBEND_CORE_USAGE_METER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace sparbend {

class UsageMeter {
 public:
  // Takes the next bytes of the body. O(bytes).
  void Feed(std::string_view bytes);

  // Forgets the event that has only come in part: the stream broke there and
  // goes on elsewhere after the last whole one.
  void DropPartial();

  // Bytes fed so far.
  auto bytes() const -> int64_t { return bytes_; }
  // Events of a server-sent stream seen so far, the closing one included.
  auto events() const -> int64_t { return events_; }
  // The id of the last whole event, empty if events carry none.
  auto last_event_id() const -> const std::string& { return last_id_; }
  // Bytes up to the end of the last whole event.
  auto whole_bytes() const -> int64_t { return whole_bytes_; }
  // Whether the stream's closing event was seen.
  auto done() const -> bool { return done_; }

  // Tokens as the engine's usage object states them; both 0 without one.
  struct Usage {
    int64_t prompt = 0;
    int64_t completion = 0;
  };
  auto FinalUsage() const -> Usage;

 private:
  void TakeLine();

  std::string line_;  // the line being read, cut to a bound
  std::string tail_;  // the last bytes of the body
  std::string id_;    // of the event being read
  std::string last_id_;
  int64_t bytes_ = 0;
  int64_t whole_bytes_ = 0;
  int64_t events_ = 0;
  bool in_event_ = false;
  bool done_event_ = false;
  bool done_ = false;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_USAGE_METER_H_
