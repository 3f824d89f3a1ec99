// Tells refused clients when to come back, so that the returning load fits the
// capacity that becomes free for their flow, and recognises clients that kept
// the time they were told.
//
//   ReturnSchedule schedule;
//   ReturnTime told = schedule.Assign(query, now);  // Retry-After, whether
//                                                   // a return can be in time
//   schedule.OnArrival(key, now);                   // new, on time or early
//
// For flows under overload: without a schedule all refused clients of a flow
// return within the same short span, mostly to be refused again. No I/O and no
// clock: the caller passes the time. State is bounded, kept in memory only, and
// lost at a restart; a client that is not known is new.
#ifndef SPARBEND_CORE_RETURN_SCHEDULE_H_
#define SPARBEND_CORE_RETURN_SCHEDULE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "sparbend/core/fair_shares.h"
#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"

namespace sparbend {

// A refused request and what is known of its flow and its client.
struct ReturnQuery {
  Flow flow;
  int64_t amount = 0;               // tokens over the flow's share
  FairShares::FlowState state;      // of the flow, over the fleet
  Millis engine_queue;              // the shortest queue of the pool's engines
  double fraction = 1;              // requested of the flow here over the fleet
  std::optional<Millis> remaining;  // time that the client will still wait
  Millis asked_for;                 // since the client's first attempt
  uint64_t key = 0;                 // of the request; 0: none
};

// What a refused client is told.
struct ReturnTime {
  Millis delay;
  // Whether room for the request was assigned, or is expected, by then. If not,
  // the delay is the longest that the client honours.
  bool in_time = true;

  auto operator==(const ReturnTime&) const -> bool = default;
};

enum class Arrival { kNew, kOnTime, kEarly };

class ReturnSchedule {
 public:
  // A shorter delay brings the client back before the load reports of peers
  // have changed. The shortest objective is 400 ms; a client that comes back
  // after half of it can still be answered in time.
  static constexpr Millis kMinDelay = Millis(200);
  // A third of the longest usual time budget of clients, 15 s. Clients ignore a
  // longer delay.
  static constexpr Millis kMaxDelay = Millis(5'000);
  // How long after its time a client still counts as on time. A client gives up
  // an attempt that a box has not read after a second.
  static constexpr Millis kMaxLateness = Millis(1'000);
  // Clients remembered. 1,000 refusals per second with the longest delay and
  // lateness are 6,000; an entry takes about 130 bytes.
  static constexpr size_t kMaxReturns = 8'192;
  // Flows with assigned room. An entry takes about 1 KB.
  static constexpr size_t kMaxFlows = 256;

  // Decisions since the start, for metrics.
  struct Counts {
    int64_t assigned = 0;
    int64_t on_time = 0;
    int64_t early = 0;
    int64_t no_return_in_time = 0;

    auto operator==(const Counts&) const -> bool = default;
  };

  // Returns what to tell the client of a refused request, and assigns room for
  // its return if there is any by then. O(log returns + log flows), and a scan
  // of at most kBuckets numbers.
  auto Assign(const ReturnQuery& query, Millis now) -> ReturnTime;
  // What a request with this key is now, without any effect. O(1).
  auto Check(uint64_t key, Millis now) const -> Arrival;
  // The same, and counts the arrival. Each return is on time once.
  auto OnArrival(uint64_t key, Millis now) -> Arrival;
  // Time left until the client may come back; zero if it may or is not known.
  auto TimeLeft(uint64_t key, Millis now) const -> Millis;

  auto counts() const -> const Counts& { return counts_; }
  auto returns() const -> size_t { return returns_.size(); }
  auto flows() const -> size_t { return flows_.size(); }

 private:
  // Resolution of the schedule. Fine enough to spread returns, since clients
  // keep their time to some tens of milliseconds at best.
  static constexpr int64_t kBucketMs = 40;
  static constexpr size_t kBuckets = 128;

  // Room of a flow that was assigned, by the time of return.
  struct FlowRoom {
    // Tokens assigned to bucket number n, in place n % kBuckets, for n from
    // `first_bucket` on.
    std::array<float, kBuckets> assigned{};
    int64_t first_bucket = 0;
    // Tokens of assigned returns whose room comes after the last bucket.
    double beyond = 0;
  };
  struct Return {
    Millis told_at;
    Millis at;
    bool used = false;  // the client has come back at its time
  };

  // Time from which the flow is below its ceiling if it gets nothing more.
  static auto BelowCeilingAfter(const FairShares::FlowState& state) -> Millis;
  // Tokens per second that this box may assign; zero: not known.
  static auto RateHere(const ReturnQuery& query) -> double;
  // Assigns room at the earliest time in [from, until], if there is any.
  auto AssignRoom(const ReturnQuery& query,
                  double rate,
                  bool refused_before,
                  Millis from,
                  Millis until,
                  Millis now) -> std::optional<Millis>;
  // The room of the flow, with passed buckets cleared.
  auto RoomOf(const ReturnQuery& query, double rate, Millis now) -> FlowRoom*;
  void Remember(uint64_t key, Return entry);
  void Expire(Millis now);
  void Erase(uint64_t key);

  std::map<Flow, FlowRoom> flows_;
  std::unordered_map<uint64_t, Return> returns_;
  std::set<std::pair<Millis, uint64_t>> by_time_;  // of returns_, by `at`
  Counts counts_;
  Millis latest_;  // the latest time passed by a caller
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_RETURN_SCHEDULE_H_
