#include "ctl/shares.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

#include "sparbend/core/json.h"

namespace sparbend::ctl {
namespace {

constexpr int64_t kStartSecond = 1'000;

// Log lines that count in `second`, in which `workspace` is served and refused
// the given numbers of tokens. The answer begins 900 ms into `second` and is
// complete 300 ms later, so its line is logged in the next second.
auto LogLines(int64_t second,
              const char* workspace,
              int64_t served,
              int64_t refused) -> std::string {
  Json answered = {{"event", "request-answered"},
                   {"time", second * 1'000 + 1'200},
                   {"workspace", workspace},
                   {"first_byte_ms", 50},
                   {"took_ms", 350},
                   {"prompt_tokens", served}};
  Json refusal = {{"event", "request-refused"},
                  {"time", second * 1'000 + 900},
                  {"workspace", workspace},
                  {"first_byte_ms", -1},
                  {"prompt_tokens", refused}};
  return "  1.0 box-1 " + answered.dump() + "\n" + refusal.dump() + "\n";
}

TEST_GROUP(Shares){};

TEST(Shares, SpanHasTheRatioOfTokensServedToFairShare) {
  struct Case {
    const char* what;
    // Tokens of the workspace "small".
    int64_t served_per_second;
    int64_t refused_per_second;  // in all seconds but the last
    int64_t refused_in_last_second;
    bool found;
    double ratio;
  };
  const Case cases[] = {
      {"a third of the tokens that the best-served workspace got", 100, 900,
       900, true, 1.0 / 3},
      {"most of what it requested", 100, 25, 25, true, 0.8},
      {"nothing refused in the last second", 100, 900, 0, false, 0},
  };
  for (const Case& row : cases) {
    std::string log = "not a log line\n";
    for (int64_t i = 0; i < kSpanSeconds; ++i) {
      const bool last = i + 1 == kSpanSeconds;
      log +=
          LogLines(kStartSecond + i, "small", row.served_per_second,
                   last ? row.refused_in_last_second : row.refused_per_second);
      log += LogLines(kStartSecond + i, "large", 300, 0);
    }
    std::istringstream in(log);
    TokensBySecond tokens;
    LONGS_EQUAL(1, ReadTokenCounts(in, &tokens));
    const std::vector<ShareSpan> spans = FindShareSpans(tokens);
    CHECK_EQUAL_TEXT(row.found, !spans.empty(), row.what);
    if (spans.empty())
      continue;
    STRCMP_EQUAL_TEXT("small", spans[0].workspace.c_str(), row.what);
    STRCMP_EQUAL_TEXT("large", spans[0].best_workspace.c_str(), row.what);
    LONGS_EQUAL_TEXT(kStartSecond, spans[0].from, row.what);
    DOUBLES_EQUAL_TEXT(row.ratio, spans[0].ratio(), 0.001, row.what);
  }
}

TEST(Shares, ARequestIsCountedOnceByItsOutcome) {
  struct Case {
    const char* line;
    int64_t served;
    int64_t refused;
  };
  const Case cases[] = {
      {R"({"event":"request-sent","time":1000,"workspace":"w","attempt":1,"prompt_tokens":7})",
       0, 0},
      {R"({"event":"request-answered","time":1000,"workspace":"w","prompt_tokens":0,"first_byte_ms":1,"took_ms":2})",
       0, 0},
      {R"({"event":"request-answered","time":1000,"workspace":"w","prompt_tokens":7,"first_byte_ms":1,"took_ms":1})",
       7, 0},
      {R"({"event":"request-refused","time":1000,"workspace":"w","attempts":6,"prompt_tokens":7,"first_byte_ms":-1,"took_ms":900})",
       0, 7},
      {R"({"event":"request-refused","time":1000,"workspace":"w","attempts":1,"prompt_tokens":7,"first_byte_ms":10,"took_ms":10})",
       7, 0},
  };
  for (const Case& row : cases) {
    std::istringstream in(row.line);
    TokensBySecond tokens;
    LONGS_EQUAL_TEXT(0, ReadTokenCounts(in, &tokens), row.line);
    const TokenCounts counted = tokens[1]["w"];
    LONGS_EQUAL_TEXT(row.served, counted.served, row.line);
    LONGS_EQUAL_TEXT(row.refused, counted.refused, row.line);
  }
}

}  // namespace
}  // namespace sparbend::ctl
