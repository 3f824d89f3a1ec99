// The service "scheduler": connects the Node (the scheduling logic of this box,
// which does no I/O) to a socket and a clock. It owns the datagram socket for
// the exchange with other boxes, and resumes the coroutines that wait for a
// slot.
//
//   SlotOrRefusal outcome = co_await scheduler->Acquire(request);
//   if (const Slot* slot = std::get_if<Slot>(&outcome)) {
//     ...  // send the request to slot->address
//     scheduler->Finish(request.id, tokens);
//   }
#ifndef SPARBEND_SERVICES_SCHEDULER_H_
#define SPARBEND_SERVICES_SCHEDULER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "sparbend/core/answer_times.h"
#include "sparbend/core/drain_plan.h"
#include "sparbend/core/loop_delay.h"
#include "sparbend/core/node.h"
#include "sparbend/core/overload.h"
#include "sparbend/kernel/http.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/control_timer.h"
#include "sparbend/services/metrics.h"

namespace sparbend {

// Permission to send one request to a target.
struct Slot {
  TargetId id = 0;
  std::string target;
  std::string hall;
  tcp::endpoint address;
  std::string version;  // of the target's software
  // Address of another target, which transfers its cached prefix of the prompt
  // to this target before the request is executed; none if nothing is
  // transferred.
  std::optional<tcp::endpoint> fetch_from;
  // Estimates behind the choice of the target; set only under Policy::kShared.
  Choice choice;
};

// Stated to clients whose requests a box refuses because it stops.
inline constexpr Millis kRetryAfterStopping = Millis(50);

using SlotOrRefusal = std::variant<Slot, Refusal>;

class Scheduler : public Service {
 public:
  Scheduler(Kernel* kernel, const Settings& settings, uint32_t incarnation);

  void Start() override;
  void Stop() override;

  // Begins a planned stop that ends at `end`, or brings its end forward. From
  // now on requests are refused that can't be completed before.
  void BeginDrain(Millis end);
  // Refuses the waiting requests that can't be completed before the stop ends.
  // To be called often while this box drains.
  void RefuseUnservable();
  // Nothing: this box is not stopping.
  auto drain() const -> const std::optional<DrainPlan>& { return drain_; }
  // Whether nothing is sent to targets any more, since this box stops.
  auto sending_ended() const -> bool {
    return drain_ && kernel_->Now() >= drain_->last_send();
  }
  // The part of `span` in which this box still sends to targets. No request may
  // wait for longer before it is sent.
  auto SendingWithin(Millis span) const -> Millis;
  // Returns the refusal of a first attempt that could not be completed before
  // this box stops.
  auto CheckDrain(AnswerTimes::Kind kind) const -> std::optional<Refusal>;
  // How long targets take to answer.
  auto answer_times() -> AnswerTimes& { return answer_times_; }

  // Waits for a slot. Returns a refusal if there will be none, or if the client
  // left (Abandon).
  auto Acquire(QueuedRequest request) -> asio::awaitable<SlotOrRefusal>;
  // Returns the request's slot after a failed attempt and waits for a slot to
  // retry it, of another target if possible, and of `version` if that is set.
  // Waits until the later of `until` and the request's own expiry.
  auto AcquireAgain(RequestId id,
                    Millis until,
                    std::optional<VersionId> version)
      -> asio::awaitable<SlotOrRefusal>;
  // The client of a waiting request left.
  void Abandon(RequestId id);
  // Bytes of the request's response arrived.
  void OnBytes(RequestId id);
  // A target that was excluded because it accepted no connection accepts
  // connections again.
  void OnReachable(TargetId target);
  // The request has received `tokens` of service so far.
  void Progress(RequestId id, int64_t tokens);
  // Records what the outcome of an attempt shows of its target's health.
  void OnOutcome(TargetId target, TargetOutcome outcome);
  // Returns the request's slot after `tokens` of service. Must be called
  // exactly once for each acquired slot, except one that AcquireAgain has
  // returned.
  void Finish(RequestId id, int64_t tokens);

  void SetList(const MemberList& list);
  void SetCatalog(std::shared_ptr<const Catalog> catalog);
  // Sets all halls in which no new work may start.
  void SetEvacuatedHalls(const std::set<std::string>& halls);
  // Reports to peers the position of the first configuration record that this
  // box does not use yet, and the version of the configuration that it uses;
  // zero: its versions are positions.
  void SetConfigPosition(LogPosition position, int64_t version);
  // A response of the target said that it is leaving.
  void OnTargetLeaving(TargetId target);
  // A target exited while it executed an attempt with these suspects.
  void OnTargetExit(const std::vector<SentSuspect>& suspects);
  // An attempt at a request with these fingerprints is sent. Returns their
  // versions.
  auto OnAttemptSent(const std::vector<Fingerprint>& request)
      -> std::vector<SentSuspect>;
  // Sets a function to call when the quarantine rows that this box must persist
  // may have changed.
  void SetOnPersistedRowsChanged(
      std::function<void()> on_persisted_rows_changed) {
    on_persisted_rows_changed_ = std::move(on_persisted_rows_changed);
  }
  // Releases the quarantined requests of a workspace, by command of an
  // operator. Returns their number.
  auto LiftQuarantine(WorkspaceId workspace) -> size_t;
  // The target rejected a request and asked this box to send none for `span`.
  void OnRetryAfter(TargetId target, Millis span);
  // The target reported that it executes `running` requests.
  void OnTargetLoad(TargetId target, int running);
  // This box leaves the fleet; reports it to the others.
  void Leave();
  // Sends the pending messages on origins of streams at once.
  void SendOriginMessages();

  auto node() -> Node& { return node_; }
  // How overloaded this box is.
  auto overload() const -> const Overload& { return overload_; }
  // How long datagrams of peers wait until this box reads them. What they say
  // is that much older.
  auto ReadDelay(Millis now) const -> Millis { return read_delay_.Latest(now); }
  // Address of the datagram socket.
  auto peer_address() const -> std::string;

 private:
  // A coroutine that waits for a slot.
  struct Waiter {
    explicit Waiter(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    std::optional<SlotOrRefusal> outcome;
    Millis since;  // start of the wait
    bool retry = false;
  };

  auto Wait(RequestId id, bool retry) -> asio::awaitable<SlotOrRefusal>;
  auto Receive() -> asio::awaitable<void>;
  auto Tick() -> asio::awaitable<void>;
  // When the timer is to run next.
  auto NextTimerTime(Millis now) const -> Millis;
  // At most once per kOverloadUpdateInterval: updates the overload state, and
  // sends a loop delay probe to this box itself unless one is in flight.
  void UpdateOverload();
  auto Apply(std::string_view datagram) -> std::error_code;
  void OnDatagramRefused(const std::error_code& why,
                         const asio::ip::udp::endpoint& from);
  void UpdateFleetAggregateAge(Millis now);
  void HandleQuarantineChanges(Millis now);
  void RecordEndedBackoffs(Millis now);
  void UpdateReturnMetrics();
  // Logs and counts the engines that are slow.
  void RecordSlowEngines(Millis now);
  // Whether the datagram is this box's own loop delay probe.
  auto IsOwnProbe(std::string_view datagram) -> bool;
  // Makes the event loop call RunNode() as work for clients.
  void ScheduleRun();
  // The same as control work, for changes that other boxes must receive at
  // once.
  void ScheduleUrgentRun();
  void Send(const std::string& datagram, const asio::ip::udp::endpoint& to);
  // Where `box` receives datagrams; nothing if that is not known.
  auto PeerEndpoint(BoxId box) -> std::optional<asio::ip::udp::endpoint>;
  void SendDatagrams(const std::vector<Effects::Outgoing>& datagrams);
  // Has the node decide, sends its datagrams and resumes waiting coroutines.
  void RunNode();
  auto Decide(Millis now) -> Effects;
  // Resumes the coroutine that waits for the request's slot. If none waits any
  // more, returns the slot unused.
  void Complete(RequestId id, SlotOrRefusal outcome);
  auto MakeSlot(const Dispatch& dispatch) -> SlotOrRefusal;
  // Address of the target that transfers a cached prefix, if any.
  auto TransferSourceOf(const Choice& choice) const
      -> std::optional<tcp::endpoint>;

  Kernel* kernel_;
  Node node_;
  std::string configured_peer_address_;
  asio::ip::udp::socket socket_;
  asio::steady_timer timer_;
  bool run_scheduled_ = false;
  Overload overload_;
  ControlWorkReport control_work_report_;
  LoopDelay client_delay_;  // until work for clients runs
  LoopDelay read_delay_;    // until datagrams of peers are read
  bool fleet_aggregate_stale_ = false;
  Millis datagram_refusal_logged_at_;
  Millis overload_updated_at_;
  std::shared_ptr<Metrics> metrics_;
  ReturnSchedule::Counts counted_returns_;  // already in the metrics
  std::function<void()> on_persisted_rows_changed_;
  std::map<RequestId, std::shared_ptr<Waiter>> waiters_;
  AnswerTimes answer_times_;
  std::optional<DrainPlan> drain_;
  // By address as it is listed; nothing: not a valid one. Cleared with each new
  // list.
  std::map<std::string, std::optional<asio::ip::udp::endpoint>> peer_endpoints_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_SCHEDULER_H_
