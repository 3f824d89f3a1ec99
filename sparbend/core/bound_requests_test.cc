// Requests that are bound to a software version, in the queue of a box, while
// targets of that version are full, leave or are gone.
#include <CppUTest/TestHarness.h>

#include "sparbend/core/ingress_scheduler.h"
#include "testing/shared_nodes.h"

namespace sparbend {
namespace {

const Flow kFlow = {PoolIdOf("engines"), 1};
constexpr TargetId kFirst = 1;
constexpr TargetId kSecond = 2;
constexpr VersionId kFirstVersion = 11;
constexpr VersionId kSecondVersion = 12;
constexpr Millis kNow = Millis(10'000);

auto Request(RequestId id, std::optional<VersionId> version) -> QueuedRequest {
  QueuedRequest request;
  request.id = id;
  request.flow = kFlow;
  request.arrived = kNow;
  request.expires = kNow + Millis(10'000);
  request.work.prompt_tokens = 100;
  request.version = version;
  request.resumes_stream = version.has_value();
  return request;
}

// One target of each version, with a slot each.
class Box {
 public:
  explicit Box(Policy policy)
      : counters_(1), scheduler_(&counters_, policy, {}, "h") {
    scheduler_.SetCatalog(testing::EngineCatalog());
    SetLeaving(false);
  }
  // Whether the second target is leaving.
  void SetLeaving(bool leaving) {
    scheduler_.SetTargets(
        {{{kFirst, "first", "h", kFlow.pool, 1, false, kFirstVersion}, {}},
         {{kSecond, "second", "h", kFlow.pool, 1, leaving, kSecondVersion},
          {}}});
  }
  auto operator->() -> IngressScheduler* { return &scheduler_; }

 private:
  ServiceCounters counters_;
  IngressScheduler scheduler_;
};

constexpr Policy kPolicies[] = {Policy::kIndependent, Policy::kShared};

TEST_GROUP(BoundRequests){};

TEST(BoundRequests, AreRefusedAtOnceWhenNoTargetOfTheirVersionIsLeft) {
  for (const Policy policy : kPolicies) {
    Box box(policy);
    CHECK(box->TryStart(Request(1, kSecondVersion), kNow).has_value());
    CHECK(!box->TryStart(Request(2, kSecondVersion), kNow));
    CHECK(!box->Enqueue(Request(2, kSecondVersion)));
    CHECK(box->TakeUnservable(kNow).empty());
    box.SetLeaving(true);
    const auto refused = box->TakeUnservable(kNow);
    LONGS_EQUAL(1, refused.size());
    LONGS_EQUAL(2, refused[0].first);
    CHECK(refused[0].second.verdict == Verdict::kNotRun);
    CHECK(box->Enqueue(Request(3, kSecondVersion)).has_value());
    CHECK(!box->CheckVersion(kFlow, kFirstVersion));
    LONGS_EQUAL(0, box->queues().total());
  }
}

TEST(BoundRequests, ANewAttemptOfAStreamStaysAtItsVersion) {
  for (const Policy policy : kPolicies) {
    Box box(policy);
    CHECK(box->TryStart(Request(1, std::nullopt), kNow).has_value());
    const TargetId began_at =
        box->leases().InFlight(kFirst) > 0 ? kFirst : kSecond;
    box->Requeue(1, kNow + Millis(5'000),
                 began_at == kFirst ? kFirstVersion : kSecondVersion);
    const std::vector<Dispatch> again = box->Schedule(kNow + Millis(100));
    LONGS_EQUAL(1, again.size());
    LONGS_EQUAL(began_at, again[0].target);
  }
}

// A request that waits for its version does not hold up the others.
TEST(BoundRequests, OthersOfTheFlowGoAheadWhileTheyWait) {
  for (const Policy policy : kPolicies) {
    Box box(policy);
    CHECK(box->TryStart(Request(1, kSecondVersion), kNow).has_value());
    CHECK(!box->Enqueue(Request(2, kSecondVersion)));
    CHECK(!box->Enqueue(Request(3, std::nullopt)));
    const std::vector<Dispatch> started = box->Schedule(kNow + Millis(100));
    LONGS_EQUAL(1, started.size());
    LONGS_EQUAL(3, started[0].request);
    box->Finish(1, 0);
    const std::vector<Dispatch> next = box->Schedule(kNow + Millis(200));
    LONGS_EQUAL(1, next.size());
    LONGS_EQUAL(2, next[0].request);
    LONGS_EQUAL(kSecond, next[0].target);
  }
}

// Work that is partly done goes before other requests of its flow.
TEST(BoundRequests, GoBeforeOthersOfTheirFlow) {
  for (const Policy policy : kPolicies) {
    Box box(policy);
    CHECK(box->TryStart(Request(1, kFirstVersion), kNow).has_value());
    CHECK(box->TryStart(Request(2, kSecondVersion), kNow).has_value());
    CHECK(!box->Enqueue(Request(3, std::nullopt)));
    CHECK(!box->Enqueue(Request(4, kFirstVersion)));
    box->Finish(1, 0);
    const std::vector<Dispatch> started = box->Schedule(kNow + Millis(100));
    LONGS_EQUAL(1, started.size());
    LONGS_EQUAL(4, started[0].request);
  }
}

}  // namespace
}  // namespace sparbend
