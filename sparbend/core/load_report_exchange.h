// Under the policy kShared: which load reports and aggregates this box sends,
// to whom and how often, and how it applies those that it receives. They carry
// loads, service, denials and prefix locations.
//
// In a small fleet every box sends its load report to every other box (full
// mesh). In a larger fleet a box sends it to two boxes of its hall, the
// aggregators. These send the hall aggregate to the aggregators of the other
// halls and the fleet aggregate to the boxes of their own hall. So the traffic
// of a box does not grow with the fleet, except for the two aggregators of each
// hall.
//
//   exchange.OnDatagram(datagram, now);
//   for (const Message& message : exchange.DueMessages(header, scope, now))
//     Send(message);
//
// Pure: no I/O and no clock.
#ifndef SPARBEND_CORE_LOAD_REPORT_EXCHANGE_H_
#define SPARBEND_CORE_LOAD_REPORT_EXCHANGE_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "sparbend/core/aggregate_parts.h"
#include "sparbend/core/aggregators.h"
#include "sparbend/core/hall_aggregates.h"
#include "sparbend/core/ingress_scheduler.h"
#include "sparbend/core/members.h"
#include "sparbend/core/messages.h"

namespace sparbend {

// Which boxes must receive a change of this box immediately rather than with
// the next periodic load report.
enum class ImmediateSend { kNone, kHall, kFleet };

class LoadReportExchange {
 public:
  // One datagram and its receivers, which all get the same bytes.
  struct Message {
    Datagram datagram;
    std::vector<BoxId> to;
  };

  // `members` and `ingress` must outlive this.
  LoadReportExchange(std::string name,
                     std::string hall,
                     Members* members,
                     IngressScheduler* ingress);

  // Applies a datagram of a listed box. Returns kRefused for an aggregate that
  // is not meant for this box, such as a fleet aggregate of another hall;
  // kInvalid for one whose values are impossible for this fleet.
  auto OnDatagram(const Datagram& datagram, Millis now) -> std::error_code;
  // Call when `box` has restarted.
  void OnRestart(BoxId box) { assembler_.Forget(box); }

  // The datagrams that are due now. `header` holds the fields that are the same
  // in all datagrams of this box.
  auto DueMessages(const Datagram& header, ImmediateSend scope, Millis now)
      -> std::vector<Message>;

  // Number of boxes that the accepted fleet aggregate covers, this one
  // included; 1 before the first aggregate.
  auto box_count() const -> size_t { return box_count_; }
  // Time since the accepted fleet aggregate was received; zero in a full mesh.
  auto AggregateAge(Millis now) const -> Millis;
  // By how much a report that went through aggregates may be older than one
  // sent directly; zero in a full mesh.
  auto ReportLag() const -> Millis;
  // Whether this box aggregates for its hall.
  auto aggregating() const -> bool { return aggregating_; }

 private:
  // The contents of one load report that this box sent.
  struct SentReport {
    uint32_t heartbeat = 0;
    std::vector<TargetLoad> loads;
    std::vector<FlowValue> served;
    std::vector<FlowValue> denied;
    Millis sent_at;
  };

  // Whether the fleet is too large for a full mesh.
  auto NeedsAggregates() const -> bool;
  void UpdateMode(Millis now);
  auto LoadReportDue(Millis now) const -> bool;
  // `interval_ms` with a jitter that depends on this box and on `count`, the
  // number of datagrams of the kind that were sent before.
  auto JitteredInterval(int64_t interval_ms, uint32_t count) const -> Millis;
  auto LoadReportIntervalMs() const -> int64_t;
  // Longest time until a change at one box is known to all, unless datagrams
  // are lost.
  auto ReportDelay() const -> Millis;
  // Age of a load report when other boxes use it, on average.
  auto MeanReportAge() const -> Millis;
  auto MakeLoadReport(const Datagram& header, Millis now) -> Datagram;
  static auto WithoutLoad(const Datagram& report) -> Datagram;
  // The next box of the hall, round robin; empty if there is no other box.
  auto NextGossipPeer() -> std::vector<BoxId>;
  void SendLoadReport(const Datagram& header,
                      ImmediateSend scope,
                      Millis now,
                      std::vector<Message>* messages);
  void SendAggregates(const Datagram& header,
                      Millis now,
                      std::vector<Message>* messages);
  void AppendAggregate(const Datagram& header,
                       Datagram aggregate,
                       const std::vector<BoxId>& to,
                       std::vector<Message>* messages);
  void OnLoadReport(const Datagram& report, Millis now);
  auto OnAggregate(const Datagram& aggregate, Millis now) -> std::error_code;
  void OnFleetAggregate(const Datagram& aggregate, Millis now);
  auto OwnContribution(const Datagram& aggregate) const -> const SentReport*;

  std::string name_;
  std::string hall_;
  Members* members_;
  IngressScheduler* ingress_;
  Aggregators aggregators_;
  HallAggregates hall_aggregates_;
  AggregateAssembler assembler_;
  std::deque<SentReport> sent_reports_;  // oldest first
  bool uses_aggregates_ = false;         // else full mesh
  bool aggregating_ = false;
  std::vector<BoxId> local_aggregators_;  // without this box
  uint32_t sequence_ = 0;
  uint32_t load_reports_sent_ = 0;  // also this box's heartbeat
  Millis load_report_sent_at_;
  uint32_t aggregates_sent_ = 0;
  Millis aggregates_sent_at_;
  Millis gossip_sent_at_;        // in a full mesh
  size_t next_gossip_peer_ = 0;  // index into the boxes of the hall
  // The accepted fleet aggregate.
  BoxId aggregate_sender_ = 0;
  uint32_t aggregate_box_count_ = 0;
  Millis aggregate_received_at_;
  size_t box_count_ = 1;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_LOAD_REPORT_EXCHANGE_H_
