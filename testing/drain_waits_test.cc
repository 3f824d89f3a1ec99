// Requests that waited for something else than a slot when a planned stop ended
// were dropped, and some were sent to targets that could not answer in time.
#include <csignal>

#include <algorithm>
#include <chrono>
#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/platform_world.h"

namespace sparbend::testing {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

// The drain lasts for half a second less than the grace time.
constexpr char kLimits[] = "grace_s = 3\ndrain_notice_ms = 300\n";
constexpr Millis kGrace(3'000);
constexpr Millis kUntilStop(300);
// After a drain has begun; the box has stopped accepting then.
constexpr Millis kBetweenSignals(500);
constexpr char kDeclarations[] = R"({"version": 1,
  "routes": [
    {"name": "once", "host": "127.0.0.1", "path-prefix": "/once/",
     "kind": "non_idempotent", "max-attempts": 1, "timeout-ms": 15000,
     "target-latency-ms": 500, "service": "plain"},
    {"name": "again", "host": "127.0.0.1", "path-prefix": "/again/",
     "kind": "idempotent", "max-attempts": 3, "timeout-ms": 15000,
     "target-latency-ms": 500, "service": "plain"}],
  "services": [{"name": "plain", "max-conns": 1000}],
  "tenants": [{"name": "w", "api-keys": ["the-key"]}]})";

auto HeadOf(const std::string& route, const std::string& id, size_t body)
    -> std::string {
  return "POST /" + route +
         "/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
         "Authorization: Token the-key\r\n" +
         std::string(platform::kAttemptIdField) + ": " + id + "\r\n" +
         std::string(platform::kDeadlineField) +
         ": 15000\r\nContent-Length: " + std::to_string(body) + "\r\n\r\n";
}

void SleepFor(Millis span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(span.count()));
}

auto SinceMs(SteadyTime begin) -> int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - begin)
      .count();
}

auto HungTarget(const SeenRequest&) -> TargetScript {
  TargetScript script;
  script.hang = true;
  return script;
}

struct Row {
  const char* name;
  std::string request;       // as far as the client has sent it
  std::vector<int> signals;  // in turn
  std::string status;        // of the answer
  const char* verdict;       // in its body
  Millis latest = kGrace;    // after the first signal
  bool unread = false;       // the box is paused when the client connects
};

const Row kRows[] = {
    {"drain-slow-body",
     HeadOf("once", "c", 1'000) + "body",
     {SIGTERM},
     "503",
     "not-run",
     Millis(1'900)},
    {"drain-slow-head",
     "POST /once/x HTTP/1.1\r\nHost: 127",
     {SIGTERM},
     "503",
     "not-run",
     Millis(1'900)},
    {"drain-hung",
     HeadOf("once", "c", 4) + "body",
     {SIGTERM},
     "502",
     "may-have-run"},
    {"drain-hung-again",
     HeadOf("again", "c", 4) + "body",
     {SIGTERM},
     "502",
     "may-have-run"},
    {"drain-reload",
     HeadOf("once", "c", 4) + "body",
     {SIGTERM, SIGHUP},
     "502",
     "may-have-run"},
    {"drain-repeated",
     HeadOf("once", "c", 4) + "body",
     {SIGTERM, SIGTERM},
     "502",
     "may-have-run"},
    {"drain-interrupted",
     HeadOf("once", "c", 4) + "body",
     {SIGTERM, SIGINT},
     "502",
     "may-have-run",
     Millis(1'300)},
    {"drain-interrupted-body",
     HeadOf("once", "c", 1'000) + "body",
     {SIGTERM, SIGINT},
     "503",
     "not-run",
     Millis(1'300)},
    {"drain-unread",
     HeadOf("once", "c", 4) + "body",
     {SIGTERM},
     "502",
     "may-have-run",
     kGrace,
     true},
};

TEST_GROUP(DrainWaits){};

TEST(DrainWaits, GetATrueAnswerBeforeTheProcessEnds) {
  for (const Row& row : kRows) {
    PlatformWorld world(row.name);
    world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
              kDeclarations);
    world.AddTarget("target", "plain", HungTarget);
    const PlatformWorld::Box& box = world.StartBox("box-1", kLimits);
    CHECK(world.WaitReady("box-1"));
    if (row.unread)
      box.process->Signal(SIGSTOP);
    std::future<RawReply> reply = std::async(
        std::launch::async, [&] { return SendRaw(box.callers, row.request); });
    SleepFor(kUntilStop);
    const SteadyTime stopped = std::chrono::steady_clock::now();
    for (const int signal : row.signals) {
      if (signal != row.signals.front())
        SleepFor(kBetweenSignals);
      box.process->Signal(signal);
    }
    if (row.unread)
      box.process->Signal(SIGCONT);
    const std::string bytes = reply.get().bytes;
    CHECK_TEXT(SinceMs(stopped) < row.latest.count(), row.name);
    CHECK_TEXT(bytes.starts_with("HTTP/1.1 " + row.status), row.name);
    CHECK_TEXT(bytes.find(row.verdict) != std::string::npos, row.name);
    CHECK_TEXT(bytes.find("\r\nRetry-After: ") != std::string::npos, row.name);
    LONGS_EQUAL_TEXT(0, box.process->Wait(kGrace).value_or(-1), row.name);
  }
}

// Guards against a stop that waits for its deadline although nothing is left.
TEST(DrainWaits, ABoxThatIsNotReadyEndsAtOnceAfterItsNotice) {
  PlatformWorld world("drain-not-ready");
  StoreFault fault;
  fault.refuses = true;
  world.SetFault(fault);
  const PlatformWorld::Box& box = world.StartBox("box-1", kLimits);
  box.process->Signal(SIGTERM);
  LONGS_EQUAL(0, box.process->Wait(Millis(1'000)).value_or(-1));
}

struct LongAnswers {
  const char* name;
  Millis answer_time;
  Millis until_stop;      // from when the targets' slots were taken
  int served_after_stop;  // at least
};

// A drain of 4.5 s. In the second row an answer that begins when a slot becomes
// free would end after the drain.
constexpr char kLongLimits[] = "grace_s = 5\ndrain_notice_ms = 300\n";
constexpr Millis kLongGrace(5'000);
const LongAnswers kLongAnswers[] = {
    {"drain-long-answers", Millis(700), Millis(500), 4},
    {"drain-too-long-answers", Millis(3'200), Millis(1'500), 0},
};
constexpr int kSlots = 4;
constexpr int kWaiting = 60;
// A request that can't be served is refused within this time after SIGTERM.
constexpr int64_t kAtOnceMs = 1'000;

// Guards against requests that are kept until late in the drain although it is
// known by then that they can't be sent, and against answers that are broken
// off.
TEST(DrainWaits, WhatCannotEndInTimeIsRefusedAtOnceAndNotSent) {
  for (const LongAnswers& row : kLongAnswers) {
    PlatformWorld world(row.name);
    world.Put(platform::kDeclarationsTopic, platform::kDeclarationKey,
              kDeclarations);
    world.AddTarget("target", "plain", [&](const SeenRequest& request) {
      TargetScript script;
      script.pieces = {GoodAnswer(request, "good")};
      script.pause = row.answer_time;
      return script;
    });
    const PlatformWorld::Box& box = world.StartBox("box-1", kLongLimits);
    CHECK(world.WaitReady("box-1"));
    struct Outcome {
      RawReply reply;
      SteadyTime ended;
    };
    const auto send = [&](const std::string& id) {
      return std::async(std::launch::async, [&box, id] {
        Outcome outcome;
        outcome.reply = SendRaw(
            box.callers,
            HeadOf("once", id, 4)
                    .insert(std::string("POST /once/x HTTP/1.1\r\n").size(),
                            "Connection: close\r\n") +
                "body");
        outcome.ended = std::chrono::steady_clock::now();
        return outcome;
      });
    };
    std::vector<std::future<Outcome>> first;
    for (int i = 0; i < kSlots; ++i)
      first.push_back(send("first-" + std::to_string(i)));
    for (std::future<Outcome>& one : first)
      one.get();
    std::vector<std::future<Outcome>> waiting;
    for (int i = 0; i < kWaiting; ++i)
      waiting.push_back(send("c" + std::to_string(i)));
    SleepFor(row.until_stop);
    const SteadyTime stopped = std::chrono::steady_clock::now();
    box.process->Signal(SIGTERM);
    int refused_late = 0;
    int refused = 0;
    int served_after_stop = 0;
    for (int i = 0; i < kWaiting; ++i) {
      const Outcome outcome = waiting[static_cast<size_t>(i)].get();
      if (!world.SeenOf("c" + std::to_string(i)).empty()) {
        CHECK_TEXT(outcome.reply.bytes.starts_with("HTTP/1.1 200"), row.name);
        const auto sent_after =
            outcome.ended - stopped -
            std::chrono::milliseconds(row.answer_time.count());
        served_after_stop += sent_after > SteadyTime::duration::zero() ? 1 : 0;
        continue;
      }
      CHECK_TEXT(outcome.reply.bytes.starts_with("HTTP/1.1 503"), row.name);
      ++refused;
      refused_late +=
          outcome.ended - stopped > std::chrono::milliseconds(kAtOnceMs) ? 1
                                                                         : 0;
    }
    CHECK_TEXT(refused >= kWaiting / 2, row.name);
    // The estimate of how many can be sent may be a round of slots too high.
    CHECK_TEXT(refused_late <= 2 * kSlots, row.name);
    CHECK_TEXT(served_after_stop >= row.served_after_stop, row.name);
    LONGS_EQUAL_TEXT(0, box.process->Wait(kLongGrace).value_or(-1), row.name);
  }
}

}  // namespace
}  // namespace sparbend::testing
