// Inputs only schedule a run of the node (ScheduleRun). One RunNode() then
// makes the decisions for all inputs that arrived until then. Without inputs
// the timer (Tick) runs the node.
#include "sparbend/services/scheduler.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <ctime>
#include <random>

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

constexpr int kClientLeftStatus = 499;
// The fleet aggregate arrives at least twice a second, so if it is older than
// this, none arrives any more.
constexpr Millis kStaleAggregateAge = Millis(1'500);
// Minimum time between two log lines about refused datagrams, since a box of
// another version sends many.
constexpr Millis kMinRefusalLogInterval = Millis(5'000);
// Overload expects an update about every 50 ms.
constexpr Millis kOverloadUpdateInterval = Millis(45);

auto WorkOf(std::optional<DatagramKind> kind) -> ControlWork {
  if (!kind)
    return ControlWork::kStreamOrigins;
  switch (*kind) {
    case DatagramKind::kLoadReport:
      return ControlWork::kLoadReport;
    case DatagramKind::kHallAggregate:
      return ControlWork::kHallAggregate;
    case DatagramKind::kFleetAggregate:
      return ControlWork::kFleetAggregate;
  }
  return ControlWork::kLoadReport;
}

auto OptionsFrom(const Settings& settings, uint32_t incarnation)
    -> NodeOptions {
  NodeOptions options;
  options.name = settings.name;
  options.hall = settings.hall;
  options.incarnation = incarnation;
  options.peer_key = settings.peer_key;
  options.policy = settings.policy;
  options.queue_limits = settings.queue;
  options.target_drain = settings.target_drain;
  options.target_ids_reused = settings.store_address.empty();
  options.schedules_returns = settings.schedules_returns;
  return options;
}

auto StoppingRefusal() -> Refusal {
  return {503, Verdict::kNotRun, "this box is stopping", kRetryAfterStopping};
}

}  // namespace

Scheduler::Scheduler(Kernel* kernel,
                     const Settings& settings,
                     uint32_t incarnation)
    : kernel_(kernel),
      node_(OptionsFrom(settings, incarnation)),
      configured_peer_address_(settings.peer_address),
      socket_(kernel->io()),
      timer_(kernel->io()),
      client_delay_(uint64_t{std::random_device()()} << 32) {
  const tcp::endpoint endpoint = *ParseAddress(configured_peer_address_);
  socket_.open(endpoint.address().is_v6() ? asio::ip::udp::v6()
                                          : asio::ip::udp::v4());
  socket_.bind({endpoint.address(), endpoint.port()});
  socket_.non_blocking(true);
}

auto Scheduler::peer_address() const -> std::string {
  const auto endpoint = socket_.local_endpoint();
  return FormatAddress({endpoint.address(), endpoint.port()});
}

void Scheduler::Start() {
  metrics_ = kernel_->Find<Metrics>("metrics");
  kernel_->Spawn("peers-receive", Receive());
  kernel_->SpawnForClients("scheduler-tick", Tick());
}

void Scheduler::Stop() {
  boost::system::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

// A probe consists of its number, which is shorter than any datagram of a peer.
auto Scheduler::IsOwnProbe(std::string_view datagram) -> bool {
  uint64_t probe = 0;
  if (datagram.size() != sizeof(probe))
    return false;
  std::memcpy(&probe, datagram.data(), sizeof(probe));
  if (!read_delay_.OnReturn(probe, kernel_->Now()))
    return false;
  asio::post(kernel_->client_executor(),
             [this, probe] { client_delay_.OnReturn(probe, kernel_->Now()); });
  return true;
}

auto Scheduler::Receive() -> asio::awaitable<void> {
  std::array<char, 2 * kMaxDatagramBytes> buffer;
  asio::ip::udp::endpoint from;
  while (socket_.is_open()) {
    const auto [error, size] =
        co_await socket_.async_receive_from(asio::buffer(buffer), from, kAwait);
    if (error == asio::error::operation_aborted)
      co_return;
    if (error)
      continue;
    if (IsOwnProbe({buffer.data(), size}))
      continue;
    const std::error_code refusal = Apply({buffer.data(), size});
    if (const std::optional<std::string> answer = node_.TakeAnswer())
      Send(*answer, from);
    if (refusal)
      OnDatagramRefused(refusal, from);
    else
      ScheduleRun();
  }
}

auto Scheduler::Apply(std::string_view datagram) -> std::error_code {
  ControlTimer timer(metrics_.get(), ControlWork::kLoadReport);
  const int64_t cpu_us_before = ThreadCpuMicros();
  const Millis now = kernel_->Now();
  const std::error_code refusal =
      node_.OnDatagram(datagram, now, read_delay_.Latest(now));
  timer.set_work(WorkOf(node_.last_datagram_kind()));
  for (const std::string& box : node_.TakeIntroduced())
    Log(LogLevel::kInfo, "box-introduced", {{"name", box}});
  metrics_->control_cpu_us.Increment(
      static_cast<double>(ThreadCpuMicros() - cpu_us_before));
  return refusal;
}

void Scheduler::OnDatagramRefused(const std::error_code& why,
                                  const asio::ip::udp::endpoint& from) {
  metrics_->peer_datagrams_refused.Increment();
  const Millis now = kernel_->Now();
  // Late and repeated datagrams (kRefused) are normal.
  if (why == Errc::kRefused ||
      now - datagram_refusal_logged_at_ < kMinRefusalLogInterval)
    return;
  datagram_refusal_logged_at_ = now;
  Log(LogLevel::kWarning, "datagram-refused",
      {{"from", FormatAddress({from.address(), from.port()})},
       {"why", why.message()}});
}

void Scheduler::UpdateFleetAggregateAge(Millis now) {
  const Millis age = node_.aggregate_age(now);
  metrics_->fleet_sum_age.Set(static_cast<double>(age.count()) / 1'000);
  const bool stale = age >= kStaleAggregateAge;
  if (stale == fleet_aggregate_stale_)
    return;
  fleet_aggregate_stale_ = stale;
  Log(LogLevel::kWarning, stale ? "fleet-sum-lost" : "fleet-sum-regained",
      {{"age_ms", age.count()}, {"boxes", node_.live_boxes()}});
}

// The next tick of the kernel, unless the node must run earlier.
auto Scheduler::NextTimerTime(Millis now) const -> Millis {
  return std::min(node_.NextWake(now), kernel_->NextTick(now + Millis(1)));
}

auto Scheduler::Tick() -> asio::awaitable<void> {
  while (socket_.is_open()) {
    const Millis now = kernel_->Now();
    const Millis delay = NextTimerTime(now) - now;
    timer_.expires_after(std::chrono::milliseconds(delay.count()));
    const auto [error] = co_await timer_.async_wait(kAwait);
    if (!socket_.is_open())
      co_return;
    UpdateOverload();
    UpdateFleetAggregateAge(kernel_->Now());
    RecordEndedBackoffs(kernel_->Now());
    UpdateReturnMetrics();
    RecordSlowEngines(kernel_->Now());
    metrics_->quarantined.Set(static_cast<double>(
        node_.quarantine().ListBlocked(kernel_->Now()).size()));
    if (!error)
      RunNode();
    FlushLog();
    metrics_->log_lines_dropped.Set(static_cast<double>(LogLinesDropped()));
  }
}

void Scheduler::UpdateOverload() {
  const Millis now = kernel_->Now();
  if (now - overload_updated_at_ < kOverloadUpdateInterval)
    return;
  overload_updated_at_ = now;
  if (const std::optional<uint64_t> probe = client_delay_.Next(now)) {
    read_delay_.OnSent(*probe, now);
    boost::system::error_code ignored;  // a lost probe is sent again
    socket_.send_to(asio::buffer(&*probe, sizeof(*probe)),
                    socket_.local_endpoint(ignored), 0, ignored);
  }
  metrics_->read_delay.Set(
      static_cast<double>(read_delay_.Latest(now).count()) / 1'000);
  const bool was_busy = overload_.busy();
  overload_.OnTick(client_delay_.Latest(now), now);
  if (overload_.busy() != was_busy)
    Log(LogLevel::kWarning, was_busy ? "overload-over" : "overloaded",
        {{"lag_ms", overload_.mean_delay().count()},
         {"queued", node_.ingress_scheduler().queues().total()},
         {"in_flight", node_.ingress_scheduler().in_flight()},
         {"control_ms", control_work_report_.Next(*metrics_)}});
}

void Scheduler::ScheduleRun() {
  if (run_scheduled_)
    return;
  run_scheduled_ = true;
  asio::post(kernel_->client_executor(), [this] { RunNode(); });
}

void Scheduler::ScheduleUrgentRun() {
  asio::post(kernel_->io(), [this] { RunNode(); });
}

void Scheduler::Send(const std::string& datagram,
                     const asio::ip::udp::endpoint& to) {
  boost::system::error_code ignored;
  socket_.send_to(asio::buffer(datagram), to, 0, ignored);
  metrics_->peer_datagrams_sent.Increment();
  metrics_->peer_bytes_sent.Increment(
      static_cast<double>(datagram.size() + kHeaderBytes));
}

void Scheduler::SendDatagrams(const std::vector<Effects::Outgoing>& datagrams) {
  const ControlTimer timer(metrics_.get(), ControlWork::kSend);
  for (const Effects::Outgoing& outgoing : datagrams) {
    if (const auto address = PeerEndpoint(outgoing.to))
      Send(outgoing.bytes, *address);
  }
}

auto Scheduler::PeerEndpoint(BoxId box)
    -> std::optional<asio::ip::udp::endpoint> {
  const BoxEntry* entry = node_.members().Find(box);
  if (entry == nullptr)
    return std::nullopt;
  const auto [known, missing] =
      peer_endpoints_.try_emplace(entry->peer_address);
  if (missing) {
    if (const auto address = ParseAddress(entry->peer_address))
      known->second = {address->address(), address->port()};
  }
  return known->second;
}

void Scheduler::SendOriginMessages() {
  SendDatagrams(node_.TakeOriginDatagrams());
}

auto Scheduler::Decide(Millis now) -> Effects {
  ControlTimer timer(metrics_.get(), ControlWork::kSchedule);
  Effects effects = node_.Run(now);
  if (!effects.datagrams.empty())
    timer.set_work(ControlWork::kReport);
  return effects;
}

void Scheduler::RunNode() {
  run_scheduled_ = false;
  const int64_t cpu_us_before = ThreadCpuMicros();
  const Millis now = kernel_->Now();
  const Millis previous_wake = node_.NextWake(now);
  Effects effects = Decide(now);
  SendDatagrams(effects.datagrams);
  HandleQuarantineChanges(now);
  for (const auto& [id, refusal] : effects.refusals)
    Complete(id, refusal);
  for (const Dispatch& dispatch : effects.dispatches)
    Complete(dispatch.request, MakeSlot(dispatch));
  if (node_.NextWake(now) < previous_wake)
    timer_.cancel();
  metrics_->queued.Set(
      static_cast<double>(node_.ingress_scheduler().queues().total()));
  metrics_->stream_origins.Set(static_cast<double>(node_.origins(now).size()));
  metrics_->live_boxes.Set(static_cast<double>(node_.live_boxes()));
  metrics_->in_flight.Set(
      static_cast<double>(node_.ingress_scheduler().in_flight()));
  metrics_->control_cpu_us.Increment(
      static_cast<double>(ThreadCpuMicros() - cpu_us_before));
}

auto Scheduler::TransferSourceOf(const Choice& choice) const
    -> std::optional<tcp::endpoint> {
  const TargetEntry* source = node_.FindTarget(choice.fetch_from);
  if (source == nullptr)
    return std::nullopt;
  const auto address = ParseAddress(source->address);
  return address ? std::optional(*address) : std::nullopt;
}

auto Scheduler::MakeSlot(const Dispatch& dispatch) -> SlotOrRefusal {
  const TargetEntry* entry = node_.FindTarget(dispatch.target);
  if (entry != nullptr) {
    if (const auto address = ParseAddress(entry->address))
      return Slot{dispatch.target, entry->name,
                  entry->hall,     *address,
                  entry->version,  TransferSourceOf(dispatch.choice),
                  dispatch.choice};
  }
  node_.ingress_scheduler().Finish(dispatch.request, 0);
  return Refusal{503, Verdict::kNotRun, "the chosen target is no longer listed",
                 Millis(1'000)};
}

void Scheduler::Complete(RequestId id, SlotOrRefusal outcome) {
  const auto found = waiters_.find(id);
  if (found == waiters_.end()) {
    // The request does not wait any more: the slot is returned unused.
    node_.ingress_scheduler().Finish(id, 0);
    return;
  }
  found->second->outcome = std::move(outcome);
  found->second->timer.cancel();
}

void Scheduler::BeginDrain(Millis end) {
  drain_ = DrainPlan(kernel_->Now(), end);
  RefuseUnservable();
}

void Scheduler::RefuseUnservable() {
  const Millis now = kernel_->Now();
  const auto is_retry = [this](RequestId id) {
    const auto waiter = waiters_.find(id);
    return waiter != waiters_.end() && waiter->second->retry;
  };
  const std::vector<RequestId> unservable = drain_->FindUnservable(
      node_.ingress_scheduler().queues(), answer_times_, is_retry, now);
  for (const RequestId id : unservable) {
    node_.ingress_scheduler().Cancel(id, now);
    Complete(id, StoppingRefusal());
  }
  if (!unservable.empty())
    Log(LogLevel::kInfo, "waiting-refused",
        {{"requests", unservable.size()},
         {"waiting", node_.ingress_scheduler().queues().total()},
         {"left_ms", (drain_->end() - now).count()}});
}

auto Scheduler::SendingWithin(Millis span) const -> Millis {
  if (!drain_)
    return span;
  return std::clamp(drain_->last_send() - kernel_->Now(), Millis(0), span);
}

auto Scheduler::CheckDrain(AnswerTimes::Kind kind) const
    -> std::optional<Refusal> {
  const Millis now = kernel_->Now();
  if (!drain_ || drain_->MayStart(answer_times_.Percentile90(kind, now), now))
    return std::nullopt;
  return StoppingRefusal();
}

auto Scheduler::Wait(RequestId id, bool retry)
    -> asio::awaitable<SlotOrRefusal> {
  const auto waiter = std::make_shared<Waiter>(kernel_->io());
  waiter->retry = retry;
  waiter->since = kernel_->Now();
  waiters_[id] = waiter;
  ScheduleRun();
  waiter->timer.expires_at(asio::steady_timer::time_point::max());
  while (!waiter->outcome)
    co_await waiter->timer.async_wait(kAwait);
  waiters_.erase(id);
  if (std::holds_alternative<Slot>(*waiter->outcome))
    metrics_->queue_seconds.Observe(
        static_cast<double>((kernel_->Now() - waiter->since).count()) / 1'000);
  co_return *waiter->outcome;
}

auto Scheduler::Acquire(QueuedRequest request)
    -> asio::awaitable<SlotOrRefusal> {
  if (const std::optional<Refusal> refusal =
          CheckDrain({request.flow.pool, request.route}))
    co_return *refusal;
  if (const std::optional<Dispatch> dispatch =
          node_.ingress_scheduler().TryStart(request, kernel_->Now())) {
    metrics_->queue_seconds.Observe(0);
    co_return MakeSlot(*dispatch);
  }
  if (const std::optional<Refusal> refusal = node_.Enqueue(request))
    co_return *refusal;
  co_return co_await Wait(request.id, /*retry=*/false);
}

auto Scheduler::AcquireAgain(RequestId id,
                             Millis until,
                             std::optional<VersionId> version)
    -> asio::awaitable<SlotOrRefusal> {
  if (sending_ended()) {
    Finish(id, 0);
    co_return StoppingRefusal();
  }
  node_.ingress_scheduler().Requeue(id, until, version);
  co_return co_await Wait(id, /*retry=*/true);
}

void Scheduler::Abandon(RequestId id) {
  if (node_.ingress_scheduler().Cancel(id, kernel_->Now()))
    Complete(id, Refusal{kClientLeftStatus, Verdict::kNotRun, "the client left",
                         Millis(0)});
}

void Scheduler::OnBytes(RequestId id) {
  node_.ingress_scheduler().OnBytes(id, kernel_->Now());
}

void Scheduler::OnOutcome(TargetId target, TargetOutcome outcome) {
  if (!node_.ingress_scheduler().placement().OnOutcome(target, outcome,
                                                       kernel_->Now()))
    return;
  metrics_->ejections.Increment();
  const TargetEntry* entry = node_.FindTarget(target);
  Log(LogLevel::kWarning, "target-ejected",
      {{"target", entry == nullptr ? "" : entry->name},
       {"outcome", ToString(outcome)}});
}

void Scheduler::OnReachable(TargetId target) {
  node_.ingress_scheduler().placement().OnReachable(target, kernel_->Now());
  const TargetEntry* entry = node_.FindTarget(target);
  Log(LogLevel::kInfo, "target-reachable",
      {{"target", entry == nullptr ? "" : entry->name}});
  ScheduleRun();
}

void Scheduler::Progress(RequestId id, int64_t tokens) {
  node_.ingress_scheduler().Progress(id, tokens);
}

void Scheduler::Finish(RequestId id, int64_t tokens) {
  node_.ingress_scheduler().Finish(id, tokens);
  metrics_->tokens.Increment(static_cast<double>(tokens));
  // A slot that may be retained stays for the next request, and peers get to
  // know of the change with the next datagram. So a run is not needed at once
  // unless requests are queued or slots must be returned.
  if (node_.ingress_scheduler().queues().total() != 0 ||
      !node_.ingress_scheduler().RetainsAllFreeSlots())
    ScheduleRun();
}

void Scheduler::SetList(const MemberList& list) {
  node_.SetList(list, kernel_->Now());
  peer_endpoints_.clear();
  ScheduleRun();
}

void Scheduler::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  node_.SetCatalog(std::move(catalog));
  ScheduleUrgentRun();
}

void Scheduler::SetEvacuatedHalls(const std::set<std::string>& halls) {
  node_.SetEvacuatedHalls(halls, kernel_->Now());
  metrics_->evacuated_halls.Set(static_cast<double>(halls.size()));
  ScheduleUrgentRun();
}

void Scheduler::SetConfigPosition(LogPosition position, int64_t version) {
  node_.SetConfigPosition(position, version);
  metrics_->config_offset.Set(static_cast<double>(position.offset));
  ScheduleUrgentRun();
}

void Scheduler::OnTargetLeaving(TargetId target) {
  if (!node_.OnTargetLeaving(target))
    return;
  const TargetEntry* entry = node_.FindTarget(target);
  Log(LogLevel::kInfo, "target-leaving",
      {{"target", entry == nullptr ? "" : entry->name},
       {"told_by", "its answer"}});
  ScheduleUrgentRun();
}

void Scheduler::OnTargetExit(const std::vector<SentSuspect>& suspects) {
  node_.OnTargetExit(suspects, kernel_->Now());
  ScheduleRun();
}

auto Scheduler::OnAttemptSent(const std::vector<Fingerprint>& request)
    -> std::vector<SentSuspect> {
  std::vector<SentSuspect> sent = node_.OnAttemptSent(request, kernel_->Now());
  const bool trial = std::ranges::any_of(sent, [](const SentSuspect& suspect) {
    return suspect.version.trials > 0;
  });
  if (trial)
    ScheduleRun();
  return sent;
}

auto Scheduler::LiftQuarantine(WorkspaceId workspace) -> size_t {
  const size_t released = node_.quarantine().Lift(workspace, kernel_->Now());
  Log(LogLevel::kInfo, "quarantine-lifted",
      {{"workspace", workspace}, {"requests", released}});
  ScheduleRun();
  return released;
}

void Scheduler::HandleQuarantineChanges(Millis now) {
  Quarantine& quarantine = node_.quarantine();
  for (const Quarantine::Blocked& blocked : quarantine.TakeNewlyBlocked(now))
    Log(LogLevel::kWarning, "request-quarantined",
        {{"fingerprint", ToString(blocked.suspect)},
         {"kind", IsPart(blocked.suspect) ? "part" : "request"},
         {"ends", blocked.ends},
         {"for_ms", blocked.span.count()}});
  if (quarantine.TakePersistedRowsChanged() && on_persisted_rows_changed_)
    on_persisted_rows_changed_();
}

void Scheduler::OnRetryAfter(TargetId target, Millis span) {
  node_.ingress_scheduler().placement().OnRetryAfter(target, span,
                                                     kernel_->Now());
  ScheduleRun();
}

// The log lines show whether requests still reached a target after it had asked
// for none.
void Scheduler::RecordEndedBackoffs(Millis now) {
  for (const TargetBackoff::Ended& ended :
       node_.ingress_scheduler().placement().backoff().TakeEndedBackoffs(now)) {
    const TargetEntry* entry = node_.FindTarget(ended.target);
    Log(LogLevel::kInfo, "target-backoff-ended",
        {{"target", entry == nullptr ? "" : entry->name},
         {"asked_ms", ended.asked.count()},
         {"refusals", ended.refusals},
         {"last_refusal_ms", ended.last_refusal.count()}});
    metrics_->backoff_last_refusal_seconds.Observe(
        static_cast<double>(ended.last_refusal.count()) / 1'000);
  }
}

void Scheduler::UpdateReturnMetrics() {
  const ReturnSchedule::Counts counts =
      node_.ingress_scheduler().return_schedule().counts();
  const auto add = [](prometheus::Counter* counter, int64_t count) {
    counter->Increment(static_cast<double>(count));
  };
  add(&metrics_->returns_assigned, counts.assigned - counted_returns_.assigned);
  add(&metrics_->returns_on_time, counts.on_time - counted_returns_.on_time);
  add(&metrics_->returns_early, counts.early - counted_returns_.early);
  add(&metrics_->no_return_in_time,
      counts.no_return_in_time - counted_returns_.no_return_in_time);
  counted_returns_ = counts;
}

void Scheduler::RecordSlowEngines(Millis now) {
  SlowSpans& spans = node_.ingress_scheduler().placement().slow_spans();
  spans.Expire(now);
  for (const SlowSpans::Change& change : spans.TakeChanges()) {
    const TargetEntry* entry = node_.FindTarget(change.target);
    constexpr double kPercent = 100;
    Log(LogLevel::kInfo, change.slow ? "engine-slow" : "engine-slow-over",
        {{"target", entry == nullptr ? "" : entry->name},
         {"slowness_percent", std::llround(change.factor * kPercent)},
         {"for_ms", change.duration.count()}});
  }
  metrics_->slow_engines.Set(static_cast<double>(spans.count()));
}

void Scheduler::OnTargetLoad(TargetId target, int running) {
  node_.ingress_scheduler().OnLoad(target, running);
}

void Scheduler::Leave() {
  node_.Leave();
  ScheduleRun();
}

}  // namespace sparbend
