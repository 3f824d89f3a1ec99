// What boxes conclude from their own calls and from the spans that peers
// report.
#include "sparbend/core/store_availability.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <vector>

#include "testing/properties.h"

namespace sparbend {
namespace {

struct Event {
  enum class Kind { kAnswered, kFailed, kPeerSpan };
  Kind kind = Kind::kAnswered;
  int64_t at_ms = 0;     // for kPeerSpan: the start of the span
  int64_t until_ms = 0;  // for kPeerSpan: the end of the span
};

auto Answered(int64_t at_ms) -> Event {
  return {Event::Kind::kAnswered, at_ms};
}
auto Failed(int64_t at_ms) -> Event {
  return {Event::Kind::kFailed, at_ms};
}
auto PeerSpan(int64_t since_ms, int64_t until_ms) -> Event {
  return {Event::Kind::kPeerSpan, since_ms, until_ms};
}

void Apply(const std::vector<Event>& events, StoreAvailability* availability) {
  for (const Event& event : events) {
    switch (event.kind) {
      case Event::Kind::kAnswered:
        availability->OnAnswered(Millis(event.at_ms));
        break;
      case Event::Kind::kFailed:
        availability->OnFailed(Millis(event.at_ms));
        break;
      case Event::Kind::kPeerSpan:
        availability->OnPeerSpan({Millis(event.at_ms), Millis(event.until_ms)});
        break;
    }
  }
}

TEST_GROUP(StoreAvailability){};

TEST(StoreAvailability, DistinguishesAnOutageFromFailedCallsOfOneBox) {
  struct Case {
    const char* what;
    std::vector<Event> events;
    int64_t since_ms;
    int64_t until_ms;
    bool may_lapse;  // records that are missing from a list read at `until_ms`
  };
  const Case cases[] = {
      {"a box that has just started", {Answered(0)}, 0, 0, false},
      {"regular answers",
       {Answered(0), Answered(900), Answered(1'800)},
       0,
       1'800,
       false},
      {"a call fails, no peer reports",
       {Answered(0), Failed(900), Answered(1'000)},
       1'000,
       1'000,
       true},
      {"the time for records to be written again is over",
       {Answered(0), Failed(900), Answered(1'000), Answered(2'000),
        Answered(3'000), Answered(3'400)},
       1'000,
       3'400,
       false},
      {"a call fails, a peer is answered before and after it",
       {Answered(0), Failed(900), PeerSpan(0, 1'500), Answered(2'000)},
       0,
       2'000,
       false},
      {"the same, the peer reports only after this box is answered",
       {Answered(0), Failed(900), Answered(2'000), PeerSpan(-9'000, 2'100)},
       -9'000,
       2'100,
       false},
      {"a peer was answered only before the failure",
       {Answered(0), Failed(900), Answered(2'000), PeerSpan(0, 800)},
       2'000,
       2'000,
       true},
      {"the store comes back, for a peer first",
       {Answered(0), Failed(900), Failed(1'900), PeerSpan(2'500, 2'600),
        Answered(3'000)},
       2'500,
       3'000,
       true},
      {"the store comes back, for a peer later",
       {Answered(0), Failed(900), Answered(2'500), PeerSpan(2'600, 3'000)},
       2'500,
       3'000,
       true},
      {"no call for longer than an overloaded box waits",
       {Answered(0), Answered(2'501)},
       2'501,
       2'501,
       true},
      {"an overloaded box",
       {Answered(0), Answered(2'500), Answered(5'000)},
       0,
       5'000,
       false},
      {"a box that makes no calls: peers report after an outage",
       {PeerSpan(0, 900), PeerSpan(4'000, 4'100)},
       4'000,
       4'100,
       true},
      {"a box that makes no calls: a short gap between reports",
       {PeerSpan(0, 900), PeerSpan(1'700, 1'900)},
       0,
       1'900,
       false},
      {"a short gap between reports, an own call failed in it",
       {PeerSpan(0, 900), Failed(1'000), PeerSpan(1'700, 1'900)},
       1'700,
       1'900,
       true},
      {"a short gap between reports, the first of two calls failed in it",
       {PeerSpan(0, 900), Failed(1'000), Failed(1'800), PeerSpan(1'700, 1'900)},
       1'700,
       1'900,
       true},
      {"a peer reports a span that ended before this box's",
       {Answered(0), Failed(900), Answered(4'000), PeerSpan(100, 3'000)},
       4'000,
       4'000,
       true},
  };
  for (const Case& row : cases) {
    StoreAvailability availability;
    CHECK(!availability.span());
    Apply(row.events, &availability);
    CHECK_EQUAL_TEXT(row.since_ms, availability.span()->since.count(),
                     row.what);
    CHECK_EQUAL_TEXT(row.until_ms, availability.span()->until.count(),
                     row.what);
    CHECK_EQUAL_TEXT(
        row.may_lapse,
        availability.RecordsMayHaveExpired(availability.span()->until),
        row.what);
  }
}

TEST(StoreAvailability, AnsweredSinceAllowsTheTimeOfAReadAfterAnOutage) {
  struct Case {
    const char* what;
    std::vector<Event> events;
    bool answered_since;  // for a list read at 0
  };
  const Case cases[] = {
      {"no peer reports", {Answered(0)}, false},
      {"peers read for one read interval",
       {Answered(0), PeerSpan(-9'000, 1'150)},
       false},
      {"peers read for longer", {Answered(0), PeerSpan(-9'000, 1'151)}, true},
      {"one read interval after an outage",
       {Answered(0), PeerSpan(9'000, 10'150)},
       false},
      {"longer after an outage", {Answered(0), PeerSpan(9'000, 10'151)}, true},
  };
  for (const Case& row : cases) {
    StoreAvailability availability;
    Apply(row.events, &availability);
    CHECK_EQUAL_TEXT(row.answered_since, availability.AnsweredSince(Millis(0)),
                     row.what);
  }
}

// The store answers box 0 all the time, and calls of the other boxes fail at
// random. No box assumes an outage once it has received the span of box 0.
TEST(StoreAvailability, NoOutageIsAssumedWhileOneBoxIsAlwaysAnswered) {
  testing::CheckHolds("one box always answered", [] {
    constexpr int64_t kCallIntervalMs = 400;
    constexpr size_t kBoxes = 5;
    const auto answered_by_step =
        *rc::gen::container<std::vector<std::vector<bool>>>(
            rc::gen::container<std::vector<bool>>(kBoxes,
                                                  rc::gen::arbitrary<bool>()));
    std::vector<StoreAvailability> boxes(kBoxes);
    int64_t now_ms = 0;
    const auto report_to_all = [&] {
      for (StoreAvailability& box : boxes) {
        if (boxes[0].span())
          box.OnPeerSpan(*boxes[0].span());
      }
    };
    for (const std::vector<bool>& answered : answered_by_step) {
      now_ms += kCallIntervalMs;
      boxes[0].OnAnswered(Millis(now_ms));
      for (size_t box = 1; box < kBoxes; ++box) {
        if (answered[box])
          boxes[box].OnAnswered(Millis(now_ms));
        else
          boxes[box].OnFailed(Millis(now_ms - 1));
      }
      report_to_all();
      for (const StoreAvailability& box : boxes)
        RC_ASSERT(!box.RecordsMayHaveExpired(Millis(now_ms)));
    }
  });
}

// Guards against targets that are taken for gone, as the copy that the store
// came back from lacks their records, though no call failed.
TEST(StoreAvailability, RecordsMayBeMissingForAWhileAfterAReturnFromACopy) {
  StoreAvailability availability;
  for (int64_t now_ms = 0; now_ms <= 10'000; now_ms += 500)
    availability.OnAnswered(Millis(now_ms));
  CHECK(!availability.RecordsMayHaveExpired(Millis(10'000)));
  availability.OnReturned(Millis(10'000));
  const Millis rewritten = Millis(10'000) + StoreAvailability::kRewriteTime;
  CHECK(availability.RecordsMayHaveExpired(rewritten - Millis(1)));
  CHECK(!availability.RecordsMayHaveExpired(rewritten));
}

}  // namespace
}  // namespace sparbend
