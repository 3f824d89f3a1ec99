// Tells in the log when something this box depends on is lost or regained,
// once each, with how long it was away.
#ifndef SPARBEND_SERVICES_DEPENDENCY_H_
#define SPARBEND_SERVICES_DEPENDENCY_H_

#include <string>

#include "sparbend/core/millis.h"

namespace sparbend {

class Dependency {
 public:
  explicit Dependency(std::string name) : name_(std::move(name)) {}

  // A use of it ended well, or did not; `why` is for the log.
  void OnGood(Millis now);
  void OnBad(const std::string& why, Millis now);

  auto lost() const -> bool { return lost_; }
  // How long to wait before it is tried again: longer the more tries in a row
  // ended badly.
  auto pause() const -> Millis;
  // When it was last known to be there; zero: never yet.
  auto last_good() const -> Millis { return last_good_; }

 private:
  std::string name_;
  bool lost_ = false;
  int bad_in_a_row_ = 0;
  Millis lost_since_;
  Millis last_good_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_DEPENDENCY_H_
