#include "testing/crash_fleet.h"

#include <algorithm>
#include <utility>

#include "platform/wire.h"

namespace sparbend::testing {
namespace {

constexpr char kDeclarations[] = R"({"version": 3,
  "routes": [
    {"name": "stream", "host": "127.0.0.1", "path-prefix": "/stream/",
     "kind": "streaming", "max-attempts": 1, "timeout-ms": 8000,
     "target-latency-ms": 500, "service": "engines"},
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "idempotent", "max-attempts": 3, "timeout-ms": 8000,
     "target-latency-ms": 500, "service": "engines"}],
  "services": [{"name": "engines", "max-conns": 300,
                "engine": {"kv-capacity": 1000000, "stride": 1}}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]},
              {"name": "v", "api-keys": ["another-key"]}]})";

}  // namespace

CrashFleet::CrashFleet(const std::string& name,
                       CrashCause cause,
                       Framing framing)
    : cause_(std::move(cause)), framing_(framing), world_(name) {
  world_.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
             kDeclarations);
  for (int i = 0; i < kTargets; ++i)
    world_.AddTarget(
        "engine-" + std::to_string(i), "engines",
        [this](const SeenRequest& request) { return Answer(request); });
  for (int i = 0; i < kBoxes; ++i)
    world_.StartBox(BoxName(i));
  for (int i = 0; i < kBoxes; ++i)
    ready_ = world_.WaitReady(BoxName(i)) && KnowsAll(i) && ready_;
}

auto CrashFleet::BoxName(int box) -> std::string {
  return "box-" + std::to_string(box);
}

auto CrashFleet::KnowsAll(int box) -> bool {
  return WaitFor(kWaitTimeout, [&] {
    const auto read = world_.Events(BoxName(box), "directory");
    return !read.empty() && read.back().at("boxes") == kBoxes;
  });
}

auto CrashFleet::Answer(const SeenRequest& request) -> TargetScript {
  const std::string cause = cause_(request);
  TargetScript script;
  if (cause.empty()) {
    script.pieces = {StreamHead(request), StreamEvent(1), StreamEvent(2),
                     StreamEvent(3), StreamEnd()};
    script.pause = Millis(20);
    return script;
  }
  {
    const std::lock_guard lock(mutex_);
    received_[cause].push_back(std::chrono::steady_clock::now());
  }
  // The target crashes inside the second event.
  constexpr size_t kStatedLength = 1'000;
  script.pieces = {
      AnswerHead(request, framing_, kStatedLength,
                 "Content-Type: text/event-stream\r\n"),
      FramedPiece(framing_, "id: 1\ndata: piece1\n\nid: 2\ndata: pie")};
  script.pause = Millis(30);
  script.end = true;
  return script;
}

auto CrashFleet::Ask(const Question& question) -> Reply {
  std::map<std::string, std::string> fields = {
      {"Authorization", "Token " + question.key},
      {platform::kAttemptIdField, "try-" + std::to_string(++asked_)},
      {platform::kTokensField, "100,10"},
      {platform::kDeadlineField, "8000"}};
  if (!question.parts.empty())
    fields[platform::kPromptPartsField] = question.parts;
  return Call(world_.box(BoxName(question.box)).callers, "POST", question.path,
              question.body, fields);
}

auto CrashFleet::ReceivedAt(const std::string& cause)
    -> std::vector<TimePoint> {
  const std::lock_guard lock(mutex_);
  return received_[cause];
}

auto CrashFleet::LateSendings(const std::string& cause, size_t known) -> int {
  const std::vector<TimePoint> times = ReceivedAt(cause);
  if (times.size() < known)
    return 0;
  const TimePoint from =
      times[known - 1] + std::chrono::milliseconds(kContact.count());
  return static_cast<int>(std::ranges::count_if(
      times, [&](TimePoint time) { return time > from; }));
}

}  // namespace sparbend::testing
