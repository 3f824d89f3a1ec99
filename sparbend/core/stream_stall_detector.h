// Whether a target that should be sending has gone quiet: it has streams under
// way, and none of their bytes came for much longer than usual. A dead or
// cut-off target shows so seconds before its connections break, and at the
// first byte it counts as heard again.
//
//   silence.OnBegun(target, now); silence.OnBytes(target, now);
//   silence.OnEnded(target);
//   if (silence.Quiet(target, now)) ...   // send nothing new there
//
// Pure; all calls O(1).
#ifndef SPARBEND_CORE_STREAM_STALL_DETECTOR_H_
#define SPARBEND_CORE_STREAM_STALL_DETECTOR_H_

#include <unordered_map>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"

namespace sparbend {

class StreamStallDetector {
 public:
  // A stream from `target` has begun; ended later, whole or not.
  void OnBegun(TargetId target, Millis now);
  void OnBytes(TargetId target, Millis now);
  void OnEnded(TargetId target);
  auto Quiet(TargetId target, Millis now) const -> bool;

 private:
  // Of a target with streams under way.
  struct State {
    int streams = 0;
    Millis heard;
    double gap_ms = 0;        // mean time between pieces of any stream
    double deviation_ms = 0;  // mean deviation from it
  };

  std::unordered_map<TargetId, State> states_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_STREAM_STALL_DETECTOR_H_
