#include "sparbend/core/stream_stall_detector.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr TargetId kTarget = 7;

TEST_GROUP(StreamStallDetector){};

TEST(StreamStallDetector, StalledWhenSeveralStreamsPauseMuchLongerThanUsual) {
  struct Case {
    const char* what;
    int streams;
    int64_t gap_ms;   // between bytes, until the last ones
    int64_t idle_ms;  // since the last bytes
    bool stalled;
  };
  const Case cases[] = {
      {"bytes as usual", 3, 20, 20, false},
      {"a pause while a long prompt is processed", 3, 20, 240, false},
      {"no bytes for long", 3, 20, 300, true},
      {"a single stream may pause", 1, 20, 5'000, false},
      {"no streams", 0, 20, 5'000, false},
      {"bytes seldom, a usual pause", 3, 400, 350, false},
      {"bytes seldom, a long pause", 3, 400, 2'100, true},
  };
  for (const Case& row : cases) {
    StreamStallDetector detector;
    Millis now(1'000);
    for (int i = 0; i < row.streams; ++i)
      detector.OnStreamStart(kTarget, now);
    for (int i = 0; i < 100; ++i) {
      now = now + Millis(row.gap_ms);
      detector.OnBytes(kTarget, now);
    }
    CHECK_EQUAL_TEXT(row.stalled,
                     detector.IsStalled(kTarget, now + Millis(row.idle_ms)),
                     row.what);
  }
}

TEST(StreamStallDetector, BytesOrTheEndOfAStreamEndTheStall) {
  StreamStallDetector detector;
  detector.OnStreamStart(kTarget, Millis(0));
  detector.OnStreamStart(kTarget, Millis(0));
  CHECK(detector.IsStalled(kTarget, Millis(1'000)));
  detector.OnBytes(kTarget, Millis(1'000));
  CHECK(!detector.IsStalled(kTarget, Millis(1'010)));
  CHECK(detector.IsStalled(kTarget, Millis(4'000)));
  detector.OnEnded(kTarget);
  CHECK(!detector.IsStalled(kTarget, Millis(4'000)));
  detector.OnEnded(kTarget);
  detector.OnEnded(kTarget);  // without a stream, has no effect
  detector.OnStreamStart(kTarget, Millis(5'000));
  detector.OnStreamStart(kTarget, Millis(5'000));
  CHECK(!detector.IsStalled(kTarget, Millis(5'100)));
}

}  // namespace
}  // namespace sparbend
