#include "sparbend/core/list_reading.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

TEST_GROUP(ListReading){};

TEST(ListReading, TheStoreIsReadWhenNoPeerSparesIt) {
  struct Case {
    const char* what;
    ListReading reading;
    bool read;
  };
  const Case cases[] = {
      {"nothing known yet",
       {false, false, false, PeerListCheck::kNothing, Millis(0), false},
       true},
      {"duty, just read",
       {true, true, false, PeerListCheck::kNothing, Millis(100), true},
       false},
      {"duty, a while ago",
       {true, true, false, PeerListCheck::kNothing, Millis(900), false},
       true},
      {"a peer's list is as good",
       {true, false, false, PeerListCheck::kSpared, Millis(9'000), true},
       false},
      {"nobody has a fresh one, not this box's turn",
       {true, false, false, PeerListCheck::kNothing, Millis(9'000), false},
       false},
      {"the same, its turn",
       {true, false, false, PeerListCheck::kNothing, Millis(9'000), true},
       true},
      {"a peer has a newer one and does not answer",
       {true, false, false, PeerListCheck::kFailed, Millis(9'000), false},
       true},
      {"it lost the store, and a peer's list is as good",
       {true, false, true, PeerListCheck::kSpared, Millis(9'000), false},
       false},
      {"the same, its turn",
       {true, false, true, PeerListCheck::kSpared, Millis(9'000), true},
       true},
      {"the same, just tried",
       {true, false, true, PeerListCheck::kSpared, Millis(100), true},
       false},
      {"a peer has a newer one and did not answer, just read",
       {true, false, false, PeerListCheck::kFailed, Millis(100), false},
       false},
  };
  for (const Case& row : cases)
    CHECK_EQUAL_TEXT(row.read, ReadNow(row.reading), row.what);
}

}  // namespace
}  // namespace sparbend
