#include "sparbend/core/quarantine.h"

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr Fingerprint kRequest = {1, 2, 3};
constexpr Millis kStart(1'000'000);

TEST_GROUP(Quarantine){};

// Runs of one request, in order: what was known when each was sent, and how it
// came out; then for how long the request is blocked.
TEST(Quarantine, BlocksWhatEndsItsTargetsTwiceInARow) {
  enum class Outcome { kEnded, kWhole };
  using enum Outcome;
  struct Run {
    SuspicionVersion sent_at;
    Outcome outcome;
  };
  struct Case {
    const char* what;
    std::vector<Run> runs;
    int64_t blocked_ms;
  };
  const Case cases[] = {
      {"once", {{{0, 0}, kEnded}}, 0},
      {"copies on their way at the same time",
       {{{0, 0}, kEnded}, {{0, 0}, kEnded}, {{0, 0}, kEnded}},
       0},
      {"again, knowing of the first",
       {{{0, 0}, kEnded}, {{0, 1}, kEnded}},
       120'000},
      {"a third time",
       {{{0, 0}, kEnded}, {{0, 1}, kEnded}, {{0, 2}, kEnded}},
       1'200'000},
      {"a fifth time, and no longer than the longest",
       {{{0, 0}, kEnded},
        {{0, 1}, kEnded},
        {{0, 2}, kEnded},
        {{0, 3}, kEnded},
        {{0, 4}, kEnded}},
       12'000'000},
      {"answered whole between",
       {{{0, 0}, kEnded}, {{0, 1}, kWhole}, {{1, 0}, kEnded}},
       0},
      {"answered whole, then an end of a run sent before",
       {{{0, 0}, kEnded}, {{0, 1}, kWhole}, {{0, 1}, kEnded}},
       0},
      {"blocked, and a run on its way is answered whole",
       {{{0, 0}, kEnded}, {{0, 1}, kEnded}, {{0, 1}, kWhole}},
       0},
      {"twice after a whole answer",
       {{{0, 0}, kEnded}, {{0, 1}, kWhole}, {{1, 0}, kEnded}, {{1, 1}, kEnded}},
       120'000},
  };
  for (const Case& row : cases) {
    Quarantine quarantine;
    for (const Run& run : row.runs) {
      if (run.outcome == kEnded)
        quarantine.OnEnded(kRequest, run.sent_at, kStart);
      else
        quarantine.OnWhole(kRequest, run.sent_at, kStart);
    }
    CHECK_EQUAL_TEXT(row.blocked_ms,
                     quarantine.BlockedFor(kRequest, kStart).count(), row.what);
    LONGS_EQUAL_TEXT(row.blocked_ms > 0 ? 1 : 0,
                     quarantine.TakeNewlyBlocked(kStart).size(), row.what);
  }
}

TEST(Quarantine, LetsARequestGoWhenItsTimeIsOverAndHoldsItLongerTheNextTime) {
  Quarantine quarantine;
  quarantine.OnEnded(kRequest, {0, 0}, kStart);
  quarantine.OnEnded(kRequest, {0, 1}, kStart);
  const Millis later = kStart + Millis(120'000);
  CHECK_EQUAL(1, quarantine.BlockedFor(kRequest, later - Millis(1)).count());
  CHECK_EQUAL(0, quarantine.BlockedFor(kRequest, later).count());
  quarantine.OnEnded(kRequest, quarantine.SuspicionVersionOf(kRequest), later);
  CHECK_EQUAL(1'200'000, quarantine.BlockedFor(kRequest, later).count());
}

TEST(Quarantine, IsLiftedForOneWorkspaceAlone) {
  const Fingerprint other = {9, 2, 3};
  Quarantine quarantine;
  for (const Fingerprint& request : {kRequest, other}) {
    quarantine.OnEnded(request, {0, 0}, kStart);
    quarantine.OnEnded(request, {0, 1}, kStart);
  }
  LONGS_EQUAL(1, quarantine.Lift(kRequest.workspace, kStart));
  CHECK_EQUAL(0, quarantine.BlockedFor(kRequest, kStart).count());
  CHECK_EQUAL(120'000, quarantine.BlockedFor(other, kStart).count());
  LONGS_EQUAL(1, quarantine.ListBlocked(kStart).size());
}

TEST(Quarantine, LooksAtBodiesOfSuspectedPathsAlone) {
  Quarantine quarantine;
  CHECK(quarantine.empty());
  quarantine.OnEnded(kRequest, {0, 0}, kStart);
  CHECK(quarantine.Concerns(1, 2));
  CHECK_FALSE(quarantine.Concerns(1, 1));
  CHECK_FALSE(quarantine.Concerns(1, 3));
  CHECK_FALSE(quarantine.Concerns(0, 2));
  CHECK_FALSE(quarantine.Concerns(2, 2));
}

TEST(Quarantine, OfOneWorkspacePushesOutItsOwnRequestsAloneAndTheBlockedLast) {
  const Fingerprint other = {9, 2, 3};
  Quarantine quarantine;
  quarantine.OnEnded(other, {0, 0}, kStart);
  quarantine.OnEnded(kRequest, {0, 0}, kStart);
  quarantine.OnEnded(kRequest, {0, 1}, kStart);
  for (uint32_t body = 100; body < 2'000; ++body)
    quarantine.OnEnded({1, 2, body}, {0, 0}, kStart + Millis(body));
  LONGS_EQUAL(257, quarantine.size());
  CHECK(quarantine.SuspicionVersionOf(other) == SuspicionVersion({0, 1}));
  CHECK(quarantine.SuspicionVersionOf(kRequest) == SuspicionVersion({0, 2}));
}

TEST(Quarantine, ForgetsWhatIsNotBlockedAfterTenMinutes) {
  struct Case {
    int64_t after_ms;
    size_t told;
  };
  const Case cases[] = {{599'999, 1}, {600'000, 0}};
  for (const Case& row : cases) {
    Quarantine quarantine;
    quarantine.OnEnded(kRequest, {0, 0}, kStart);
    LONGS_EQUAL(row.told,
                quarantine.RowsToReport(kStart + Millis(row.after_ms)).size());
    CHECK(quarantine.empty() == (row.told == 0));
  }
}

// A box that has just started hears of old rows too, and keeps them no longer
// than the others.
TEST(Quarantine, IsLearntWithItsAge) {
  Quarantine one;
  one.OnEnded(kRequest, {0, 0}, kStart);
  one.OnEnded(kRequest, {0, 1}, kStart);
  const Millis later = kStart + Millis(100'000);
  Quarantine other;
  other.UpdateFromPeer(one.RowsToReport(later), later);
  CHECK_EQUAL(20'000, other.BlockedFor(kRequest, later).count());
  const Millis over = kStart + Millis(720'000);
  Quarantine late;
  late.UpdateFromPeer(one.RowsToReport(over), over);
  CHECK(late.empty());
}

// What a box writes down: what is blocked since its own run ended a target, and
// what it wrote down before; no longer once it is cleared.
TEST(Quarantine, KeepsWhatItsOwnRunsBlocked) {
  Quarantine one;
  Quarantine other;
  one.OnEnded(kRequest, {0, 0}, kStart);
  CHECK(one.Kept(kStart).empty());
  other.UpdateFromPeer(one.RowsToReport(kStart), kStart);
  other.OnEnded(kRequest, other.SuspicionVersionOf(kRequest), kStart);
  one.UpdateFromPeer(other.RowsToReport(kStart), kStart);
  CHECK(one.Kept(kStart).empty());
  CHECK(other.TakeKeptChanged());
  CHECK_FALSE(other.TakeKeptChanged());
  const std::vector<Suspicion> kept = other.Kept(kStart);
  LONGS_EQUAL(1, kept.size());
  Quarantine next_life;
  next_life.Restore(kept, kStart);
  CHECK(next_life.Kept(kStart) == kept);
  one.Lift(kRequest.workspace, kStart);
  other.UpdateFromPeer(one.RowsToReport(kStart), kStart);
  CHECK(other.TakeKeptChanged());
  CHECK(other.Kept(kStart).empty());
}

TEST(Quarantine, TellsAllRowsInTurnWithinItsPartOfAWord) {
  constexpr size_t kRows = 200;
  constexpr size_t kMostPerWord = 4;
  Quarantine one;
  for (uint32_t body = 0; body < kRows; ++body)
    one.OnEnded({1, 2, body}, {0, 0}, kStart);
  const Millis later = kStart + Millis(10'000);
  Quarantine other;
  for (size_t words = 0; words < kRows; ++words) {
    const Millis at = later + Millis(100 * static_cast<int64_t>(words));
    const std::vector<Suspicion> told = one.RowsToReport(at);
    CHECK(told.size() <= kMostPerWord);
    other.UpdateFromPeer(told, at);
  }
  LONGS_EQUAL(kRows, other.size());
}

// Whatever boxes see of some requests, in whatever order they hear of it, and
// however often: once all have heard all, all agree.
TEST(Quarantine, BoxesThatHaveHeardAllAgree) {
  testing::CheckHolds("all agree", [] {
    constexpr size_t kBoxes = 3;
    std::array<Quarantine, kBoxes> boxes;
    const auto events =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000'000));
    for (const int event : events) {
      Quarantine& box = boxes[static_cast<size_t>(event) % kBoxes];
      Quarantine& peer = boxes[static_cast<size_t>(event / 3) % kBoxes];
      const Fingerprint request = {1, 2, static_cast<uint32_t>(event / 9 % 2)};
      const SuspicionVersion stamp = box.SuspicionVersionOf(request);
      switch (event / 18 % 4) {
        case 0:
        case 1:
          box.OnEnded(request, stamp, kStart);
          break;
        case 2:
          box.OnWhole(request, stamp, kStart);
          break;
        default:
          box.UpdateFromPeer(peer.RowsToReport(kStart), kStart);
      }
    }
    for (Quarantine& box : boxes) {
      for (Quarantine& peer : boxes)
        box.UpdateFromPeer(peer.RowsToReport(kStart), kStart);
    }
    for (Quarantine& box : boxes) {
      for (Quarantine& peer : boxes)
        box.UpdateFromPeer(peer.RowsToReport(kStart), kStart);
    }
    for (const uint32_t body : {0U, 1U}) {
      const Fingerprint request = {1, 2, body};
      for (const Quarantine& box : boxes) {
        RC_ASSERT(box.SuspicionVersionOf(request) ==
                  boxes[0].SuspicionVersionOf(request));
        RC_ASSERT(box.BlockedFor(request, kStart) ==
                  boxes[0].BlockedFor(request, kStart));
      }
    }
  });
}

}  // namespace
}  // namespace sparbend
