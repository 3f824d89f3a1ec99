// The allocator's side: this box's duty over the targets that rendezvous
// hashing gives it. Grants each free slot to the flow with the least
// normalised service among those that wait, at the box whose request of that
// flow is oldest. Nothing here is agreed with other boxes: two that both think
// a target theirs over-admit there for a while, which costs queueing only.
//
//   allocators.SetDuties(targets, now);
//   allocators.OnReport(box, report, now); allocators.OnDemand(box, demands);
//   allocators.Run(now);
//   allocators.Notices(box, false);  // what to tell the box
#ifndef SPARBEND_CORE_ALLOCATORS_H_
#define SPARBEND_CORE_ALLOCATORS_H_

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/ledger.h"
#include "sparbend/core/messages.h"
#include "sparbend/core/millis.h"

namespace sparbend {

// A target as the scheduler sees it.
struct TargetView {
  TargetId id = 0;
  std::string name;
  std::string hall;
  PoolId pool = 0;
  int slots = 1;
  bool leaving = false;

  auto operator==(const TargetView&) const -> bool = default;
};

class Allocators {
 public:
  // Whether a flow's workspace may be served in a hall.
  using Permitted = std::function<bool(Flow, const std::string& hall)>;

  // `ledger` must outlive this; `seed` makes the epochs differ between lives.
  Allocators(Ledger* ledger, Permitted permitted, uint32_t seed);

  // The targets of this box's duty from now on. Books of new ones stay closed
  // (no grants) until boxes had time to report what runs there.
  void SetDuties(const std::vector<TargetView>& targets, Millis now);
  // The boxes that may hold leases; those of others come back at once.
  void SetLiveBoxes(const std::set<BoxId>& boxes);
  // Forgets what an earlier life of `box` held and asked.
  void OnRestart(BoxId box);

  void OnReport(BoxId box, const LeaseReport& report);
  void OnDemand(BoxId box, const Demand& demand, Millis now);

  // Grants what can be granted. O(targets * (flows + boxes)) per free slot.
  void Run(Millis now);

  // Notices owed to `box`: those that changed, or all.
  auto Notices(BoxId box, bool all) -> std::vector<LeaseNotice>;
  auto Urgent(BoxId box) const -> bool;
  // Least service waiting, per pool of this duty; empty when nothing waits.
  auto Floors() const -> std::vector<Floor>;
  // Whether any demand waits for a slot of this duty.
  auto contended() const -> bool { return contended_; }

  // For `status` and `explain`.
  struct Usage {
    TargetView target;
    int used = 0;
    bool keep = true;
  };
  auto Usages() const -> std::vector<Usage>;

 private:
  // What one box holds at one target.
  struct Account {
    uint32_t epoch = 0;
    uint32_t granted = 0;
    uint32_t granted_seen = 0;
    uint32_t returned = 0;
    uint32_t in_flight = 0;
    // Flows of the grants the box has not yet confirmed, oldest first.
    std::deque<Flow> pending;
    std::vector<WorkspaceId> meant_for;  // not yet told
    bool changed = false;
    bool urgent = false;

    auto used() const -> int;
    auto unused() const -> int;
  };
  struct Books {
    TargetView view;
    Millis opens;  // no grants before
    bool keep = true;
    Millis last_unmet;
    std::map<BoxId, Account> accounts;

    auto used() const -> int;
  };
  struct Waiting {
    Demand demand;
    Millis as_of;
    int granted = 0;  // for it, beyond what the box knew when it told us
  };

  auto AccountOf(Books* books, BoxId box) -> Account&;
  void Grant(Books* books, BoxId box, Flow flow);
  void GrantStanding(Books* books);
  void SetKeep(Books* books, bool keep);
  void RunTarget(Books* books, Millis now);
  void RaiseLifts(Millis now);
  auto Pending(BoxId box, Flow flow) const -> int;
  auto Unmet(BoxId box, Flow flow) const -> int;
  auto ServiceAhead(Flow flow) const -> int64_t;
  auto WaitingFlows(const TargetView& view) const -> std::map<Flow, int64_t>;
  auto OldestBox(Flow flow, Millis now) const -> BoxId;

  Ledger* ledger_;
  Permitted permitted_;
  uint32_t next_epoch_;
  bool contended_ = false;
  std::map<TargetId, Books> books_;
  std::set<BoxId> live_;
  std::map<Flow, std::map<BoxId, Waiting>> demands_;
  std::map<std::pair<BoxId, Flow>, int> pending_;
  std::map<Flow, Millis> last_waited_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_ALLOCATORS_H_
