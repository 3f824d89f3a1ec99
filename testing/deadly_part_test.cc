// Requests that have one part of their prompts in common, and are otherwise all
// different, crash the targets that answer them. Sound requests have the other
// parts and the key in common with them.
#include <atomic>
#include <chrono>
#include <map>
#include <thread>

#include <CppUTest/TestHarness.h>

#include "platform/wire.h"
#include "testing/crash_fleet.h"

namespace sparbend::testing {
namespace {

constexpr int kBoxes = CrashFleet::kBoxes;
constexpr char kDeadlyPart[] = "dead";
// The exit by which boxes must know the part, and requests with it that may
// reach targets later.
constexpr size_t kFifthExit = 5;
constexpr int kMaxLateSends = 3;
constexpr Millis kSoundPause(30);
// Of sound requests, at least one of so many is answered.
constexpr int kMinAnsweredInverse = 2;
constexpr int kMinSoundAsked = 20;
constexpr size_t kMaxReplyShown = 80;  // bytes of a body, if the test fails

struct Load {
  const char* name;
  const char* before;  // parts before the deadly one
  const char* after;   // parts after it
  int callers;         // of each box that ask with the part
  Millis pause;        // of such a caller after each answer
  Millis duration;
  // Until then requests with the part crash nothing.
  Millis sound_until;
};

auto PartsOf(const SeenRequest& request) -> std::string {
  std::string name(platform::kPromptPartsField);
  std::ranges::transform(name, name.begin(), ::tolower);
  const auto found = request.fields.find(name);
  return found == request.fields.end() ? "" : found->second;
}

class DeadlyLoad {
 public:
  using Clock = std::chrono::steady_clock;

  explicit DeadlyLoad(const Load& load)
      : load_(load),
        fleet_(std::string("deadly-part-") + load.name,
               [this](const SeenRequest& request) { return Cause(request); }) {}

  void Run() {
    CHECK(fleet_.ready());
    began_ = Clock::now();
    std::vector<std::thread> threads;
    for (int box = 0; box < kBoxes; ++box) {
      for (int caller = 0; caller < load_.callers; ++caller)
        threads.emplace_back([this, box] { AskWithDeadlyPart(box); });
      for (const char* parts : {"aa:40,c1:20,", "aa:40,bb:20,"})
        threads.emplace_back(
            [this, box, parts] { AskSoundly(box, "the-key", parts); });
      threads.emplace_back(
          [this, box] { AskSoundly(box, "another-key", "dd:40,ee:20,"); });
    }
    for (std::thread& thread : threads)
      thread.join();
  }

  // What of the bounds is broken; empty: nothing.
  auto Failures() -> std::string {
    std::string failures;
    const std::string name = std::string(load_.name) + ": ";
    const int late = fleet_.LateSendings(kDeadlyPart, kFifthExit);
    if (late > kMaxLateSends)
      failures += name + "sent " + std::to_string(late) +
                  " times late; targets ended: " +
                  std::to_string(fleet_.world().ended()) + "\n";
    if (load_.callers > 0 && fleet_.ReceivedAt(kDeadlyPart).empty())
      failures += name + "the deadly part reached no target\n";
    const auto [asked, answered, others] = SoundLater();
    if (asked < kMinSoundAsked || answered * kMinAnsweredInverse < asked) {
      failures += name + "of " + std::to_string(asked) +
                  " sound requests answered " + std::to_string(answered) + "\n";
      for (const auto& [reply, count] : others)
        failures += "  " + std::to_string(count) + " times " + reply + "\n";
    }
    return failures;
  }

 private:
  struct Sound {
    Clock::time_point at;
    bool answered;
    std::string reply;  // if not answered: its status and body
  };
  struct SoundCounts {
    int asked = 0;
    int answered = 0;
    std::map<std::string, int> others;  // by reply
  };

  auto Elapsed() const -> Millis {
    return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                      Clock::now() - began_)
                      .count());
  }
  auto Cause(const SeenRequest& request) const -> std::string {
    const bool deadly =
        PartsOf(request).find(kDeadlyPart) != std::string::npos &&
        Elapsed() >= load_.sound_until;
    return deadly ? kDeadlyPart : "";
  }
  static void Wait(Millis span) {
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count()));
  }
  auto NewId() -> std::string { return std::to_string(++ids_); }

  void AskWithDeadlyPart(int box) {
    while (Elapsed() < load_.duration) {
      const std::string id = NewId();
      fleet_.Ask({.box = box,
                  .path = "/stream/" + id,
                  .body = "body-" + id,
                  .parts = std::string(load_.before) + kDeadlyPart + ":30," +
                           load_.after + "f" + id + ":10"});
      Wait(load_.pause);
    }
  }
  void AskSoundly(int box, const std::string& key, const std::string& parts) {
    while (Elapsed() < load_.duration) {
      const std::string id = NewId();
      const Clock::time_point at = Clock::now();
      const Reply reply = fleet_.Ask({.box = box,
                                      .path = "/stream/" + id,
                                      .body = "body-" + id,
                                      .key = key,
                                      .parts = parts + "f" + id + ":10"});
      const bool answered =
          reply.status == 200 && reply.body.find("piece3") != std::string::npos;
      if (key == "the-key") {
        const std::lock_guard lock(mutex_);
        sound_.push_back({at, answered,
                          answered ? ""
                                   : std::to_string(reply.status) + " " +
                                         reply.body.substr(0, kMaxReplyShown)});
      }
      Wait(kSoundPause);
    }
  }
  // Sound requests that share the key, from twice kContact after the fifth exit
  // (the last, if there were fewer).
  auto SoundLater() -> SoundCounts {
    const auto exits = fleet_.ReceivedAt(kDeadlyPart);
    Clock::time_point from = began_;
    if (!exits.empty())
      from = exits[std::min(exits.size(), kFifthExit) - 1] +
             std::chrono::milliseconds(2 * CrashFleet::kContact.count());
    SoundCounts counts;
    const std::lock_guard lock(mutex_);
    for (const Sound& sound : sound_) {
      if (sound.at < from)
        continue;
      ++counts.asked;
      if (sound.answered)
        ++counts.answered;
      else
        ++counts.others[sound.reply];
    }
    return counts;
  }

  Load load_;
  std::mutex mutex_;
  std::vector<Sound> sound_;
  std::atomic<int> ids_ = 0;
  Clock::time_point began_ = Clock::now();
  CrashFleet fleet_;
};

TEST_GROUP(DeadlyPart){};

// Guards against targets that crash one after the other under requests of which
// only one part of the prompt is the same.
TEST(DeadlyPart, ReachesFewTargetsOnceFiveCrashedAndSoundRequestsGoOn) {
  const Load loads[] = {
      {"after", "aa:40,", "", 1, Millis(200), Millis(12'000), Millis(0)},
      {"between", "aa:40,", "bb:20,", 1, Millis(200), Millis(12'000),
       Millis(0)},
      {"first", "", "aa:40,", 1, Millis(200), Millis(12'000), Millis(0)},
      {"seldom", "aa:40,", "", 1, Millis(1'000), Millis(16'000), Millis(0)},
      {"often", "aa:40,", "", 4, Millis(30), Millis(12'000), Millis(0)},
      {"turned-deadly", "aa:40,", "", 1, Millis(200), Millis(15'000),
       Millis(3'000)},
  };
  std::string failures;
  for (const Load& load : loads) {
    DeadlyLoad deadly(load);
    deadly.Run();
    failures += deadly.Failures();
  }
  STRCMP_EQUAL("", failures.c_str());
}

// Guards against a part that is not suspected since the end of the connection
// passed for the end of the answer.
TEST(DeadlyPart, IsRefusedHoweverTheInterruptedAnswersAreFramed) {
  constexpr int kMaxAsked = 12;
  for (const Framing framing :
       {Framing::kLength, Framing::kChunked, Framing::kUntilClose}) {
    const std::string name(ToString(framing));
    CrashFleet fleet(
        "deadly-part-framed-" + name,
        [](const SeenRequest& request) -> std::string {
          const bool deadly =
              PartsOf(request).find(kDeadlyPart) != std::string::npos;
          return deadly ? kDeadlyPart : "";
        },
        framing);
    CHECK(fleet.ready());
    Reply reply;
    for (int i = 0; i < kMaxAsked && reply.status != 503; ++i)
      reply = fleet.Ask({.box = i % kBoxes,
                         .path = "/stream/" + std::to_string(i),
                         .body = "body-" + std::to_string(i),
                         .key = "the-key",
                         .parts = "aa:40," + std::string(kDeadlyPart) +
                                  ":30,f" + std::to_string(i) + ":10"});
    LONGS_EQUAL_TEXT(503, reply.status, name.c_str());
    STRCMP_CONTAINS("not-run", reply.body.c_str());
    const double retry_after_s = std::stod(reply.fields.at("retry-after"));
    CHECK_TEXT(retry_after_s > 0 && retry_after_s <= 120, name.c_str());
  }
}

}  // namespace
}  // namespace sparbend::testing
