// Tracks whether something that this box depends on, such as a store, is
// available. Logs each loss and each recovery once, with the duration of the
// outage.
#ifndef SPARBEND_SERVICES_DEPENDENCY_H_
#define SPARBEND_SERVICES_DEPENDENCY_H_

#include <string>

#include "sparbend/core/millis.h"

namespace sparbend {

class Dependency {
 public:
  explicit Dependency(std::string name) : name_(std::move(name)) {}

  // Record the result of a call; `why` is the error for the log.
  void RecordSuccess(Millis now);
  void RecordFailure(const std::string& why, Millis now);

  auto lost() const -> bool { return lost_; }
  // How long to wait before the next call: longer the more calls in a row have
  // failed, up to 1 s.
  auto pause() const -> Millis;
  // When a call last succeeded; zero: never.
  auto last_good() const -> Millis { return last_good_; }

 private:
  std::string name_;
  bool lost_ = false;
  int consecutive_failures_ = 0;
  Millis lost_since_;
  Millis last_good_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_DEPENDENCY_H_
