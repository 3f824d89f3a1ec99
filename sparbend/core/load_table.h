// Load of each target from the whole fleet, as this box knows it: its own
// requests, exactly, and the loads in the newest report of each other box.
//
//   table.Start(id, load, now); table.OnFirstByte(id, now); table.Finish(id);
//   table.UpdateFromPeer(peer, rows, now);
//   table.Total(target).waiting_tokens
#ifndef SPARBEND_CORE_LOAD_TABLE_H_
#define SPARBEND_CORE_LOAD_TABLE_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"
#include "sparbend/core/work.h"

namespace sparbend {

class LoadTable {
 public:
  using RequestId = uint64_t;

  // Records that a request was sent to `load.target`. Counts it as one running
  // request, whatever `load.running` is.
  void Start(RequestId id, const TargetLoad& load, Millis now);
  // Records that the answer has started, so the prompt has been read. Returns
  // the time since the request was sent; nothing if the answer had started
  // before, or if no such request is running.
  auto OnFirstByte(RequestId id, Millis now) -> std::optional<Millis>;
  // Records that the request has ended; ignores an unknown id.
  void Finish(RequestId id);

  // Replaces what is known of box `from` by its newest full report. Targets
  // without a row have no load from that box.
  void UpdateFromPeer(BoxId from,
                      const std::vector<TargetLoad>& rows,
                      Millis now);

  // Drops reports that are too old to count.
  void Expire(Millis now);
  // Drops all reports.
  void ClearPeerReports();
  // Sum of all reports that count, one row per target, without the own load.
  auto PeerRows() const -> std::vector<TargetLoad>;

  // Own load plus the load that peers reported. O(1), since it is called for
  // each candidate of each request.
  auto Total(TargetId target) const -> TargetLoad;
  auto Own(TargetId target) const -> TargetLoad;
  // The own load of each target that has any, to be reported to peers; targets
  // with the most requests first.
  auto OwnRows() const -> std::vector<TargetLoad>;

 private:
  struct Sent {
    TargetLoad load;
    Millis sent_at;
    bool answer_started = false;
  };
  // The newest report of one box.
  struct PeerReport {
    std::vector<TargetLoad> rows;
    Millis received_at;
  };

  // Subtracts the rows of `report` from peer_totals_.
  void SubtractReport(const PeerReport& report);

  std::unordered_map<RequestId, Sent> sent_;
  std::unordered_map<TargetId, TargetLoad> own_totals_;
  std::map<BoxId, PeerReport> peer_reports_;
  std::unordered_map<TargetId, TargetLoad> peer_totals_;
  Millis expired_at_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_LOAD_TABLE_H_
