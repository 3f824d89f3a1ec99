#include "sparbend/core/config_reading.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

TEST_GROUP(ConfigReading){};

TEST(ConfigReading, BoxesReadTheStoreWhenNobodyElseCanTellThemInTime) {
  struct Case {
    const char* name;
    ConfigReading state;
    bool reads;
  };
  const Millis none(0);
  const Millis late(3'000);
  for (const Case& one : {
           Case{"up to date", {false, false, false, none, late, false}, false},
           Case{"reader of its hall",
                {true, false, false, none, none, false},
                true},
           Case{"poll due", {false, false, false, none, none, true}, true},
           Case{"a peer is ahead",
                {false, true, false, none, late, false},
                true},
           Case{"read a moment ago",
                {false, true, false, none, Millis(399), false},
                false},
           Case{"nobody else has read",
                {false, false, true, none, Millis(400), false},
                true},
           Case{"nobody else has read, but this box has",
                {false, false, true, none, Millis(399), false},
                false},
           // Its peers reported a change 14 s before it read their datagrams.
           Case{"datagrams wait for seconds",
                {false, false, false, late, Millis(400), false},
                true},
           Case{"datagrams wait, but read a moment ago",
                {false, false, false, late, Millis(399), false},
                false},
           Case{"datagrams wait for a moment",
                {false, false, false, Millis(500), late, false},
                false},
       })
    CHECK_EQUAL_TEXT(one.reads, ShouldReadConfig(one.state), one.name);
}

}  // namespace
}  // namespace sparbend
