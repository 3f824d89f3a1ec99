// Detects targets whose open streams have stalled: no bytes were received on
// any of a target's streams for much longer than usual. This detects a target
// that is dead or cut off by the network seconds before its connections break.
// The next byte received ends the stall.
//
//   detector.OnStreamStart(target, now);   // a stream was opened
//   detector.OnBytes(target, now);
//   detector.OnEnded(target);
//   if (detector.IsStalled(target, now)) ...   // send no new requests to it
//
// Does no I/O and reads no clock. All calls are O(1).
#ifndef SPARBEND_CORE_STREAM_STALL_DETECTOR_H_
#define SPARBEND_CORE_STREAM_STALL_DETECTOR_H_

#include <unordered_map>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"

namespace sparbend {

class StreamStallDetector {
 public:
  // A stream from `target` has started. Each call is followed by one of
  // OnEnded, whether or not the stream was received completely.
  void OnStreamStart(TargetId target, Millis now);
  void OnBytes(TargetId target, Millis now);
  void OnEnded(TargetId target);
  // Whether the streams of `target` are stalled.
  auto IsStalled(TargetId target, Millis now) const -> bool;

 private:
  // Of a target with open streams.
  struct State {
    int streams = 0;
    Millis last_bytes_at;  // or the start of the first open stream
    double gap_ms =
        0;  // moving average of the time between bytes of any stream
    double deviation_ms = 0;  // moving average of the deviation from gap_ms
  };

  std::unordered_map<TargetId, State> states_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_STREAM_STALL_DETECTOR_H_
