// Chooses the target of a request: the one whose answer is expected to begin
// first, by the work queued there, the part of the prompt that it has in its KV
// cache, and its health. A request for which no target has room is left to
// wait.
//
//   if (const auto choice = placement.Choose(request, permitted, ratio, now))
//     placement.Start(request, *choice, now);
//   placement.OnBytes(id, now); placement.Finish(id);
//
// Performs no I/O and reads no clock: all inputs and the time are arguments.
// Boxes report their loads and prefix locations to each other (UpdateFromPeer),
// so that they choose alike.
#ifndef SPARBEND_CORE_PLACEMENT_H_
#define SPARBEND_CORE_PLACEMENT_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sparbend/core/candidates.h"
#include "sparbend/core/cold_targets.h"
#include "sparbend/core/engine_model.h"
#include "sparbend/core/flow_share.h"
#include "sparbend/core/load_table.h"
#include "sparbend/core/prefix_locations.h"
#include "sparbend/core/queue.h"
#include "sparbend/core/service_choice.h"
#include "sparbend/core/slow_spans.h"
#include "sparbend/core/stream_stall_detector.h"
#include "sparbend/core/target_backoff.h"
#include "sparbend/core/target_health.h"

namespace sparbend {

// The limits of a pool's targets, from the configuration.
struct PoolLimits {
  int64_t memory_tokens = 0;  // of each engine; zero: a plain service
  int connections = 0;        // to each target, of all boxes; zero: no limit
  // Rate at which engines transfer cached tokens to each other; zero: they
  // can't.
  double kv_transfer_tokens_per_ms = 0;
  // Requests per second, of all boxes, that a cold target sustains; zero: no
  // target is ever cold.
  double cold_requests_per_s = 0;

  auto operator==(const PoolLimits&) const -> bool = default;
};

// The chosen target and the reasons, for the log and for comparing the estimate
// with the actual time.
struct Choice {
  TargetId target = 0;
  Millis first_byte;            // estimated time to the answer's first byte
  int64_t uncached_tokens = 0;  // of the prompt, to be read there
  int64_t queued_tokens = 0;    // of other prompts, to be read before it
  bool in_time = true;          // the estimate meets the request's objectives
  // Service of the flow in multiples of its fair share; zero for services.
  double fair_share_ratio = 0;
  // The engine that transfers its cached part of the prompt to the target;
  // zero: none.
  TargetId fetch_from = 0;

  auto operator==(const Choice&) const -> bool = default;
};

class Placement {
 public:
  // Whether a request may go to targets in `hall`.
  using Permitted = std::function<bool(const std::string& hall)>;

  explicit Placement(const std::string& hall)
      : hall_(hall), candidates_(hall) {}

  // Sets a seed that differs between boxes. It varies which targets a box
  // samples, and when it sends again to a target that asked several boxes to
  // back off.
  void SetSeed(uint64_t seed) {
    candidates_.SetSeed(seed);
    backoff_.SetSeed(seed);
  }
  void SetTargets(std::vector<PlacementTarget> targets);
  void SetPools(std::map<PoolId, PoolLimits> pools);
  // Sets the boxes of the fleet, as listed; `self` is one of them.
  void SetBoxes(BoxId self, std::vector<BoxId> boxes) {
    cold_targets_.SetBoxes(self, std::move(boxes));
  }
  // Records that the target reported to be cold until `until`.
  void SetCold(TargetId target, Millis until) {
    cold_targets_.SetCold(target, until);
  }
  // Treats the target as cold for a while: it may have restarted or become
  // cold, and its report of that may not have arrived yet.
  void SuspectCold(TargetId target, Millis now);
  // Sets the number of boxes, this one included, that share the connections to
  // a target.
  void SetBoxCount(int boxes) { box_count_ = boxes; }

  // Returns the best target that has room, or nothing if the request should
  // wait.
  //
  // `share` is that of the request's flow. From a ratio of 1 on the flow may
  // only use spare capacity, which no other flow waits for: targets with little
  // work, and the less of it the larger the ratio. A flow that is below its
  // entitlement may be sent late to targets with more work than others may.
  auto Choose(const QueuedRequest& request,
              const Permitted& permitted,
              const FlowShare& share,
              Millis now) const -> std::optional<Choice>;
  // Whether most targets of `pool` are idle in each hall, so that no flow has
  // to yield.
  auto HasAmpleRoom(PoolId pool, Millis now) const -> bool {
    return RefreshedCandidates(now).HasAmpleRoom(pool, now);
  }
  // Whether any target of `pool` has spare capacity for a flow with that ratio.
  // If none has, Choose returns nothing for all requests of the flow.
  auto HasSpareCapacity(PoolId pool, double fair_share_ratio, Millis now) const
      -> bool;
  // Records that the request was sent to the chosen target.
  void Start(const QueuedRequest& request, const Choice& choice, Millis now);
  // Records that bytes of the request's answer arrived, the first or later
  // ones.
  void OnBytes(RequestId id, Millis now);
  // Records that the request has ended, complete or not.
  void Finish(RequestId id);
  // Records the outcome of a request or connection. Returns true if the target
  // is ejected from now on.
  auto OnOutcome(TargetId target, TargetOutcome outcome, Millis now) -> bool;
  // Records that a connection to a formerly unreachable target could be made.
  void OnReachable(TargetId target, Millis now);
  // Records that the target refused a request and asked this box to send none
  // for `delay`.
  void OnRetryAfter(TargetId target, Millis delay, Millis now);
  auto backoff() -> TargetBackoff& { return backoff_; }
  auto backoff() const -> const TargetBackoff& { return backoff_; }
  // If all targets of `pool` in permitted halls are backing off: the time until
  // the first of them accepts requests again. Otherwise nothing.
  auto BackoffRemaining(PoolId pool,
                        const Permitted& permitted,
                        Millis now) const -> std::optional<Millis>;
  // Estimated time until a request that is refused now may find room.
  auto EstimatedWait(PoolId pool, Millis now) const -> Millis;

  // Estimated time to the answer of a request to a plain service that is sent
  // as soon as this box may; nothing if no target has answered yet. For
  // deciding whether a request that waits here can still be in time.
  auto EstimatedAnswer(PoolId pool, Millis now) const -> std::optional<Millis>;

  // Drops load reports that are too old to count, and ends periods of slowness
  // without recent evidence.
  void Expire(Millis now) {
    loads_.Expire(now);
    slow_spans_.Expire(now);
  }
  // Periods in which engines are slow, as this box measures them.
  auto slow_spans() -> SlowSpans& { return slow_spans_; }
  auto engine_model() const -> const EngineModel& { return engine_model_; }
  // Drops all loads that other boxes reported.
  void ClearPeerReports() { loads_.ClearPeerReports(); }
  auto loads() const -> const LoadTable& { return loads_; }
  auto prefix_locations() const -> const PrefixLocations& {
    return prefix_locations_;
  }
  // Replaces the loads of box `from` by those of its newest full report, and
  // adds its new prefix locations.
  void UpdateFromPeer(BoxId from,
                      const std::vector<TargetLoad>& loads,
                      const std::vector<PrefixLocation>& locations,
                      Millis now);

 private:
  // Sums over consecutive gaps between events of one stream.
  struct GapSums {
    int gaps = 0;
    double ms = 0;
    double running = 0;
  };
  // What was estimated when a request was sent to an engine.
  struct SentEstimate {
    EngineModel::Engine engine;
    double tokens = 0;  // prompt tokens to be read before its first byte
    bool answer_started = false;  // the first byte has arrived
    Millis last_bytes_at;
    // Gaps between events that the model has not observed yet.
    GapSums decoding;  // while the engine read no prompt
    GapSums reading;   // while it did
  };
  // A request that was sent to a plain service and is not answered yet.
  struct SentCall {
    PoolId pool = 0;
    TargetId target = 0;
    int slots = 1;
  };

  // The estimate for one request at one engine.
  struct Estimate {
    int64_t queued_tokens = 0;  // prompt tokens of others to be read first
    double queue_ms = 0;        // time to read them
    double first_byte_ms = 0;
    int64_t transferred_tokens = 0;  // from the cache of another engine
    double transfer_ms = 0;
    int64_t uncached_tokens = 0;    // prompt tokens of the request to be read
    double prompt_ms = 0;           // time to read them
    int64_t recomputed_tokens = 0;  // of these, tokens of shared prefixes
    double recompute_ms = 0;        // time to read them
    bool in_time = false;
    // By how much the pauses between events are expected to exceed the longest
    // that is in time, with this request running too.
    double pause_excess_ms = 0;
    // Enough slots are free to count as spare capacity.
    bool has_spare_slots = false;
  };
  // Ways to serve a request, in order of preference. "Elsewhere" is an engine
  // that does not have the request's prefix cached.
  enum class Preference {
    kInTime,       // where its prefix is cached, in time
    kTransferred,  // elsewhere, the prefix transferred by its holder, in time
    kRecomputed,   // elsewhere, the prefix recomputed, in time
    kLate,         // where its prefix is cached, but too late
  };
  // The part of a prompt's shared prefixes that a target has in its cache.
  struct CachedPrefix {
    TargetId target = 0;
    int64_t tokens = 0;
    Millis first_sent;  // when the target was first sent it
  };
  // Only a few, in no particular order.
  using CachedPrefixes = std::vector<CachedPrefix>;

  // Returns the targets that have a part of the prompt cached.
  auto FindCachedPrefixes(const WorkFacts& work, Millis now) const
      -> CachedPrefixes;
  // Returns the candidate of `version` that can transfer the most tokens of the
  // prompt; `target` is zero if there is none.
  static auto FindTransferSource(const Candidates::List& candidates,
                                 const CachedPrefixes& cached,
                                 VersionId version,
                                 Millis now) -> CachedPrefix;
  // Estimates `target` for the request if it has `cached_tokens` of the prompt
  // cached and `source` can transfer more; nothing if the target has no room.
  auto MakeEstimate(const QueuedRequest& request,
                    const PlacementTarget& target,
                    int64_t cached_tokens,
                    const CachedPrefix& source,
                    Millis now) const -> std::optional<Estimate>;
  // Whether a flow with that share may use the engine as `preference` says.
  static auto IsAcceptable(const Estimate& estimate,
                           Preference preference,
                           const FlowShare& share) -> bool;
  // Whether an engine with that queue has spare capacity for a flow with that
  // ratio.
  static auto IsSpareCapacity(double queue_ms,
                              bool has_spare_slots,
                              double fair_share_ratio) -> bool;
  auto HasSpareSlots(const PlacementTarget& target,
                     const TargetLoad& load) const -> bool;
  // Estimated time to read the prompt tokens that wait at an engine.
  auto QueueMs(const PlacementTarget& target,
               const TargetLoad& load,
               Millis now) const -> double;
  // Records that an event of a stream arrived, not its first one.
  void OnEvent(RequestId id, SentEstimate* request, Millis now);
  // Updates the model by `sums`, if they are of at least `min_gaps` gaps.
  void ObserveGaps(EngineModel::Engine engine,
                   bool reading,
                   int min_gaps,
                   Millis now,
                   GapSums* sums);

  // Returns the candidates, evaluated again if the last evaluation is too old.
  auto RefreshedCandidates(Millis now) const -> const Candidates&;
  // Whether slots, connections and memory of the target suffice for one more
  // request. `load` is the load to compare with its slots and memory.
  auto HasRoom(const QueuedRequest& request,
               const PlacementTarget& target,
               const TargetLoad& load) const -> bool;
  auto ChooseEngine(const QueuedRequest& request,
                    const Candidates::Permitted& permitted,
                    const FlowShare& share,
                    Millis now) const -> std::optional<Choice>;
  auto ChooseService(const QueuedRequest& request,
                     const Candidates::List& candidates,
                     Millis now) const -> std::optional<Choice>;
  // Adds the present loads of plain services to their averages.
  void RecordServiceLoads(Millis now);
  auto TransferTokensPerMs(PoolId pool) const -> double;

  std::string hall_;
  int box_count_ = 1;
  mutable Candidates candidates_;  // refreshed when a choice is made
  std::map<PoolId, PoolLimits> pools_;
  LoadTable loads_;
  PrefixLocations prefix_locations_;
  TargetHealth health_;
  StreamStallDetector stall_detector_;
  ColdTargets cold_targets_;
  TargetBackoff backoff_;
  ServiceChoice service_choice_;
  EngineModel engine_model_;
  SlowSpans slow_spans_;
  std::unordered_map<RequestId, SentEstimate> sent_estimates_;
  std::unordered_map<RequestId, SentCall> sent_calls_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_PLACEMENT_H_
