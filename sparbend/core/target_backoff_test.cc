// Guards against two failures: a target is sent requests before its Retry-After
// has passed, or all queued requests as soon as it has passed.
#include "sparbend/core/target_backoff.h"

#include <algorithm>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr TargetId kTarget = 7;

TEST_GROUP(TargetBackoff){};

TEST(TargetBackoff, LastsUntilTheLatestTimeAskedFor) {
  struct Rejection {
    int64_t at_ms;
    int64_t span_ms;
  };
  struct Case {
    const char* what;
    std::vector<Rejection> rejections;
    int64_t until_ms;
  };
  const Case cases[] = {
      {"one rejection", {{0, 3'000}}, 3'000},
      {"the shortest span", {{0, 1}}, 1},
      {"then a shorter span", {{0, 3'000}, {100, 500}}, 3'000},
      {"then a longer span", {{0, 500}, {100, 3'000}}, 3'100},
      {"a span of zero", {{0, 0}}, 0},
      {"a negative span", {{0, -5}}, 0},
  };
  for (const Case& row : cases) {
    for (uint64_t seed = 0; seed < 20; ++seed) {
      TargetBackoff backoff;
      backoff.SetSeed(seed);
      for (const Rejection& rejection : row.rejections)
        backoff.OnRetryAfter(kTarget, Millis(rejection.span_ms),
                             Millis(rejection.at_ms));
      const int64_t from = row.rejections.back().at_ms;
      for (int64_t at = from; at < row.until_ms; ++at)
        CHECK_TEXT(!backoff.MaySend(kTarget, Millis(at)), row.what);
      // Each span is extended by at most 10 % (kMaxSpreadPercent). None is
      // longer than `until_ms` or starts after `from`.
      CHECK_TEXT(
          backoff.MaySend(kTarget, Millis(from + row.until_ms * 11 / 10)),
          row.what);
      CHECK_TEXT(backoff.MaySend(kTarget + 1, Millis(from)), row.what);
    }
  }
}

TEST(TargetBackoff, LimitGrowsByOneWithEachAnswer) {
  TargetBackoff backoff;
  backoff.OnRetryAfter(kTarget, Millis(1'000), Millis(0));
  const Millis now(2'000);
  RequestId next_id = 1;
  // After 16 answers (kAnswersUntilUnlimited) there is no limit.
  for (int limit = 1; limit <= 16; ++limit) {
    const RequestId first = next_id;
    while (backoff.MaySend(kTarget, now))
      backoff.OnSent(kTarget, next_id++, now);
    LONGS_EQUAL(limit, next_id - first);
    for (RequestId request = first + 1; request < next_id; ++request)
      backoff.OnEnded(request);
    backoff.OnAnswerStart(first);
  }
  for (int i = 0; i < 100; ++i) {
    CHECK(backoff.MaySend(kTarget, now));
    backoff.OnSent(kTarget, next_id++, now);
  }
}

TEST(TargetBackoff, RejectionResetsTheLimit) {
  TargetBackoff backoff;
  backoff.OnRetryAfter(kTarget, Millis(1'000), Millis(0));
  backoff.OnSent(kTarget, 1, Millis(2'000));
  backoff.OnAnswerStart(1);
  backoff.OnSent(kTarget, 2, Millis(2'000));
  backoff.OnRetryAfter(kTarget, Millis(1'000), Millis(2'000));
  CHECK(!backoff.MaySend(kTarget, Millis(2'999)));
  CHECK(!backoff.MaySend(kTarget, Millis(3'200)));  // request 2 is unanswered
  backoff.OnEnded(2);
  CHECK(backoff.MaySend(kTarget, Millis(3'200)));
  backoff.OnSent(kTarget, 3, Millis(3'200));
  CHECK(!backoff.MaySend(kTarget, Millis(3'200)));
}

TEST(TargetBackoff, TakeEndedReturnsEachBackoffOnce) {
  TargetBackoff backoff;
  backoff.OnRetryAfter(kTarget, Millis(1'000), Millis(100));
  backoff.OnRetryAfter(kTarget, Millis(1'000), Millis(150));
  CHECK(backoff.TakeEndedBackoffs(Millis(1'100)).empty());
  const std::vector<TargetBackoff::Ended> ended =
      backoff.TakeEndedBackoffs(Millis(1'500));
  LONGS_EQUAL(1, ended.size());
  CHECK_EQUAL(kTarget, ended.front().target);
  LONGS_EQUAL(2, ended.front().refusals);
  // Both spans count from the first rejection, at 100 ms.
  LONGS_EQUAL(50, ended.front().last_refusal.count());
  CHECK(ended.front().asked >= Millis(1'050));
  CHECK(backoff.TakeEndedBackoffs(Millis(1'600)).empty());
  CHECK(!backoff.empty());
  // Later than the state is kept (kRetention, 30 s after the backoff's end).
  backoff.TakeEndedBackoffs(Millis(60'000));
  CHECK(backoff.empty());
}

// Random calls: no request may be sent to a target before the latest time that
// it asked for. The limit on unanswered requests is not checked here.
TEST(TargetBackoff, NeverSendsWithinASpanAskedFor) {
  std::mt19937_64 random(1);
  for (int round = 0; round < 200; ++round) {
    TargetBackoff backoff;
    backoff.SetSeed(random());
    std::map<TargetId, Millis> until;
    std::set<RequestId> in_flight;
    RequestId next_id = 1;
    Millis now(1'000);
    for (int step = 0; step < 500; ++step) {
      now = now + Millis(static_cast<int64_t>(random() % 50));
      const TargetId target = 1 + random() % 3;
      switch (random() % 4) {
        case 0: {
          const Millis span(static_cast<int64_t>(random() % 400));
          backoff.OnRetryAfter(target, span, now);
          until[target] = std::max(until[target], now + span);
          break;
        }
        case 1:
          if (!backoff.MaySend(target, now))
            break;
          CHECK(now >= until[target]);
          backoff.OnSent(target, next_id, now);
          in_flight.insert(next_id++);
          break;
        case 2:
          if (!in_flight.empty()) {
            backoff.OnAnswerStart(*in_flight.begin());
            backoff.OnEnded(*in_flight.begin());
            in_flight.erase(in_flight.begin());
          }
          break;
        default:
          backoff.TakeEndedBackoffs(now);
          break;
      }
    }
    for (const RequestId request : in_flight)
      backoff.OnEnded(request);
    // Later than the state is kept (kRetention, 30 s after the backoff's end).
    backoff.TakeEndedBackoffs(now + Millis(60'000));
    CHECK(backoff.empty());
  }
}

}  // namespace
}  // namespace sparbend
