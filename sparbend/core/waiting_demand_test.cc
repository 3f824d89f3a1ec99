// Guards against a flood that keeps the share of a workspace whose requests
// wait in the queues of other boxes, as nobody counts them as requested.
#include <CppUTest/TestHarness.h>

#include "sparbend/core/ingress_scheduler.h"

namespace sparbend {
namespace {

constexpr Millis kStart(1'000);
constexpr Millis kPatience(5'000);
constexpr int64_t kCapacity = 500'000;  // tokens per second
constexpr int64_t kRequestTokens = 10'000;
constexpr int kSlots = 64;
constexpr RequestId kFirstRunning = 10'000;
constexpr int64_t kFloodServed = 900'000;

// A box with the workspaces 1 and 2 and no target that has room.
class Box {
 public:
  explicit Box(BoxId id) : service_counters_(id) {
    Catalog::Pools pools;
    pools["engines"].name = "engines";
    Catalog::Workspaces workspaces;
    for (const uint32_t number : {1, 2}) {
      Workspace& workspace = workspaces["w" + std::to_string(number)];
      workspace.number = number;
      workspace.pools = {"engines"};
      workspace.queue_requests = 1'000;
      workspace.queue_bytes = 1'000'000;
    }
    scheduler_.SetCatalog(std::make_shared<Catalog>(pools, workspaces));
    scheduler_.SetTargets(
        {{{101, "t", "h", PoolIdOf("engines"), kSlots, false}, {}}});
    scheduler_.fair_shares().SetCapacity(PoolIdOf("engines"), kCapacity);
    // Work that no flow was charged for fills the target.
    for (int i = 0; i < kSlots; ++i) {
      QueuedRequest request;
      request.id = kFirstRunning + static_cast<RequestId>(i);
      request.flow = FlowOf(3);
      Choice choice;
      choice.target = 101;
      scheduler_.placement().Start(request, choice, kStart);
    }
  }

  void Queue(int requests) {
    for (int i = 0; i < requests; ++i) {
      QueuedRequest request;
      request.id = static_cast<RequestId>(i + 1);
      request.flow = FlowOf(2);
      request.arrived = kStart;
      request.expires = kStart + kPatience;
      request.work.prompt_tokens = kRequestTokens;
      CHECK(!scheduler_.Enqueue(request));
    }
  }

  static auto FlowOf(WorkspaceId workspace) -> Flow {
    return {PoolIdOf("engines"), workspace};
  }
  auto scheduler() -> IngressScheduler& { return scheduler_; }
  auto shares() -> FairShares& { return scheduler_.fair_shares(); }

 private:
  ServiceCounters service_counters_;
  IngressScheduler scheduler_{&service_counters_, Policy::kShared,
                              QueueLimits(), "h"};
};

TEST_GROUP(WaitingDemand){};

TEST(WaitingDemand, FloodYieldsToRequestsThatWait) {
  enum class End { kWaiting, kClientLeft, kExpired };
  // A refused request is retried about once, so two refusals count for one.
  struct Case {
    const char* what;
    End end;
    int requests;
    bool other_box;  // the flood arrives there, and knows it from a report
  };
  for (const Case& row : {
           Case{"waiting at this box", End::kWaiting, 60, false},
           Case{"waiting at another box", End::kWaiting, 60, true},
           Case{"clients that have left", End::kClientLeft, 120, false},
           Case{"clients that have left another box", End::kClientLeft, 120,
                true},
           Case{"refused after waiting", End::kExpired, 120, true},
       }) {
    Box box(1);
    Box other(2);
    box.Queue(row.requests);
    Millis now = kStart;
    if (row.end == End::kClientLeft) {
      for (int i = 0; i < row.requests; ++i)
        CHECK(box.scheduler().Cancel(static_cast<RequestId>(i + 1), now));
    } else if (row.end == End::kExpired) {
      now = kStart + kPatience;
      LONGS_EQUAL(row.requests, box.scheduler().TakeExpired(now).size());
    }
    FairShares& judge = row.other_box ? other.shares() : box.shares();
    // The pool has been in use for seconds, by refusals without cost.
    for (Millis at = now - Millis(6'000); at <= now; at = at + Millis(1'000))
      judge.RecordDenied(Box::FlowOf(3), 0, at);
    judge.RecordServed(Box::FlowOf(1), kFloodServed, now);
    if (row.other_box)
      other.shares().UpdateFromPeer(
          1, box.shares().OwnServed(16, now),
          box.shares().UnservedToReport(16, Millis(0), now), now);
    // Both request more than half of what two seconds of capacity can serve.
    LONGS_EQUAL_TEXT(kCapacity, judge.StateOf(Box::FlowOf(1), now).entitled,
                     row.what);
    CHECK_TEXT(
        judge.RatioToFairShare(Box::FlowOf(1), now) == FairShares::kMustYield,
        row.what);
  }
}

}  // namespace
}  // namespace sparbend
