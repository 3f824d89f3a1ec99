// Guards against requests that are still sent to the targets of a hall, seconds
// after the store accepted an operator's order to evacuate it, because no box
// reads the order.
#include "sparbend/core/evacuated_halls.h"

#include "sparbend/core/node.h"

#include "testing/properties.h"
#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

auto Names(const EvacuatedHalls& halls) -> std::string {
  std::string names;
  for (const std::string& hall : halls.halls())
    names += hall + " ";
  return names;
}

// A node with two halls of two engines each, which serve the same pool.
class TwoHalls {
 public:
  TwoHalls() : node_(Options()) {
    MemberList list;
    list.version = 1;
    list.targets = testing::EngineTargets(4, 2);
    for (size_t i = 0; i < list.targets.size(); ++i)
      list.targets[i].hall = i % 2 == 0 ? "h" : "h1";
    list_ = list;
    node_.SetCatalog(testing::EngineCatalog());
    node_.SetList(list, Now());
  }

  auto node() -> Node& { return node_; }

  // Queues `count` requests and runs the node as Run does.
  auto Enqueue(int count) -> std::map<std::string, int> {
    std::map<std::string, int> halls;
    for (int i = 0; i < count; ++i) {
      QueuedRequest request;
      request.id = ++last_request_id_;
      request.flow = {PoolIdOf("engines"), 1};
      request.arrived = Now();
      request.expires = Now() + Millis(60'000);
      node_.Enqueue(request);
    }
    return Run();
  }

  // Advances the time by 100 ms and runs the node. Returns the number of
  // requests that it sends to targets, by hall.
  auto Run() -> std::map<std::string, int> {
    now_ = now_ + Millis(100);
    std::map<std::string, int> halls;
    for (const Dispatch& dispatch : node_.Run(now_).dispatches) {
      ++halls[node_.FindTarget(dispatch.target)->hall];
      started_.push_back(dispatch.request);
    }
    return halls;
  }

  void FinishAll() {
    for (const RequestId id : started_)
      node_.ingress_scheduler().Finish(id, 1);
    started_.clear();
  }

  auto Now() const -> Millis { return now_; }

 private:
  static auto Options() -> NodeOptions {
    NodeOptions options;
    options.name = "box-1";
    options.hall = "h";
    options.peer_key = "key";
    options.policy = Policy::kShared;
    return options;
  }

  Millis now_{10'000};
  Node node_;
  MemberList list_;
  RequestId last_request_id_ = 0;
  std::vector<RequestId> started_;
};

TEST_GROUP(EvacuatedHalls){};

TEST(EvacuatedHalls, NewerRecordWinsInAnyOrder) {
  EvacuatedHalls halls;
  CHECK(halls.Put("a", {0, 3}));
  CHECK(!halls.Put("a", {0, 4}));   // already evacuated
  CHECK(!halls.Drop("a", {0, 2}));  // an older record
  STRCMP_EQUAL("a ", Names(halls).c_str());
  CHECK(halls.Drop("a", {0, 6}));
  CHECK(!halls.Put("a", {0, 5}));  // ended by a newer record
  STRCMP_EQUAL("", Names(halls).c_str());
  CHECK(halls.Put("a", {0, 7}));
}

TEST(EvacuatedHalls, FullListEndsEvacuationsThatItLacks) {
  EvacuatedHalls halls;
  halls.Put("a", {0, 3});
  halls.Put("b", {0, 9});
  CHECK(halls.Retain({}, {0, 5}));
  STRCMP_EQUAL("b ", Names(halls).c_str());
  CHECK(!halls.Put("a", {0, 3}));  // reported by a box that is behind
  STRCMP_EQUAL("b ", Names(halls).c_str());
}

// Guards against work in an evacuated hall because the copy that the store came
// back from lacks the order.
TEST(EvacuatedHalls, ACopyOfTheLogChangesNoHallOfWhichARecordIsKnown) {
  EvacuatedHalls halls;
  halls.Put("a", {1, 5});
  halls.Put("b", {1, 6});
  halls.Drop("b", {1, 7});
  CHECK(halls.AddUnknown({"b", "c"}, {2, 4}));
  STRCMP_EQUAL("a c ", Names(halls).c_str());
  CHECK(halls.Drop("a", {2, 4}));
  CHECK(halls.Put("b", {2, 5}));
  STRCMP_EQUAL("b c ", Names(halls).c_str());
}

TEST(EvacuatedHalls, NumberOfHallsIsBounded) {
  EvacuatedHalls halls;
  for (int i = 0; i < 5'000; ++i)
    halls.Put(std::to_string(i), {0, i});
  CHECK(halls.halls().size() <= 1'024);
}

// Some records of the log are read in order, the others are missed. A full list
// at the end brings the state to that of the log.
TEST(EvacuatedHalls, FullListRestoresMissedRecords) {
  testing::CheckHolds("evacuated halls", [] {
    const auto log = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>()));
    EvacuatedHalls halls;
    std::set<std::string> expected;
    for (size_t i = 0; i < log.size(); ++i) {
      const std::string hall = std::to_string(log[i].first);
      const LogPosition position{0, static_cast<int64_t>(i)};
      if (log[i].second)
        expected.insert(hall);
      else
        expected.erase(hall);
      if (!*rc::gen::arbitrary<bool>())
        continue;
      if (log[i].second)
        halls.Put(hall, position);
      else
        halls.Drop(hall, position);
    }
    const auto end = static_cast<int64_t>(log.size());
    for (const std::string& hall : expected)
      halls.Put(hall, {0, end});
    halls.Retain(expected, {0, end + 1});
    RC_ASSERT(halls.halls() == expected);
  });
}

TEST(EvacuatedHalls, NoNewRequestsAreSentThereUntilTheEvacuationEnds) {
  TwoHalls fleet;
  LONGS_EQUAL(2, fleet.Enqueue(12).size());
  fleet.node().SetEvacuatedHalls({"h1"}, fleet.Now());
  // The four queued requests are sent to the other hall as soon as a slot is
  // free there.
  fleet.FinishAll();
  auto halls = fleet.Run();
  LONGS_EQUAL(0, halls["h1"]);
  CHECK(halls["h"] > 0);
  fleet.FinishAll();
  fleet.node().SetEvacuatedHalls({}, fleet.Now());
  fleet.Run();
  fleet.FinishAll();
  halls = fleet.Enqueue(8);
  CHECK(halls["h1"] > 0);
}

TEST(EvacuatedHalls, RequestsAreRefusedAsNotRunIfAllHallsAreEvacuated) {
  TwoHalls fleet;
  fleet.node().SetEvacuatedHalls({"h", "h1", "no such hall"}, fleet.Now());
  QueuedRequest request;
  request.id = 1;
  request.flow = {PoolIdOf("engines"), 1};
  const auto refusal = fleet.node().Enqueue(request);
  CHECK(refusal.has_value());
  LONGS_EQUAL(503, refusal->status);
  CHECK(refusal->verdict == Verdict::kNotRun);
  CHECK(refusal->retry_after > Millis(0));
}

}  // namespace
}  // namespace sparbend
