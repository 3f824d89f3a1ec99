// A load report states current values, so the next one makes up for a lost one.
// Each hall has two aggregators that work independently: if one dies or stops,
// the aggregates of the other continue. They are chosen by which boxes are live
// (Members), without an agreement. A box that wrongly considers itself an
// aggregator covers fewer boxes, and aggregates that cover fewer boxes are not
// accepted while others arrive.
//
// That a box is live is known from the members named in aggregates. In addition
// each box sends its load report, without the loads but with gossip, to one
// other box of the hall, round robin; this works whichever boxes are down.
//
// Invariant: in a large fleet, what is known of other boxes' work (Placement,
// FairShares) has a single source: the fleet aggregate minus this box's own
// contribution.
#include "sparbend/core/load_report_exchange.h"

#include <algorithm>
#include <unordered_map>

namespace sparbend {
namespace {

// Largest fleet with a full mesh. Direct reports are fresher than aggregates,
// and at this size a box receives only about 50 of them per second.
constexpr size_t kMaxFullMeshBoxes = 24;
// In a full mesh the interval of load reports is this long per other box,
// within the bounds below. So the traffic of all boxes together grows with
// their number, not with its square.
constexpr int64_t kLoadReportMsPerBox = 12;
constexpr int64_t kMinLoadReportIntervalMs = 100;
constexpr int64_t kMaxLoadReportIntervalMs = 500;
// Intervals of load reports to aggregators, and of aggregates. An aggregator of
// 70 boxes receives 280 reports per second, which takes 1/50 of a core. What a
// box knows of others is 1/4 s old on average, and at most the sum of the two
// intervals.
constexpr int64_t kLoadReportIntervalMs = 250;
constexpr int64_t kAggregateIntervalMs = 400;
// Each hall has two aggregators, and what either of them sends is accepted.
constexpr int64_t kAggregateArrivalMs = kAggregateIntervalMs / 2;
// A report from another hall goes through its aggregate and that of the fleet.
constexpr int64_t kAggregateSteps = 2;
// Width of the jitter around an interval. Boxes that send in step would all act
// in the same way on views of the same age.
constexpr int64_t kJitterPercent = 50;
// Flows named in a load report.
constexpr size_t kServicesPerReport = 16;
constexpr size_t kDenialsPerReport = 16;
// Gossip about third boxes: per load report with aggregates, where a hall of 70
// boxes is covered within a second, and per kGossipInterval in a full mesh.
constexpr size_t kUpdatesPerReport = 8;
constexpr size_t kUpdatesPerGossip = 2;
constexpr Millis kGossipInterval = Millis(2'000);
// Own load reports kept, to subtract them from aggregates: more than two
// seconds of them.
constexpr size_t kMaxSentReports = 12;
// An aggregate that covers fewer boxes than the accepted one is accepted only
// after this time without an accepted one. A difference of up to a tenth is
// ignored.
constexpr Millis kFewerBoxesDelay = Millis(1'000);
constexpr uint32_t kMinBoxPercent = 90;
// Stands for the fleet aggregate where a table needs the box that reported.
constexpr BoxId kFleetSource = 0;
// Far more requests than a fleet can have running at one target.
constexpr uint32_t kMaxRunning = 1'000'000;

auto SaturatingSubtract(uint32_t total, uint32_t own) -> uint32_t {
  return total > own ? total - own : 0;
}

auto Subtract(std::vector<TargetLoad> loads, const std::vector<TargetLoad>& own)
    -> std::vector<TargetLoad> {
  std::unordered_map<TargetId, const TargetLoad*> contributions;
  for (const TargetLoad& row : own)
    contributions[row.target] = &row;
  for (TargetLoad& row : loads) {
    const auto contribution = contributions.find(row.target);
    if (contribution == contributions.end())
      continue;
    row.running =
        SaturatingSubtract(row.running, contribution->second->running);
    row.waiting_tokens = SaturatingSubtract(
        row.waiting_tokens, contribution->second->waiting_tokens);
    row.memory_tokens = SaturatingSubtract(row.memory_tokens,
                                           contribution->second->memory_tokens);
  }
  std::erase_if(loads, [](const TargetLoad& row) {
    return row.running == 0 && row.waiting_tokens == 0 &&
           row.memory_tokens == 0;
  });
  return loads;
}

// `own` was sent `age` ago and has decayed since.
auto Subtract(std::vector<FlowValue> values,
              const std::vector<FlowValue>& own,
              Millis age) -> std::vector<FlowValue> {
  std::map<Flow, int64_t> contributions;
  for (const FlowValue& value : own)
    contributions[value.flow] = FairUsage::DecayedAfter(value.value, age);
  for (FlowValue& value : values) {
    const auto contribution = contributions.find(value.flow);
    if (contribution != contributions.end())
      value.value = std::max<int64_t>(0, value.value - contribution->second);
  }
  return values;
}

using Message = LoadReportExchange::Message;

void Send(const Datagram& datagram,
          const std::vector<BoxId>& to,
          std::vector<Message>* messages) {
  if (to.empty())
    return;
  for (Datagram& part : SplitAggregate(datagram))
    messages->push_back({std::move(part), to});
}

auto IsPlausible(const Datagram& aggregate, size_t box_count) -> bool {
  return aggregate.aggregate_header.boxes <= box_count &&
         std::ranges::all_of(aggregate.loads,
                             [](const TargetLoad& row) {
                               return row.running <= kMaxRunning;
                             }) &&
         std::ranges::all_of(aggregate.services, [](const FlowValue& value) {
           return value.value >= 0;
         });
}

}  // namespace

LoadReportExchange::LoadReportExchange(std::string name,
                                       std::string hall,
                                       Members* members,
                                       IngressScheduler* ingress)
    : name_(std::move(name)),
      hall_(std::move(hall)),
      members_(members),
      ingress_(ingress),
      aggregators_(hall_, members) {}

auto LoadReportExchange::NeedsAggregates() const -> bool {
  return members_->list().boxes.size() > kMaxFullMeshBoxes;
}

auto LoadReportExchange::AggregateAge(Millis now) const -> Millis {
  return uses_aggregates_ ? now - aggregate_received_at_ : Millis(0);
}

auto LoadReportExchange::ReportLag() const -> Millis {
  return uses_aggregates_ ? Millis(kLoadReportIntervalMs + kAggregateIntervalMs)
                          : Millis(0);
}

auto LoadReportExchange::OnDatagram(const Datagram& datagram, Millis now)
    -> std::error_code {
  const std::optional<Datagram> complete = assembler_.Take(datagram);
  if (!complete)
    return {};
  if (complete->kind != DatagramKind::kLoadReport)
    return OnAggregate(*complete, now);
  OnLoadReport(*complete, now);
  return {};
}

void LoadReportExchange::OnLoadReport(const Datagram& report, Millis now) {
  if (!uses_aggregates_) {
    ingress_->placement().UpdateFromPeer(report.sender, report.loads,
                                         report.prefix_locations, now);
    ingress_->fair_shares().UpdateFromPeer(report.sender, report.services,
                                           report.denials, now);
    return;
  }
  const BoxEntry* sender = members_->Find(report.sender);
  if (aggregating_ && sender != nullptr && sender->hall == hall_)
    hall_aggregates_.OnLoadReport(report, now);
}

auto LoadReportExchange::OnAggregate(const Datagram& aggregate, Millis now)
    -> std::error_code {
  const BoxEntry* sender = members_->Find(aggregate.sender);
  if (sender == nullptr || !uses_aggregates_)
    return Errc::kRefused;
  const bool local = sender->hall == hall_;
  if ((aggregate.kind == DatagramKind::kFleetAggregate) != local)
    return Errc::kRefused;
  if (!IsPlausible(aggregate, members_->list().boxes.size()))
    return Errc::kInvalid;
  aggregators_.OnAggregate(aggregate.sender, now);
  for (const MemberUpdate& update : aggregate.members)
    members_->OnMemberUpdate(update, now);
  if (local)
    OnFleetAggregate(aggregate, now);
  else if (aggregating_)
    hall_aggregates_.OnHallAggregate(sender->hall, aggregate, now);
  return {};
}

// This box's load report that is included in `aggregate`; null if there is
// none, or if it is no longer kept.
auto LoadReportExchange::OwnContribution(const Datagram& aggregate) const
    -> const SentReport* {
  const auto own = std::ranges::find(aggregate.members, members_->self(),
                                     &MemberUpdate::box);
  if (own == aggregate.members.end() ||
      own->incarnation != members_->incarnation())
    return nullptr;
  const auto sent =
      std::ranges::find(sent_reports_, own->heartbeat, &SentReport::heartbeat);
  return sent == sent_reports_.end() ? nullptr : &*sent;
}

void LoadReportExchange::OnFleetAggregate(const Datagram& aggregate,
                                          Millis now) {
  const bool accepted = aggregate.sender == aggregate_sender_ ||
                        aggregate.aggregate_header.boxes * 100 >=
                            aggregate_box_count_ * kMinBoxPercent ||
                        now - aggregate_received_at_ >= kFewerBoxesDelay;
  if (!accepted)
    return;
  aggregate_sender_ = aggregate.sender;
  aggregate_box_count_ = aggregate.aggregate_header.boxes;
  aggregate_received_at_ = now;
  box_count_ = std::max<size_t>(1, aggregate.aggregate_header.boxes);
  ingress_->SetBoxCount(static_cast<int>(box_count_));
  static const SentReport no_contribution;
  const SentReport* found = OwnContribution(aggregate);
  const SentReport& own = found == nullptr ? no_contribution : *found;
  ingress_->placement().UpdateFromPeer(kFleetSource,
                                       Subtract(aggregate.loads, own.loads),
                                       aggregate.prefix_locations, now);
  ingress_->fair_shares().UpdateFromPeer(
      kFleetSource, Subtract(aggregate.services, own.served, now - own.sent_at),
      Subtract(aggregate.denials, own.denied, now - own.sent_at), now);
}

void LoadReportExchange::UpdateMode(Millis now) {
  if (NeedsAggregates() != uses_aggregates_) {
    uses_aggregates_ = !uses_aggregates_;
    ingress_->placement().ClearPeerReports();
    ingress_->fair_shares().ClearPeerReports();
    aggregate_received_at_ = now;
    aggregate_box_count_ = 0;
  }
  if (!uses_aggregates_) {
    aggregating_ = false;
    return;
  }
  local_aggregators_ = aggregators_.LocalAggregators(now);
  aggregating_ = std::erase(local_aggregators_, members_->self()) > 0;
}

auto LoadReportExchange::LoadReportIntervalMs() const -> int64_t {
  if (uses_aggregates_)
    return kLoadReportIntervalMs;
  const auto peers = static_cast<int64_t>(members_->list().boxes.size()) - 1;
  return std::clamp(peers * kLoadReportMsPerBox, kMinLoadReportIntervalMs,
                    kMaxLoadReportIntervalMs);
}

auto LoadReportExchange::ReportDelay() const -> Millis {
  const int64_t interval_ms =
      LoadReportIntervalMs() +
      (uses_aggregates_ ? kAggregateSteps * kAggregateIntervalMs : 0);
  return Millis(interval_ms + interval_ms * kJitterPercent / 200);
}

auto LoadReportExchange::MeanReportAge() const -> Millis {
  const int64_t steps_ms =
      uses_aggregates_ ? kAggregateSteps * kAggregateArrivalMs : 0;
  return Millis((LoadReportIntervalMs() + steps_ms) / 2);
}

// A change that makes all boxes send at once leaves their load reports in step.
// Then the views of all boxes reach the age of a full interval at the same
// time, and all act on them in the same way. Uneven spacing takes them out of
// step again.
auto LoadReportExchange::JitteredInterval(int64_t interval_ms,
                                          uint32_t count) const -> Millis {
  const int64_t jitter_ms = interval_ms * kJitterPercent / 100;
  const uint64_t hash = StableHash(name_ + "/" + std::to_string(count));
  return Millis(interval_ms - jitter_ms / 2 +
                static_cast<int64_t>(hash % static_cast<uint64_t>(jitter_ms)));
}

auto LoadReportExchange::LoadReportDue(Millis now) const -> bool {
  return now - load_report_sent_at_ >=
         JitteredInterval(LoadReportIntervalMs(), load_reports_sent_);
}

auto LoadReportExchange::MakeLoadReport(const Datagram& header, Millis now)
    -> Datagram {
  Datagram report = header;
  report.heartbeat = ++load_reports_sent_;
  report.sequence = ++sequence_;
  report.loads = ingress_->placement().loads().OwnRows();
  report.prefix_locations =
      ingress_->placement().prefix_locations().Recent(now);
  report.services = ingress_->fair_shares().ServedToReport(
      kServicesPerReport, MeanReportAge(), now);
  report.denials = ingress_->fair_shares().UnservedToReport(
      kDenialsPerReport, MeanReportAge(), now);
  if (uses_aggregates_) {
    report.members = members_->NextUpdates(kUpdatesPerReport);
  } else if (now - gossip_sent_at_ >= kGossipInterval) {
    report.members = members_->NextUpdates(kUpdatesPerGossip);
    gossip_sent_at_ = now;
  }
  sent_reports_.push_back(
      {report.heartbeat, report.loads, report.services, report.denials, now});
  if (sent_reports_.size() > kMaxSentReports)
    sent_reports_.pop_front();
  return report;
}

// `report` as sent to boxes that are not aggregators of this box: they use only
// its header and gossip.
auto LoadReportExchange::WithoutLoad(const Datagram& report) -> Datagram {
  Datagram stripped = report;
  stripped.loads.clear();
  stripped.prefix_locations.clear();
  stripped.services.clear();
  stripped.denials.clear();
  return stripped;
}

auto LoadReportExchange::NextGossipPeer() -> std::vector<BoxId> {
  const std::vector<BoxId>& boxes = members_->OtherBoxesOf(hall_);
  if (boxes.empty())
    return {};
  if (next_gossip_peer_ == 0)  // each box starts at a different place
    next_gossip_peer_ = StableHash(name_) % boxes.size();
  return {boxes[++next_gossip_peer_ % boxes.size()]};
}

void LoadReportExchange::SendLoadReport(const Datagram& header,
                                        ImmediateSend scope,
                                        Millis now,
                                        std::vector<Message>* messages) {
  load_report_sent_at_ = now;
  const Datagram report = MakeLoadReport(header, now);
  std::vector<BoxId> all_boxes;
  for (const std::string& hall : members_->Halls()) {
    const std::vector<BoxId>& boxes = members_->OtherBoxesOf(hall);
    if (scope == ImmediateSend::kFleet || hall == hall_ || !uses_aggregates_)
      all_boxes.insert(all_boxes.end(), boxes.begin(), boxes.end());
  }
  if (!uses_aggregates_) {
    Send(report, all_boxes, messages);
    return;
  }
  if (aggregating_)
    hall_aggregates_.OnLoadReport(report, now);
  std::vector<BoxId> gossip_peers =
      scope == ImmediateSend::kNone ? NextGossipPeer() : all_boxes;
  std::erase_if(gossip_peers, [&](BoxId box) {
    return std::ranges::find(local_aggregators_, box) !=
           local_aggregators_.end();
  });
  Send(report, local_aggregators_, messages);
  Send(WithoutLoad(report), gossip_peers, messages);
}

void LoadReportExchange::AppendAggregate(const Datagram& header,
                                         Datagram aggregate,
                                         const std::vector<BoxId>& to,
                                         std::vector<Message>* messages) {
  Datagram datagram = header;
  datagram.kind = aggregate.kind;
  datagram.aggregate_header = aggregate.aggregate_header;
  datagram.heartbeat = load_reports_sent_;
  datagram.sequence = ++sequence_;
  datagram.members = std::move(aggregate.members);
  datagram.loads = std::move(aggregate.loads);
  datagram.prefix_locations = std::move(aggregate.prefix_locations);
  datagram.services = std::move(aggregate.services);
  datagram.denials = std::move(aggregate.denials);
  Send(datagram, to, messages);
}

void LoadReportExchange::SendAggregates(const Datagram& header,
                                        Millis now,
                                        std::vector<Message>* messages) {
  aggregates_sent_at_ = now;
  ++aggregates_sent_;
  AppendAggregate(header, hall_aggregates_.MakeHallAggregate(now),
                  aggregators_.RemoteAggregators(now), messages);
  Datagram fleet = hall_aggregates_.MakeFleetAggregate(now);
  fleet.sender = members_->self();
  OnFleetAggregate(fleet, now);
  AppendAggregate(header, std::move(fleet), members_->OtherBoxesOf(hall_),
                  messages);
}

auto LoadReportExchange::DueMessages(const Datagram& header,
                                     ImmediateSend scope,
                                     Millis now) -> std::vector<Message> {
  std::vector<Message> messages;
  UpdateMode(now);
  ingress_->fair_shares().SetReporting(
      static_cast<int>(members_->list().boxes.size()), ReportDelay());
  if (members_->list().boxes.size() < 2)
    return messages;
  if (scope != ImmediateSend::kNone || LoadReportDue(now))
    SendLoadReport(header, scope, now, &messages);
  if (aggregating_ &&
      now - aggregates_sent_at_ >=
          JitteredInterval(kAggregateIntervalMs, aggregates_sent_))
    SendAggregates(header, now, &messages);
  return messages;
}

}  // namespace sparbend
