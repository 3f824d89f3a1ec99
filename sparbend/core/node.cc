// One pass of Run: refreshes the view of targets if the membership changed;
// expires requests; assigns requests to slots; exchanges messages with the
// allocator of this box (the same messages as with peers, but not encoded),
// which grants slots; assigns requests to the slots that were granted; and
// composes the datagrams for peers.
//
// Except under kShared, a peer is sent a datagram when a change frees or asks
// for capacity (after kFlushDelay, so that changes that occur together are sent
// together), else when it was sent none for kHeartbeatInterval. Other changes
// are added to a datagram up to a limit. Every kFullReportInterval all entries
// are sent again, which makes up for lost datagrams.
#include "sparbend/core/node.h"

#include <algorithm>
#include <utility>

namespace sparbend {
namespace {

constexpr Millis kFlushDelay = Millis(2);
constexpr Millis kHeartbeatInterval = Millis(500);
constexpr Millis kFullReportInterval = Millis(2'000);
// Far longer than a leaving target continues to serve without a record.
constexpr Millis kLeavingRetention = Millis(3'600'000);
// Between immediate sends of first suspicions.
constexpr Millis kMinSuspicionInterval = Millis(1'000);
constexpr Millis kTickInterval = Millis(50);
// A store reader hears from the store at least each 600 ms, and that is
// reported within 250 ms besides the time that aggregates take.
constexpr Millis kMaxConfirmationAge = Millis(900);
// When the configuration is unconfirmed, each box waits this much longer than
// the one before it: time to read the store and to inform the hall. All boxes
// of a hall have had their turn after kMaxTurnWait, so that a change is active
// within two seconds even if most of them are down.
constexpr Millis kTurnInterval = Millis(100);
constexpr Millis kMaxTurnWait = Millis(600);
// From the decision to send a request to its arrival at the target.
constexpr Millis kMaxSendDelay = Millis(300);
// How long a box that starts waits for the reports of others, some of which may
// be down: longer than the interval of load reports, and than the two steps by
// which a report comes through aggregates.
constexpr Millis kMaxAcquaintanceTime = Millis(800);
// Ages of the store's answers are sent up to this one: no receiver needs to
// tell larger ones apart.
constexpr Millis kMaxStatedAge = Millis(60'000);
// Most entries of a section in one datagram.
constexpr size_t kServicesPerFlush = 3;
constexpr size_t kServicesPerFullReport = 16;
constexpr size_t kServiceOffsetsPerDatagram = 4;
constexpr size_t kResentServicesPerFullReport = 2;
constexpr size_t kUpdatesPerFullReport = 2;

auto ToValues(const std::vector<std::pair<Flow, int64_t>>& entries)
    -> std::vector<FlowValue> {
  std::vector<FlowValue> values;
  for (const auto& [flow, value] : entries)
    values.push_back({flow, value});
  return values;
}

}  // namespace

Node::Node(NodeOptions options)
    : options_(std::move(options)),
      members_(options_.name, options_.incarnation),
      service_counters_(members_.self()),
      ingress_(&service_counters_,
               options_.policy,
               options_.queue_limits,
               options_.hall),
      slot_allocator_(
          &service_counters_,
          [this](Flow flow, const std::string& hall) {
            return ingress_.Permitted(flow, hall);
          },
          static_cast<uint32_t>(
              StableHash(options_.name + std::to_string(options_.incarnation)) &
              0xffff)),
      load_report_exchange_(options_.name, options_.hall, &members_, &ingress_),
      origins_(&members_, options_.hall),
      leaving_targets_(options_.target_ids_reused ? Millis(0)
                                                  : kLeavingRetention) {
  ingress_.placement().SetSeed(members_.self());
  ingress_.SetSchedulesReturns(options_.schedules_returns);
}

void Node::SetList(const MemberList& platform_list, Millis now) {
  if (platform_list.version <= members_.list().version)
    return;
  introductions_.OnList(
      platform_list, [&](BoxId box) { return members_.MayBeLive(box, now); });
  MemberList list = platform_list;
  for (const auto& [id, introduced] : introductions_.unlisted()) {
    std::erase_if(list.boxes, [&](const BoxEntry& box) {
      return box.name == introduced.name;
    });
    list.boxes.push_back(introduced);
  }
  members_.SetList(list, now);
  if (!first_list_at_)
    first_list_at_ = now;
  targets_.clear();
  pools_.clear();
  for (const TargetEntry& target : list.targets) {
    targets_[IdOf(target)] = target;
    if (!pools_.contains(target.pool))
      pools_[target.pool] = PoolIdOf(target.pool);
  }
  leaving_targets_.SetListed(
      [this](TargetId id) { return targets_.contains(id); }, now);
  RefreshBoxes();
  if (!first_peer_at_ && !peers_.empty())
    first_peer_at_ = now;
  targets_changed_ = true;
  possible_origins_changed_ = true;
  RefreshTargets(now);
  for (const auto& [id, target] : targets_) {
    if (target.cold_left > Millis(0))
      ingress_.placement().SetCold(id, now + target.cold_left);
  }
}

void Node::RefreshBoxes() {
  std::erase_if(peers_, [&](const auto& peer) {
    return members_.Find(peer.first) == nullptr;
  });
  std::vector<BoxId> boxes;
  for (const BoxEntry& box : members_.list().boxes) {
    const BoxId id = BoxIdOf(box.name);
    boxes.push_back(id);
    if (id != members_.self())
      peers_.try_emplace(id);
  }
  ingress_.placement().SetBoxes(members_.self(), std::move(boxes));
}

void Node::PutBox(const BoxEntry& box, Millis now) {
  members_.PutBox(box, now);
  RefreshBoxes();
  // In a small fleet the box is sent all reports now. In a large one it gets
  // the next fleet aggregate.
  if (report_lag() == Millis(0))
    RequestImmediateSend(ImmediateSend::kFleet);
}

auto Node::OnIntroduction(std::string_view bytes, Millis now)
    -> std::error_code {
  const Result<IntroductionMessage> message =
      DecodeIntroduction(bytes, options_.peer_key);
  if (!message)
    return message.error().code;
  const BoxEntry& sender = message->sender;
  const BoxId id = BoxIdOf(sender.name);
  if (id == members_.self())
    return Errc::kRefused;
  if (message->kind == IntroductionKind::kConfirmation) {
    introductions_.OnConfirmed(id);
    return {};
  }
  const auto peer = peers_.find(id);
  if (peer != peers_.end() && message->incarnation < peer->second.incarnation)
    return Errc::kRefused;
  const BoxEntry* listed = members_.Find(id);
  if (listed == nullptr || !(*listed == sender)) {
    if (!introductions_.Add(sender))
      return Errc::kRefused;
    PutBox(sender, now);
    introduced_.push_back(sender.name);
  }
  BoxEntry self;
  self.name = options_.name;
  answer_ = EncodeIntroduction(
      {IntroductionKind::kConfirmation, self, options_.incarnation},
      options_.peer_key);
  return {};
}

void Node::AppendIntroductions(Millis now, Effects* effects) {
  if (!introductions_.self())
    return;
  std::vector<BoxId> boxes;
  for (const auto& [box, peer] : peers_)
    boxes.push_back(box);
  const std::vector<BoxId> due = introductions_.TakeDue(boxes, now);
  if (due.empty())
    return;
  const std::string bytes =
      EncodeIntroduction({IntroductionKind::kIntroduction,
                          *introductions_.self(), options_.incarnation},
                         options_.peer_key);
  for (const BoxId box : due)
    effects->datagrams.push_back({box, bytes});
}

auto Node::IsAcquainted(Millis now) const -> bool {
  const auto has_waited_since = [now](const std::optional<Millis>& time) {
    return time && now - *time >= kMaxAcquaintanceTime;
  };
  if (options_.policy != Policy::kShared)
    return true;
  if (peers_.empty())
    return origins_.past_known() || has_waited_since(first_list_at_);
  if (has_waited_since(first_peer_at_))
    return true;
  if (report_lag() > Millis(0) && load_report_exchange_.box_count() <= 1)
    return false;
  std::vector<BoxId> boxes;
  for (const auto& [box, peer] : peers_) {
    if (report_lag() == Millis(0) && peer.incarnation == 0)
      return false;
    boxes.push_back(box);
  }
  return introductions_.AllConfirmed(boxes);
}

void Node::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  catalog_ = catalog;
  possible_origins_changed_ = true;
  ingress_.SetCatalog(std::move(catalog));
}

void Node::RefreshPossibleOrigins(Millis now) {
  if (!std::exchange(possible_origins_changed_, false))
    return;
  origins_.SetPossibleOrigins(
      ListOrigins(catalog_->routes(), members_.list().targets), now);
  std::erase_if(past_origins_, [&](const auto& past) {
    return now - past.second > kOriginRetention;
  });
  // Kept for a catalog that comes after the records of boxes.
  origins_.AddPastOrigins(catalog_->routes(), past_origins_, now);
}

void Node::AddPastOrigins(const PastOrigins& past) {
  for (const auto& [origin, last] : past) {
    const auto [entry, added] = past_origins_.try_emplace(origin, last);
    entry->second = std::max(entry->second, last);
  }
  possible_origins_changed_ = true;
}

// Successive messages are often the same one for several boxes, which is
// encoded once.
auto Node::TakeOriginDatagrams() -> std::vector<Effects::Outgoing> {
  const std::vector<OriginExchange::Outgoing> messages =
      origins_.TakeOutgoing();
  std::vector<Effects::Outgoing> datagrams;
  for (size_t i = 0; i < messages.size(); ++i) {
    const auto& [to, message] = messages[i];
    const bool same = i > 0 && message == messages[i - 1].message;
    datagrams.push_back(
        {to, same ? datagrams.back().bytes
                  : EncodeOriginMessage(message, options_.peer_key)});
  }
  return datagrams;
}

auto Node::OnOriginMessage(std::string_view bytes, Millis now)
    -> std::error_code {
  const Result<OriginMessage> message =
      DecodeOriginMessage(bytes, options_.peer_key);
  if (!message)
    return message.error().code;
  if (const auto answer = origins(now).OnMessage(*message, now))
    answer_ = EncodeOriginMessage(*answer, options_.peer_key);
  return {};
}

void Node::SetConfigPosition(LogPosition position, int64_t version) {
  const bool is_newest = position > HighestConfigPosition().first;
  config_position_ = position;
  config_version_ = version;
  pending_changes_.OnUsed(position);
  if (is_newest)
    RequestImmediateSend(ImmediateSend::kFleet);
}

auto Node::ConfirmationAge(Millis now) const -> Millis {
  return config_confirmed_at_ ? now - *config_confirmed_at_ : kMaxStatedAge;
}

auto Node::MaxConfirmationAge() const -> Millis {
  return kMaxConfirmationAge + report_lag();
}

void Node::OnConfigConfirmed(Millis at) {
  if (config_confirmed_at_ && *config_confirmed_at_ >= at)
    return;
  // Boxes whose turn comes next need not read the store.
  if (ConfirmationAge(at) > MaxConfirmationAge())
    RequestImmediateSend(ImmediateSend::kHall);
  config_confirmed_at_ = at;
}

auto Node::IsConfigUnconfirmed(Millis now) const -> bool {
  return ConfirmationAge(now) > MaxConfirmationAge();
}

auto Node::IsConfigReadDue(Millis now) const -> bool {
  if (!IsConfigUnconfirmed(now))
    return false;
  const std::optional<size_t> rank = StoreReaderRank(now);
  // A box that is not listed yet has no turn.
  if (!rank)
    return true;
  const auto boxes =
      static_cast<int64_t>(members_.OtherBoxesOf(options_.hall).size() + 1);
  const int64_t wait_ms =
      std::min(kTurnInterval.count() * static_cast<int64_t>(*rank),
               kMaxTurnWait.count() * static_cast<int64_t>(*rank) / boxes);
  return ConfirmationAge(now) > MaxConfirmationAge() + Millis(wait_ms);
}

void Node::RequestImmediateSend(ImmediateSend scope) {
  immediate_send_ = std::max(immediate_send_, scope);
  for (auto& [box, peer] : peers_)
    peer.immediate = true;
}

auto Node::AddLeaving(TargetId target) -> bool {
  const bool is_new = leaving_targets_.Add(target) && targets_.contains(target);
  targets_changed_ = targets_changed_ || is_new;
  return is_new;
}

auto Node::OnTargetLeaving(TargetId target) -> bool {
  const bool is_new = AddLeaving(target);
  if (is_new)
    RequestImmediateSend(ImmediateSend::kFleet);
  return is_new;
}

void Node::OnStoreEra(int64_t era, Millis now) {
  if (era <= store_era_)
    return;
  if (store_era_ > 0)
    store_availability_.OnReturned(now);
  store_era_ = era;
}

void Node::SetStoreReachable(bool reachable) {
  if (reachable == store_reachable_)
    return;
  store_reachable_ = reachable;
  RequestImmediateSend(ImmediateSend::kHall);
}

void Node::OnStoreAnswered(Millis now) {
  store_availability_.OnAnswered(now);
  SetStoreReachable(true);
}

void Node::OnStoreFailed(Millis sent) {
  store_availability_.OnFailed(sent);
  SetStoreReachable(false);
}

void Node::ApplyStoreAvailability(const Datagram& datagram, Millis now) {
  if (datagram.store_since_ms == UINT32_MAX ||
      datagram.store_until_ms > datagram.store_since_ms)
    return;
  store_availability_.OnPeerSpan({now - Millis(datagram.store_since_ms),
                                  now - Millis(datagram.store_until_ms)});
}

// A store without a record at or after a peer's position had none at or after a
// higher one of the same era.
void Node::ApplyConfirmation(const Datagram& datagram, Millis sent) {
  if (datagram.confirmation_age_ms == UINT32_MAX ||
      datagram.config_position.era != config_position_.era ||
      datagram.config_position > config_position_)
    return;
  const Millis confirmed_at = sent - Millis(datagram.confirmation_age_ms);
  if (!config_confirmed_at_ || *config_confirmed_at_ < confirmed_at)
    config_confirmed_at_ = confirmed_at;
}

void Node::AddStoreAvailability(Datagram* datagram, Millis now) const {
  const std::optional<AnsweredSpan>& span = store_availability_.span();
  if (!span || now - span->until > kMaxStatedAge)
    return;
  const auto age = [&](Millis at) {
    const Millis bounded = std::clamp(now - at, Millis(0), kMaxStatedAge);
    return static_cast<uint32_t>(bounded.count());
  };
  datagram->store_since_ms = age(span->since);
  datagram->store_until_ms = age(span->until);
}

// A box from which no datagram was received counts as eligible: it may just
// have started.
auto Node::StoreReaderRank(Millis now) const -> std::optional<size_t> {
  return members_.RoleRank(kStoreReaderRole, now, [this](BoxId box) {
    const auto peer = peers_.find(box);
    return peer == peers_.end() || peer->second.incarnation == 0 ||
           peer->second.directory_read_at.has_value();
  });
}

auto Node::IsStoreReader(Millis now) const -> bool {
  return store_reachable_ && StoreReaderRank(now) == 0;
}

void Node::SetEvacuatedHalls(std::set<std::string> halls, Millis now) {
  if (halls == evacuated_halls_)
    return;
  const std::set<std::string> before =
      std::exchange(evacuated_halls_, std::move(halls));
  targets_changed_ = true;
  RefreshTargets(now);
  // The targets of a hall that is used again may have turned cold meanwhile.
  for (const auto& [id, target] : targets_) {
    if (before.contains(target.hall) && !evacuated_halls_.contains(target.hall))
      ingress_.placement().SuspectCold(id, now);
  }
}

// A rack failure or a network cut makes many requests suspect at once, but none
// of them twice. So a first suspicion waits for the next periodic datagram if
// another was sent shortly before, and always in a large fleet, where all boxes
// would send to all others at once.
void Node::OnTargetExit(const std::vector<SentSuspect>& suspects, Millis now) {
  bool raised = false;
  bool repeated = false;
  for (const SentSuspect& sent : suspects) {
    if (!quarantine_.OnEnded(sent.suspect, sent.version, now))
      continue;
    raised = true;
    repeated = repeated || sent.version.ends > 0;
  }
  const bool large_fleet = report_lag() > Millis(0);
  if (!raised || (!repeated && (large_fleet || now - suspicion_sent_at_ <
                                                   kMinSuspicionInterval)))
    return;
  suspicion_sent_at_ = now;
  RequestImmediateSend(ImmediateSend::kFleet);
}

auto Node::OnAttemptSent(const std::vector<Fingerprint>& request, Millis now)
    -> std::vector<SentSuspect> {
  if (quarantine_.StartTrials(request, now))
    RequestImmediateSend(ImmediateSend::kFleet);
  return quarantine_.VersionsOf(request);
}

void Node::Leave() {
  members_.LeaveSelf();
  targets_changed_ = true;
  RequestImmediateSend(ImmediateSend::kHall);
}

auto Node::Enqueue(const QueuedRequest& request) -> std::optional<Refusal> {
  return ingress_.Enqueue(request);
}

auto Node::FindTarget(TargetId target) const -> const TargetEntry* {
  const auto found = targets_.find(target);
  return found == targets_.end() ? nullptr : &found->second;
}

auto Node::IsTargetLeaving(TargetId target) const -> bool {
  return FindTarget(target) == nullptr || HasAnnouncedLeaving(target);
}

auto Node::HasAnnouncedLeaving(TargetId target) const -> bool {
  const TargetEntry* entry = FindTarget(target);
  return (entry != nullptr && entry->leaving) ||
         leaving_targets_.Contains(target);
}

void Node::RefreshTargets(Millis now) {
  if (!targets_changed_ && now - liveness_checked_at_ < kTickInterval)
    return;
  liveness_checked_at_ = now;
  std::vector<BoxId> live = members_.LiveBoxes(now);
  if (live == live_ && !targets_changed_)
    return;
  live_ = std::move(live);
  ingress_.SetBoxCount(std::max<int>(1, static_cast<int>(live_boxes())));
  // Under kShared targets have no allocator, so the set of live boxes does not
  // matter for them.
  if (options_.policy == Policy::kShared && !targets_changed_)
    return;
  targets_changed_ = false;
  std::vector<IngressScheduler::TargetAssignment> assignments;
  std::vector<TargetView> assigned;
  for (const auto& [id, target] : targets_) {
    const bool closed =
        IsTargetLeaving(id) || evacuated_halls_.contains(target.hall);
    const TargetView view = {id,
                             target.name,
                             target.hall,
                             pools_.at(target.pool),
                             target.slots,
                             closed,
                             VersionIdOf(target.version)};
    // Not computed under kShared, which has no allocators: it takes O(targets *
    // boxes) each time that a box comes or goes.
    std::optional<BoxId> allocator;
    if (options_.policy != Policy::kShared)
      allocator = members_.AllocatorOf(id, target.hall, now);
    assignments.push_back({view, allocator});
    if (allocator == members_.self())
      assigned.push_back(view);
  }
  ingress_.SetTargets(assignments);
  slot_allocator_.SetLiveBoxes({live_.begin(), live_.end()});
  slot_allocator_.SetAssignedTargets(assigned, now);
}

auto Node::IsListOutOfDate(Millis now) const -> bool {
  return options_.target_drain > Millis(0) && directory_read_at_ &&
         now - *directory_read_at_ > options_.target_drain - kMaxSendDelay &&
         store_availability_.AnsweredSince(*directory_read_at_);
}

auto Node::OnDatagram(std::string_view bytes, Millis now, Millis queue_delay)
    -> std::error_code {
  last_datagram_kind_.reset();
  if (IsOriginMessage(bytes))
    return OnOriginMessage(bytes, now);
  if (IsIntroduction(bytes))
    return OnIntroduction(bytes, now);
  const Result<Datagram> datagram = DecodeDatagram(bytes, options_.peer_key);
  if (!datagram)
    return datagram.error().code;
  last_datagram_kind_ = datagram->kind;
  const auto found = peers_.find(datagram->sender);
  if (found == peers_.end())
    return Errc::kRefused;
  Peer& peer = found->second;
  if (datagram->incarnation < peer.incarnation)
    return Errc::kRefused;
  if (datagram->incarnation > peer.incarnation) {
    peer.incarnation = datagram->incarnation;
    peer.last_sequence_received = 0;
    peer.service_cursor.Reset();
    peer.service_offset_cursor.Reset();
    slot_allocator_.OnRestart(datagram->sender);
    ingress_.OnRestart(datagram->sender);
    load_report_exchange_.OnRestart(datagram->sender);
  }
  // The parts of a load report or aggregate have the same sequence number;
  // AggregateAssembler drops repeated parts.
  const bool has_parts = datagram->aggregate_header.parts > 1;
  if (datagram->sequence < peer.last_sequence_received ||
      (datagram->sequence == peer.last_sequence_received && !has_parts))
    return Errc::kRefused;
  peer.last_sequence_received = datagram->sequence;
  peer.config_position =
      std::max(peer.config_position, datagram->config_position);
  peer.config_version = datagram->config_version;
  pending_changes_.OnReported(peer.config_position, now - queue_delay);
  OnStoreEra(datagram->config_position.era, now);
  ApplyConfirmation(*datagram, now - queue_delay);
  peer.directory_digest = datagram->directory_digest;
  if (datagram->directory_age_ms == UINT32_MAX)
    peer.directory_read_at.reset();
  else
    peer.directory_read_at =
        now - queue_delay - Millis(datagram->directory_age_ms);
  ApplyStoreAvailability(*datagram, now - queue_delay);
  ApplyDatagram(*datagram, now);
  return options_.policy == Policy::kShared
             ? load_report_exchange_.OnDatagram(*datagram, now)
             : std::error_code();
}

void Node::ApplyDatagram(const Datagram& datagram, Millis now) {
  const BoxId from = datagram.sender;
  service_counters_.Advance(now);
  members_.OnMemberUpdate(
      {from, datagram.incarnation, datagram.heartbeat, datagram.leaving}, now);
  for (const MemberUpdate& update : datagram.members)
    members_.OnMemberUpdate(update, now);
  // The box that found a target to be leaving sent that to all boxes
  // immediately. This box passes it on only with its next periodic datagram,
  // for boxes that the finder does not reach. If all boxes passed it on
  // immediately, each target would cost O(boxes^2) datagrams; when a quarter
  // of the targets of a large fleet were replaced, that overloaded boxes for
  // seconds.
  for (const TargetId target : datagram.leaving_targets)
    AddLeaving(target);
  quarantine_.UpdateFromPeer(datagram.suspicions, now);
  RefreshTargets(now);
  if (options_.policy != Policy::kShared) {
    for (const FlowValue& service : datagram.services)
      service_counters_.UpdateFromPeer(from, service.flow, service.value);
  }
  for (const FlowValue& service_offset : datagram.service_offsets)
    service_counters_.RaiseServiceOffset(service_offset.flow,
                                         service_offset.value);
  for (const LeaseReport& report : datagram.lease_reports)
    slot_allocator_.OnReport(from, report);
  for (const Demand& demand : datagram.demands)
    slot_allocator_.OnDemand(from, demand, now);
  ingress_.RenewLeases(from, now);
  ingress_.OnSlotKeepLimits(from, datagram.slot_keep_limits);
  for (const LeaseNotice& lease : datagram.leases)
    ingress_.OnNotice(from, lease, now);
}

void Node::RunOwnAllocator(Millis now) {
  const BoxId self = members_.self();
  for (const LeaseReport& report : ingress_.Reports(self, false))
    slot_allocator_.OnReport(self, report);
  for (const Demand& demand : ingress_.Demands(self, false))
    slot_allocator_.OnDemand(self, demand, now);
  slot_allocator_.Run(now);
  ingress_.RenewLeases(self, now);
  ingress_.OnSlotKeepLimits(self, slot_allocator_.SlotKeepLimits());
  for (const LeaseNotice& lease : slot_allocator_.Notices(self, false))
    ingress_.OnNotice(self, lease, now);
}

auto Node::Run(Millis now) -> Effects {
  Effects effects;
  service_counters_.Advance(now);
  RefreshTargets(now);
  RefreshPossibleOrigins(now);
  if (now - last_heartbeat_ >= kHeartbeatInterval) {
    last_heartbeat_ = now;
    ++heartbeat_;
  }
  for (const RequestId id : ingress_.TakeExpired(now))
    effects.refusals.emplace_back(
        id,
        Refusal{503, Verdict::kNotRun,
                "no capacity within the maximum wait time of this workspace",
                Millis(1'000)});
  for (auto& refusal : ingress_.TakeShed(now))
    effects.refusals.push_back(std::move(refusal));
  for (auto& refusal : ingress_.TakeUnservable(now))
    effects.refusals.push_back(std::move(refusal));
  effects.dispatches = ingress_.Schedule(now);
  if (options_.policy != Policy::kIndependent &&
      options_.policy != Policy::kShared) {
    ingress_.UpdateDemand(now);
    RunOwnAllocator(now);
    const std::vector<Dispatch> after_grants = ingress_.Schedule(now);
    if (!after_grants.empty())
      ingress_.UpdateDemand(now);
    effects.dispatches.insert(effects.dispatches.end(), after_grants.begin(),
                              after_grants.end());
  }
  SendToPeers(now, &effects);
  AppendIntroductions(now, &effects);
  origins_.SendCollected(now);
  for (Effects::Outgoing& datagram : TakeOriginDatagrams())
    effects.datagrams.push_back(std::move(datagram));
  return effects;
}

// All receivers of a message get the same bytes: to encode them for each
// receiver would take O(boxes^2) in the fleet.
void Node::SendLoadReports(Millis now, Effects* effects) {
  const ImmediateSend scope =
      std::exchange(immediate_send_, ImmediateSend::kNone);
  for (const LoadReportExchange::Message& message :
       load_report_exchange_.DueMessages(MakeHeader(now), scope, now)) {
    const std::string bytes =
        EncodeDatagram(message.datagram, options_.peer_key);
    for (const BoxId box : message.to)
      effects->datagrams.push_back({box, bytes});
  }
}

void Node::SendToPeers(Millis now, Effects* effects) {
  if (options_.policy == Policy::kShared) {
    SendLoadReports(now, effects);
    return;
  }
  for (auto& [box, peer] : peers_) {
    const bool immediate = peer.immediate || ingress_.NeedsImmediateSend(box) ||
                           slot_allocator_.NeedsImmediateSend(box);
    if (immediate && peer.immediate_since == Millis(0))
      peer.immediate_since = now;
    const bool flush = immediate && now - peer.immediate_since >= kFlushDelay;
    if (!flush && now - peer.last_sent_at < kHeartbeatInterval)
      continue;
    const bool full = now - peer.last_full_at >= kFullReportInterval;
    const Datagram datagram = MakeDatagram(box, &peer, full, now);
    effects->datagrams.push_back(
        {box, EncodeDatagram(datagram, options_.peer_key)});
    peer.last_sent_at = now;
    if (full)
      peer.last_full_at = now;
    peer.immediate_since = Millis(0);
    peer.immediate = false;
  }
}

auto Node::MakeHeader(Millis now) -> Datagram {
  Datagram datagram;
  datagram.sender = members_.self();
  datagram.incarnation = members_.incarnation();
  datagram.heartbeat = heartbeat_;
  datagram.leaving = members_.leaving();
  datagram.config_position = config_position_;
  datagram.config_version = config_version_;
  if (config_confirmed_at_)
    datagram.confirmation_age_ms = static_cast<uint32_t>(std::clamp<int64_t>(
        (now - *config_confirmed_at_).count(), 0, UINT32_MAX - 1));
  datagram.directory_digest = directory_digest_;
  // Without an age of the list, peers know that this box does not reach the
  // store.
  if (directory_read_at_ && store_reachable_)
    datagram.directory_age_ms = static_cast<uint32_t>(std::clamp<int64_t>(
        (now - *directory_read_at_).count(), 0, UINT32_MAX - 1));
  AddStoreAvailability(&datagram, now);
  datagram.leaving_targets = leaving_targets_.Listed();
  datagram.suspicions = quarantine_.RowsToReport(now);
  return datagram;
}

auto Node::MakeDatagram(BoxId to, Peer* peer, bool full, Millis now)
    -> Datagram {
  Datagram datagram = MakeHeader(now);
  datagram.sequence = ++peer->last_sequence_sent;
  if (options_.policy == Policy::kIndependent)
    return datagram;
  datagram.leases = slot_allocator_.Notices(to, full);
  datagram.slot_keep_limits = slot_allocator_.SlotKeepLimits();
  datagram.lease_reports = ingress_.Reports(to, full);
  datagram.demands = ingress_.Demands(to, full);
  const size_t resent = full ? kResentServicesPerFullReport : 0;
  datagram.services = ToValues(peer->service_cursor.Next(
      service_counters_.own(),
      full ? kServicesPerFullReport : kServicesPerFlush, resent));
  datagram.service_offsets = ToValues(peer->service_offset_cursor.Next(
      service_counters_.service_offsets(), kServiceOffsetsPerDatagram,
      full ? 1 : 0));
  if (full)
    datagram.members = members_.NextUpdates(kUpdatesPerFullReport);
  return datagram;
}

auto Node::NextWake(Millis now) const -> Millis {
  Millis wake = now + kTickInterval;
  if (options_.policy == Policy::kShared)
    return wake;
  for (const auto& [box, peer] : peers_) {
    if (peer.immediate_since != Millis(0))
      wake = std::min(wake, peer.immediate_since + kFlushDelay);
  }
  return std::max(wake, now + Millis(1));
}

void Node::SetDirectory(uint32_t digest, Millis read_at) {
  // No immediate send if a peer of this hall has reported the same list. Halls
  // are independent here, since each reads the store for itself.
  const bool is_new = digest != directory_digest_ &&
                      std::ranges::none_of(peers_, [&](const auto& peer) {
                        const BoxEntry* box = members_.Find(peer.first);
                        return peer.second.directory_digest == digest &&
                               box != nullptr && box->hall == options_.hall;
                      });
  directory_digest_ = digest;
  directory_read_at_ = read_at;
  if (is_new)
    RequestImmediateSend(ImmediateSend::kHall);
}

auto Node::FreshestDirectory(Millis max_age, Millis now) const
    -> std::optional<PeerDirectory> {
  std::optional<PeerDirectory> freshest;
  bool local_found = false;
  for (const auto& [box, peer] : peers_) {
    if (!peer.directory_read_at || !members_.IsLive(box, now))
      continue;
    const BoxEntry* entry = members_.Find(box);
    const bool local = entry != nullptr && entry->hall == options_.hall &&
                       now - *peer.directory_read_at <= max_age;
    if (local_found && !local)
      continue;
    if (!freshest || local != local_found ||
        *peer.directory_read_at > freshest->read_at)
      freshest =
          PeerDirectory{box, peer.directory_digest, *peer.directory_read_at};
    local_found = local_found || local;
  }
  return freshest;
}

auto Node::HighestConfigPosition() const -> std::pair<LogPosition, BoxId> {
  std::pair<LogPosition, BoxId> highest = {config_position_, members_.self()};
  for (const auto& [box, peer] : peers_)
    highest = std::max(highest, {peer.config_position, box});
  return highest;
}

auto Node::HighestConfigVersion(Millis now) const -> int64_t {
  int64_t highest = config_version_;
  for (const auto& [box, peer] : peers_) {
    if (members_.IsLive(box, now))
      highest = std::max(highest, peer.config_version);
  }
  return highest;
}

auto Node::ConfigSource(const std::set<BoxId>& excluded, Millis now) const
    -> std::optional<BoxId> {
  using Rank = std::tuple<LogPosition, int64_t, bool, uint64_t>;
  std::optional<std::pair<Rank, BoxId>> best;
  for (const auto& [box, peer] : peers_) {
    const bool is_ahead = peer.config_position > config_position_ ||
                          peer.config_version > config_version_;
    if (!is_ahead || excluded.contains(box) || !members_.IsLive(box, now))
      continue;
    const BoxEntry* entry = members_.Find(box);
    const bool local = entry != nullptr && entry->hall == options_.hall;
    const uint64_t preference =
        StableHash(options_.name + "/" + std::to_string(box));
    const Rank rank{peer.config_position, peer.config_version, local,
                    preference};
    best = std::max(best, std::optional(std::pair(rank, box)));
  }
  return best ? std::optional(best->second) : std::nullopt;
}

auto Node::ConfigPositionOf(BoxId box) const -> LogPosition {
  if (box == members_.self())
    return config_position_;
  const auto found = peers_.find(box);
  return found == peers_.end() ? LogPosition() : found->second.config_position;
}

}  // namespace sparbend
