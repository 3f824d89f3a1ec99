// Recent values of a quantity, to compare it with figures that are known only
// after a delay.
//
//   history.Record(value, now);
//   history.Mean(now - report_delay, now)
//
// Reads no clock.
#ifndef SPARBEND_CORE_VALUE_HISTORY_H_
#define SPARBEND_CORE_VALUE_HISTORY_H_

#include <deque>

#include "sparbend/core/millis.h"

namespace sparbend {

class ValueHistory {
 public:
  // Samples closer to each other than this are left out.
  static constexpr Millis kInterval = Millis(50);
  // Samples are kept for this time, and the newest one in any case.
  static constexpr Millis kRetention = Millis(2'000);

  // `now` must not decrease.
  void Record(double value, Millis now);
  // The mean of the values between two times, as if each sample held until the
  // next one; zero before the first. `from` must be before `to`.
  auto Mean(Millis from, Millis to) const -> double;

 private:
  struct Sample {
    Millis at;
    double value = 0;
  };

  std::deque<Sample> samples_;  // the oldest first
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_VALUE_HISTORY_H_
