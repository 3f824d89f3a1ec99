#include "sparbend/core/continuation.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

TEST_GROUP(TargetVersion){};

// Guards against a stream that goes on at a process of unknown version.
TEST(TargetVersion, MustBeKnownSinceTheConnectionWasMade) {
  constexpr VersionId kBegan = 1;
  constexpr VersionId kOther = 2;
  struct Case {
    const char* what;
    TargetVersionFacts target;
    bool goes_on;
  };
  const Case cases[] = {
      {"read since", {kBegan, true, false}, true},
      {"list older than the connection", {kBegan, false, false}, false},
      {"list older, store unavailable", {kBegan, false, true}, true},
      {"other version", {kOther, true, false}, false},
      {"other version, store unavailable", {kOther, false, true}, false},
      {"not listed any more", {std::nullopt, true, false}, false},
      {"not listed, store unavailable", {std::nullopt, false, true}, false},
  };
  for (const Case& row : cases)
    CHECK_EQUAL_TEXT(row.goes_on, MayContinueAt(kBegan, row.target), row.what);
}

}  // namespace
}  // namespace sparbend
