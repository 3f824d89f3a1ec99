// What a box believes of sums that it should not: its influence is bounded, and
// the sender's next true sum makes it good.
#include "sparbend/core/load_report_exchange.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

#include <CppUTest/TestHarness.h>

#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

using testing::EngineTargets;
using testing::SharedNodes;

constexpr int kBoxes = 60;
constexpr int kHalls = 3;
constexpr std::string_view kKey = "key";

TEST_GROUP(LoadReportExchange) {
  std::unique_ptr<SharedNodes> fleet;

  void setup() override {
    fleet =
        std::make_unique<SharedNodes>(kBoxes, EngineTargets(10, 64), kHalls);
    Run(Millis(2'000));
  }

  void Run(Millis span) {
    const Millis end = fleet->now() + span;
    while (fleet->now() < end)
      fleet->Step(Millis(50));
  }

  // A fleet's sum as box `from` would send it next.
  auto FleetSum(int from) -> Datagram {
    Datagram sum;
    sum.kind = DatagramKind::kFleetAggregate;
    sum.sender = BoxIdOf("box-" + std::to_string(from));
    sum.incarnation = 1;
    sum.sequence = 1'000'000;
    sum.heartbeat = 1'000'000;
    sum.sum.boxes = kBoxes;
    sum.loads = {{TargetIdOf("target-0"), 5, 5, 5}};
    return sum;
  }

  auto Running(int box) -> uint32_t {
    return fleet->at(box)
        .ingress_scheduler()
        .placement()
        .loads()
        .Total(TargetIdOf("target-0"))
        .running;
  }

  auto Tell(int box, const Datagram& sum) -> std::error_code {
    return fleet->at(box).OnDatagram(EncodeDatagram(sum, kKey), fleet->now());
  }
};

TEST(LoadReportExchange, SumsThatNoFleetCanHaveAreRefused) {
  struct Case {
    const char* what;
    std::function<void(Datagram*)> change;
    std::error_code refused;  // none: it is taken
    uint32_t running;         // believed after it
  };
  const Case cases[] = {
      {"a proper sum", [](Datagram*) {}, {}, 5},
      {"more boxes than are listed",
       [](Datagram* sum) { sum->sum.boxes = kBoxes + 1; }, Errc::kInvalid, 0},
      {"an absurd load",
       [](Datagram* sum) { sum->loads[0].running = 2'000'000'000; },
       Errc::kInvalid, 0},
      {"negative service",
       [](Datagram* sum) { sum->services = {{{1, 1}, -5}}; }, Errc::kInvalid,
       0},
      {"a sum that counts hardly a box",
       [](Datagram* sum) { sum->sum.boxes = 1; },
       {},
       0},
      {"the fleet's sum from another hall",
       [](Datagram* sum) { sum->sender = BoxIdOf("box-1"); }, Errc::kRefused,
       0},
      {"a hall's sum from the own hall",
       [](Datagram* sum) { sum->kind = DatagramKind::kHallAggregate; },
       Errc::kRefused, 0},
      {"a sum from nobody", [](Datagram* sum) { sum->sender = 12'345; },
       Errc::kRefused, 0},
      {"a replayed sum", [](Datagram* sum) { sum->sequence = 1; },
       Errc::kRefused, 0},
  };
  for (const Case& row : cases) {
    setup();
    constexpr int kReceiver = 0;
    constexpr int kSender = 3;  // of the same hall
    Datagram sum = FleetSum(kSender);
    row.change(&sum);
    CHECK_TEXT(Tell(kReceiver, sum) == row.refused, row.what);
    LONGS_EQUAL_TEXT(row.running, Running(kReceiver), row.what);
    // The sums of those who do add up make it good.
    Run(Millis(2'000));
    LONGS_EQUAL_TEXT(0, Running(kReceiver), row.what);
  }
}

TEST(LoadReportExchange, TwoBoxesOfAHallAddUp) {
  fleet->ResetTraffic();
  Run(Millis(5'000));
  std::map<std::string, std::vector<size_t>> sent;
  for (int box = 0; box < kBoxes; ++box)
    sent[fleet->hall(box)].push_back(fleet->traffic(box).datagrams);
  LONGS_EQUAL(kHalls, sent.size());
  // The second of a hall sends far more than the third.
  for (auto& [hall, datagrams] : sent) {
    std::ranges::sort(datagrams, std::greater());
    CHECK(datagrams[1] > 2 * datagrams[2]);
  }
}

TEST(LoadReportExchange, OneThatIsMuteIsPassedOverWithinTwoSeconds) {
  fleet->ResetTraffic();
  Run(Millis(1'000));
  int busiest = 0;
  for (int box = 0; box < kBoxes; ++box) {
    if (fleet->traffic(box).datagrams > fleet->traffic(busiest).datagrams)
      busiest = box;
  }
  fleet->SetMute(busiest, true);
  Millis worst;
  for (int step = 0; step < 100; ++step) {
    fleet->Step(Millis(50));
    for (int box = 0; box < kBoxes; ++box)
      worst = std::max(worst, fleet->at(box).aggregate_age(fleet->now()));
  }
  CHECK(worst <= Millis(1'000));
}

}  // namespace
}  // namespace sparbend
