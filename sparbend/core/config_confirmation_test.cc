// Guards against a hall that does not learn of a change in time because its
// store reader has failed and nothing shows that nobody reads the
// configuration. Boxes as pure nodes read a store that always answers at once.
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "sparbend/core/config_reading.h"
#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr int kHalls = 3;
constexpr Millis kStep(25);
constexpr Millis kReaderWait(600);
constexpr Millis kWarmUp(6'000);
constexpr Millis kObserved(5'000);

class Fleet {
 public:
  explicit Fleet(int boxes)
      : nodes_(boxes, testing::EngineTargets(1, 8), kHalls),
        read_at_(static_cast<size_t>(boxes)),
        broken_(static_cast<size_t>(boxes)) {
    for (int box = 0; box < boxes; ++box)
      nodes_.at(box).SetDirectory(1, nodes_.now());
  }

  // Runs all boxes for `span`. `hall` is observed.
  void Run(Millis span, const std::string& hall) {
    for (const Millis end = nodes_.now() + span; nodes_.now() < end;) {
      nodes_.Step(kStep);
      for (int box = 0; box < nodes_.size(); ++box) {
        if (nodes_.alive(box) && Reads(box, hall))
          Read(box, hall);
      }
      longest_gap_ = std::max(longest_gap_, nodes_.now() - hall_read_at_);
    }
  }

  // Numbers of the boxes that read the store for a hall.
  auto Readers() -> std::vector<int> {
    std::vector<int> readers;
    for (int box = 0; box < nodes_.size(); ++box) {
      if (nodes_.alive(box) && nodes_.at(box).IsStoreReader(nodes_.now()))
        readers.push_back(box);
    }
    return readers;
  }

  // The box keeps its role, but its reads of the configuration get no answer.
  void Break(int box) { broken_[static_cast<size_t>(box)] = true; }
  void StartObservation() {
    longest_gap_ = Millis(0);
    reads_in_turn_ = 0;
  }

  auto nodes() -> testing::SharedNodes& { return nodes_; }
  // Longest time in which no box of the hall read the store.
  auto longest_gap() const -> Millis { return longest_gap_; }
  // Reads by other boxes than the readers of halls.
  auto reads_in_turn() const -> int { return reads_in_turn_; }

 private:
  auto Reads(int box, const std::string& hall) -> bool {
    const auto number = static_cast<size_t>(box);
    Node& node = nodes_.at(box);
    const Millis now = nodes_.now();
    const Millis since = now - read_at_[number];
    const bool is_reader = node.IsStoreReader(now);
    if (is_reader && since < kReaderWait)
      return false;
    const bool is_turn = node.IsConfigReadDue(now);
    if (!ShouldReadConfig({is_reader, false, is_turn, Millis(0), since, false}))
      return false;
    if (!is_reader && nodes_.hall(box) == hall)
      ++reads_in_turn_;
    return true;
  }

  void Read(int box, const std::string& hall) {
    const auto number = static_cast<size_t>(box);
    read_at_[number] = nodes_.now();
    if (broken_[number])
      return;
    nodes_.at(box).OnConfigConfirmed(nodes_.now());
    if (nodes_.hall(box) == hall)
      hall_read_at_ = nodes_.now();
  }

  testing::SharedNodes nodes_;
  std::vector<Millis> read_at_;
  std::vector<bool> broken_;
  Millis hall_read_at_;
  Millis longest_gap_;
  int reads_in_turn_ = 0;
};

TEST_GROUP(ConfigConfirmation){};

// The hall hears no other hall.
TEST(ConfigConfirmation, AHallWithoutItsReaderReadsTheStoreInTime) {
  struct Case {
    const char* name;
    int boxes;
    bool is_killed;    // else its reader gets no configuration
    int killed_share;  // of the hall's other boxes, in hundredths
    // Time within which a change must be active in a fleet of that size.
    Millis bound;
  };
  const Millis small(2'000);
  const Millis grown(3'000);
  const Millis large(4'000);
  for (const Case& one : {
           Case{"reader killed", 9, true, 0, small},
           Case{"reader without answers", 9, false, 0, small},
           Case{"killed with others", 9, true, 50, small},
           Case{"killed in a hall of twenty", 60, true, 0, grown},
           Case{"killed with most of twenty", 60, true, 55, grown},
           Case{"without answers in a hall of twenty", 60, false, 0, grown},
           Case{"killed with most of forty", 120, true, 55, large},
           Case{"without answers in a hall of forty", 120, false, 0, large},
       }) {
    Fleet fleet(one.boxes);
    const std::string hall = fleet.nodes().hall(0);
    fleet.nodes().SetCut(hall);
    fleet.Run(kWarmUp, hall);
    fleet.StartObservation();
    for (const int reader : fleet.Readers()) {
      if (fleet.nodes().hall(reader) != hall)
        continue;
      if (one.is_killed)
        fleet.nodes().Kill(reader);
      else
        fleet.Break(reader);
    }
    int killed = 0;
    const int to_kill = one.boxes / kHalls * one.killed_share / 100;
    for (int box = 0; box < one.boxes && killed < to_kill; ++box) {
      if (fleet.nodes().hall(box) != hall || !fleet.nodes().alive(box))
        continue;
      fleet.nodes().Kill(box);
      ++killed;
    }
    fleet.Run(kObserved, hall);
    CHECK_TEXT(fleet.longest_gap() < one.bound, one.name);
  }
}

// Each call of the store has a cost.
TEST(ConfigConfirmation, OnlyTheReadersReadWhileTheyWork) {
  for (const int boxes : {3, 9, 24, 60, 120}) {
    Fleet fleet(boxes);
    const std::string hall = fleet.nodes().hall(0);
    fleet.Run(kWarmUp, hall);
    fleet.StartObservation();
    fleet.Run(kObserved, hall);
    LONGS_EQUAL(0, fleet.reads_in_turn());
  }
}

}  // namespace
}  // namespace sparbend
