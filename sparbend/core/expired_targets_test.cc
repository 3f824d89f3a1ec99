// Guards against requests to a target that has left, sent by boxes that lost
// the store while others read it: such a box must not take its own failed calls
// for an outage of the store, in which records of live targets expire.
#include <CppUTest/TestHarness.h>

#include <set>

#include "sparbend/core/target_table.h"
#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr int kHalls = 3;
constexpr Millis kStepInterval(10);
constexpr Millis kReadInterval(850);
constexpr Millis kRetryInterval(1'000);
constexpr char kTarget[] = "target-0";

struct StoreRecord {
  std::string target;
  bool exists = true;  // false: the record of the target was removed
};

// The store's log of target records, and the boxes whose calls to it fail.
struct FakeStore {
  std::vector<StoreRecord> records;
  std::set<int> failing_boxes;

  void Put(const std::string& target) { records.push_back({target, true}); }
  void Drop(const std::string& target) { records.push_back({target, false}); }
};

// A fleet whose boxes keep their lists of targets as the service "directory"
// does: one box of each hall reads the store, and the others of that hall copy
// its list.
class DirectoryFleet {
 public:
  explicit DirectoryFleet(int boxes)
      : nodes_(boxes, testing::EngineTargets(20, 8), kHalls),
        boxes_(static_cast<size_t>(boxes)) {
    for (const TargetEntry& target : testing::EngineTargets(20, 8))
      store_.Put(target.name);
    for (int box = 0; box < boxes; ++box)
      Read(box);
  }

  void Run(Millis span) {
    for (Millis t; t < span; t = t + kStepInterval) {
      nodes_.Step(kStepInterval);
      for (int box = 0; box < nodes_.size(); ++box)
        Update(box);
    }
  }

  auto store() -> FakeStore& { return store_; }
  auto nodes() -> testing::SharedNodes& { return nodes_; }

  auto BoxesOf(const std::string& hall) const -> std::vector<int> {
    std::vector<int> boxes;
    for (int box = 0; box < nodes_.size(); ++box) {
      if (nodes_.hall(box) == hall)
        boxes.push_back(box);
    }
    return boxes;
  }

  // The box that reads the store for the hall, or -1 if there is none.
  auto ReaderOf(const std::string& hall) -> int {
    for (const int box : BoxesOf(hall)) {
      if (nodes_.at(box).IsStoreReader(nodes_.now()))
        return box;
    }
    return -1;
  }

  // How many boxes have the target in their table.
  auto CountBoxesWith(const std::string& target) const -> int {
    int count = 0;
    for (const Box& box : boxes_)
      count += box.table.known().contains(target) ? 1 : 0;
    return count;
  }

  // When `box`, which has lost the store, calls it next.
  void SetRetry(int box, Millis at) {
    boxes_[static_cast<size_t>(box)].retry_at = at;
  }

 private:
  struct Box {
    TargetTable table;
    size_t next_record = 0;   // the first record that this box has not read
    size_t list_end = 0;      // the table reflects the records before this one
    bool lost_store = false;  // the last call failed
    Millis last_call;
    Millis retry_at;
    Millis list_read_at;  // when some box read the list from the store
  };

  void Update(int number) {
    Box& box = boxes_[static_cast<size_t>(number)];
    const Millis now = nodes_.now();
    if (!nodes_.at(number).store_availability().RecordsMayHaveExpired(
            box.list_read_at))
      box.table.RemoveExpiredTargets();
    const bool due = box.lost_store ? now >= box.retry_at
                                    : nodes_.at(number).IsStoreReader(now) &&
                                          now - box.last_call >= kReadInterval;
    if (due)
      Read(number);
    else
      CopyPeerList(number);
  }

  void Read(int number) {
    Box& box = boxes_[static_cast<size_t>(number)];
    const Millis now = nodes_.now();
    box.last_call = now;
    if (store_.failing_boxes.contains(number)) {
      box.lost_store = true;
      box.retry_at = now + kRetryInterval;
      nodes_.at(number).OnStoreFailed(now);
      return;
    }
    box.lost_store = false;
    nodes_.at(number).OnStoreAnswered(now);
    const Removal removal =
        nodes_.at(number).store_availability().RecordsMayHaveExpired(now)
            ? Removal::kUnconfirmed
            : Removal::kConfirmed;
    for (; box.next_record < store_.records.size(); ++box.next_record) {
      const StoreRecord& record = store_.records[box.next_record];
      const LogPosition position{1, static_cast<int64_t>(box.next_record)};
      TargetEntry entry;
      entry.name = record.target;
      if (record.exists)
        box.table.Put(entry, position, now);
      else
        box.table.Drop(record.target, position, removal);
    }
    box.list_end = box.next_record;
    box.list_read_at = now;
    nodes_.at(number).SetDirectory(1, now);
  }

  // Copies the list of the box in the same hall whose list was read last.
  void CopyPeerList(int number) {
    Box& box = boxes_[static_cast<size_t>(number)];
    const Box* freshest = &box;
    for (const int other : BoxesOf(nodes_.hall(number))) {
      const Box& peer = boxes_[static_cast<size_t>(other)];
      freshest = peer.list_read_at > freshest->list_read_at ? &peer : freshest;
    }
    if (freshest == &box)
      return;
    std::set<std::string> names;
    for (const auto& [name, known] : freshest->table.known()) {
      names.insert(name);
      box.table.Put(known.entry, known.position, nodes_.now());
      if (known.record_expired)
        box.table.SetRecordExpired(name, known.position);
    }
    box.table.RetainFromPeer(names,
                             {1, static_cast<int64_t>(freshest->list_end)},
                             Removal::kConfirmed);
    box.list_end = freshest->list_end;
    box.list_read_at = freshest->list_read_at;
    nodes_.at(number).SetDirectory(1, box.list_read_at);
  }

  FakeStore store_;
  testing::SharedNodes nodes_;
  std::vector<Box> boxes_;
};

TEST_GROUP(ExpiredTargets){};

// Which boxes have lost the store while it served others.
enum class AffectedBoxes { kHallReader, kHall, kIsolatedHall };

struct StoreLossCase {
  const char* what;
  int boxes;
  AffectedBoxes affected;
  Millis loss_duration;
  Millis
      retry_spread;  // the affected boxes call the store again over this time
};

TEST(ExpiredTargets, DepartedTargetIsRemovedByBoxesThatAloneLostTheStore) {
  const StoreLossCase cases[] = {
      {"the reader of a hall", 9, AffectedBoxes::kHallReader, Millis(1'500),
       Millis(0)},
      {"the reader of a large hall", 60, AffectedBoxes::kHallReader,
       Millis(1'500), Millis(0)},
      {"all boxes of a hall", 60, AffectedBoxes::kHall, Millis(4'000),
       Millis(3'000)},
      {"all boxes of a hall that is cut off from the others", 60,
       AffectedBoxes::kIsolatedHall, Millis(5'000), Millis(3'000)},
  };
  for (const StoreLossCase& row : cases) {
    DirectoryFleet fleet(row.boxes);
    fleet.Run(Millis(5'000));
    const std::vector<int> hall = fleet.BoxesOf("h");
    std::vector<int> affected = hall;
    if (row.affected == AffectedBoxes::kHallReader)
      affected = {fleet.ReaderOf("h")};
    fleet.store().failing_boxes = {affected.begin(), affected.end()};
    if (row.affected == AffectedBoxes::kIsolatedHall)
      fleet.nodes().SetCut("h");
    fleet.Run(row.loss_duration);
    fleet.store().failing_boxes.clear();
    fleet.nodes().SetCut(std::nullopt);
    const Millis recovered_at = fleet.nodes().now();
    for (size_t i = 0; i < affected.size(); ++i)
      fleet.SetRetry(
          affected[i],
          recovered_at +
              Millis(row.retry_spread.count() * static_cast<int64_t>(i) /
                     static_cast<int64_t>(affected.size())));
    fleet.Run(Millis(200));
    fleet.store().Drop(kTarget);
    fleet.Run(Millis(2'000));
    CHECK_EQUAL_TEXT(0, fleet.CountBoxesWith(kTarget), row.what);
  }
}

TEST(ExpiredTargets, LiveTargetIsKeptIfItsRecordExpiredInAStoreOutage) {
  for (const int boxes : {9, 60}) {
    DirectoryFleet fleet(boxes);
    fleet.Run(Millis(5'000));
    for (int box = 0; box < boxes; ++box)
      fleet.store().failing_boxes.insert(box);
    fleet.Run(Millis(3'000));
    fleet.store().Drop(kTarget);
    fleet.Run(Millis(1'500));
    fleet.store().failing_boxes.clear();
    const Millis recovered_at = fleet.nodes().now();
    for (int box = 0; box < boxes; ++box)
      fleet.SetRetry(box, recovered_at + Millis(1'000 * box / boxes));
    for (Millis t; t < Millis(2'000); t = t + kStepInterval) {
      fleet.Run(kStepInterval);
      LONGS_EQUAL(boxes, fleet.CountBoxesWith(kTarget));
    }
    fleet.store().Put(kTarget);
    fleet.Run(Millis(4'000));
    LONGS_EQUAL(boxes, fleet.CountBoxesWith(kTarget));
    // Without an outage, a target whose record is removed is removed
    // everywhere.
    fleet.store().Drop(kTarget);
    fleet.Run(Millis(2'000));
    LONGS_EQUAL(0, fleet.CountBoxesWith(kTarget));
  }
}

}  // namespace
}  // namespace sparbend
