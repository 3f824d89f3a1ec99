// What the boxes of the policy kShared tell each other of loads, service and
// prefix homes, who tells whom, and how often.
//
// A small fleet: every box tells every other its own word. A larger one: a box
// tells its word to two boxes of its hall, which add up; these tell the hall's
// sum to those that add up in other halls, and the fleet's sum to the boxes of
// their own hall. So what a box hears and says does not grow with the fleet,
// but for the two of each hall.
//
//   exchange.Take(datagram, now);
//   for (const Message& message : exchange.Talk(head, urgency, now)) Send(...);
//
// Pure.
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

// Whom news of this box must reach without waiting for the next word.
enum class Urgency { kNone, kHall, kFleet };

class LoadReportExchange {
 public:
  // One datagram, the same for all that it goes to.
  struct Message {
    Datagram datagram;
    std::vector<BoxId> to;
  };

  // `members` and `entry` must outlive this.
  LoadReportExchange(std::string name,
                     std::string hall,
                     Members* members,
                     IngressScheduler* entry);

  // A datagram of a listed box. kRefused for a sum that this box has no use
  // for, as of another hall's boxes to each other; kInvalid for one that no
  // fleet can have.
  auto Take(const Datagram& datagram, Millis now) -> std::error_code;
  // `box` started anew.
  void OnRestart(BoxId box) { assembly_.Forget(box); }

  // What is to be told now. `head` holds what is the same in all datagrams of
  // this box.
  auto DueMessages(const Datagram& head, Urgency urgency, Millis now)
      -> std::vector<Message>;

  // Boxes that the view of the fleet rests on, this one included.
  auto boxes() const -> size_t { return boxes_; }
  // Since the fleet's sum that is believed was made; zero in a small fleet.
  auto SumAge(Millis now) const -> Millis;
  // How much older than its sender's a word may be that went through sums.
  auto Lag() const -> Millis;
  // Whether this box adds up for its hall.
  auto aggregating() const -> bool { return aggregating_; }

 private:
  // What this box told itself with one word.
  struct Told {
    uint32_t heartbeat = 0;
    std::vector<TargetLoad> loads;
    std::vector<FlowValue> served;
    std::vector<FlowValue> denied;
    Millis at;
  };

  auto Summing() const -> bool;
  void SetMode(Millis now);
  auto WordDue(Millis now) const -> bool;
  auto Spread(int64_t interval, uint32_t turn) const -> Millis;
  auto WordInterval() const -> int64_t;
  auto OwnWord(const Datagram& head, Millis now) -> Datagram;
  static auto News(const Datagram& word) -> Datagram;
  // The next box of the hall in turn.
  auto Sample() -> std::vector<BoxId>;
  void TellWord(const Datagram& head,
                Urgency urgency,
                Millis now,
                std::vector<Message>* messages);
  void TellSums(const Datagram& head,
                Millis now,
                std::vector<Message>* messages);
  void AddSum(const Datagram& head,
              Datagram sum,
              const std::vector<BoxId>& to,
              std::vector<Message>* messages);
  void TakeWord(const Datagram& word, Millis now);
  auto TakeSum(const Datagram& sum, Millis now) -> std::error_code;
  void TakeFleetSum(const Datagram& sum, Millis now);
  auto EchoOf(const Datagram& sum) const -> const Told*;

  std::string name_;
  std::string hall_;
  Members* members_;
  IngressScheduler* entry_;
  Aggregators aggregators_;
  HallAggregates sums_;
  AggregateAssembler assembly_;
  std::deque<Told> told_;  // the newest last
  bool summing_ = false;
  bool aggregating_ = false;
  std::vector<BoxId> near_;  // that add up for this hall, without this box
  uint32_t sequence_ = 0;
  uint32_t words_ = 0;  // told so far; this box's heartbeat
  Millis word_at_;
  uint32_t sums_told_ = 0;
  Millis sums_at_;
  Millis whole_at_;
  size_t sampled_ = 0;
  // The fleet's sum that is believed.
  BoxId sum_from_ = 0;
  uint32_t sum_boxes_ = 0;
  Millis sum_taken_;
  size_t boxes_ = 1;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_LOAD_REPORT_EXCHANGE_H_
