// Boxes that bring their lists of targets level with each other's.
#include "sparbend/core/list_exchange.h"

#include <array>

#include "testing/properties.h"

namespace sparbend {
namespace {

auto At(int64_t offset) -> LogPosition {
  return {1, offset};
}

// What an operator or target may do to one record of the log.
enum class Change { kReady, kLeaving, kRestart, kCold, kRemove, kExpire };

struct LogRecord {
  std::string name;
  TargetEntry entry;
  Change act = Change::kReady;
};

// A box with a list. The records it reads itself are those of `log`.
struct Box {
  TargetTable targets;
  int64_t end = 0;
  bool needs_whole_list = false;

  void ReadAll(const std::vector<LogRecord>& log) {
    const bool first = end == 0;
    for (; end < static_cast<int64_t>(log.size()); ++end) {
      const LogRecord& record = log[static_cast<size_t>(end)];
      if (record.act == Change::kRemove)
        targets.Drop(record.name, At(end), Removal::kConfirmed);
      else if (record.act == Change::kExpire)
        targets.Drop(record.name, At(end), Removal::kUnconfirmed);
      else
        targets.Put(record.entry, At(end), Millis(0));
    }
    if (!first)
      return;
    std::set<std::string> names;
    for (const auto& [name, known] : targets.known())
      names.insert(name);
    targets.Retain(names, At(end), Removal::kConfirmed);
  }

  // As Directory does; the number of targets in the answer.
  auto AskFor(const Box& peer) -> size_t {
    if (peer.end < end || peer.end == 0)
      return 0;
    ListAnswers answers;
    const BoxEntries no_boxes;
    const std::string text = answers.Answer(
        {needs_whole_list || end == 0 ? LogPosition() : At(end),
         DigestOf(no_boxes), DigestOf(targets)},
        {true, At(peer.end), Millis(0), &peer.targets, &no_boxes}, Millis(0));
    const auto answer = ListAnswerFrom(Json::parse(text));
    Apply(*answer, Millis(0), Removal::kConfirmed, &targets);
    end = answer->end.offset;
    needs_whole_list = answer->from != LogPosition() &&
                       *answer->targets_digest != DigestOf(targets);
    return answer->targets.size();
  }
};

// All that other boxes need to know of the targets.
auto Describe(const TargetTable& table) -> std::string {
  std::string text;
  for (const auto& [name, known] : table.known()) {
    text += name + (known.entry.leaving ? "-" : "+") +
            std::to_string(known.entry.started_at_ms) +
            (known.entry.cold_left > Millis(0) ? "c" : "") +
            (known.record_expired ? "?" : "") + " ";
  }
  return text;
}

constexpr int kTargets = 5;

class Log {
 public:
  void Write(int target, Change act) {
    const std::string name = std::to_string(target);
    TargetEntry& entry = entries_[static_cast<size_t>(target)];
    entry.name = entry.hall = entry.pool = entry.address = name;
    ++entry.beat;
    entry.leaving = act == Change::kLeaving;
    entry.cold_left = act == Change::kCold ? Millis(5'000) : Millis(0);
    if (act == Change::kRestart) {
      ++entry.started_at_ms;
      entry.beat = 1;
    }
    records_.push_back({name, entry, act});
  }
  auto records() const -> const std::vector<LogRecord>& { return records_; }

 private:
  std::array<TargetEntry, kTargets> entries_;
  std::vector<LogRecord> records_;
};

TEST_GROUP(ListExchange) {
  Log log;
  Box reader;
  Box follower;
};

TEST(ListExchange, OnlyWhatChangedIsSent) {
  for (int target = 0; target < kTargets; ++target)
    log.Write(target, Change::kReady);
  reader.ReadAll(log.records());
  LONGS_EQUAL(kTargets, follower.AskFor(reader));
  struct Case {
    Change act;
    size_t sent;
    const char* list;
  };
  const Case cases[] = {
      {Change::kReady, 0, "0+0 1+0 2+0 3+0 4+0 "},  // only a heartbeat
      {Change::kLeaving, 1, "0+0 1-0 2+0 3+0 4+0 "},
      {Change::kCold, 1, "0+0 1+0c 2+0 3+0 4+0 "},
      {Change::kReady, 1, "0+0 1+0 2+0 3+0 4+0 "},  // no longer cold
      {Change::kExpire, 1, "0+0 1+0? 2+0 3+0 4+0 "},
      // Expired targets are all sent, so none needs to be.
      {Change::kReady, 0, "0+0 1+0 2+0 3+0 4+0 "},
      {Change::kRemove, 0, "0+0 2+0 3+0 4+0 "},
      {Change::kRestart, 1, "0+0 1+1 2+0 3+0 4+0 "},
  };
  for (const Case& step : cases) {
    log.Write(1, step.act);
    reader.ReadAll(log.records());
    LONGS_EQUAL(step.sent, follower.AskFor(reader));
    STRCMP_EQUAL(step.list, Describe(follower.targets).c_str());
    CHECK(!follower.needs_whole_list);
  }
}

TEST(ListExchange, RecordWrittenAgainIsNoLongerExpired) {
  for (const Change act : {Change::kReady, Change::kExpire, Change::kReady}) {
    log.Write(0, act);
    reader.ReadAll(log.records());
    follower.AskFor(reader);
  }
  CHECK(!follower.targets.RemoveExpiredTargets());
}

TEST(ListExchange, BoxThatDoesNotKnowAllRemovalsSendsTheWholeList) {
  for (const Change act : {Change::kReady, Change::kReady, Change::kRemove})
    log.Write(0, act);
  log.Write(1, Change::kReady);
  Box starter;
  starter.ReadAll(log.records());
  CHECK(!starter.targets.ChangesSince(At(1)).has_value());
  CHECK(starter.targets.ChangesSince(At(4)).has_value());
}

// Guards against whole lists for all boxes of a fleet that starts: they read
// the store at different times and differ by the boxes that they know.
TEST(ListExchange, BoxWithTheSameTargetsGetsNone) {
  for (int target = 0; target < kTargets; ++target)
    log.Write(target, Change::kReady);
  follower.ReadAll(log.records());
  log.Write(0, Change::kReady);  // only a heartbeat
  reader.ReadAll(log.records());
  CHECK(follower.end < reader.end);
  LONGS_EQUAL(0, follower.AskFor(reader));
  LONGS_EQUAL(reader.end, follower.end);
}

TEST(ListExchange, BoxesThatKnowTheBoxesDoNotGetThem) {
  const BoxEntries boxes = {{"b", {"b", "h", "127.0.0.1:1", "127.0.0.1:2"}}};
  const OwnList list = {true, At(1), Millis(0), &reader.targets, &boxes};
  ListAnswers answers;
  const auto boxes_for = [&](const BoxEntries& known) {
    return ListAnswerFrom(
               Json::parse(answers.Answer({LogPosition(), DigestOf(known)},
                                          list, Millis(7))))
        ->boxes.size();
  };
  LONGS_EQUAL(1, boxes_for({}));
  LONGS_EQUAL(0, boxes_for(boxes));
}

// Boxes read the log or ask any other box, in any order. A box that has asked a
// box that is not behind it, and once more if its list differs, has its list.
TEST(ListExchange, BoxesThatAskHaveTheListOfTheBoxAsked) {
  testing::CheckHolds("lists by their changes", [] {
    Log log;
    std::array<Box, 3> boxes;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 9), rc::gen::inRange(0, 30)));
    for (const auto& [step, detail] : steps) {
      Box& box = boxes[static_cast<size_t>(detail) % boxes.size()];
      if (step < 5) {
        // A target that starts again has said so by a start time.
        log.Write(detail % kTargets, static_cast<Change>(detail / kTargets));
      } else if (step == 5) {
        box.ReadAll(log.records());
      } else {
        const Box& peer = boxes[static_cast<size_t>(detail / 3) % boxes.size()];
        if (&peer == &box || peer.end < box.end || peer.end == 0)
          continue;
        box.AskFor(peer);
        if (box.needs_whole_list)
          box.AskFor(peer);
        RC_ASSERT(DigestOf(box.targets) == DigestOf(peer.targets));
        RC_ASSERT(Describe(box.targets) == Describe(peer.targets));
      }
    }
  });
}

}  // namespace
}  // namespace sparbend
