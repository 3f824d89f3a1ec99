// record.txt of a case: one line an event, with the time since the start.
#ifndef REVIEW_STAND_IN_RECORD_HPP_
#define REVIEW_STAND_IN_RECORD_HPP_

#include <fstream>
#include <mutex>
#include <string>

#include "net.hpp"

namespace review {

class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << NowMs() << " " << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_RECORD_HPP_
