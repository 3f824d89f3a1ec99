// Aggregates with impossible values are rejected, and the effect of a wrong but
// possible one ends with the next aggregate of an aggregator of the hall. Each
// hall has two aggregators; one that stops sending is replaced.
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

  // A fleet aggregate as box `sender` could send it next. Its sequence number
  // and heartbeat are higher than any before, so that it is not dropped as old.
  auto FleetAggregate(int sender) -> Datagram {
    Datagram aggregate;
    aggregate.kind = DatagramKind::kFleetAggregate;
    aggregate.sender = BoxIdOf("box-" + std::to_string(sender));
    aggregate.incarnation = 1;
    aggregate.sequence = 1'000'000;
    aggregate.heartbeat = 1'000'000;
    aggregate.aggregate_header.boxes = kBoxes;
    aggregate.loads = {{TargetIdOf("target-0"), 5, 5, 5}};
    return aggregate;
  }

  // Requests running at target-0, in the view of `box`.
  auto Running(int box) -> uint32_t {
    return fleet->at(box)
        .ingress_scheduler()
        .placement()
        .loads()
        .Total(TargetIdOf("target-0"))
        .running;
  }

  auto Deliver(int box, const Datagram& aggregate) -> std::error_code {
    return fleet->at(box).OnDatagram(EncodeDatagram(aggregate, kKey),
                                     fleet->now());
  }
};

TEST(LoadReportExchange, ImpossibleAggregatesAreRefused) {
  struct Case {
    const char* what;
    std::function<void(Datagram*)> change;
    std::error_code error;  // none: accepted
    uint32_t running;       // at target-0 afterwards, in the receiver's view
  };
  const Case cases[] = {
      {"valid aggregate", [](Datagram*) {}, {}, 5},
      {"more boxes than are listed",
       [](Datagram* aggregate) {
         aggregate->aggregate_header.boxes = kBoxes + 1;
       },
       Errc::kInvalid, 0},
      {"impossibly high load",
       [](Datagram* aggregate) { aggregate->loads[0].running = 2'000'000'000; },
       Errc::kInvalid, 0},
      {"negative service",
       [](Datagram* aggregate) { aggregate->services = {{{1, 1}, -5}}; },
       Errc::kInvalid, 0},
      {"covers fewer boxes than the accepted aggregate: ignored",
       [](Datagram* aggregate) { aggregate->aggregate_header.boxes = 1; },
       {},
       0},
      {"fleet aggregate of another hall",
       [](Datagram* aggregate) { aggregate->sender = BoxIdOf("box-1"); },
       Errc::kRefused, 0},
      {"hall aggregate of the receiver's own hall",
       [](Datagram* aggregate) {
         aggregate->kind = DatagramKind::kHallAggregate;
       },
       Errc::kRefused, 0},
      {"sender is not listed",
       [](Datagram* aggregate) { aggregate->sender = 12'345; }, Errc::kRefused,
       0},
      {"old sequence number",
       [](Datagram* aggregate) { aggregate->sequence = 1; }, Errc::kRefused, 0},
  };
  for (const Case& row : cases) {
    setup();
    constexpr int kReceiver = 0;
    constexpr int kSender = 3;  // in the same hall as the receiver
    Datagram aggregate = FleetAggregate(kSender);
    row.change(&aggregate);
    CHECK_TEXT(Deliver(kReceiver, aggregate) == row.error, row.what);
    LONGS_EQUAL_TEXT(row.running, Running(kReceiver), row.what);
    // The aggregates of the hall's aggregators replace it.
    Run(Millis(2'000));
    LONGS_EQUAL_TEXT(0, Running(kReceiver), row.what);
  }
}

TEST(LoadReportExchange, EachHallHasTwoAggregators) {
  fleet->ResetTraffic();
  Run(Millis(5'000));
  // Datagrams sent and received, by hall, one number per box.
  std::map<std::string, std::vector<size_t>> traffic;
  for (int box = 0; box < kBoxes; ++box)
    traffic[fleet->hall(box)].push_back(fleet->traffic(box).datagrams);
  LONGS_EQUAL(kHalls, traffic.size());
  // The second busiest box of a hall has far more traffic than the third.
  for (auto& [hall, datagrams] : traffic) {
    std::ranges::sort(datagrams, std::greater());
    CHECK(datagrams[1] > 2 * datagrams[2]);
  }
}

// The busiest box is an aggregator; it stops sending but still receives.
TEST(LoadReportExchange, AnAggregatorThatStopsSendingIsReplaced) {
  fleet->ResetTraffic();
  Run(Millis(1'000));
  int busiest = 0;
  for (int box = 0; box < kBoxes; ++box) {
    if (fleet->traffic(box).datagrams > fleet->traffic(busiest).datagrams)
      busiest = box;
  }
  fleet->SetMute(busiest, true);
  Millis largest_age;
  for (int step = 0; step < 100; ++step) {
    fleet->Step(Millis(50));
    for (int box = 0; box < kBoxes; ++box)
      largest_age =
          std::max(largest_age, fleet->at(box).aggregate_age(fleet->now()));
  }
  CHECK(largest_age <= Millis(1'000));
}

}  // namespace
}  // namespace sparbend
