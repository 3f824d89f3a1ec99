// All choices follow from a hash of the request's id and the target.
#include "testing/soak/answers.h"

#include <array>

#include "platform/wire.h"
#include "sparbend/core/digest.h"

namespace sparbend::testing {
namespace {

constexpr std::array kFramings = {Framing::kLength, Framing::kChunked,
                                  Framing::kUntilClose};
constexpr uint64_t kInHundred = 100;

// The body of the answer in the parts in which the target sends it: the events
// of a stream after the one that the request names as last, or one part.
auto BodyParts(const SeenRequest& seen, const std::string& version)
    -> std::vector<std::string> {
  const auto resumed = seen.fields.find("resumes");
  std::string rest =
      ExpectedBody(resumed == seen.fields.end() ? seen.id : resumed->second,
                   RouteOf(seen.path));
  if (RouteOf(seen.path) < SoakRoute::kStream)
    return {rest};
  std::vector<std::string> events;
  const auto last = seen.fields.find("last-event-id");
  const int after = last == seen.fields.end() ? 0 : std::stoi(last->second);
  for (int event = 1; !rest.empty(); ++event) {
    const size_t end = rest.find("\n\n") + 2;
    if (event > after)
      events.push_back(rest.substr(0, end - 2) + " " + version + "\n\n");
    rest.erase(0, end);
  }
  return events;
}

// A complete answer.
auto CompleteScript(const SeenRequest& seen,
                    Framing framing,
                    const std::string& version) -> TargetScript {
  const bool stream = RouteOf(seen.path) >= SoakRoute::kStream;
  const std::vector<std::string> parts = BodyParts(seen, version);
  size_t size = 0;
  for (const std::string& part : parts)
    size += part.size();
  TargetScript script;
  if (stream)
    script.pause = Millis(15);
  script.pieces.push_back(
      AnswerHead(seen, framing, size,
                 stream ? "Content-Type: text/event-stream\r\n" : ""));
  for (const std::string& part : parts)
    script.pieces.push_back(FramedPiece(framing, part));
  script.pieces.push_back(FramedEnd(framing));
  script.close = framing == Framing::kUntilClose;
  return script;
}

// Breaks a complete answer off in the middle, in one part of its body. Without
// other framing an answer shows that by a reset, or a stream by a part of an
// event.
void BreakOff(const SeenRequest& seen,
              Framing framing,
              bool reset,
              TargetScript* script) {
  const bool stream = RouteOf(seen.path) >= SoakRoute::kStream;
  const size_t parts = script->pieces.size() - 2;  // beside header and end
  script->pieces.resize(1 + parts / 2 + 1);
  std::string& last = script->pieces.back();
  last.resize(last.size() / 2);
  script->reset = reset || (framing == Framing::kUntilClose && !stream);
  script->close = true;
}

}  // namespace

auto RouteOf(const std::string& path) -> SoakRoute {
  if (path.starts_with("/once/"))
    return SoakRoute::kOnce;
  if (path.starts_with("/again/"))
    return SoakRoute::kAgain;
  return path.starts_with("/stream/") ? SoakRoute::kStream
                                      : SoakRoute::kResumed;
}

auto DrawAnswer(const SeenRequest& seen, const std::string& version)
    -> SoakAnswer {
  const uint64_t drawn = StableHash(seen.id + seen.target);
  const uint64_t luck = drawn % kInHundred;
  SoakAnswer answer;
  if (luck < 4) {
    answer.ran = false;
    answer.script.pieces = {"HTTP/1.1 503 Busy\r\n" +
                            std::string(platform::kAttemptIdField) + ": " +
                            seen.id + "\r\n" + platform::kNotRunField +
                            ": 1\r\nContent-Length: 0\r\n\r\n"};
    return answer;
  }
  const Framing framing = kFramings[drawn / kInHundred % kFramings.size()];
  answer.script = CompleteScript(seen, framing, version);
  answer.whole = luck >= 7;
  if (!answer.whole) {
    BreakOff(seen, framing, luck < 6, &answer.script);
  } else if (luck < 9 && !answer.script.close) {  // a second answer, unasked
    SeenRequest other;
    other.id = "another";
    answer.script.pieces.push_back(GoodAnswer(other, "not yours"));
  }
  return answer;
}

auto AnswerCutInHead(const SeenRequest& seen) -> TargetScript {
  const uint64_t drawn = StableHash(seen.id + seen.target);
  const Framing framing = kFramings[drawn % kFramings.size()];
  std::string head = AnswerHead(seen, framing, /*size=*/20);
  head.resize(drawn / kFramings.size() % head.size());
  TargetScript script;
  if (!head.empty())
    script.pieces = {head};
  script.reset = drawn / kInHundred % 2 == 0;
  script.close = !script.reset;
  return script;
}

}  // namespace sparbend::testing
