// What boxes conclude from calls that fail and from what their peers tell.
#include "sparbend/core/store_availability.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <vector>

#include "testing/properties.h"

namespace sparbend {
namespace {

struct Event {
  enum class Kind { kAnswered, kFailed, kHeard };
  Kind kind = Kind::kAnswered;
  int64_t at = 0;     // or when the span that was heard began
  int64_t until = 0;  // of that span
};

auto Answered(int64_t at) -> Event {
  return {Event::Kind::kAnswered, at};
}
auto Failed(int64_t at) -> Event {
  return {Event::Kind::kFailed, at};
}
auto Heard(int64_t since, int64_t until) -> Event {
  return {Event::Kind::kHeard, since, until};
}

void Play(const std::vector<Event>& events, StoreAvailability* contact) {
  for (const Event& event : events) {
    switch (event.kind) {
      case Event::Kind::kAnswered:
        contact->OnAnswered(Millis(event.at));
        break;
      case Event::Kind::kFailed:
        contact->OnFailed(Millis(event.at));
        break;
      case Event::Kind::kHeard:
        contact->OnPeerSpan({Millis(event.at), Millis(event.until)});
        break;
    }
  }
}

TEST_GROUP(StoreAvailability){};

TEST(StoreAvailability, TellsAnOutageFromAFailureOfThisBoxAlone) {
  struct Case {
    const char* what;
    std::vector<Event> events;
    int64_t since;
    int64_t until;
    bool may_lapse;  // records that are gone by a read at `until`
  };
  const Case cases[] = {
      {"a box that has just started", {Answered(0)}, 0, 0, false},
      {"calls one after the other",
       {Answered(0), Answered(900), Answered(1'800)},
       0,
       1'800,
       false},
      {"a call fails, and nobody is heard",
       {Answered(0), Failed(900), Answered(1'000)},
       1'000,
       1'000,
       true},
      {"the time for records to come back is over",
       {Answered(0), Failed(900), Answered(1'000), Answered(2'000),
        Answered(3'000), Answered(3'400)},
       1'000,
       3'400,
       false},
      {"a call fails, and others are answered after it",
       {Answered(0), Failed(900), Heard(0, 1'500), Answered(2'000)},
       0,
       2'000,
       false},
      {"others are heard only later",
       {Answered(0), Failed(900), Answered(2'000), Heard(-9'000, 2'100)},
       -9'000,
       2'100,
       false},
      {"others were answered only before the failure",
       {Answered(0), Failed(900), Answered(2'000), Heard(0, 800)},
       2'000,
       2'000,
       true},
      {"the others came back first",
       {Answered(0), Failed(900), Failed(1'900), Heard(2'500, 2'600),
        Answered(3'000)},
       2'500,
       3'000,
       true},
      {"the others came back later",
       {Answered(0), Failed(900), Answered(2'500), Heard(2'600, 3'000)},
       2'500,
       3'000,
       true},
      {"no call for long", {Answered(0), Answered(2'501)}, 2'501, 2'501, true},
      {"a box that is behind its work",
       {Answered(0), Answered(2'500), Answered(5'000)},
       0,
       5'000,
       false},
      {"a bystander hears that the others came back",
       {Heard(0, 900), Heard(4'000, 4'100)},
       4'000,
       4'100,
       true},
      {"a bystander vouches for a gap that is short",
       {Heard(0, 900), Heard(1'700, 1'900)},
       0,
       1'900,
       false},
      {"but not if its own call failed in it",
       {Heard(0, 900), Failed(1'000), Heard(1'700, 1'900)},
       1'700,
       1'900,
       true},
      {"nor if that was one of several",
       {Heard(0, 900), Failed(1'000), Failed(1'800), Heard(1'700, 1'900)},
       1'700,
       1'900,
       true},
      {"a peer that is behind changes nothing",
       {Answered(0), Failed(900), Answered(4'000), Heard(100, 3'000)},
       4'000,
       4'000,
       true},
  };
  for (const Case& row : cases) {
    StoreAvailability contact;
    CHECK(!contact.span());
    Play(row.events, &contact);
    CHECK_EQUAL_TEXT(row.since, contact.span()->since.count(), row.what);
    CHECK_EQUAL_TEXT(row.until, contact.span()->until.count(), row.what);
    CHECK_EQUAL_TEXT(row.may_lapse,
                     contact.RecordsMayLapse(contact.span()->until), row.what);
  }
}

TEST(StoreAvailability, ABoxHasTheTimeOfAReadAfterTheStoreIsBack) {
  struct Case {
    const char* what;
    std::vector<Event> events;
    bool answered_since;  // a list read at 0
  };
  const Case cases[] = {
      {"nobody is heard", {Answered(0)}, false},
      {"others read", {Answered(0), Heard(-9'000, 1'150)}, false},
      {"others read twice", {Answered(0), Heard(-9'000, 1'151)}, true},
      {"the store is back", {Answered(0), Heard(9'000, 10'150)}, false},
      {"for long", {Answered(0), Heard(9'000, 10'151)}, true},
  };
  for (const Case& row : cases) {
    StoreAvailability contact;
    Play(row.events, &contact);
    CHECK_EQUAL_TEXT(row.answered_since, contact.AnsweredSince(Millis(0)),
                     row.what);
  }
}

// Boxes of which some are turned away at random while the store serves the
// others, and which tell each other what they know: none doubts a record once
// it has heard of one that was served all the while.
TEST(StoreAvailability, NobodyDoubtsAStoreThatServedSomebodyAllTheWhile) {
  testing::CheckHolds("one box served throughout", [] {
    constexpr int64_t kStep = 400;
    constexpr size_t kBoxes = 5;
    const auto steps = *rc::gen::container<std::vector<std::vector<bool>>>(
        rc::gen::container<std::vector<bool>>(kBoxes,
                                              rc::gen::arbitrary<bool>()));
    std::vector<StoreAvailability> boxes(kBoxes);
    int64_t now = 0;
    const auto tell_all = [&] {
      for (StoreAvailability& box : boxes) {
        if (boxes[0].span())
          box.OnPeerSpan(*boxes[0].span());
      }
    };
    for (const std::vector<bool>& served : steps) {
      now += kStep;
      boxes[0].OnAnswered(Millis(now));
      for (size_t box = 1; box < kBoxes; ++box) {
        if (served[box])
          boxes[box].OnAnswered(Millis(now));
        else
          boxes[box].OnFailed(Millis(now - 1));
      }
      tell_all();
      for (const StoreAvailability& box : boxes)
        RC_ASSERT(!box.RecordsMayLapse(Millis(now)));
    }
  });
}

}  // namespace
}  // namespace sparbend
