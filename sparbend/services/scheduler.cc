// Inputs only mark that there is something to decide (Poke); one pass of
// RunNode then decides for all of them together. The timer runs it when
// nothing else does.
#include "sparbend/services/scheduler.h"

#include <cstring>
#include <ctime>
#include <random>

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

constexpr int kCallerLeft = 499;
// A fleet's sum comes twice a second at least; one older than this tells that
// none comes.
constexpr Millis kSumStale = Millis(1'500);
// A datagram that is refused is logged this often at most: a box of another
// version sends many.
constexpr Millis kRefusedLogInterval = Millis(5'000);
// As often as Overload wants to be told.
constexpr Millis kLoadInterval = Millis(45);

auto ThreadCpuMicros() -> int64_t {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return int64_t{now.tv_sec} * 1'000'000 + now.tv_nsec / 1'000;
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
  return options;
}

}  // namespace

Scheduler::Scheduler(Kernel* kernel,
                     const Settings& settings,
                     uint32_t incarnation)
    : kernel_(kernel),
      node_(OptionsFrom(settings, incarnation)),
      address_(settings.peer_address),
      socket_(kernel->io()),
      tick_(kernel->io()),
      loop_delay_(uint64_t{std::random_device()()} << 32) {
  const tcp::endpoint endpoint = *ParseAddress(address_);
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
  kernel_->Spawn("scheduler-tick", Tick());
}

void Scheduler::Stop() {
  boost::system::error_code ignored;
  socket_.close(ignored);
  tick_.cancel();
}

// A probe is told by its number, which is too short for a peer's datagram.
auto Scheduler::IsOwnProbe(std::string_view datagram) -> bool {
  uint64_t probe = 0;
  if (datagram.size() != sizeof(probe))
    return false;
  std::memcpy(&probe, datagram.data(), sizeof(probe));
  return loop_delay_.OnReturn(probe, kernel_->Now());
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
    const int64_t before = ThreadCpuMicros();
    const Millis now = kernel_->Now();
    const std::error_code refused =
        node_.OnDatagram({buffer.data(), size}, now, loop_delay_.Latest(now));
    metrics_->control_cpu_us.Increment(
        static_cast<double>(ThreadCpuMicros() - before));
    if (refused)
      OnRefused(refused, from);
    else
      Poke();
  }
}

void Scheduler::OnRefused(const std::error_code& why,
                          const asio::ip::udp::endpoint& from) {
  metrics_->peer_datagrams_refused.Increment();
  const Millis now = kernel_->Now();
  // Late and repeated ones are usual.
  if (why == Errc::kRefused || now - refused_logged_ < kRefusedLogInterval)
    return;
  refused_logged_ = now;
  Log(LogLevel::kWarning, "datagram-refused",
      {{"from", FormatAddress({from.address(), from.port()})},
       {"why", why.message()}});
}

void Scheduler::NoteSumAge(Millis now) {
  const Millis age = node_.aggregate_age(now);
  metrics_->fleet_sum_age.Set(static_cast<double>(age.count()) / 1'000);
  const bool stale = age >= kSumStale;
  if (stale == sum_stale_)
    return;
  sum_stale_ = stale;
  Log(LogLevel::kWarning, stale ? "fleet-sum-lost" : "fleet-sum-regained",
      {{"age_ms", age.count()}, {"boxes", node_.live_boxes()}});
}

// At a tick, unless something is due before that.
auto Scheduler::WakeAfter(Millis now) const -> Millis {
  return std::min(node_.NextWake(now), kernel_->NextTick(now + Millis(1)));
}

auto Scheduler::Tick() -> asio::awaitable<void> {
  while (socket_.is_open()) {
    const Millis now = kernel_->Now();
    const Millis span = WakeAfter(now) - now;
    tick_.expires_after(std::chrono::milliseconds(span.count()));
    const auto [error] = co_await tick_.async_wait(kAwait);
    if (!socket_.is_open())
      co_return;
    NoteLoad();
    NoteSumAge(kernel_->Now());
    NoteBackoff(kernel_->Now());
    metrics_->quarantined.Set(static_cast<double>(
        node_.quarantine().ListBlocked(kernel_->Now()).size()));
    if (!error)
      RunNode();
    FlushLog();
    metrics_->log_lines_dropped.Set(static_cast<double>(LogLinesDropped()));
  }
}

void Scheduler::NoteLoad() {
  const Millis now = kernel_->Now();
  if (now - load_noted_ < kLoadInterval)
    return;
  load_noted_ = now;
  if (const std::optional<uint64_t> probe = loop_delay_.Next(now)) {
    boost::system::error_code ignored;  // one lost is sent again
    socket_.send_to(asio::buffer(&*probe, sizeof(*probe)),
                    socket_.local_endpoint(ignored), 0, ignored);
  }
  const bool before = overload_.busy();
  overload_.OnTick(loop_delay_.Latest(now), now);
  if (overload_.busy() != before)
    Log(LogLevel::kWarning, before ? "overload-over" : "overloaded",
        {{"lag_ms", overload_.mean_delay().count()},
         {"queued", node_.ingress_scheduler().queues().total()},
         {"in_flight", node_.ingress_scheduler().in_flight()}});
}

void Scheduler::Poke() {
  if (poked_)
    return;
  poked_ = true;
  asio::post(kernel_->io(), [this] { RunNode(); });
}

void Scheduler::RunNode() {
  poked_ = false;
  const int64_t before = ThreadCpuMicros();
  const Millis now = kernel_->Now();
  const Millis wake_before = node_.NextWake(now);
  Effects effects = node_.Run(now);
  for (const Effects::Outgoing& outgoing : effects.datagrams) {
    const auto address = addresses_.find(outgoing.to);
    if (address == addresses_.end())
      continue;
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(outgoing.bytes), address->second, 0, ignored);
    metrics_->peer_datagrams_sent.Increment();
    metrics_->peer_bytes_sent.Increment(
        static_cast<double>(outgoing.bytes.size() + kHeaderBytes));
  }
  NoteQuarantine(now);
  for (const auto& [id, refusal] : effects.refusals)
    Settle(id, refusal);
  for (const Dispatch& dispatch : effects.dispatches)
    Settle(dispatch.request, SlotFor(dispatch));
  if (node_.NextWake(now) < wake_before)
    tick_.cancel();
  metrics_->queued.Set(
      static_cast<double>(node_.ingress_scheduler().queues().total()));
  metrics_->live_boxes.Set(static_cast<double>(node_.live_boxes()));
  metrics_->in_flight.Set(
      static_cast<double>(node_.ingress_scheduler().in_flight()));
  metrics_->control_cpu_us.Increment(
      static_cast<double>(ThreadCpuMicros() - before));
}

auto Scheduler::SourceOf(const Choice& choice) const
    -> std::optional<tcp::endpoint> {
  const TargetEntry* source = node_.FindTarget(choice.fetch_from);
  if (source == nullptr)
    return std::nullopt;
  const auto address = ParseAddress(source->address);
  return address ? std::optional(*address) : std::nullopt;
}

auto Scheduler::SlotFor(const Dispatch& dispatch) -> SlotOrRefusal {
  const TargetEntry* entry = node_.FindTarget(dispatch.target);
  if (entry != nullptr) {
    if (const auto address = ParseAddress(entry->address))
      return Slot{
          dispatch.target,           entry->name,    entry->hall, *address,
          SourceOf(dispatch.choice), dispatch.choice};
  }
  node_.ingress_scheduler().Finish(dispatch.request, 0);
  return Refusal{503, Verdict::kNotRun, "the target left the list",
                 Millis(1'000)};
}

void Scheduler::Settle(RequestId id, SlotOrRefusal outcome) {
  const auto found = waiters_.find(id);
  if (found == waiters_.end()) {
    // Nobody waits any more: the slot goes back unused.
    node_.ingress_scheduler().Finish(id, 0);
    return;
  }
  found->second->outcome = std::move(outcome);
  found->second->timer.cancel();
}

auto Scheduler::Wait(RequestId id) -> asio::awaitable<SlotOrRefusal> {
  const auto waiter = std::make_shared<Waiter>(kernel_->io());
  waiter->since = kernel_->Now();
  waiters_[id] = waiter;
  Poke();
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
  if (const std::optional<Dispatch> dispatch =
          node_.ingress_scheduler().TryStart(request, kernel_->Now())) {
    metrics_->queue_seconds.Observe(0);
    co_return SlotFor(*dispatch);
  }
  if (const std::optional<Refusal> refusal = node_.Enqueue(request))
    co_return *refusal;
  co_return co_await Wait(request.id);
}

auto Scheduler::AcquireAgain(RequestId id, Millis until)
    -> asio::awaitable<SlotOrRefusal> {
  node_.ingress_scheduler().Requeue(id, until);
  co_return co_await Wait(id);
}

void Scheduler::Abandon(RequestId id) {
  if (node_.ingress_scheduler().Cancel(id))
    Settle(id, Refusal{kCallerLeft, Verdict::kNotRun, "the caller left",
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
  Poke();
}

void Scheduler::Progress(RequestId id, int64_t tokens) {
  node_.ingress_scheduler().Progress(id, tokens);
}

void Scheduler::Finish(RequestId id, int64_t tokens) {
  node_.ingress_scheduler().Finish(id, tokens);
  metrics_->tokens.Increment(static_cast<double>(tokens));
  // A slot that may be kept waits for the next request; telling can wait for
  // the next datagram.
  if (node_.ingress_scheduler().queues().total() != 0 ||
      !node_.ingress_scheduler().RetainsAllFreeSlots())
    Poke();
}

void Scheduler::SetList(const MemberList& list) {
  node_.SetList(list, kernel_->Now());
  addresses_.clear();
  for (const BoxEntry& box : list.boxes) {
    if (const auto address = ParseAddress(box.peer_address))
      addresses_[BoxIdOf(box.name)] = {address->address(), address->port()};
  }
  Poke();
}

void Scheduler::SetCatalog(std::shared_ptr<const Catalog> catalog,
                           int64_t offset) {
  node_.SetCatalog(std::move(catalog));
  SetConfigOffset(offset);
}

void Scheduler::SetEvacuatedHalls(const std::set<std::string>& halls,
                                  int64_t offset) {
  node_.SetEvacuatedHalls(halls, kernel_->Now());
  metrics_->evacuated_halls.Set(static_cast<double>(halls.size()));
  SetConfigOffset(offset);
}

void Scheduler::SetConfigOffset(int64_t offset) {
  node_.SetConfigOffset(offset);
  metrics_->config_offset.Set(static_cast<double>(offset));
  Poke();
}

void Scheduler::OnTargetLeaving(TargetId target) {
  if (!node_.OnTargetLeaving(target))
    return;
  const TargetEntry* entry = node_.FindTarget(target);
  Log(LogLevel::kInfo, "target-leaving",
      {{"target", entry == nullptr ? "" : entry->name},
       {"told_by", "its answer"}});
  Poke();
}

void Scheduler::OnTargetExit(const Fingerprint& request,
                             SuspicionVersion stamp) {
  node_.OnTargetExit(request, stamp, kernel_->Now());
  Poke();
}

auto Scheduler::LiftQuarantine(WorkspaceId workspace) -> size_t {
  const size_t lifted = node_.quarantine().Lift(workspace, kernel_->Now());
  Log(LogLevel::kInfo, "quarantine-lifted",
      {{"workspace", workspace}, {"requests", lifted}});
  Poke();
  return lifted;
}

void Scheduler::NoteQuarantine(Millis now) {
  Quarantine& quarantine = node_.quarantine();
  for (const Quarantine::Blocked& blocked : quarantine.TakeNewlyBlocked(now))
    Log(LogLevel::kWarning, "request-quarantined",
        {{"fingerprint", ToString(blocked.request)},
         {"ends", blocked.ends},
         {"for_ms", blocked.span.count()}});
  if (quarantine.TakePersistedRowsChanged() && on_kept_changed_)
    on_kept_changed_();
}

void Scheduler::OnRetryAfter(TargetId target, Millis span) {
  node_.ingress_scheduler().placement().OnRetryAfter(target, span,
                                                     kernel_->Now());
  Poke();
}

// The lines show whether requests went on after a target had asked for none.
void Scheduler::NoteBackoff(Millis now) {
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

void Scheduler::OnTargetLoad(TargetId target, int running) {
  node_.ingress_scheduler().OnLoad(target, running);
}

void Scheduler::Leave() {
  node_.Leave();
  Poke();
}

}  // namespace sparbend
