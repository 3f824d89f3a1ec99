// Symptom. Requests reached engines up to 3,021 ms after the store had taken
// that they leave; 3,000 are allowed. The list of targets was read each 1.7 s
// in that hall, though its reader is to read it each 0.85 s.
//
// Cause. The box that reads for its hall had lost its way to the store, and was
// heard by its peers as ever: the duty stayed with it, and the others waited
// until no list was fresh, which takes 1.8 s.
//
// What settled it: the reader's log has the store lost from 17.6 to 26.3 s, and
// from 20.7 s on lists that it had from peers, a second old; reads of the hall
// at 20.76, 22.47 and 24.16 s.
#include <CppUTest/TestHarness.h>

#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr int kHalls = 3;
constexpr Millis kStep(10);

// The boxes of each hall that are to read the store.
auto Readers(testing::SharedNodes* nodes)
    -> std::map<std::string, std::string> {
  std::map<std::string, std::string> readers;
  for (int box = 0; box < nodes->size(); ++box) {
    if (nodes->alive(box) && nodes->at(box).IsStoreReader(nodes->now()))
      readers[nodes->hall(box)] += std::to_string(box) + " ";
  }
  return readers;
}

void Run(testing::SharedNodes* nodes, Millis span) {
  for (Millis t; t < span; t = t + kStep)
    nodes->Step(kStep);
}

TEST_GROUP(StoreReaders){};

TEST(StoreReaders, ABoxWithoutTheStoreHandsItsDutyOnAtOnce) {
  for (const int boxes : {9, 60}) {
    testing::SharedNodes nodes(boxes, testing::EngineTargets(20, 8), kHalls);
    for (int box = 0; box < boxes; ++box)
      nodes.at(box).SetDirectory(7, nodes.now());
    Run(&nodes, Millis(3'000));
    const auto first = Readers(&nodes);
    LONGS_EQUAL(kHalls, first.size());
    // Two in a row, so that the second's failure is seen too.
    for (int turn = 0; turn < 2; ++turn) {
      const int reader = std::stoi(Readers(&nodes)["h"]);
      nodes.at(reader).OnStoreFailed(nodes.now());
      Run(&nodes, Millis(50));
      const auto now = Readers(&nodes);
      LONGS_EQUAL(kHalls, now.size());
      CHECK(std::stoi(now.at("h")) != reader);
      // One only: a hall that reads twice pays twice.
      LONGS_EQUAL(std::string::npos,
                  now.at("h").find(' ', now.at("h").find(' ') + 1));
      CHECK(now.at("h1") == first.at("h1"));
    }
    const int back = std::stoi(first.at("h"));
    nodes.at(back).OnStoreAnswered(nodes.now());
    Run(&nodes, Millis(50));
    CHECK(Readers(&nodes) == first);
  }
}

// Then each looks in turn (PollTimer).
TEST(StoreReaders, NobodyHasTheDutyWhereNobodyReachesTheStore) {
  testing::SharedNodes nodes(30, testing::EngineTargets(20, 8), kHalls);
  for (int box = 0; box < nodes.size(); ++box)
    nodes.at(box).OnStoreFailed(nodes.now());
  Run(&nodes, Millis(3'000));
  LONGS_EQUAL(0, Readers(&nodes).size());
}

}  // namespace
}  // namespace sparbend
