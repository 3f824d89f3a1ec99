// Symptom: engines that came back together got many times what a cold engine
// bears within a second of their return. Cause: each box saw an engine without
// load and knew neither that it was cold nor what the others sent there.
#include "sparbend/core/cold_targets.h"

#include <cmath>
#include <deque>

#include <CppUTest/TestHarness.h>

#include "sparbend/core/placement.h"

namespace sparbend {
namespace {

constexpr PoolId kPool = 1;
constexpr TargetId kTargets = 20;
constexpr Millis kCold(3'000);
constexpr Millis kStep(5);

// What a target may get in a second, as its operator declares it: half more
// than it bears, and five for the first moment.
auto Bound(double per_second) -> double {
  return 1.5 * per_second + 5;
}

struct Row {
  const char* what;
  int boxes;
  double per_second;
  // So many of the boxes know of the first half of the boxes only.
  int behind;
  // So many are dead.
  int dead;
  double least;  // of what a target bears, that it gets in the mean
};

struct Got {
  double most_in_a_second = 0;
  double mean_per_second = 0;
};

// All boxes send whatever they may, all the time.
auto Flood(const Row& row) -> Got {
  std::vector<BoxId> all;
  for (int i = 0; i < row.boxes; ++i)
    all.push_back(BoxIdOf("box-" + std::to_string(i)));
  const std::vector<BoxId> half(all.begin(), all.begin() + row.boxes / 2);
  std::vector<ColdTargets> boxes(all.size());
  for (size_t i = 0; i < boxes.size(); ++i) {
    const bool behind = static_cast<int>(i) < row.behind;
    boxes[i].SetBoxes(all[i], behind ? half : all);
    boxes[i].SetPools({{kPool, row.per_second}});
    for (TargetId target = 1; target <= kTargets; ++target)
      boxes[i].SetCold(target, kCold);
  }
  Got got;
  double total = 0;
  std::vector<std::deque<Millis>> sent(kTargets + 1);
  for (Millis now; now < kCold; now = now + kStep) {
    for (size_t i = static_cast<size_t>(row.dead); i < boxes.size(); ++i) {
      for (TargetId target = 1; target <= kTargets; ++target) {
        if (!boxes[i].MaySend(target, kPool, now))
          continue;
        boxes[i].Sent(target, now);
        ++total;
        sent[target].push_back(now);
      }
    }
    for (auto& times : sent) {
      while (!times.empty() && now - times.front() >= Millis(1'000))
        times.pop_front();
      got.most_in_a_second =
          std::max(got.most_in_a_second, static_cast<double>(times.size()));
    }
  }
  got.mean_per_second =
      total / kTargets / (static_cast<double>(kCold.count()) / 1'000);
  return got;
}

TEST_GROUP(ColdTargets){};

TEST(ColdTargets, GetWhatTheyBearFromAllBoxesTogether) {
  const std::vector<Row> rows = {
      {"all know the same", 64, 6.1, 0, 0, 0.8},
      {"half know half of the boxes", 64, 6.1, 32, 0, 0.8},
      {"a quarter is dead", 64, 6.1, 0, 16, 0.4},
      {"one box", 1, 6.1, 0, 0, 0.4},
      {"a large fleet", 2'400, 6.1, 0, 0, 0.8},
      {"targets that bear little", 64, 0.5, 0, 0, 0.5},
      {"targets that bear much", 64, 40, 0, 0, 0.8},
  };
  for (const Row& row : rows) {
    const Got got = Flood(row);
    CHECK_TEXT(got.most_in_a_second <= Bound(row.per_second), row.what);
    CHECK_TEXT(got.mean_per_second >= row.least * row.per_second, row.what);
  }
}

TEST(ColdTargets, AreAsOthersOnceWarmOrWhereNoneIsDeclaredCold) {
  ColdTargets cold;
  cold.SetBoxes(1, {1, 2, 3, 4, 5, 6, 7, 8});
  cold.SetPools({{kPool, 2}});
  cold.SetCold(1, Millis(1'000));
  cold.SetCold(1, Millis(500));  // an earlier end changes nothing
  CHECK(cold.IsCold(1, Millis(999)));
  CHECK(!cold.IsCold(1, Millis(1'000)));
  CHECK(cold.MaySend(1, kPool, Millis(1'000)));
  CHECK(cold.MaySend(1, kPool + 1, Millis(0)));
  CHECK(cold.MaySend(2, kPool, Millis(0)));
  cold.Retain({2});
  CHECK(!cold.IsCold(1, Millis(0)));
}

// One box before one engine of a pool whose cold targets bear six a second.
class OneEngine {
 public:
  OneEngine() {
    PoolLimits limits;
    limits.memory_tokens = 100'000;
    limits.cold_requests_per_s = 6;
    placement_.SetPools({{kPool, limits}});
    placement_.SetTargets({{1, kPool, "h", 64, false}});
    placement_.SetBoxes(7, {7});
  }

  auto placement() -> Placement& { return placement_; }

  // Whether one more request is sent there now; it ends at once.
  auto Send(Millis now, int64_t prompt_tokens = 0) -> bool {
    QueuedRequest request;
    request.id = ++asked_;
    request.flow = {kPool, 1};
    request.work.prompt_tokens = prompt_tokens;
    request.work.output_tokens = prompt_tokens / 10;
    const auto choice = placement_.Choose(
        request, [](const std::string&) { return true; }, 0, now);
    if (!choice)
      return false;
    placement_.Start(request, *choice, now);
    placement_.OnBytes(request.id, now);
    placement_.Finish(request.id);
    return true;
  }

 private:
  Placement placement_{"h"};
  RequestId asked_ = 0;
};

TEST(ColdTargets, AreChosenNoMoreOftenThanTheyBear) {
  OneEngine engine;
  engine.placement().SetCold(1, Millis(10'000));
  int sent = 0;
  for (Millis now; now < Millis(10'000); now = now + kStep)
    sent += engine.Send(now, 100) ? 1 : 0;
  CHECK(sent >= 20);
  CHECK(sent <= 30);
}

// It refused a connection, so it may be cold when it is back, before its own
// word of that can be known.
TEST(ColdTargets, ATargetThatWasDownIsTakenForCold) {
  OneEngine engine;
  engine.placement().OnOutcome(1, TargetOutcome::kRefused, Millis(100));
  int sent = 0;
  for (Millis now(100); now < Millis(1'100); now = now + kStep)
    sent += engine.Send(now) ? 1 : 0;
  CHECK(sent >= 2);
  CHECK(sent <= 4);
}

// A box behind its work misses connections that would have been made, and makes
// them at the next try: to take their targets for cold would leave it fewer
// when it needs them most. Follows from reading; no load was seen to suffer.
TEST(ColdTargets, AMissedConnectionIsNoRestart) {
  struct Case {
    const char* what;
    Millis back_at;
    bool cold;
  };
  const Case cases[] = {
      {"made at the next try", Millis(150), false},
      {"made after a while", Millis(900), false},
      {"none for as long as a restart takes", Millis(1'200), true},
  };
  for (const Case& row : cases) {
    OneEngine engine;
    engine.placement().OnOutcome(1, TargetOutcome::kNoConnection, Millis(0));
    engine.placement().OnReachable(1, row.back_at);
    int sent = 0;
    for (int i = 0; i < 10; ++i)
      sent += engine.Send(row.back_at) ? 1 : 0;
    CHECK_EQUAL_TEXT(row.cold ? 1 : 10, sent, row.what);
  }
}

}  // namespace
}  // namespace sparbend
