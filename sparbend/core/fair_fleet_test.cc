// Symptom. Of two workspaces that both ask far more than they are owed, one
// got less than half of what the other got, for six seconds on end: 2,970,237
// tokens of 14,915,205 asked, against 6,199,675.
//
// Sequence, from all boxes' logs of such a day (59 boxes, a word to the peers
// every half second). The better served workspace asks 11.1 million tokens a
// second through all boxes, another 3.0 million through two. Both are refused
// for having had more than their part. Of the first, at 9.8 s, the boxes
// believe 1.3 million served lately where 1.3 to 1.4 are allowed. Until 10.13 s
// no refusal names more than 1.4, and 2.7 million more go out; within the next
// 60 ms the words of all boxes come, and all believe 3.0. Nothing goes out for
// 1.6 s then, and at 11.8 s it begins again. It had 1.47 million tokens a
// second with 0.70 allowed; the workspace at two boxes, of which 1.2 to 1.7
// million are believed at all times, had 0.69.
//
// Cause. Each box compares what the whole fleet served, as last told, with what
// a flow may have, and fills all that is missing by itself. A flow that comes
// through many boxes finds the gap open at each of them until their words have
// come, which they send at about the same moments; all stop then, and open
// together again. A flow that comes through few is held at the bound.
//
// What settled it: what is told is right (3.0 believed, 3.3 true, a moment
// after the words; 1.3 believed, 3.5 true, just before); the short workspace is
// at its bound, so no bound lies above what engines can serve; 357 of 17,297
// tries were refused by boxes behind their work.
#include <algorithm>
#include <array>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "sparbend/core/fair_shares.h"

namespace sparbend {
namespace {

constexpr PoolId kPool = 1;
constexpr Millis kStep(10);
constexpr Millis kWordInterval(500);
// The promise is kept over spans of so long.
constexpr Millis kSpan(6'000);
constexpr Millis kStride(1'000);  // from one span judged to the next
constexpr Millis kWarmUp(4'000);
constexpr Millis kEnd(22'000);

// What comes for one workspace.
struct Traffic {
  int first_box = 0;
  int boxes = 1;  // it comes through so many, evenly
  int64_t tokens_per_second = 0;
  int64_t request_tokens = 0;
};

// Boxes that tell each other what they served and refused, before engines that
// always have room. The oracle counts what was let through.
class FairFleet {
 public:
  FairFleet(int boxes, int64_t capacity, bool in_step)
      : in_step_(in_step), boxes_(boxes) {
    for (FairShares& box : boxes_)
      box.SetCapacity(kPool, capacity);
  }

  void Add(const Traffic& traffic) {
    traffic_.push_back(traffic);
    pending_.push_back(0);
    served_.emplace_back();
  }

  void RunUntil(Millis end) {
    while (now_ < end) {
      now_ = now_ + kStep;
      TellWords();
      for (size_t i = 0; i < traffic_.size(); ++i)
        Arrive(i);
    }
  }

  // Tokens of workspace `i` let through in the kSpan from `from`.
  auto ServedIn(size_t i, Millis from) const -> int64_t {
    int64_t sum = 0;
    for (const auto& [at, tokens] : served_[i])
      sum += at >= from && at < from + kSpan ? tokens : 0;
    return sum;
  }

 private:
  struct Sent {
    Millis at;
    int64_t tokens;
  };

  // In step, as after news that all tell on at once, or in turn.
  void TellWords() {
    const auto count = static_cast<int64_t>(boxes_.size());
    for (int64_t from = 0; from < count; ++from) {
      const int64_t turn = in_step_ ? 0 : kWordInterval.count() * from / count;
      if ((now_.count() + turn) % kWordInterval.count() >= kStep.count())
        continue;
      const auto served = boxes_[from].OwnServed(kMostTold, now_);
      const auto denied = boxes_[from].OwnDenied(kMostTold, now_);
      for (int64_t to = 0; to < count; ++to) {
        if (to != from)
          boxes_[to].UpdateFromPeer(static_cast<BoxId>(from), served, denied,
                                    now_);
      }
    }
  }

  void Arrive(size_t i) {
    const Traffic& traffic = traffic_[i];
    pending_[i] += traffic.tokens_per_second * kStep.count();
    while (pending_[i] >= traffic.request_tokens * 1'000) {
      pending_[i] -= traffic.request_tokens * 1'000;
      Ask(i, traffic);
    }
  }

  void Ask(size_t i, const Traffic& traffic) {
    const int chosen =
        traffic.first_box + static_cast<int>(Random() % traffic.boxes);
    FairShares& box = boxes_[chosen % boxes_.size()];
    const Flow flow{kPool, static_cast<WorkspaceId>(i + 1)};
    // Half to one and a half times the mean.
    const int64_t tokens =
        traffic.request_tokens / 2 +
        static_cast<int64_t>(Random() % traffic.request_tokens);
    if (box.Excess(flow, now_) == FairShares::kMustYield) {
      box.Denied(flow, tokens, now_);
      return;
    }
    box.Served(flow, tokens, now_);
    served_[i].push_back({now_, tokens});
  }

  auto Random() -> uint64_t {
    random_ = random_ * 6364136223846793005 + 1442695040888963407;
    return random_ >> 33;
  }

  static constexpr size_t kMostTold = 16;

  bool in_step_;  // all boxes speak at the same moments
  std::vector<FairShares> boxes_;
  std::vector<Traffic> traffic_;
  std::vector<int64_t> pending_;  // thousandths of tokens not yet asked
  std::vector<std::vector<Sent>> served_;
  Millis now_{0};
  uint64_t random_ = 1;
};

TEST_GROUP(FairFleet){};

TEST(FairFleet, AFloodThroughManyBoxesGetsNoMoreThanOneThroughFew) {
  struct Case {
    const char* what;
    int boxes;
    int many;  // boxes of the one flood
    int few;   // boxes of the other
    int64_t request_tokens;
    int64_t flood;  // tokens a second that the first asks
    bool in_step;   // of the boxes' words
  };
  const Case cases[] = {
      {"all of 59 boxes against two", 59, 59, 2, 9'000, 10'000'000, true},
      {"the same, words in turn", 59, 59, 2, 9'000, 10'000'000, false},
      {"all of 59 boxes against one, long requests", 59, 59, 1, 17'000,
       10'000'000, true},
      {"all of 9 boxes against one", 9, 9, 1, 9'000, 10'000'000, true},
      {"the same boxes", 59, 59, 59, 9'000, 2'500'000, true},
  };
  for (const Case& row : cases) {
    constexpr int64_t kCapacity = 4'000'000;  // tokens a second
    constexpr int64_t kFlood = 2'500'000;
    constexpr int kLight = 20;
    constexpr int64_t kLightTokens = 60'000;
    FairFleet fleet(row.boxes, kCapacity, row.in_step);
    fleet.Add({0, row.many, row.flood, row.request_tokens});
    fleet.Add({row.boxes / 3, row.few, kFlood, row.request_tokens});
    for (int i = 0; i < 3; ++i)
      fleet.Add({i, row.boxes / 3, kFlood, row.request_tokens});
    for (int i = 0; i < kLight; ++i)
      fleet.Add({i, 3, kLightTokens, row.request_tokens});
    fleet.RunUntil(kEnd);
    double least = 1e9;
    double most = 0;
    for (Millis from = kWarmUp; from + kSpan <= kEnd; from = from + kStride) {
      const double ratio = static_cast<double>(fleet.ServedIn(1, from)) /
                           static_cast<double>(fleet.ServedIn(0, from));
      least = std::min(least, ratio);
      most = std::max(most, ratio);
    }
    // The promise is a half; what else may go wrong on a day needs the rest.
    CHECK_TEXT(least > 0.8, row.what);
    CHECK_TEXT(most < 1.25, row.what);
  }
}

}  // namespace
}  // namespace sparbend
