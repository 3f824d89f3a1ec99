// Requests reached a target that had left, through boxes that had lost the
// store while others read it.
#include <CppUTest/TestHarness.h>

#include <set>

#include "sparbend/core/target_table.h"
#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

constexpr int kHalls = 3;
constexpr Millis kStep(10);
constexpr Millis kRefresh(850);
constexpr Millis kRetry(1'000);
constexpr char kTarget[] = "target-0";

struct StoreRecord {
  std::string target;
  bool there = true;
};

// The store's records of targets, and who reaches it.
struct StoreStandIn {
  std::vector<StoreRecord> records;
  std::set<int> turned_away;

  void Put(const std::string& target) { records.push_back({target, true}); }
  void Drop(const std::string& target) { records.push_back({target, false}); }
};

// A fleet whose boxes follow the targets as the service "directory" does: one
// box of a hall reads, and the others of that hall take its list.
class Followers {
 public:
  explicit Followers(int boxes)
      : nodes_(boxes, testing::EngineTargets(20, 8), kHalls),
        boxes_(static_cast<size_t>(boxes)) {
    for (const TargetEntry& target : testing::EngineTargets(20, 8))
      store_.Put(target.name);
    for (int box = 0; box < boxes; ++box)
      Read(box);
  }

  void Run(Millis span) {
    for (Millis t; t < span; t = t + kStep) {
      nodes_.Step(kStep);
      for (int box = 0; box < nodes_.size(); ++box)
        Follow(box);
    }
  }

  auto store() -> StoreStandIn& { return store_; }
  auto nodes() -> testing::SharedNodes& { return nodes_; }

  auto BoxesOf(const std::string& hall) const -> std::vector<int> {
    std::vector<int> boxes;
    for (int box = 0; box < nodes_.size(); ++box) {
      if (nodes_.hall(box) == hall)
        boxes.push_back(box);
    }
    return boxes;
  }

  auto ReaderOf(const std::string& hall) -> int {
    for (const int box : BoxesOf(hall)) {
      if (nodes_.at(box).IsStoreReader(nodes_.now()))
        return box;
    }
    return -1;
  }

  // How many boxes have a target of that name to use.
  auto HowManyUse(const std::string& target) const -> int {
    int count = 0;
    for (const Box& box : boxes_)
      count += box.book.known().contains(target) ? 1 : 0;
    return count;
  }

  // The next time that `box`, which has lost the store, tries it.
  void SetRetry(int box, Millis at) {
    boxes_[static_cast<size_t>(box)].retry_at = at;
  }

 private:
  struct Box {
    TargetTable book;
    size_t next = 0;  // record to read on from
    size_t end = 0;   // the list is as of this record
    bool lost = false;
    Millis tried;
    Millis retry_at;
    Millis told;  // when its list was read, by whomever
  };

  void Follow(int number) {
    Box& box = boxes_[static_cast<size_t>(number)];
    const Millis now = nodes_.now();
    if (!nodes_.at(number).store_availability().RecordsMayLapse(box.told))
      box.book.EndLapsed();
    const bool due = box.lost ? now >= box.retry_at
                              : nodes_.at(number).IsStoreReader(now) &&
                                    now - box.tried >= kRefresh;
    if (due)
      Read(number);
    else
      TakeList(number);
  }

  void Read(int number) {
    Box& box = boxes_[static_cast<size_t>(number)];
    const Millis now = nodes_.now();
    box.tried = now;
    if (store_.turned_away.contains(number)) {
      box.lost = true;
      box.retry_at = now + kRetry;
      nodes_.at(number).OnStoreFailed(now);
      return;
    }
    box.lost = false;
    nodes_.at(number).OnStoreAnswered(now);
    const Removal removal =
        nodes_.at(number).store_availability().RecordsMayLapse(now)
            ? Removal::kDoubtful
            : Removal::kFinal;
    for (; box.next < store_.records.size(); ++box.next) {
      const StoreRecord& record = store_.records[box.next];
      const auto offset = static_cast<int64_t>(box.next);
      TargetEntry entry;
      entry.name = record.target;
      if (record.there)
        box.book.Put(entry, offset, now);
      else
        box.book.Drop(record.target, offset, removal);
    }
    box.end = box.next;
    box.told = now;
    nodes_.at(number).SetDirectory(1, now);
  }

  // Of the box of the same hall whose list is the youngest.
  void TakeList(int number) {
    Box& box = boxes_[static_cast<size_t>(number)];
    const Box* freshest = &box;
    for (const int other : BoxesOf(nodes_.hall(number))) {
      const Box& peer = boxes_[static_cast<size_t>(other)];
      freshest = peer.told > freshest->told ? &peer : freshest;
    }
    if (freshest == &box)
      return;
    std::set<std::string> names;
    for (const auto& [name, known] : freshest->book.known()) {
      names.insert(name);
      box.book.Put(known.entry, known.offset, nodes_.now());
      if (known.lapsed)
        box.book.SetLapsed(name, known.offset);
    }
    box.book.RetainTold(names, static_cast<int64_t>(freshest->end));
    box.end = freshest->end;
    box.told = freshest->told;
    nodes_.at(number).SetDirectory(1, box.told);
  }

  StoreStandIn store_;
  testing::SharedNodes nodes_;
  std::vector<Box> boxes_;
};

TEST_GROUP(LapsedTargets){};

// Who has lost the store while it served others.
enum class Who { kTheReader, kAHall, kACutHall };

struct LossCase {
  const char* what;
  int boxes;
  Who who;
  Millis away;
  Millis retries_spread;  // boxes find the store again over so long
};

TEST(LapsedTargets, ATargetThatLeftIsNotKeptByBoxesThatLostTheStoreAlone) {
  const LossCase cases[] = {
      {"the reader of a hall", 9, Who::kTheReader, Millis(1'500), Millis(0)},
      {"the reader of a large hall", 60, Who::kTheReader, Millis(1'500),
       Millis(0)},
      {"a whole hall", 60, Who::kAHall, Millis(4'000), Millis(3'000)},
      {"a hall that was cut off", 60, Who::kACutHall, Millis(5'000),
       Millis(3'000)},
  };
  for (const LossCase& row : cases) {
    Followers fleet(row.boxes);
    fleet.Run(Millis(5'000));
    const std::vector<int> hall = fleet.BoxesOf("h");
    std::vector<int> hit = hall;
    if (row.who == Who::kTheReader)
      hit = {fleet.ReaderOf("h")};
    fleet.store().turned_away = {hit.begin(), hit.end()};
    if (row.who == Who::kACutHall)
      fleet.nodes().SetCut("h");
    fleet.Run(row.away);
    fleet.store().turned_away.clear();
    fleet.nodes().SetCut(std::nullopt);
    const Millis back = fleet.nodes().now();
    for (size_t i = 0; i < hit.size(); ++i)
      fleet.SetRetry(hit[i], back + Millis(row.retries_spread.count() *
                                           static_cast<int64_t>(i) /
                                           static_cast<int64_t>(hit.size())));
    fleet.Run(Millis(200));
    fleet.store().Drop(kTarget);
    fleet.Run(Millis(2'000));
    CHECK_EQUAL_TEXT(0, fleet.HowManyUse(kTarget), row.what);
  }
}

TEST(LapsedTargets, ALivingTargetIsKeptWhoseRecordLapsedWhileTheStoreWasAway) {
  for (const int boxes : {9, 60}) {
    Followers fleet(boxes);
    fleet.Run(Millis(5'000));
    for (int box = 0; box < boxes; ++box)
      fleet.store().turned_away.insert(box);
    fleet.Run(Millis(3'000));
    fleet.store().Drop(kTarget);
    fleet.Run(Millis(1'500));
    fleet.store().turned_away.clear();
    const Millis back = fleet.nodes().now();
    for (int box = 0; box < boxes; ++box)
      fleet.SetRetry(box, back + Millis(1'000 * box / boxes));
    for (Millis t; t < Millis(2'000); t = t + kStep) {
      fleet.Run(kStep);
      LONGS_EQUAL(boxes, fleet.HowManyUse(kTarget));
    }
    fleet.store().Put(kTarget);
    fleet.Run(Millis(4'000));
    LONGS_EQUAL(boxes, fleet.HowManyUse(kTarget));
    // One that stays away is gone.
    fleet.store().Drop(kTarget);
    fleet.Run(Millis(2'000));
    LONGS_EQUAL(0, fleet.HowManyUse(kTarget));
  }
}

}  // namespace
}  // namespace sparbend
