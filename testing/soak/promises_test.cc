// What is judged of the events of a stream.
#include <CppUTest/TestHarness.h>

#include "testing/soak/promises.h"

namespace sparbend::testing {
namespace {

auto Event(int id, const std::string& source = "v1@a") -> std::string {
  return "id: " + std::to_string(id) + "\ndata: s-" + std::to_string(id) + " " +
         source + "\n\n";
}

auto Events(int first, int last) -> std::string {
  std::string events;
  for (int id = first; id <= last; ++id)
    events += Event(id);
  return events;
}

TEST_GROUP(StreamPromises){};

TEST(StreamPromises, EachFaultOfAStreamIsALineOfItsOwnKind) {
  struct Case {
    const char* what;
    std::string begun;  // in an earlier try
    std::string body;
    bool whole;
    std::string broken;
  };
  const Case cases[] = {
      {"whole", "", Events(1, 5), true, ""},
      {"whole in two tries", Events(1, 2), Events(3, 5), true, ""},
      {"broken off", "", Events(1, 3), false, ""},
      {"broken off in a version", "", Events(1, 2) + "id: 3\ndata: s-3 v",
       false, ""},
      {"broken off before a version", "", Events(1, 2) + "id: 3\ndata: s-3 ",
       false, ""},
      {"broken off in an id", "", Events(1, 2) + "id: ", false, ""},
      {"short", "", Events(1, 4), true, "ORDER: a stream ends as complete"},
      {"empty", "", "", true, "ORDER: a stream ends as complete"},
      {"short in two tries", Events(1, 2), Events(3, 4), true,
       "ORDER: a stream ends as complete"},
      {"inside an event", "", Events(1, 4) + "id: 5\n", true,
       "ORDER: a stream ends as complete"},
      {"repeats", Events(1, 2), Events(2, 5), true, "ORDER: a stream repeats"},
      {"repeats and broken off", "", Event(1) + Event(1), false,
       "ORDER: a stream repeats"},
      {"begins anew", Events(1, 3), Events(1, 5), true,
       "ORDER: the ids of a stream go back"},
      {"lacks one", Events(1, 2), Events(4, 5), true,
       "ORDER: a stream lacks an event"},
      {"two versions", Events(1, 4), Event(5, "v2@a"), true,
       "ORDER: events of two software versions"},
      {"two pools", Events(1, 4), Event(5, "v1@b"), true,
       "ORDER: events of two pools"},
      {"another's", "", "id: 1\ndata: t-1 v1@a\n\n", false,
       "a part of another answer"},
      {"one more", "", Events(1, 6), true, "not its own whole answer"},
  };
  for (const Case& row : cases) {
    Asked asked;
    asked.id = row.begun.empty() ? "s" : "sr";
    asked.resumes = row.begun.empty() ? "" : "s";
    asked.route = SoakRoute::kResumed;
    asked.status = 200;
    asked.signed_by_target = true;
    asked.begun = row.begun;
    asked.body = row.body;
    asked.whole = row.whole;
    const auto broken = Judge({asked}, {}, {}, std::nullopt);
    LONGS_EQUAL_TEXT(row.broken.empty() ? 0 : 1, broken.size(), row.what);
    CHECK_TEXT(broken.empty() || broken[0].starts_with(row.broken), row.what);
  }
}

}  // namespace
}  // namespace sparbend::testing
