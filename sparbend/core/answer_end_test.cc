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
      return WhyIncomplete({framing, row.position, has_closing_event,
                            TargetState::kRunning})
          .empty();
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

TEST(AnswerEnd, TargetStateTellsWhetherAnUndelimitedAnswerIsComplete) {
  struct Case {
    TargetState target;
    bool leaving;
    bool complete;
  };
  const Case cases[] = {
      {TargetState::kNotChecked, false, false},
      {TargetState::kNotChecked, true, false},
      {TargetState::kRunning, false, true},
      {TargetState::kRunning, true, true},
      {TargetState::kEnded, false, false},
      {TargetState::kEnded, true, true},
      {TargetState::kUnknown, false, false},
      {TargetState::kUnknown, true, false},
  };
  struct End {
    Framing framing;
    StreamPosition position;
    bool needs_state;
  };
  const End ends[] = {
      {Framing::kUntilClose, StreamPosition::kNoStream, true},
      {Framing::kUntilClose, StreamPosition::kAfterEvent, true},
      {Framing::kUntilClose, StreamPosition::kAfterClosingEvent, false},
      {Framing::kLength, StreamPosition::kAfterEvent, false},
      {Framing::kChunked, StreamPosition::kNoStream, false},
  };
  for (const Case& row : cases) {
    for (const End& end : ends) {
      const AnswerEnd answer = {end.framing, end.position, false, row.target,
                                row.leaving};
      CHECK_EQUAL_TEXT(end.needs_state, NeedsTargetState(answer),
                       ToString(end.position).data());
      CHECK_EQUAL_TEXT(!end.needs_state || row.complete,
                       WhyIncomplete(answer).empty(),
                       ToString(row.target).data());
    }
  }
}

}  // namespace
}  // namespace sparbend
