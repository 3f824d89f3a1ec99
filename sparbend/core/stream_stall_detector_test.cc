#include "sparbend/core/stream_stall_detector.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr TargetId kTarget = 7;

TEST_GROUP(StreamStallDetector){};

TEST(StreamStallDetector, ATargetIsQuietWhenSeveralStreamsPauseForMuchLonger) {
  struct Case {
    const char* what;
    int streams;
    int64_t gap_ms;  // between pieces, before the last one
    int64_t since_ms;
    bool quiet;
  };
  const Case cases[] = {
      {"pieces come", 3, 20, 20, false},
      {"a long prompt is read between", 3, 20, 240, false},
      {"nothing for long", 3, 20, 300, true},
      {"one stream alone may pause", 1, 20, 5'000, false},
      {"no stream", 0, 20, 5'000, false},
      {"pieces come seldom", 3, 400, 350, false},
      {"not even those", 3, 400, 2'100, true},
  };
  for (const Case& row : cases) {
    StreamStallDetector silence;
    Millis now(1'000);
    for (int i = 0; i < row.streams; ++i)
      silence.OnBegun(kTarget, now);
    for (int i = 0; i < 100; ++i) {
      now = now + Millis(row.gap_ms);
      silence.OnBytes(kTarget, now);
    }
    CHECK_EQUAL_TEXT(row.quiet,
                     silence.Quiet(kTarget, now + Millis(row.since_ms)),
                     row.what);
  }
}

TEST(StreamStallDetector, OneByteOrTheEndOfItsStreamsMakesItHeardAgain) {
  StreamStallDetector silence;
  silence.OnBegun(kTarget, Millis(0));
  silence.OnBegun(kTarget, Millis(0));
  CHECK(silence.Quiet(kTarget, Millis(1'000)));
  silence.OnBytes(kTarget, Millis(1'000));
  CHECK(!silence.Quiet(kTarget, Millis(1'010)));
  CHECK(silence.Quiet(kTarget, Millis(4'000)));
  silence.OnEnded(kTarget);
  CHECK(!silence.Quiet(kTarget, Millis(4'000)));
  silence.OnEnded(kTarget);
  silence.OnEnded(kTarget);  // one too many changes nothing
  silence.OnBegun(kTarget, Millis(5'000));
  silence.OnBegun(kTarget, Millis(5'000));
  CHECK(!silence.Quiet(kTarget, Millis(5'100)));
}

}  // namespace
}  // namespace sparbend
