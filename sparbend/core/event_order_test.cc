#include "sparbend/core/event_order.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

TEST_GROUP(EventOrder){};

TEST(EventOrder, TellsWhetherAnEventGoesOn) {
  using enum EventStep;
  using enum EventIds;
  struct Case {
    const char* what;
    EventIds ids;
    std::vector<std::string> before;
    std::string continuation;  // the first id of it
    EventStep step;
  };
  const std::string beyond = "18446744073709551616";  // 2^64
  const Case cases[] = {
      {"higher", kRising, {"1", "9"}, "10", kGoesOn},
      {"equal", kRising, {"1", "9"}, "9", kRepeated},
      {"lower", kRising, {"1", "10"}, "9", kWentBack},
      {"equal, zeros", kRising, {"9"}, "009", kRepeated},
      {"higher, zeros", kRising, {"009"}, "10", kGoesOn},
      {"zero", kRising, {"0"}, "00", kRepeated},
      {"after zero", kRising, {"00"}, "1", kGoesOn},
      {"beyond 64 bits, higher",
       kRising,
       {beyond},
       "18446744073709551617",
       kGoesOn},
      {"beyond 64 bits, lower", kRising, {beyond}, "1", kWentBack},
      {"negative", kRising, {"1"}, "-2", kNoNumber},
      {"fraction", kRising, {"1"}, "2.5", kNoNumber},
      {"no number", kRising, {"1"}, "x", kNoNumber},
      {"no id", kRising, {"1"}, "", kNoId},
      {"no id after none", kRising, {""}, "", kGoesOn},
      {"a number after another id", kRising, {"x"}, "1", kGoesOn},
      {"no numbers, another", kRising, {"b"}, "a", kGoesOn},
      {"no numbers, the last", kRising, {"a", "b"}, "b", kRepeated},
      {"no numbers, the first", kRising, {"a", "b"}, "a", kRepeated},
      {"unique, another", kUnique, {"5", "6"}, "4", kGoesOn},
      {"unique, the last", kUnique, {"5", "6"}, "6", kRepeated},
      {"unique, the first", kUnique, {"5", "6"}, "5", kRepeated},
      {"unique, no id", kUnique, {"5"}, "", kNoId},
  };
  for (const Case& row : cases) {
    EventOrder order(row.ids);
    for (const std::string& id : row.before)
      CHECK_TEXT(order.Next(id) == kGoesOn, row.what);
    order.BeginContinuation();
    CHECK_TEXT(order.Next(row.continuation) == row.step, row.what);
    STRCMP_EQUAL_TEXT(row.step == kGoesOn ? row.continuation.c_str()
                                          : row.before.back().c_str(),
                      order.last_id().c_str(), row.what);
    // What the client named is what it has.
    EventOrder named(row.ids, row.before.back());
    const bool is_known = row.before.front() != row.continuation;
    if (is_known)
      CHECK_TEXT(named.Next(row.continuation) == row.step, row.what);
  }
}

TEST(EventOrder, AnAnswerOfItsOwnMayRepeatUniqueIdsButNotRisingOnes) {
  for (const EventIds ids : {EventIds::kUnique, EventIds::kRising}) {
    EventOrder order(ids);
    CHECK(order.Next("2") == EventStep::kGoesOn);
    CHECK(order.Next("") == EventStep::kGoesOn);
    CHECK(order.Next("2") == (ids == EventIds::kUnique ? EventStep::kGoesOn
                                                       : EventStep::kRepeated));
  }
}

TEST(EventOrder, AnUnknownIdCanNotBeNamed) {
  EventOrder order(EventIds::kRising);
  CHECK(order.Next("1") == EventStep::kGoesOn);
  CHECK(order.NextUnknown() == EventStep::kGoesOn);
  STRCMP_EQUAL("", order.last_id().c_str());
  CHECK(order.Next("1") == EventStep::kRepeated);
  CHECK(order.Next("2") == EventStep::kGoesOn);
  STRCMP_EQUAL("2", order.last_id().c_str());
  order.BeginContinuation();
  CHECK(order.NextUnknown() == EventStep::kNoId);
}

TEST(EventOrder, KnowsTheFirstIdAndTheLatest) {
  constexpr size_t kIds = 3 * EventOrder::kMaxKnownIds;
  EventOrder order(EventIds::kUnique);
  for (size_t id = 0; id < kIds; ++id)
    CHECK(order.Next(std::to_string(id)) == EventStep::kGoesOn);
  order.BeginContinuation();
  for (const size_t id :
       {size_t{0}, kIds - EventOrder::kMaxKnownIds + 1, kIds - 1})
    CHECK(order.Next(std::to_string(id)) == EventStep::kRepeated);
  CHECK(order.Next(std::to_string(kIds)) == EventStep::kGoesOn);
}

}  // namespace
}  // namespace sparbend
