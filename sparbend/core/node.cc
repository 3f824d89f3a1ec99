// One pass of Run: refresh the view of targets if membership changed; let
// requests expire; bind requests to slots; hear our own allocators (a box
// talks to itself through the same messages, without bytes); grant; bind
// again what that freed; then compose what peers must be told.
//
// A datagram goes out when something in it frees or asks for capacity (after
// kFlushDelay, so that what happens together travels together), else when the
// peer has had none for kHeartbeat. Whatever else changed rides along, up to a
// bound. Every kRepeat everything that stands is told again, which makes lost
// datagrams good.
#include "sparbend/core/node.h"

#include <algorithm>
#include <utility>

namespace sparbend {
namespace {

constexpr Millis kFlushDelay = Millis(2);
constexpr Millis kHeartbeat = Millis(500);
constexpr Millis kRepeat = Millis(2'000);
// Far longer than a target that leaves serves on without a record.
constexpr Millis kLeavingKept = Millis(3'600'000);
constexpr Millis kSuspicionPause = Millis(1'000);
constexpr Millis kTick = Millis(50);
// From the decision to send a request to its arrival at the target.
constexpr Millis kOnTheWay = Millis(300);
// Ages of the store's answers are told up to this one, which says enough.
constexpr Millis kLongestContactAge = Millis(60'000);
constexpr size_t kServicesPerFlush = 3;
constexpr size_t kServicesPerRepeat = 16;
constexpr size_t kLiftsPerDatagram = 4;
constexpr size_t kRefreshPerRepeat = 2;
constexpr size_t kNewsPerRepeat = 2;

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
      ledger_(members_.self()),
      entry_(&ledger_, options_.policy, options_.queue_limits, options_.hall),
      allocators_(
          &ledger_,
          [this](Flow flow, const std::string& hall) {
            return entry_.Permitted(flow, hall);
          },
          static_cast<uint32_t>(
              StableHash(options_.name + std::to_string(options_.incarnation)) &
              0xffff)),
      exchange_(options_.name, options_.hall, &members_, &entry_),
      leaving_targets_(options_.target_ids_reused ? Millis(0) : kLeavingKept) {
  entry_.placement().SetSeed(members_.self());
}

void Node::SetList(const MemberList& list, Millis now) {
  if (!members_.SetList(list, now))
    return;
  targets_.clear();
  pools_.clear();
  for (const TargetEntry& target : list.targets) {
    targets_[IdOf(target)] = target;
    if (!pools_.contains(target.pool))
      pools_[target.pool] = PoolIdOf(target.pool);
  }
  leaving_targets_.SetListed(
      [this](TargetId id) { return targets_.contains(id); }, now);
  std::erase_if(peers_, [&](const auto& peer) {
    return members_.Find(peer.first) == nullptr;
  });
  for (const BoxEntry& box : list.boxes) {
    const BoxId id = BoxIdOf(box.name);
    if (id != members_.self())
      peers_.try_emplace(id);
  }
  std::vector<BoxId> boxes;
  for (const BoxEntry& box : list.boxes)
    boxes.push_back(BoxIdOf(box.name));
  entry_.placement().SetBoxes(members_.self(), std::move(boxes));
  targets_changed_ = true;
  RefreshTargets(now);
  for (const auto& [id, target] : targets_) {
    if (target.cold_left > Millis(0))
      entry_.placement().SetCold(id, now + target.cold_left);
  }
}

void Node::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  entry_.SetCatalog(std::move(catalog));
}

void Node::SetConfigOffset(int64_t offset) {
  const bool first = offset > HighestOffset().first;
  config_offset_ = offset;
  if (first)
    MakeUrgent(Urgency::kFleet);
}

void Node::MakeUrgent(Urgency urgency) {
  urgency_ = std::max(urgency_, urgency);
  for (auto& [box, peer] : peers_)
    peer.urgent = true;
}

auto Node::AddLeaving(TargetId target) -> bool {
  const bool news = leaving_targets_.Add(target) && targets_.contains(target);
  targets_changed_ = targets_changed_ || news;
  return news;
}

auto Node::OnTargetLeaving(TargetId target) -> bool {
  const bool news = AddLeaving(target);
  if (news)
    MakeUrgent(Urgency::kFleet);
  return news;
}

void Node::SetReadsStore(bool reads) {
  if (reads == reads_store_)
    return;
  reads_store_ = reads;
  MakeUrgent(Urgency::kHall);
}

void Node::OnStoreAnswered(Millis now) {
  store_contact_.OnAnswered(now);
  SetReadsStore(true);
}

void Node::OnStoreFailed(Millis sent) {
  store_contact_.OnFailed(sent);
  SetReadsStore(false);
}

void Node::HearStoreContact(const Datagram& datagram, Millis now) {
  if (datagram.store_since_ms == UINT32_MAX ||
      datagram.store_until_ms > datagram.store_since_ms)
    return;
  store_contact_.OnPeerSpan({now - Millis(datagram.store_since_ms),
                             now - Millis(datagram.store_until_ms)});
}

void Node::TellStoreContact(Datagram* datagram, Millis now) const {
  const std::optional<AnsweredSpan>& span = store_contact_.span();
  if (!span || now - span->until > kLongestContactAge)
    return;
  const auto age = [&](Millis at) {
    const Millis bounded = std::clamp(now - at, Millis(0), kLongestContactAge);
    return static_cast<uint32_t>(bounded.count());
  };
  datagram->store_since_ms = age(span->since);
  datagram->store_until_ms = age(span->until);
}

// A box that was not heard yet counts as able: it may just have started.
auto Node::IsStoreReader(Millis now) const -> bool {
  return reads_store_ &&
         members_.HasRole(kStoreReaderRole, 1, now, [this](BoxId box) {
           const auto peer = peers_.find(box);
           return peer == peers_.end() || peer->second.incarnation == 0 ||
                  peer->second.directory_read_at.has_value();
         });
}

void Node::SetEvacuatedHalls(std::set<std::string> halls, Millis now) {
  if (halls == evacuated_halls_)
    return;
  const std::set<std::string> before =
      std::exchange(evacuated_halls_, std::move(halls));
  targets_changed_ = true;
  RefreshTargets(now);
  // A hall that is taken back may just have turned cold.
  for (const auto& [id, target] : targets_) {
    if (before.contains(target.hall) && !evacuated_halls_.contains(target.hall))
      entry_.placement().SuspectCold(id, now);
  }
}

// A rack or a cut makes many requests suspects at once, and no request twice:
// such news waits for the next word when some went out just before, and always
// in a large fleet, where all boxes at once would tell it to all.
void Node::OnTargetExit(const Fingerprint& request,
                        SuspicionVersion stamp,
                        Millis now) {
  if (!quarantine_.OnEnded(request, stamp, now))
    return;
  const bool again = stamp.ends > 0;
  const bool large = report_lag() > Millis(0);
  if (!again && (large || now - suspicion_told_ < kSuspicionPause))
    return;
  suspicion_told_ = now;
  MakeUrgent(Urgency::kFleet);
}

void Node::Leave() {
  members_.LeaveSelf();
  targets_changed_ = true;
  MakeUrgent(Urgency::kHall);
}

auto Node::Enqueue(const QueuedRequest& request) -> std::optional<Refusal> {
  return entry_.Enqueue(request);
}

auto Node::FindTarget(TargetId target) const -> const TargetEntry* {
  const auto found = targets_.find(target);
  return found == targets_.end() ? nullptr : &found->second;
}

auto Node::TargetLeaving(TargetId target) const -> bool {
  const TargetEntry* entry = FindTarget(target);
  return entry == nullptr || entry->leaving ||
         leaving_targets_.Contains(target);
}

void Node::RefreshTargets(Millis now) {
  if (!targets_changed_ && now - liveness_seen_ < kTick)
    return;
  liveness_seen_ = now;
  std::vector<BoxId> live = members_.LiveBoxes(now);
  if (live == live_ && !targets_changed_)
    return;
  live_ = std::move(live);
  entry_.SetBoxCount(std::max<int>(1, static_cast<int>(live_boxes())));
  // Which boxes live says nothing of targets where nobody allocates them.
  if (options_.policy == Policy::kShared && !targets_changed_)
    return;
  targets_changed_ = false;
  std::vector<IngressScheduler::TargetAssignment> all;
  std::vector<TargetView> duties;
  for (const auto& [id, target] : targets_) {
    const bool closed =
        TargetLeaving(id) || evacuated_halls_.contains(target.hall);
    const TargetView view = {id,           target.name,
                             target.hall,  pools_.at(target.pool),
                             target.slots, closed};
    // Nobody allocates under kShared; to find out who would costs targets times
    // boxes with each box that comes or goes.
    std::optional<BoxId> allocator;
    if (options_.policy != Policy::kShared)
      allocator = members_.AllocatorOf(id, target.hall, now);
    all.push_back({view, allocator});
    if (allocator == members_.self())
      duties.push_back(view);
  }
  entry_.SetTargets(all);
  allocators_.SetLiveBoxes({live_.begin(), live_.end()});
  allocators_.SetAssignedTargets(duties, now);
}

auto Node::ListOutOfDate(Millis now) const -> bool {
  return options_.target_drain > Millis(0) && directory_read_at_ &&
         now - *directory_read_at_ > options_.target_drain - kOnTheWay &&
         store_contact_.AnsweredSince(*directory_read_at_);
}

auto Node::OnDatagram(std::string_view bytes, Millis now, Millis waited)
    -> std::error_code {
  const Result<Datagram> datagram = DecodeDatagram(bytes, options_.peer_key);
  if (!datagram)
    return datagram.error().code;
  const auto found = peers_.find(datagram->sender);
  if (found == peers_.end())
    return Errc::kRefused;
  Peer& peer = found->second;
  if (datagram->incarnation < peer.incarnation)
    return Errc::kRefused;
  if (datagram->incarnation > peer.incarnation) {
    peer.incarnation = datagram->incarnation;
    peer.received = 0;
    peer.services.Reset();
    peer.min_services.Reset();
    allocators_.OnRestart(datagram->sender);
    entry_.OnRestart(datagram->sender);
    exchange_.OnRestart(datagram->sender);
  }
  // Parts of one word or sum have the same sequence; AggregateAssembler takes
  // each once.
  const bool parts = datagram->sum.parts > 1;
  if (datagram->sequence < peer.received ||
      (datagram->sequence == peer.received && !parts))
    return Errc::kRefused;
  peer.received = datagram->sequence;
  peer.config_offset = std::max(peer.config_offset, datagram->config_offset);
  peer.directory = datagram->directory;
  if (datagram->directory_age_ms == UINT32_MAX)
    peer.directory_read_at.reset();
  else
    peer.directory_read_at = now - waited - Millis(datagram->directory_age_ms);
  HearStoreContact(*datagram, now - waited);
  TakeDatagram(*datagram, now);
  return options_.policy == Policy::kShared ? exchange_.Take(*datagram, now)
                                            : std::error_code();
}

void Node::TakeDatagram(const Datagram& datagram, Millis now) {
  const BoxId from = datagram.sender;
  ledger_.Advance(now);
  members_.OnMemberNews(
      {from, datagram.incarnation, datagram.heartbeat, datagram.leaving}, now);
  for (const MemberNews& news : datagram.members)
    members_.OnMemberNews(news, now);
  // Who found it told all at once; here it rides along with the next word, for
  // those that the finder does not reach. Told on at once by all it took boxes
  // squared datagrams a target, and boxes fell behind for two seconds when 35
  // targets of 140 were replaced.
  for (const TargetId target : datagram.leaving_targets)
    AddLeaving(target);
  quarantine_.UpdateFromPeer(datagram.suspicions, now);
  RefreshTargets(now);
  if (options_.policy != Policy::kShared) {
    for (const FlowValue& service : datagram.services)
      ledger_.UpdateFromPeer(from, service.flow, service.value);
  }
  for (const FlowValue& lift : datagram.min_services)
    ledger_.RaiseMinService(lift.flow, lift.value);
  for (const LeaseReport& report : datagram.reports)
    allocators_.OnReport(from, report);
  for (const Demand& demand : datagram.demands)
    allocators_.OnDemand(from, demand, now);
  entry_.RenewLeases(from, now);
  entry_.OnSlotKeepLimits(from, datagram.floors);
  for (const LeaseNotice& lease : datagram.leases)
    entry_.OnNotice(from, lease, now);
}

void Node::TalkToSelf(Millis now) {
  const BoxId self = members_.self();
  for (const LeaseReport& report : entry_.Reports(self, false))
    allocators_.OnReport(self, report);
  for (const Demand& demand : entry_.Demands(self, false))
    allocators_.OnDemand(self, demand, now);
  allocators_.Run(now);
  entry_.RenewLeases(self, now);
  entry_.OnSlotKeepLimits(self, allocators_.Floors());
  for (const LeaseNotice& lease : allocators_.Notices(self, false))
    entry_.OnNotice(self, lease, now);
}

auto Node::Run(Millis now) -> Effects {
  Effects effects;
  ledger_.Advance(now);
  RefreshTargets(now);
  if (now - last_heartbeat_ >= kHeartbeat) {
    last_heartbeat_ = now;
    ++heartbeat_;
  }
  for (const RequestId id : entry_.TakeExpired(now))
    effects.refusals.emplace_back(
        id, Refusal{503, Verdict::kNotRun,
                    "no capacity within the time this workspace waits",
                    Millis(1'000)});
  for (auto& refusal : entry_.TakeShed(now))
    effects.refusals.push_back(std::move(refusal));
  for (auto& refusal : entry_.TakeUnservable(now))
    effects.refusals.push_back(std::move(refusal));
  effects.dispatches = entry_.Schedule(now);
  if (options_.policy != Policy::kIndependent &&
      options_.policy != Policy::kShared) {
    entry_.UpdateDemand(now);
    TalkToSelf(now);
    const std::vector<Dispatch> more = entry_.Schedule(now);
    if (!more.empty())
      entry_.UpdateDemand(now);
    effects.dispatches.insert(effects.dispatches.end(), more.begin(),
                              more.end());
  }
  TalkToPeers(now, &effects);
  return effects;
}

// All that a message goes to get the same bytes: composing them for each would
// grow with the square of the fleet.
void Node::TalkByWords(Millis now, Effects* effects) {
  const Urgency urgency = std::exchange(urgency_, Urgency::kNone);
  for (const LoadReportExchange::Message& message :
       exchange_.DueMessages(Head(now), urgency, now)) {
    const std::string bytes =
        EncodeDatagram(message.datagram, options_.peer_key);
    for (const BoxId box : message.to)
      effects->datagrams.push_back({box, bytes});
  }
}

void Node::TalkToPeers(Millis now, Effects* effects) {
  if (options_.policy == Policy::kShared) {
    TalkByWords(now, effects);
    return;
  }
  for (auto& [box, peer] : peers_) {
    const bool urgent = peer.urgent || entry_.NeedsImmediateSend(box) ||
                        allocators_.Urgent(box);
    if (urgent && peer.urgent_since == Millis(0))
      peer.urgent_since = now;
    const bool flush = urgent && now - peer.urgent_since >= kFlushDelay;
    if (!flush && now - peer.last_sent < kHeartbeat)
      continue;
    const bool whole = now - peer.last_whole >= kRepeat;
    const Datagram datagram = Compose(box, &peer, whole, now);
    effects->datagrams.push_back(
        {box, EncodeDatagram(datagram, options_.peer_key)});
    peer.last_sent = now;
    if (whole)
      peer.last_whole = now;
    peer.urgent_since = Millis(0);
    peer.urgent = false;
  }
}

auto Node::Head(Millis now) -> Datagram {
  Datagram datagram;
  datagram.sender = members_.self();
  datagram.incarnation = members_.incarnation();
  datagram.heartbeat = heartbeat_;
  datagram.leaving = members_.leaving();
  datagram.config_offset = config_offset_;
  datagram.directory = directory_;
  // Nothing told of the list says that this box does not reach the store.
  if (directory_read_at_ && reads_store_)
    datagram.directory_age_ms = static_cast<uint32_t>(std::clamp<int64_t>(
        (now - *directory_read_at_).count(), 0, UINT32_MAX - 1));
  TellStoreContact(&datagram, now);
  datagram.leaving_targets = leaving_targets_.Listed();
  datagram.suspicions = quarantine_.RowsToReport(now);
  return datagram;
}

auto Node::Compose(BoxId to, Peer* peer, bool whole, Millis now) -> Datagram {
  Datagram datagram = Head(now);
  datagram.sequence = ++peer->sent;
  if (options_.policy == Policy::kIndependent)
    return datagram;
  datagram.leases = allocators_.Notices(to, whole);
  datagram.floors = allocators_.Floors();
  datagram.reports = entry_.Reports(to, whole);
  datagram.demands = entry_.Demands(to, whole);
  const size_t refresh = whole ? kRefreshPerRepeat : 0;
  datagram.services = ToValues(peer->services.Next(
      ledger_.own(), whole ? kServicesPerRepeat : kServicesPerFlush, refresh));
  datagram.min_services = ToValues(peer->min_services.Next(
      ledger_.min_services(), kLiftsPerDatagram, whole ? 1 : 0));
  if (whole)
    datagram.members = members_.NextNews(kNewsPerRepeat);
  return datagram;
}

auto Node::NextWake(Millis now) const -> Millis {
  Millis wake = now + kTick;
  if (options_.policy == Policy::kShared)
    return wake;
  for (const auto& [box, peer] : peers_) {
    if (peer.urgent_since != Millis(0))
      wake = std::min(wake, peer.urgent_since + kFlushDelay);
  }
  return std::max(wake, now + Millis(1));
}

void Node::SetDirectory(uint32_t digest, Millis read_at) {
  // Who has it from somebody need not tell it at once as well. Each hall reads
  // for itself.
  const bool news = digest != directory_ &&
                    std::ranges::none_of(peers_, [&](const auto& peer) {
                      const BoxEntry* box = members_.Find(peer.first);
                      return peer.second.directory == digest &&
                             box != nullptr && box->hall == options_.hall;
                    });
  directory_ = digest;
  directory_read_at_ = read_at;
  if (news)
    MakeUrgent(Urgency::kHall);
}

auto Node::FreshestDirectory(Millis fresh, Millis now) const
    -> std::optional<PeerDirectory> {
  std::optional<PeerDirectory> freshest;
  bool near_found = false;
  for (const auto& [box, peer] : peers_) {
    if (!peer.directory_read_at || !members_.IsLive(box, now))
      continue;
    const BoxEntry* entry = members_.Find(box);
    const bool near = entry != nullptr && entry->hall == options_.hall &&
                      now - *peer.directory_read_at <= fresh;
    if (near_found && !near)
      continue;
    if (!freshest || near != near_found ||
        *peer.directory_read_at > freshest->read_at)
      freshest = PeerDirectory{box, peer.directory, *peer.directory_read_at};
    near_found = near_found || near;
  }
  return freshest;
}

auto Node::HighestOffset() const -> std::pair<int64_t, BoxId> {
  std::pair<int64_t, BoxId> highest = {config_offset_, members_.self()};
  for (const auto& [box, peer] : peers_)
    highest = std::max(highest, {peer.config_offset, box});
  return highest;
}

auto Node::OffsetOf(BoxId box) const -> int64_t {
  if (box == members_.self())
    return config_offset_;
  const auto found = peers_.find(box);
  return found == peers_.end() ? 0 : found->second.config_offset;
}

}  // namespace sparbend
