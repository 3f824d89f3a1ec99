// The service "scheduler": drives the pure Node with sockets and time. It
// owns the datagram socket to the other boxes and wakes the coroutines that
// wait for a slot.
#ifndef SPARBEND_SERVICES_SCHEDULER_H_
#define SPARBEND_SERVICES_SCHEDULER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "sparbend/core/loop_delay.h"
#include "sparbend/core/node.h"
#include "sparbend/core/overload.h"
#include "sparbend/kernel/http.h"
#include "sparbend/kernel/kernel.h"
#include "sparbend/kernel/settings.h"
#include "sparbend/services/metrics.h"

namespace sparbend {

// A place at a target for one request.
struct Slot {
  TargetId id = 0;
  std::string target;
  std::string hall;
  tcp::endpoint address;
  // Another target that hands over its cached part of the prompt first.
  std::optional<tcp::endpoint> fetch_from;
  Choice choice;  // why, under Policy::kShared
};

using SlotOrRefusal = std::variant<Slot, Refusal>;

class Scheduler : public Service {
 public:
  Scheduler(Kernel* kernel, const Settings& settings, uint32_t incarnation);

  void Start() override;
  void Stop() override;

  // Waits for a slot. Ends with a refusal when there will be none, or the
  // caller left (Abandon).
  auto Acquire(QueuedRequest request) -> asio::awaitable<SlotOrRefusal>;
  // The attempt at the acquired slot is to be made again: waits for another
  // one, until `until` at most.
  auto AcquireAgain(RequestId id, Millis until)
      -> asio::awaitable<SlotOrRefusal>;
  // The caller of a waiting request left.
  void Abandon(RequestId id);
  void OnBytes(RequestId id);
  // A target that was left out for want of a connection takes one again.
  void OnReachable(TargetId target);
  void Progress(RequestId id, int64_t tokens);
  // What an attempt says of its target's health.
  void OnOutcome(TargetId target, TargetOutcome outcome);
  // Every acquired slot must be finished exactly once.
  void Finish(RequestId id, int64_t tokens);

  void SetList(const MemberList& list);
  void SetCatalog(std::shared_ptr<const Catalog> catalog, int64_t offset);
  // The halls that are to be empty; what operators wrote is known to `offset`.
  void SetEvacuatedHalls(const std::set<std::string>& halls, int64_t offset);
  void OnTargetLeaving(TargetId target);
  // A request sent at `stamp` was at a target when that ended.
  void OnTargetExit(const Fingerprint& request, SuspicionVersion stamp);
  // Called when what this box is to write down of the quarantine may have
  // changed.
  void SetOnKeptChanged(std::function<void()> on_kept_changed) {
    on_kept_changed_ = std::move(on_kept_changed);
  }
  // Operators let the held requests of a workspace go; how many there were.
  auto LiftQuarantine(WorkspaceId workspace) -> size_t;
  // The target turned a request away and wants none from this box for `span`.
  void OnRetryAfter(TargetId target, Millis span);
  void OnTargetLoad(TargetId target, int running);
  void Leave();

  auto node() -> Node& { return node_; }
  // Whether this box keeps up with its work.
  auto overload() const -> const Overload& { return overload_; }
  // Address of the datagram socket once started.
  auto peer_address() const -> std::string;

 private:
  struct Waiter {
    explicit Waiter(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    std::optional<SlotOrRefusal> outcome;
    Millis since;
  };

  auto Wait(RequestId id) -> asio::awaitable<SlotOrRefusal>;
  auto Receive() -> asio::awaitable<void>;
  auto Tick() -> asio::awaitable<void>;
  auto WakeAfter(Millis now) const -> Millis;
  void NoteLoad();
  void OnRefused(const std::error_code& why,
                 const asio::ip::udp::endpoint& from);
  void NoteSumAge(Millis now);
  void NoteQuarantine(Millis now);
  void NoteBackoff(Millis now);
  void SetConfigOffset(int64_t offset);
  auto IsOwnProbe(std::string_view datagram) -> bool;
  void Poke();
  void RunNode();
  void Settle(RequestId id, SlotOrRefusal outcome);
  auto SlotFor(const Dispatch& dispatch) -> SlotOrRefusal;
  // The address of the target that hands over a part of the prompt, if any.
  auto SourceOf(const Choice& choice) const -> std::optional<tcp::endpoint>;

  Kernel* kernel_;
  Node node_;
  std::string address_;
  asio::ip::udp::socket socket_;
  asio::steady_timer tick_;
  bool poked_ = false;
  Overload overload_;
  LoopDelay loop_delay_;
  bool sum_stale_ = false;
  Millis refused_logged_;
  Millis load_noted_;
  std::shared_ptr<Metrics> metrics_;
  std::function<void()> on_kept_changed_;
  std::map<RequestId, std::shared_ptr<Waiter>> waiters_;
  std::map<BoxId, asio::ip::udp::endpoint> addresses_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_SCHEDULER_H_
