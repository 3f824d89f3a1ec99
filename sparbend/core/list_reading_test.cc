#include "sparbend/core/list_reading.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

TEST_GROUP(ListReading){};

TEST(ListReading, StoreIsReadUnlessAPeersListIsUpToDate) {
  struct Case {
    const char* what;
    ListReading state;
    bool read_now;
  };
  const Case cases[] = {
      {"no list yet",
       {false, false, false, PeerListCheck::kNothing, Millis(0), false},
       true},
      {"reader of the hall, read a moment ago",
       {true, true, false, PeerListCheck::kNothing, Millis(100), true},
       false},
      {"reader of the hall, read interval is over",
       {true, true, false, PeerListCheck::kNothing, Millis(900), false},
       true},
      {"up to date with the peers, poll due",
       {true, false, false, PeerListCheck::kUpToDate, Millis(9'000), true},
       false},
      {"no fresh list, poll not due",
       {true, false, false, PeerListCheck::kNothing, Millis(9'000), false},
       false},
      {"no fresh list, poll due",
       {true, false, false, PeerListCheck::kNothing, Millis(9'000), true},
       true},
      {"newer list of a peer not received, read interval is over",
       {true, false, false, PeerListCheck::kFailed, Millis(9'000), false},
       true},
      {"lost the store, up to date, poll not due",
       {true, false, true, PeerListCheck::kUpToDate, Millis(9'000), false},
       false},
      {"lost the store, up to date, poll due",
       {true, false, true, PeerListCheck::kUpToDate, Millis(9'000), true},
       true},
      {"lost the store, up to date, poll due, called a moment ago",
       {true, false, true, PeerListCheck::kUpToDate, Millis(100), true},
       false},
      {"newer list of a peer not received, read a moment ago",
       {true, false, false, PeerListCheck::kFailed, Millis(100), false},
       false},
      {"up to date with the peers, newer list needed",
       {true, false, false, PeerListCheck::kUpToDate, Millis(300), false, true},
       true},
      {"newer list needed, read a moment ago",
       {true, true, false, PeerListCheck::kUpToDate, Millis(100), true, true},
       false},
  };
  for (const Case& row : cases)
    CHECK_EQUAL_TEXT(row.read_now, ShouldReadStore(row.state), row.what);
}

}  // namespace
}  // namespace sparbend
