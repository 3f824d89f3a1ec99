// Chooses the target for a request: the one whose answer should begin first,
// weighing the work queued there, the part of the prompt that it holds in its
// cache already, and its health. Holds a request back rather than send it to
// a target that is full.
//
//   if (const auto choice = placement.Choose(request, permitted, now))
//     placement.Start(request, *choice, now);
//   placement.OnBytes(id, now); placement.Finish(id);
//
// Pure: all inputs and the time come from outside. Boxes tell each other
// loads and prefix homes (Word, Learn), so that they choose alike.
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
#include "sparbend/core/load_table.h"
#include "sparbend/core/prefix_locations.h"
#include "sparbend/core/queue.h"
#include "sparbend/core/service_choice.h"
#include "sparbend/core/stream_stall_detector.h"
#include "sparbend/core/target_backoff.h"
#include "sparbend/core/target_health.h"

namespace sparbend {

// What the configuration says of a pool's targets.
struct PoolLimits {
  int64_t memory_tokens = 0;  // of each engine; zero for plain services
  int connections = 0;        // to each target, of all boxes; zero: no limit
  // Cached tokens that engines hand to each other; zero: they can't.
  double moved_tokens_per_ms = 0;
  // Requests that a cold target bears, of all boxes; zero: none is ever cold.
  double cold_requests_per_s = 0;

  auto operator==(const PoolLimits&) const -> bool = default;
};

// Why a target was chosen; for the log and for judging the estimate later.
struct Choice {
  TargetId target = 0;
  Millis first_byte;            // expected time to the answer's first byte
  int64_t uncached_tokens = 0;  // of the prompt, to be read there
  int64_t queued_tokens = 0;    // to be read before it
  bool in_time = true;          // by that estimate
  double excess = 0;            // of its flow over its fair part
  // The engine that hands over its cached part of the prompt; zero: none.
  TargetId fetch_from = 0;

  auto operator==(const Choice&) const -> bool = default;
};

class Placement {
 public:
  using Permitted = Candidates::Permitted;

  explicit Placement(const std::string& hall)
      : hall_(hall), candidates_(hall) {}

  // What tells this box apart from others.
  void SetSeed(uint64_t seed) {
    candidates_.SetSeed(seed);
    backoff_.SetSeed(seed);
  }
  void SetTargets(std::vector<PlacementTarget> targets);
  void SetPools(std::map<PoolId, PoolLimits> pools);
  // The fleet's boxes, `self` among them, as the list has them.
  void SetBoxes(BoxId self, std::vector<BoxId> boxes) {
    cold_.SetBoxes(self, std::move(boxes));
  }
  // The target bears few requests until then, by its own word.
  void SetCold(TargetId target, Millis until) { cold_.SetCold(target, until); }
  // It may have started again, or turned cold, without a word of it yet.
  void SuspectCold(TargetId target, Millis now);
  // Boxes that share the connections to a target, this one included.
  void SetBoxCount(int boxes) { boxes_ = boxes; }

  // The best target that has room, or nothing: the request should wait. A
  // flow with `excess` of 1 or more, the times it had its fair part, may only
  // take what nobody else wants: targets with little to do, the less the
  // larger its excess.
  auto Choose(const QueuedRequest& request,
              const Permitted& permitted,
              double excess,
              Millis now) const -> std::optional<Choice>;
  // Whether any target of `pool` has capacity to spare for a flow with that
  // excess; when none has, Choose finds nothing for any of its requests.
  auto AnySpare(PoolId pool, double excess, Millis now) const -> bool;
  void Start(const QueuedRequest& request, const Choice& choice, Millis now);
  // Bytes of the request's answer came, the first or more.
  void OnBytes(RequestId id, Millis now);
  void Finish(RequestId id);
  // True if the target is left out from now on.
  auto OnOutcome(TargetId target, TargetOutcome outcome, Millis now) -> bool;
  void OnReachable(TargetId target, Millis now);
  // The target turned a request away and wants none from this box for `span`.
  void OnRetryAfter(TargetId target, Millis span, Millis now);
  auto backoff() -> TargetBackoff& { return backoff_; }
  auto backoff() const -> const TargetBackoff& { return backoff_; }
  // How long until the first target of `pool` in permitted halls wants requests
  // again, if none does now.
  auto AllBackOff(PoolId pool, const Permitted& permitted, Millis now) const
      -> std::optional<Millis>;
  // How long until a request now refused may find room.
  auto Relief(PoolId pool, Millis now) const -> Millis;

  // Forgets words of boxes that have been silent.
  void Expire(Millis now) { loads_.Expire(now); }
  // Drops the loads that boxes told.
  void ClearPeerReports() { loads_.ClearPeerReports(); }
  auto loads() const -> const LoadTable& { return loads_; }
  auto homes() const -> const PrefixLocations& { return homes_; }
  void UpdateFromPeer(BoxId from,
                      const std::vector<TargetLoad>& loads,
                      const std::vector<PrefixLocation>& homes,
                      Millis now);

 private:
  // Believed when a request was sent.
  struct Expected {
    EngineModel::Engine engine;
    double tokens = 0;   // to be read before its first byte
    bool begun = false;  // its answer has
  };

  // What is to be expected of one engine for one request.
  struct Judged {
    int64_t queued = 0;   // tokens to be read before it
    double queue_ms = 0;  // time that takes
    double first_byte_ms = 0;
    int64_t moved = 0;  // tokens handed over by another engine
    double move_ms = 0;
    int64_t uncached = 0;  // tokens to be read
    double own_ms = 0;     // time that takes
    int64_t reread = 0;    // of them, of shared prefixes
    double reread_ms = 0;  // time that takes
    bool in_time = false;
    bool half_empty = false;  // many of the engine's slots are free
  };
  // Ways to serve a request, the better first.
  enum class Resort {
    kInTime,     // where its prefix lives, in time
    kMoved,      // elsewhere, the prefix handed over by its home, in time
    kReadAgain,  // elsewhere, reading the prefix again, in time
    kLate,       // where its prefix lives, though late
  };
  // The beginning of a prompt that an engine holds already.
  struct HeldPrefix {
    TargetId target = 0;
    int64_t tokens = 0;
    Millis since;  // it was sent there
  };
  using Held = std::vector<HeldPrefix>;  // in no order; few

  auto HeldBy(const WorkFacts& work, Millis now) const -> Held;
  // The candidate that can hand over most of the prompt.
  static auto SourceOf(const Candidates::List& candidates,
                       const Held& held,
                       Millis now) -> HeldPrefix;
  auto Judge(const QueuedRequest& request,
             const PlacementTarget& target,
             int64_t held,
             const HeldPrefix& source,
             Millis now) const -> std::optional<Judged>;
  static auto MayTake(const Judged& judged, Resort resort, double excess)
      -> bool;
  static auto Spare(double queue_ms, bool half_empty, double excess) -> bool;
  static auto HalfEmpty(const PlacementTarget& target, const TargetLoad& load)
      -> bool;
  auto QueueMs(const PlacementTarget& target, const TargetLoad& load) const
      -> double;

  // The targets as they stand, looked at anew if that is due.
  auto Targets(Millis now) const -> const Candidates&;
  auto HasRoom(const QueuedRequest& request,
               const PlacementTarget& target,
               const TargetLoad& load) const -> bool;
  auto ChooseEngine(const QueuedRequest& request,
                    const Permitted& permitted,
                    double excess,
                    Millis now) const -> std::optional<Choice>;
  auto ChooseService(const QueuedRequest& request,
                     const Candidates::List& candidates) const
      -> std::optional<Choice>;
  // Takes the loads of plain services, as known now, into their means.
  void NoteServices(Millis now);
  auto MovedTokensPerMs(PoolId pool) const -> double;

  std::string hall_;
  int boxes_ = 1;
  mutable Candidates candidates_;  // refreshed when a choice is made
  std::map<PoolId, PoolLimits> pools_;
  LoadTable loads_;
  PrefixLocations homes_;
  TargetHealth health_;
  StreamStallDetector silence_;
  ColdTargets cold_;
  TargetBackoff backoff_;
  ServiceChoice services_;
  EngineModel model_;
  std::unordered_map<RequestId, Expected> expected_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_PLACEMENT_H_
