// A target got more than it had asked for within the time that it asked for, or
// all that had waited at the end of it.
#include "sparbend/core/target_backoff.h"

#include <algorithm>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

constexpr TargetId kTarget = 7;

TEST_GROUP(TargetBackoff){};

TEST(TargetBackoff, IsLeftAloneForTheLongestTimeAskedFor) {
  struct Refusal {
    int64_t at;
    int64_t span;
  };
  struct Case {
    const char* what;
    std::vector<Refusal> refusals;
    int64_t until;
  };
  const Case cases[] = {
      {"one", {{0, 3'000}}, 3'000},
      {"a fraction", {{0, 1}}, 1},
      {"a shorter one after it", {{0, 3'000}, {100, 500}}, 3'000},
      {"a longer one after it", {{0, 500}, {100, 3'000}}, 3'100},
      {"nothing asked for", {{0, 0}}, 0},
      {"a negative span", {{0, -5}}, 0},
  };
  for (const Case& row : cases) {
    for (uint64_t seed = 0; seed < 20; ++seed) {
      TargetBackoff backoff;
      backoff.SetSeed(seed);
      for (const Refusal& refusal : row.refusals)
        backoff.OnRetryAfter(kTarget, Millis(refusal.span), Millis(refusal.at));
      const int64_t from = row.refusals.back().at;
      for (int64_t at = from; at < row.until; ++at)
        CHECK_TEXT(!backoff.MaySend(kTarget, Millis(at)), row.what);
      CHECK_TEXT(backoff.MaySend(kTarget, Millis(from + row.until * 11 / 10)),
                 row.what);
      CHECK_TEXT(backoff.MaySend(kTarget + 1, Millis(from)), row.what);
    }
  }
}

TEST(TargetBackoff, TakesOneRequestMoreWithEachThatItTook) {
  TargetBackoff backoff;
  backoff.OnRetryAfter(kTarget, Millis(1'000), Millis(0));
  const Millis now(2'000);
  RequestId next = 1;
  for (int most = 1; most <= 16; ++most) {
    const RequestId first = next;
    while (backoff.MaySend(kTarget, now))
      backoff.OnSent(kTarget, next++, now);
    LONGS_EQUAL(most, next - first);
    for (RequestId request = first + 1; request < next; ++request)
      backoff.OnEnded(request);
    backoff.OnTaken(first);
  }
  for (int i = 0; i < 100; ++i) {
    CHECK(backoff.MaySend(kTarget, now));
    backoff.OnSent(kTarget, next++, now);
  }
}

TEST(TargetBackoff, StartsAnewWhenItIsTurnedAwayAgain) {
  TargetBackoff backoff;
  backoff.OnRetryAfter(kTarget, Millis(1'000), Millis(0));
  backoff.OnSent(kTarget, 1, Millis(2'000));
  backoff.OnTaken(1);
  backoff.OnSent(kTarget, 2, Millis(2'000));
  backoff.OnRetryAfter(kTarget, Millis(1'000), Millis(2'000));
  CHECK(!backoff.MaySend(kTarget, Millis(2'999)));
  CHECK(!backoff.MaySend(kTarget, Millis(3'200)));  // the second is unanswered
  backoff.OnEnded(2);
  CHECK(backoff.MaySend(kTarget, Millis(3'200)));
  backoff.OnSent(kTarget, 3, Millis(3'200));
  CHECK(!backoff.MaySend(kTarget, Millis(3'200)));
}

TEST(TargetBackoff, ToldOnceHowEachTimeWent) {
  TargetBackoff backoff;
  backoff.OnRetryAfter(kTarget, Millis(1'000), Millis(100));
  backoff.OnRetryAfter(kTarget, Millis(1'000), Millis(150));
  CHECK(backoff.TakeEnded(Millis(1'100)).empty());
  const std::vector<TargetBackoff::Ended> ended =
      backoff.TakeEnded(Millis(1'500));
  LONGS_EQUAL(1, ended.size());
  CHECK_EQUAL(kTarget, ended.front().target);
  LONGS_EQUAL(2, ended.front().refusals);
  LONGS_EQUAL(50, ended.front().last_refusal.count());
  CHECK(ended.front().asked >= Millis(1'050));
  CHECK(backoff.TakeEnded(Millis(1'600)).empty());
  CHECK(!backoff.empty());
  backoff.TakeEnded(Millis(60'000));
  CHECK(backoff.empty());
}

// Random calls against a list of all refusals and requests.
TEST(TargetBackoff, NeverSendsWithinATimeAskedFor) {
  std::mt19937_64 random(1);
  for (int round = 0; round < 200; ++round) {
    TargetBackoff backoff;
    backoff.SetSeed(random());
    std::map<TargetId, Millis> until;
    std::set<RequestId> under_way;
    RequestId next = 1;
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
          backoff.OnSent(target, next, now);
          under_way.insert(next++);
          break;
        case 2:
          if (!under_way.empty()) {
            backoff.OnTaken(*under_way.begin());
            backoff.OnEnded(*under_way.begin());
            under_way.erase(under_way.begin());
          }
          break;
        default:
          backoff.TakeEnded(now);
          break;
      }
    }
    for (const RequestId request : under_way)
      backoff.OnEnded(request);
    backoff.TakeEnded(now + Millis(60'000));
    CHECK(backoff.empty());
  }
}

}  // namespace
}  // namespace sparbend
