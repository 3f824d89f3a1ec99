// Symptom: an operator had a hall emptied, and requests went on to its targets
// until it was taken back (1,258 of one play, five seconds and more after the
// store had taken the order). Cause: the order was read by nobody.
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

// Two engines in each of two halls, and requests that the halls share.
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

  // The halls in which `count` more requests start.
  auto Ask(int count) -> std::map<std::string, int> {
    std::map<std::string, int> halls;
    for (int i = 0; i < count; ++i) {
      QueuedRequest request;
      request.id = ++asked_;
      request.flow = {PoolIdOf("engines"), 1};
      request.arrived = Now();
      request.expires = Now() + Millis(60'000);
      node_.Enqueue(request);
    }
    return Run();
  }

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
  RequestId asked_ = 0;
  std::vector<RequestId> started_;
};

TEST_GROUP(EvacuatedHalls){};

TEST(EvacuatedHalls, TheNewerRecordWinsInWhateverOrderTheyCome) {
  EvacuatedHalls halls;
  CHECK(halls.Put("a", 3));
  CHECK(!halls.Put("a", 4));   // asked for twice
  CHECK(!halls.Drop("a", 2));  // an older word
  STRCMP_EQUAL("a ", Names(halls).c_str());
  CHECK(halls.Drop("a", 6));
  CHECK(!halls.Put("a", 5));  // taken back before it was seen
  STRCMP_EQUAL("", Names(halls).c_str());
  CHECK(halls.Put("a", 7));
}

TEST(EvacuatedHalls, AWholeListTakesBackWhatItDoesNotName) {
  EvacuatedHalls halls;
  halls.Put("a", 3);
  halls.Put("b", 9);
  CHECK(halls.Retain({}, 5));
  STRCMP_EQUAL("b ", Names(halls).c_str());
  CHECK(!halls.Put("a", 3));  // told by a box that is behind
  STRCMP_EQUAL("b ", Names(halls).c_str());
}

TEST(EvacuatedHalls, HallsWithoutEndAreNotRemembered) {
  EvacuatedHalls halls;
  for (int i = 0; i < 5'000; ++i)
    halls.Put(std::to_string(i), i);
  CHECK(halls.halls().size() <= 1'024);
}

// Records in their order, read from any place of the log and by whole lists:
// what is known is what the log says at the last offset read.
TEST(EvacuatedHalls, EndsWhereTheLogDoes) {
  testing::CheckHolds("evacuated halls", [] {
    const auto log = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>()));
    EvacuatedHalls halls;
    std::set<std::string> truth;
    for (size_t i = 0; i < log.size(); ++i) {
      const std::string hall = std::to_string(log[i].first);
      const auto offset = static_cast<int64_t>(i);
      if (log[i].second)
        truth.insert(hall);
      else
        truth.erase(hall);
      if (!*rc::gen::arbitrary<bool>())
        continue;
      if (log[i].second)
        halls.Put(hall, offset);
      else
        halls.Drop(hall, offset);
    }
    const auto end = static_cast<int64_t>(log.size());
    for (const std::string& hall : truth)
      halls.Put(hall, end);
    halls.Retain(truth, end + 1);
    RC_ASSERT(halls.halls() == truth);
  });
}

TEST(EvacuatedHalls, NothingNewStartsThereUntilItIsTakenBack) {
  TwoHalls fleet;
  LONGS_EQUAL(2, fleet.Ask(12).size());
  fleet.node().SetEvacuatedHalls({"h1"}, fleet.Now());
  // The four that wait go elsewhere as soon as there is room.
  fleet.FinishAll();
  auto halls = fleet.Run();
  LONGS_EQUAL(0, halls["h1"]);
  CHECK(halls["h"] > 0);
  fleet.FinishAll();
  fleet.node().SetEvacuatedHalls({}, fleet.Now());
  fleet.Run();
  fleet.FinishAll();
  halls = fleet.Ask(8);
  CHECK(halls["h1"] > 0);
}

TEST(EvacuatedHalls, WithNoHallLeftRequestsAreRefusedAtOnceAsNotRun) {
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
