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
    bool until_close_with_closing_event;
  };
  const Case cases[] = {
      {StreamPosition::kNoStream, true, true, true},
      {StreamPosition::kNoEvent, true, false, false},
      {StreamPosition::kInsideEvent, false, false, false},
      {StreamPosition::kAfterEvent, true, true, false},
      {StreamPosition::kAfterClosingEvent, true, true, true},
  };
  for (const Case& row : cases) {
    const auto complete = [&](Framing framing, bool has_closing_event) {
      return WhyIncomplete({framing, row.position, has_closing_event}).empty();
    };
    const char* const name = ToString(row.position).data();
    for (const bool has_closing_event : {false, true}) {
      for (const Framing framing : {Framing::kLength, Framing::kChunked})
        CHECK_EQUAL_TEXT(row.with_stated_end,
                         complete(framing, has_closing_event), name);
    }
    CHECK_EQUAL_TEXT(row.until_close, complete(Framing::kUntilClose, false),
                     name);
    CHECK_EQUAL_TEXT(row.until_close_with_closing_event,
                     complete(Framing::kUntilClose, true), name);
  }
}

}  // namespace
}  // namespace sparbend
