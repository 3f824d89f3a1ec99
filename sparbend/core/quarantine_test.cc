#include "sparbend/core/quarantine.h"

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr Fingerprint kRequest = {1, 2, 3};
constexpr Millis kStartTime(1'000'000);

TEST_GROUP(Quarantine){};

// Attempts at one request, in order: the suspicion version at which each was
// sent and its outcome; then for how long the request is blocked.
TEST(Quarantine, BlocksARequestAfterTwoSuccessiveExits) {
  enum class Outcome { kTargetExited, kAnswered };
  using enum Outcome;
  struct Attempt {
    SuspicionVersion sent;
    Outcome outcome;
  };
  struct Case {
    const char* what;
    std::vector<Attempt> attempts;
    int64_t blocked_ms;
  };
  const Case cases[] = {
      {"once", {{{0, 0}, kTargetExited}}, 0},
      {"copies in flight at the same time",
       {{{0, 0}, kTargetExited},
        {{0, 0}, kTargetExited},
        {{0, 0}, kTargetExited}},
       0},
      {"again, sent after the first exit was known",
       {{{0, 0}, kTargetExited}, {{0, 1}, kTargetExited}},
       120'000},
      {"a third time",
       {{{0, 0}, kTargetExited},
        {{0, 1}, kTargetExited},
        {{0, 2}, kTargetExited}},
       1'200'000},
      {"a fifth time, up to the maximum",
       {{{0, 0}, kTargetExited},
        {{0, 1}, kTargetExited},
        {{0, 2}, kTargetExited},
        {{0, 3}, kTargetExited},
        {{0, 4}, kTargetExited}},
       12'000'000},
      {"answered completely in between",
       {{{0, 0}, kTargetExited}, {{0, 1}, kAnswered}, {{1, 0}, kTargetExited}},
       0},
      {"answered completely, then an exit at an attempt sent before",
       {{{0, 0}, kTargetExited}, {{0, 1}, kAnswered}, {{0, 1}, kTargetExited}},
       0},
      {"blocked, and an attempt in flight is answered completely",
       {{{0, 0}, kTargetExited}, {{0, 1}, kTargetExited}, {{0, 1}, kAnswered}},
       0},
      {"twice after a complete answer",
       {{{0, 0}, kTargetExited},
        {{0, 1}, kAnswered},
        {{1, 0}, kTargetExited},
        {{1, 1}, kTargetExited}},
       120'000},
  };
  for (const Case& row : cases) {
    Quarantine quarantine;
    for (const Attempt& attempt : row.attempts) {
      if (attempt.outcome == kTargetExited)
        quarantine.OnEnded(kRequest, attempt.sent, kStartTime);
      else
        quarantine.ClearSuspicion(kRequest, attempt.sent, kStartTime);
    }
    CHECK_EQUAL_TEXT(row.blocked_ms,
                     quarantine.BlockedFor(kRequest, kStartTime).count(),
                     row.what);
    LONGS_EQUAL_TEXT(row.blocked_ms > 0 ? 1 : 0,
                     quarantine.TakeNewlyBlocked(kStartTime).size(), row.what);
  }
}

TEST(Quarantine, BlocksExpireAndTheNextOneIsLonger) {
  Quarantine quarantine;
  quarantine.OnEnded(kRequest, {0, 0}, kStartTime);
  quarantine.OnEnded(kRequest, {0, 1}, kStartTime);
  const Millis later = kStartTime + Millis(120'000);
  CHECK_EQUAL(1, quarantine.BlockedFor(kRequest, later - Millis(1)).count());
  CHECK_EQUAL(0, quarantine.BlockedFor(kRequest, later).count());
  quarantine.OnEnded(kRequest, quarantine.SuspicionVersionOf(kRequest), later);
  CHECK_EQUAL(1'200'000, quarantine.BlockedFor(kRequest, later).count());
}

TEST(Quarantine, LiftAppliesToOneWorkspace) {
  const Fingerprint other_workspace = {9, 2, 3};
  Quarantine quarantine;
  for (const Fingerprint& request : {kRequest, other_workspace}) {
    quarantine.OnEnded(request, {0, 0}, kStartTime);
    quarantine.OnEnded(request, {0, 1}, kStartTime);
  }
  LONGS_EQUAL(1, quarantine.Lift(kRequest.workspace, kStartTime));
  CHECK_EQUAL(0, quarantine.BlockedFor(kRequest, kStartTime).count());
  CHECK_EQUAL(120'000,
              quarantine.BlockedFor(other_workspace, kStartTime).count());
  LONGS_EQUAL(1, quarantine.ListBlocked(kStartTime).size());
}

TEST(Quarantine, ConcernsOnlySuspectedPaths) {
  Quarantine quarantine;
  CHECK(quarantine.empty());
  quarantine.OnEnded(kRequest, {0, 0}, kStartTime);
  CHECK(quarantine.HasSuspicions(1, 2));
  CHECK_FALSE(quarantine.HasSuspicions(1, 1));
  CHECK_FALSE(quarantine.HasSuspicions(1, 3));
  CHECK_FALSE(quarantine.HasSuspicions(0, 2));
  CHECK_FALSE(quarantine.HasSuspicions(2, 2));
}

TEST(Quarantine, WorkspaceEvictsItsOwnRowsWithTheBlockedOnesLast) {
  const Fingerprint other_workspace = {9, 2, 3};
  Quarantine quarantine;
  quarantine.OnEnded(other_workspace, {0, 0}, kStartTime);
  quarantine.OnEnded(kRequest, {0, 0}, kStartTime);
  quarantine.OnEnded(kRequest, {0, 1}, kStartTime);
  for (uint32_t body = 100; body < 2'000; ++body)
    quarantine.OnEnded({1, 2, body}, {0, 0}, kStartTime + Millis(body));
  LONGS_EQUAL(257, quarantine.size());
  CHECK(quarantine.SuspicionVersionOf(other_workspace) ==
        SuspicionVersion({0, 1}));
  CHECK(quarantine.SuspicionVersionOf(kRequest) == SuspicionVersion({0, 2}));
}

TEST(Quarantine, DropsRowsThatAreNotBlockedAfterTenMinutes) {
  struct Case {
    int64_t after_ms;
    size_t reported;
  };
  const Case cases[] = {{599'999, 1}, {600'000, 0}};
  for (const Case& row : cases) {
    Quarantine quarantine;
    quarantine.OnEnded(kRequest, {0, 0}, kStartTime);
    LONGS_EQUAL(
        row.reported,
        quarantine.RowsToReport(kStartTime + Millis(row.after_ms)).size());
    CHECK(quarantine.empty() == (row.reported == 0));
  }
}

// Exits under one part, sent one after the other.
void ExitTimes(Quarantine* quarantine, const Fingerprint& part, int times) {
  for (int i = 0; i < times; ++i)
    quarantine->OnEnded(part, quarantine->SuspicionVersionOf(part), kStartTime);
}

TEST(Quarantine, BlocksAPartLaterIfItWasAnsweredBefore) {
  struct Case {
    bool answered;
    int exits;
    bool blocked;
  };
  const Case cases[] = {
      {false, 2, false}, {false, 3, true}, {true, 4, false}, {true, 5, true}};
  const Fingerprint part = PartFingerprint(1, 7);
  for (const Case& row : cases) {
    Quarantine quarantine;
    if (row.answered)
      quarantine.OnAnswered({{part, {0, 0}}}, kStartTime);
    ExitTimes(&quarantine, part, row.exits);
    CHECK(row.blocked ==
          (quarantine.RefusedFor({kRequest, part}, kStartTime) > Millis(0)));
  }
}

// Two parts are blocked after exits of requests that held both.
TEST(Quarantine, TriesRequestsWithOneOfTwoPartsBlockedTogether) {
  const Fingerprint deadly = PartFingerprint(1, 7);
  const Fingerprint sound = PartFingerprint(1, 8);
  const Fingerprint other_workspace = PartFingerprint(2, 8);
  enum class Outcome { kNone, kAnswered, kTargetExited };
  struct Case {
    const char* what;
    Outcome trial;                     // of a request with `sound` alone
    std::vector<Fingerprint> request;  // sent after that
    int64_t after_ms;                  // since the trial began
    int64_t refused_ms;
  };
  const Case cases[] = {
      {"another during the trial", Outcome::kNone, {sound}, 500, 1'500},
      {"another, the trial has no outcome", Outcome::kNone, {sound}, 2'000, 0},
      {"both parts", Outcome::kNone, {sound, deadly}, 0, 120'000},
      {"the other part alone", Outcome::kNone, {deadly}, 0, 0},
      {"answered", Outcome::kAnswered, {sound}, 0, 0},
      {"answered, both parts", Outcome::kAnswered, {sound, deadly}, 0, 120'000},
      {"exited once", Outcome::kTargetExited, {sound}, 0, 0},
      {"another workspace", Outcome::kNone, {other_workspace}, 0, 0},
  };
  for (const Case& row : cases) {
    Quarantine box;
    Quarantine peer;
    ExitTimes(&box, deadly, 3);
    ExitTimes(&box, sound, 3);
    CHECK_EQUAL(0, box.RefusedFor({sound}, kStartTime).count());
    CHECK(box.StartTrials({kRequest, sound}, kStartTime));
    const std::vector<SentSuspect> sent = box.VersionsOf({sound});
    if (row.trial == Outcome::kAnswered)
      box.OnAnswered(sent, kStartTime);
    if (row.trial == Outcome::kTargetExited)
      box.OnEnded(sound, sent.front().version, kStartTime);
    peer.UpdateFromPeer(box.RowsToReport(kStartTime), kStartTime);
    const Millis now = kStartTime + Millis(row.after_ms);
    for (const Quarantine* quarantine : {&box, &peer})
      CHECK_EQUAL_TEXT(row.refused_ms,
                       quarantine->RefusedFor(row.request, now).count(),
                       row.what);
  }
}

// Two parts of unrelated requests that both crash their targets.
TEST(Quarantine, EndsTrialsAfterTwoExits) {
  const Fingerprint parts[] = {PartFingerprint(1, 7), PartFingerprint(1, 8)};
  Quarantine quarantine;
  int sent = 0;
  constexpr int kSeconds = 100;
  for (int second = 0; second < kSeconds; ++second) {
    const Millis now = kStartTime + Millis(1'000 * second);
    for (const Fingerprint& part : parts) {
      if (quarantine.RefusedFor({part}, now) > Millis(0))
        continue;
      quarantine.StartTrials({part}, now);
      quarantine.OnEnded(part, quarantine.SuspicionVersionOf(part), now);
      ++sent;
    }
  }
  LONGS_EQUAL(2 * (3 + 2), sent);
}

TEST(Quarantine, TriesOneRequestAtATimeWhenTheBlockHasEnded) {
  Quarantine quarantine;
  const Fingerprint part = PartFingerprint(1, 7);
  ExitTimes(&quarantine, part, 3);
  const Millis later = kStartTime + Millis(120'000);
  CHECK_EQUAL(1, quarantine.RefusedFor({part}, later - Millis(1)).count());
  CHECK_EQUAL(0, quarantine.RefusedFor({part}, later).count());
  CHECK(quarantine.StartTrials({part}, later));
  CHECK_EQUAL(2'000, quarantine.RefusedFor({part}, later).count());
  quarantine.OnEnded(part, quarantine.SuspicionVersionOf(part), later);
  CHECK_EQUAL(1'200'000, quarantine.RefusedFor({part}, later).count());
}

TEST(Quarantine, ForgetsThePartsAnsweredLeastRecently) {
  constexpr PartId kMaxParts = 4'096;
  AnsweredParts answered;
  for (PartId part = 0; part < kMaxParts; ++part)
    answered.Add(PartFingerprint(1, part));
  answered.Add(PartFingerprint(1, 0));
  answered.Add(PartFingerprint(1, kMaxParts));
  CHECK(answered.Contains(PartFingerprint(1, 0)));
  CHECK_FALSE(answered.Contains(PartFingerprint(1, 1)));
  LONGS_EQUAL(kMaxParts, answered.size());
}

// A box that has just started receives old rows too, and keeps them no longer
// than the other boxes do.
TEST(Quarantine, RowsFromPeersKeepTheirAge) {
  Quarantine box;
  box.OnEnded(kRequest, {0, 0}, kStartTime);
  box.OnEnded(kRequest, {0, 1}, kStartTime);
  const Millis later = kStartTime + Millis(100'000);
  Quarantine peer;
  peer.UpdateFromPeer(box.RowsToReport(later), later);
  CHECK_EQUAL(20'000, peer.BlockedFor(kRequest, later).count());
  const Millis expired_at = kStartTime + Millis(720'000);
  Quarantine late_peer;
  late_peer.UpdateFromPeer(box.RowsToReport(expired_at), expired_at);
  CHECK(late_peer.empty());
}

// A box persists the rows that are blocked since a target exited at an attempt
// of its own, and those that it persisted before its restart, until they are
// cleared.
TEST(Quarantine, PersistsRequestsBlockedAtOwnAttempts) {
  Quarantine box;
  Quarantine peer;
  box.OnEnded(kRequest, {0, 0}, kStartTime);
  CHECK(box.Kept(kStartTime).empty());
  peer.UpdateFromPeer(box.RowsToReport(kStartTime), kStartTime);
  peer.OnEnded(kRequest, peer.SuspicionVersionOf(kRequest), kStartTime);
  box.UpdateFromPeer(peer.RowsToReport(kStartTime), kStartTime);
  CHECK(box.Kept(kStartTime).empty());
  CHECK(peer.TakePersistedRowsChanged());
  CHECK_FALSE(peer.TakePersistedRowsChanged());
  const std::vector<Suspicion> persisted = peer.Kept(kStartTime);
  LONGS_EQUAL(1, persisted.size());
  Quarantine restarted;
  restarted.Restore(persisted, kStartTime);
  CHECK(restarted.Kept(kStartTime) == persisted);
  box.Lift(kRequest.workspace, kStartTime);
  peer.UpdateFromPeer(box.RowsToReport(kStartTime), kStartTime);
  CHECK(peer.TakePersistedRowsChanged());
  CHECK(peer.Kept(kStartTime).empty());
}

TEST(Quarantine, ReportsAllRowsInRotationWithinTheLimitPerReport) {
  constexpr size_t kRows = 200;
  constexpr size_t kMaxRowsPerReport = 4;
  Quarantine box;
  for (uint32_t body = 0; body < kRows; ++body)
    box.OnEnded({1, 2, body}, {0, 0}, kStartTime);
  const Millis later = kStartTime + Millis(10'000);
  Quarantine peer;
  for (size_t report = 0; report < kRows; ++report) {
    const Millis at = later + Millis(100 * static_cast<int64_t>(report));
    const std::vector<Suspicion> reported = box.RowsToReport(at);
    CHECK(reported.size() <= kMaxRowsPerReport);
    peer.UpdateFromPeer(reported, at);
  }
  LONGS_EQUAL(kRows, peer.size());
}

// Whatever the boxes observe of some requests, and in whatever order and
// however often they exchange rows: after a full exchange, all have the same
// state.
TEST(Quarantine, BoxesAgreeAfterAFullExchange) {
  testing::CheckHolds("boxes agree", [] {
    constexpr size_t kBoxes = 3;
    std::array<Quarantine, kBoxes> boxes;
    const auto events =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000'000));
    for (const int event : events) {
      Quarantine& box = boxes[static_cast<size_t>(event) % kBoxes];
      Quarantine& peer = boxes[static_cast<size_t>(event / 3) % kBoxes];
      const Fingerprint request = {1, 2, static_cast<uint32_t>(event / 9 % 2)};
      const SuspicionVersion sent = box.SuspicionVersionOf(request);
      switch (event / 18 % 4) {
        case 0:
        case 1:
          box.OnEnded(request, sent, kStartTime);
          break;
        case 2:
          box.ClearSuspicion(request, sent, kStartTime);
          break;
        default:
          box.UpdateFromPeer(peer.RowsToReport(kStartTime), kStartTime);
      }
    }
    for (Quarantine& box : boxes) {
      for (Quarantine& peer : boxes)
        box.UpdateFromPeer(peer.RowsToReport(kStartTime), kStartTime);
    }
    for (Quarantine& box : boxes) {
      for (Quarantine& peer : boxes)
        box.UpdateFromPeer(peer.RowsToReport(kStartTime), kStartTime);
    }
    for (const uint32_t body : {0U, 1U}) {
      const Fingerprint request = {1, 2, body};
      for (const Quarantine& box : boxes) {
        RC_ASSERT(box.SuspicionVersionOf(request) ==
                  boxes[0].SuspicionVersionOf(request));
        RC_ASSERT(box.BlockedFor(request, kStartTime) ==
                  boxes[0].BlockedFor(request, kStartTime));
      }
    }
  });
}

}  // namespace
}  // namespace sparbend
