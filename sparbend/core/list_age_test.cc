// A flooded box learned of a leaving target later than it served on, and sent
// requests to it.
#include <CppUTest/TestHarness.h>

#include "sparbend/core/node.h"

namespace sparbend {
namespace {

constexpr Millis kStep(10);
constexpr Millis kRefresh(850);
constexpr Millis kTargetDrain(3'000);

auto MakeNode(const std::string& name, Millis target_drain)
    -> std::unique_ptr<Node> {
  NodeOptions options;
  options.name = name;
  options.hall = "h";
  options.peer_key = "key";
  options.policy = Policy::kShared;
  options.target_drain = target_drain;
  auto node = std::make_unique<Node>(options);
  MemberList list;
  list.version = 1;
  for (const char* box : {"box-0", "box-1"})
    list.boxes.push_back({box, "h", "127.0.0.1:1", "127.0.0.1:2"});
  node->SetList(list, Millis(0));
  return node;
}

TEST_GROUP(ListAge){};

TEST(ListAge, NothingIsSentByAListThatMayNameTargetsThatEnded) {
  struct Case {
    const char* what;
    Millis target_drain;  // as the box knows it
    bool others_read;     // the store, while this box does not
    Millis waited;        // words lie unread at this box for so long
    Millis age;           // of this box's list
    bool out_of_date;
  };
  const Case cases[] = {
      {"young", kTargetDrain, true, Millis(0), Millis(2'600), false},
      {"old", kTargetDrain, true, Millis(0), Millis(2'800), true},
      {"old, the store is away", kTargetDrain, false, Millis(0), Millis(9'000),
       false},
      {"old, no bound is known", Millis(0), true, Millis(0), Millis(9'000),
       false},
      {"old, and words come late", kTargetDrain, true, Millis(500),
       Millis(2'800), true},
  };
  for (const Case& row : cases) {
    const std::unique_ptr<Node> busy = MakeNode("box-0", row.target_drain);
    const std::unique_ptr<Node> other = MakeNode("box-1", row.target_drain);
    Millis now(10'000);
    const Millis read_at = now;
    Millis other_read = now;
    busy->OnStoreAnswered(now);
    busy->SetDirectory(1, now);
    other->OnStoreAnswered(now);
    for (; now < read_at + row.age; now = now + kStep) {
      if (row.others_read && now - other_read >= kRefresh) {
        other_read = now;
        other->OnStoreAnswered(now);
      }
      for (const Effects::Outgoing& word : other->Run(now).datagrams)
        CHECK(!busy->OnDatagram(word.bytes, now, row.waited));
    }
    CHECK_EQUAL_TEXT(row.out_of_date, busy->IsListOutOfDate(now), row.what);
  }
}

// Between two reads of a reader nothing is ever refused.
TEST(ListAge, AListThatIsReadAsOftenAsUsualIsNeverOutOfDate) {
  const std::unique_ptr<Node> node = MakeNode("box-0", Millis(2'000));
  Millis now(10'000);
  for (int read = 0; read < 20; ++read) {
    node->OnStoreAnswered(now);
    node->SetDirectory(1, now);
    for (Millis t; t < Millis(1'150); t = t + kStep) {
      CHECK(!node->IsListOutOfDate(now));
      now = now + kStep;
    }
  }
}

}  // namespace
}  // namespace sparbend
