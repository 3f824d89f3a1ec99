// Guards against requests that are sent to a target more than 3 s, the time
// allowed, after the store accepted that it leaves. This happens if the box
// that reads the store for its hall keeps this role when it can't reach the
// store but is still live for its peers: the other boxes of the hall then read
// the store only once no list is fresh, after 1.8 s, instead of every 0.85 s.
#include <CppUTest/TestHarness.h>

#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr int kHalls = 3;
constexpr Millis kStepInterval(10);

// The boxes that read the store for each hall: by hall, their numbers, each
// followed by a space.
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
  for (Millis t; t < span; t = t + kStepInterval)
    nodes->Step(kStepInterval);
}

TEST_GROUP(StoreReaders){};

TEST(StoreReaders, ReaderThatLosesTheStoreIsReplacedAtOnce) {
  for (const int boxes : {9, 60}) {
    testing::SharedNodes nodes(boxes, testing::EngineTargets(20, 8), kHalls);
    for (int box = 0; box < boxes; ++box)
      nodes.at(box).SetDirectory(7, nodes.now());
    Run(&nodes, Millis(3'000));
    const auto initial_readers = Readers(&nodes);
    LONGS_EQUAL(kHalls, initial_readers.size());
    // The second failure is that of the replacement.
    for (int failure = 0; failure < 2; ++failure) {
      const int reader = std::stoi(Readers(&nodes)["h"]);
      nodes.at(reader).OnStoreFailed(nodes.now());
      Run(&nodes, Millis(50));
      const auto readers = Readers(&nodes);
      LONGS_EQUAL(kHalls, readers.size());
      CHECK(std::stoi(readers.at("h")) != reader);
      // No second reader: each read of the store is paid for.
      LONGS_EQUAL(std::string::npos,
                  readers.at("h").find(' ', readers.at("h").find(' ') + 1));
      CHECK(readers.at("h1") == initial_readers.at("h1"));
    }
    const int recovered_box = std::stoi(initial_readers.at("h"));
    nodes.at(recovered_box).OnStoreAnswered(nodes.now());
    Run(&nodes, Millis(50));
    CHECK(Readers(&nodes) == initial_readers);
  }
}

// In this case each box polls the store by its own timer (PollTimer).
TEST(StoreReaders, NoBoxHasTheRoleIfNoBoxReachesTheStore) {
  testing::SharedNodes nodes(30, testing::EngineTargets(20, 8), kHalls);
  for (int box = 0; box < nodes.size(); ++box)
    nodes.at(box).OnStoreFailed(nodes.now());
  Run(&nodes, Millis(3'000));
  LONGS_EQUAL(0, Readers(&nodes).size());
}

}  // namespace
}  // namespace sparbend
