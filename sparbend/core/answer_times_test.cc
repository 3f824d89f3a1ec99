// Tests how long answers are taken to last, with requests that still run.
#include "sparbend/core/answer_times.h"

#include <algorithm>

#include "testing/properties.h"

namespace sparbend {
namespace {

constexpr AnswerTimes::Kind kKind = {1, 2};
constexpr Millis kNow(100'000);

struct Row {
  const char* name;
  std::vector<int64_t> answers;  // times of complete answers, ms
  std::vector<int64_t> running;  // ages, ms
  std::optional<Millis> expected;
};

const Row kRows[] = {
    {"nothing known", {}, {}, std::nullopt},
    {"one answer", {700}, {}, Millis(700)},
    {"running ones alone", {}, {100, 6'000, 3'000}, Millis(6'000)},
    {"one in ten is longer",
     {10, 10, 10, 10, 10, 10, 10, 10, 10, 900},
     {},
     Millis(10)},
    {"two in ten are longer",
     {10, 10, 10, 10, 10, 10, 10, 10, 900, 900},
     {},
     Millis(900)},
    {"young ones tell nothing",
     {500, 500, 500, 500},
     {1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1},
     Millis(500)},
    {"one hung request among many answers",
     {10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10},
     {20'000},
     Millis(10)},
    {"as many hung requests as answers",
     {10, 10, 10},
     {5'000, 5'000, 5'000},
     Millis(5'000)},
};

auto TimesOf(const std::vector<int64_t>& answers,
             const std::vector<int64_t>& running) -> AnswerTimes {
  AnswerTimes times;
  RequestId id = 0;
  for (const int64_t took : answers) {
    times.OnSent(kKind, ++id, kNow - Millis(took));
    times.OnEnded(kKind, id, /*complete=*/true, kNow);
  }
  for (const int64_t age : running)
    times.OnSent(kKind, ++id, kNow - Millis(age));
  return times;
}

TEST_GROUP(AnswerTimes){};

TEST(AnswerTimes, RunningRequestsCountUntilTheirAge) {
  for (const Row& row : kRows)
    CHECK_TEXT(TimesOf(row.answers, row.running).Percentile90(kKind, kNow) ==
                   row.expected,
               row.name);
}

TEST(AnswerTimes, OldBrokenAndForeignAnswersDoNotCount) {
  AnswerTimes times = TimesOf({700}, {});
  CHECK(times.Percentile90(kKind, kNow + Millis(60'000)) == Millis(700));
  CHECK(!times.Percentile90(kKind, kNow + Millis(60'001)));
  CHECK(!times.Percentile90({1, 3}, kNow));
  times.OnSent(kKind, 9, kNow);
  times.OnEnded(kKind, 9, /*complete=*/false, kNow + Millis(9'000));
  CHECK(times.Percentile90(kKind, kNow + Millis(9'000)) == Millis(700));
}

TEST(AnswerTimes, RequestsEndAtTheRateAtWhichTheyRun) {
  const AnswerTimes times = TimesOf({400, 600}, {1, 1, 1, 1, 1});
  DOUBLES_EQUAL(5.0 / 500, times.CompletionRate(1, kNow), 1e-9);
  DOUBLES_EQUAL(0, times.CompletionRate(2, kNow), 1e-9);
}

// Without running requests it is the plain order statistic.
TEST(AnswerTimes, NineOfTenAnswersEndWithinTheTime) {
  testing::CheckHolds("nine of ten", [] {
    const auto count = *rc::gen::inRange<size_t>(1, 33);
    std::vector<int64_t> answers = *rc::gen::container<std::vector<int64_t>>(
        count, rc::gen::inRange<int64_t>(0, 20'000));
    const Millis time = *TimesOf(answers, {}).Percentile90(kKind, kNow);
    std::ranges::sort(answers);
    const auto longer = std::ranges::count_if(
        answers, [&](int64_t took) { return took > time.count(); });
    RC_ASSERT(longer * 10 <= static_cast<int64_t>(count));
    const auto as_long = std::ranges::count_if(
        answers, [&](int64_t took) { return took >= time.count(); });
    RC_ASSERT(as_long * 10 > static_cast<int64_t>(count) ||
              time.count() == answers.back());
  });
}

}  // namespace
}  // namespace sparbend
