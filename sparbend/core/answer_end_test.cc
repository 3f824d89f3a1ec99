#include "sparbend/core/answer_end.h"

#include <CppUTest/TestHarness.h>

namespace sparbend {
namespace {

TEST_GROUP(AnswerEnd){};

TEST(AnswerEnd, FramingAndPositionTellWhetherAnAnswerIsComplete) {
  struct Case {
    StreamPosition position;
    bool with_stated_end;  // a length or a last chunk
    bool until_close;
  };
  const Case cases[] = {
      {StreamPosition::kNoStream, true, true},
      {StreamPosition::kNoEvent, true, false},
      {StreamPosition::kInsideEvent, false, false},
      {StreamPosition::kAfterEvent, true, true},
      {StreamPosition::kAfterClosingEvent, true, true},
  };
  for (const Case& row : cases) {
    const auto complete = [&](Framing framing) {
      return WhyIncomplete(framing, row.position).empty();
    };
    const char* const name = ToString(row.position).data();
    CHECK_EQUAL_TEXT(row.with_stated_end, complete(Framing::kLength), name);
    CHECK_EQUAL_TEXT(row.with_stated_end, complete(Framing::kChunked), name);
    CHECK_EQUAL_TEXT(row.until_close, complete(Framing::kUntilClose), name);
  }
}

}  // namespace
}  // namespace sparbend
