// Guards against a fleet that retries more than its limit while boxes start,
// are killed, cut off or without room at their targets.
#include <algorithm>
#include <deque>
#include <iostream>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "sparbend/core/retry.h"

namespace sparbend {
namespace {

constexpr Millis kWindow(10'000);
constexpr Millis kStep(10);
constexpr Millis kDuration(60'000);
// From one of these to the end each first attempt fails after it has arrived.
constexpr Millis kFailuresFrom(20'000);
constexpr Millis kLateFailuresFrom(29'900);
constexpr Millis kDisturbedFrom(29'000);
constexpr Millis kDisturbedUntil(30'000);
constexpr FleetRetryBudget::Limits kLimits{0.2, 162, kWindow};

enum class Act {
  kNone,
  kAllKilled,     // and started again with what they know lost
  kStartUnknown,  // the same, and each knows only the boxes started before it
  kThirdCutOff,   // the others take it from their lists
  kNoRoom,        // retries wait, and are sent together
  kTrafficMoves,  // from one half of the boxes to the other
};

struct Row {
  const char* what;
  Act act;
  int requests_per_second;  // of all boxes
  Millis failures_from = kFailuresFrom;
};

constexpr Row kRows[] = {
    {"undisturbed", Act::kNone, 145},
    {"undisturbed, few requests", Act::kNone, 20},
    {"all killed", Act::kAllKilled, 145},
    {"all killed, few requests", Act::kAllKilled, 20},
    {"started one after the other", Act::kStartUnknown, 145},
    {"started one after the other, few requests", Act::kStartUnknown, 20},
    {"a third cut off", Act::kThirdCutOff, 20},
    {"no room at targets", Act::kNoRoom, 145},
    {"no room at targets, many requests", Act::kNoRoom, 1'000},
    {"no room at targets, few requests", Act::kNoRoom, 20},
    {"traffic moves", Act::kTrafficMoves, 145},
};

// The boxes of a fleet as their retry budgets alone.
class Fleet {
 public:
  Fleet(const Row& row, int boxes) : row_(row), boxes_(boxes) {
    for (int box = 0; box < boxes; ++box)
      budgets_.push_back(Start(Millis(0)));
  }

  void Run() {
    for (now_ = Millis(0); now_ < kDuration; now_ = now_ + kStep)
      Step();
  }

  // The largest part of the limit that arrived in any window.
  auto LargestPart() const -> double {
    double largest = 0;
    for (Millis end = row_.failures_from; end < kDuration; end = end + kStep) {
      const auto requests =
          std::max({CountIn(requests_, end), CountIn(requests_, end - kWindow),
                    CountIn(requests_, end - Millis(kWindow.count() / 2))});
      const double limit =
          kLimits.ratio * static_cast<double>(requests) + kLimits.slack;
      largest = std::max(largest,
                         static_cast<double>(CountIn(retries_, end)) / limit);
    }
    return largest;
  }
  auto retries() const -> size_t { return retries_.size(); }

 private:
  static auto CountIn(const std::vector<Millis>& times, Millis end) -> int64_t {
    return std::ranges::upper_bound(times, end) -
           std::ranges::upper_bound(times, end - kWindow);
  }

  auto Start(Millis now) const -> FleetRetryBudget { return {kLimits, now}; }

  auto disturbed() const -> bool {
    return now_ >= kDisturbedFrom && now_ < kDisturbedUntil;
  }

  // How many boxes `box` knows.
  auto BoxesKnown(int box) const -> int {
    if (row_.act == Act::kThirdCutOff && now_ >= kDisturbedFrom &&
        box >= boxes_ / 3)
      return boxes_ - boxes_ / 3;
    if (row_.act == Act::kStartUnknown && now_ >= kDisturbedFrom &&
        now_ < kDisturbedUntil + Millis(2'000))
      return box + 1;
    return boxes_;
  }

  auto NextBox() -> int {
    next_ = (next_ + 1) % boxes_;
    if (row_.act != Act::kTrafficMoves)
      return next_;
    const int half = std::max(1, boxes_ / 2);
    return now_ < kDisturbedUntil ? next_ % half : boxes_ - 1 - next_ % half;
  }

  void Step() {
    const bool killed =
        row_.act == Act::kAllKilled || row_.act == Act::kStartUnknown;
    if (killed && now_ == kDisturbedFrom) {
      for (FleetRetryBudget& budget : budgets_)
        budget = Start(now_);
    }
    due_ += row_.requests_per_second * kStep.count();
    for (; due_ >= 1'000; due_ -= 1'000)
      Request(NextBox());
    const bool no_room = row_.act == Act::kNoRoom &&
                         now_ >= row_.failures_from && now_ < kDisturbedUntil;
    for (; !no_room && !waiting_.empty(); waiting_.pop_front())
      Send(waiting_.front());
  }

  void Request(int box) {
    FleetRetryBudget& budget = budgets_[static_cast<size_t>(box)];
    budget.OnFirstAttempt(BoxesKnown(box), now_);
    requests_.push_back(now_);
    if (now_ < row_.failures_from)
      return;
    while (budget.Take(BoxesKnown(box), now_))
      waiting_.push_back(box);
  }

  void Send(int box) {
    budgets_[static_cast<size_t>(box)].OnRetrySent(now_);
    retries_.push_back(now_);
  }

  Row row_;
  int boxes_;
  Millis now_;
  int64_t due_ = 0;  // thousandths of a request
  int next_ = 0;
  std::vector<FleetRetryBudget> budgets_;
  std::deque<int> waiting_;  // the boxes of retries that have no room
  std::vector<Millis> requests_;
  std::vector<Millis> retries_;
};

auto KeepsLimit(const Row& row) -> bool {
  bool kept = true;
  for (const int boxes : {9, 60, 85, 300}) {
    Fleet fleet(row, boxes);
    fleet.Run();
    const double part = fleet.LargestPart();
    std::cout << row.what << ", " << boxes << " boxes: " << part
              << " of the limit, " << fleet.retries() << " retries\n";
    kept = kept && part <= 1;
  }
  return kept;
}

TEST_GROUP(RetryDisturbedFleet){};

TEST(RetryDisturbedFleet, StaysWithinTheLimit) {
  bool kept = true;
  for (const Row& row : kRows)
    kept = KeepsLimit(row) && kept;
  CHECK(kept);
}

// Each box counts its own last window, and those windows begin at different
// times.
TEST_GROUP(RetryMovedTraffic){};

TEST(RetryMovedTraffic, StaysWithinTheLimit) {
  bool kept = true;
  for (const int requests_per_second : {145, 1'000})
    kept = KeepsLimit({"traffic moves, late failures", Act::kTrafficMoves,
                       requests_per_second, kLateFailuresFrom}) &&
           kept;
  CHECK(kept);
}

}  // namespace
}  // namespace sparbend
