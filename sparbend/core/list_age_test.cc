// Guards against an overloaded box that sends requests to a target that has
// exited: it updates its list of targets so late that a leaving target, which
// serves on only for the drain time, has exited before the box knows of it.
#include <CppUTest/TestHarness.h>

#include "sparbend/core/node.h"

namespace sparbend {
namespace {

constexpr Millis kStepInterval(10);
constexpr Millis kReadInterval(850);
// How long a target serves on after the store has accepted that it leaves.
constexpr Millis kTargetDrain(3'000);

// One of two boxes of a hall, "box-0" and "box-1".
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

TEST(ListAge, IsOutOfDateOnceListedTargetsMayHaveExited) {
  struct Case {
    const char* what;
    Millis target_drain;   // setting of both boxes; zero: unknown
    bool other_box_reads;  // the other box reads the store, this one does not
    Millis receive_delay;  // how long datagrams wait unread at this box
    Millis list_age;       // of this box
    bool out_of_date;
  };
  const Case cases[] = {
      {"recent list", kTargetDrain, true, Millis(0), Millis(2'600), false},
      {"old list", kTargetDrain, true, Millis(0), Millis(2'800), true},
      {"old list, no box reaches the store", kTargetDrain, false, Millis(0),
       Millis(9'000), false},
      {"old list, unknown drain time", Millis(0), true, Millis(0),
       Millis(9'000), false},
      {"old list, late datagrams", kTargetDrain, true, Millis(500),
       Millis(2'800), true},
  };
  for (const Case& row : cases) {
    const std::unique_ptr<Node> overloaded =
        MakeNode("box-0", row.target_drain);
    const std::unique_ptr<Node> other = MakeNode("box-1", row.target_drain);
    Millis now(10'000);
    const Millis read_at = now;
    Millis other_read_at = now;
    overloaded->OnStoreAnswered(now);
    overloaded->SetDirectory(1, now);
    other->OnStoreAnswered(now);
    for (; now < read_at + row.list_age; now = now + kStepInterval) {
      if (row.other_box_reads && now - other_read_at >= kReadInterval) {
        other_read_at = now;
        other->OnStoreAnswered(now);
      }
      for (const Effects::Outgoing& datagram : other->Run(now).datagrams)
        CHECK(!overloaded->OnDatagram(datagram.bytes, now, row.receive_delay));
    }
    CHECK_EQUAL_TEXT(row.out_of_date, overloaded->IsListOutOfDate(now),
                     row.what);
  }
}

// 1,150 ms is the longest usual time between two reads of the store.
TEST(ListAge, IsNeverOutOfDateIfTheListIsReadAtTheUsualInterval) {
  const std::unique_ptr<Node> node = MakeNode("box-0", Millis(2'000));
  Millis now(10'000);
  for (int read = 0; read < 20; ++read) {
    node->OnStoreAnswered(now);
    node->SetDirectory(1, now);
    for (Millis t; t < Millis(1'150); t = t + kStepInterval) {
      CHECK(!node->IsListOutOfDate(now));
      now = now + kStepInterval;
    }
  }
}

}  // namespace
}  // namespace sparbend
