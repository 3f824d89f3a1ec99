// What counts as late, as back and as denied.
#include <CppUTest/TestHarness.h>

#include "testing/soak/judge_config.h"

namespace sparbend::testing {
namespace {

constexpr const char* kPath = "/again/1/x";

// Version 0 has the key "old" and the pool "a"; version 1, written at 10 s, has
// the key "new" and the pool "b". Both have the key "base".
auto Versions() -> std::vector<ConfigVersion> {
  return {{Millis(0), Millis(0), {{kPath, {"a"}}}, {"base", "old"}},
          {Millis(10'000), Millis(10'000), {{kPath, {"b"}}}, {"base", "new"}}};
}

auto Request(const std::string& id,
             Millis sent,
             const std::string& token,
             int status,
             int box = 0) -> Asked {
  Asked asked;
  asked.id = id;
  asked.box = box;
  asked.path = kPath;
  asked.token = token;
  asked.sent = sent;
  asked.ended = sent + Millis(50);
  asked.status = status;
  return asked;
}

auto Starts(const std::vector<std::string>& lines, const std::string& begin)
    -> bool {
  return lines.size() == 1 && lines[0].starts_with(begin);
}

TEST_GROUP(JudgeConfig){};

TEST(JudgeConfig, ARequestIsJudgedByTheVersionsThatAllowWhatBecameOfIt) {
  struct Case {
    const char* what;
    Asked asked;
    std::string pool;  // where it ran; empty: nowhere
    std::string broken;
  };
  const Case cases[] = {
      {"old key in time", Request("r", Millis(11'900), "old", 200), "a", ""},
      {"old key late", Request("r", Millis(12'100), "old", 200), "a",
       "CONFIG: a version is not in force"},
      {"moved late", Request("r", Millis(12'100), "base", 200), "a",
       "CONFIG: a version is not in force"},
      {"moved", Request("r", Millis(12'100), "base", 200), "b", ""},
      {"new key refused late", Request("r", Millis(12'100), "new", 401), "",
       "CONFIG: a version is not in force"},
      {"new key refused in time", Request("r", Millis(11'000), "new", 401), "",
       ""},
      {"old key refused", Request("r", Millis(12'100), "old", 401), "", ""},
      {"key of all refused", Request("r", Millis(5'000), "base", 401), "",
       "DENIED"},
      {"route of all refused", Request("r", Millis(5'000), "base", 404), "",
       "DENIED"},
      {"no such key ran", Request("r", Millis(5'000), "none", 200), "a",
       "ROUTE"},
      {"runs before it was sent", Request("r", Millis(5'000), "new", 200), "b",
       "ROUTE"},
  };
  for (const Case& row : cases) {
    SoakRecord record;
    record.versions = Versions();
    record.asked = {row.asked};
    if (!row.pool.empty())
      record.arrivals = {
          {"r", "t", row.asked.sent + Millis(10), true, row.pool}};
    const auto broken = JudgeConfig(record, ConfigBounds());
    CHECK_TEXT(row.broken.empty() ? broken.empty() : Starts(broken, row.broken),
               row.what);
  }
}

TEST(JudgeConfig, TroubleExcusesWhatIsLateAndNotWhatIsDenied) {
  struct Case {
    const char* what;
    std::vector<BoxOutage> outages;
    std::vector<SoakSpan> store_trouble;
    int status;
    size_t broken;
  };
  const Case cases[] = {
      {"late", {}, {}, 200, 1},
      {"at another box", {{1, Millis(12'000), Millis(13'000)}}, {}, 200, 1},
      {"box in trouble", {{0, Millis(12'000), Millis(17'100)}}, {}, 200, 0},
      {"trouble long ago", {{0, Millis(9'000), Millis(16'900)}}, {}, 200, 1},
      {"store in trouble", {}, {{Millis(9'000), Millis(14'100)}}, 200, 0},
      {"store long ago", {}, {{Millis(9'000), Millis(13'900)}}, 200, 1},
      {"denied in trouble", {{0, Millis(9'000), Millis(19'000)}}, {}, 401, 1},
  };
  for (const Case& row : cases) {
    SoakRecord record;
    record.versions = Versions();
    record.outages = row.outages;
    record.store_trouble = row.store_trouble;
    record.asked = {Request("r", Millis(20'000), "base", row.status)};
    if (row.status == 200)
      record.arrivals = {{"r", "t", Millis(20'010), true, "a"}};
    LONGS_EQUAL_TEXT(row.broken, JudgeConfig(record, ConfigBounds()).size(),
                     row.what);
  }
}

TEST(JudgeConfig, ABoxThatWentByAVersionDoesNotGoByAnOlderOneAgain) {
  struct Case {
    const char* what;
    Millis sent;  // of a request that the older version allows
    std::vector<BoxOutage> outages;
    size_t broken;
  };
  const Case cases[] = {
      {"at once", Millis(10'700), {}, 0},
      {"later", Millis(10'800), {}, 1},
      {"stood still",
       Millis(10'800),
       {{0, Millis(10'600), Millis(10'700), true, true}},
       0},
      {"stood still long ago",
       Millis(11'900),
       {{0, Millis(9'000), Millis(9'100), true, true}},
       1},
      {"another process",
       Millis(10'800),
       {{0, Millis(10'600), Millis(10'700)}},
       0},
  };
  for (const Case& row : cases) {
    SoakRecord record;
    record.versions = Versions();
    record.outages = row.outages;
    record.asked = {Request("new", Millis(10'500), "new", 200),
                    Request("old", row.sent, "old", 200)};
    record.arrivals = {{"new", "t", Millis(10'510), true, "b"},
                       {"old", "t", row.sent + Millis(10), true, "a"}};
    LONGS_EQUAL_TEXT(row.broken, JudgeConfig(record, ConfigBounds()).size(),
                     row.what);
  }
}

TEST(JudgeConfig, RepeatsAreCountedForEachPool) {
  constexpr int kRequests = 10;
  const BudgetLimits limits = {0.2, 1, Millis(10'000)};
  for (const int repeats : {3, 4}) {
    SoakRecord record;
    record.versions = Versions();
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = std::to_string(i);
      record.asked.push_back(Request(id, Millis(100 * i), "base", 200));
      record.arrivals.push_back({id, "t", Millis(100 * i), true, "a"});
      if (i < repeats)
        record.arrivals.push_back({id, "t", Millis(100 * i + 5), false, "a"});
    }
    LONGS_EQUAL(repeats > 3 ? 1 : 0, JudgePoolBudgets(record, limits).size());
  }
}

}  // namespace
}  // namespace sparbend::testing
