// Invariant: own_totals_[t] is the sum of the rows of sent_ for target t.
// Requests whose answer has started count without their waiting tokens.
//
// Invariant: peer_totals_[t] is the sum of all rows for target t in
// peer_reports_, so that the cost of Total does not depend on the number of
// boxes.
//
// Peers report levels, not changes, so a lost report does no lasting harm. A
// report older than kReportTimeout does not count: its box is dead or cut off,
// and the requests of that box end soon.
#include "sparbend/core/load_table.h"

#include <algorithm>
#include <tuple>

namespace sparbend {
namespace {

// Four report intervals of a box whose load does not change.
constexpr Millis kReportTimeout = Millis(2'000);
constexpr Millis kExpireInterval = Millis(250);

void Add(const TargetLoad& load, TargetLoad* sum) {
  sum->running += load.running;
  sum->waiting_tokens += load.waiting_tokens;
  sum->memory_tokens += load.memory_tokens;
}

}  // namespace

void LoadTable::Start(RequestId id, const TargetLoad& load, Millis now) {
  Sent sent{load, now, false};
  sent.load.running = 1;
  sent_[id] = sent;
  TargetLoad& own = own_totals_[load.target];
  own.target = load.target;
  Add(sent.load, &own);
}

auto LoadTable::OnFirstByte(RequestId id, Millis now) -> std::optional<Millis> {
  const auto found = sent_.find(id);
  if (found == sent_.end() || found->second.answer_started)
    return std::nullopt;
  found->second.answer_started = true;
  own_totals_[found->second.load.target].waiting_tokens -=
      found->second.load.waiting_tokens;
  found->second.load.waiting_tokens = 0;
  return now - found->second.sent_at;
}

void LoadTable::Finish(RequestId id) {
  const auto found = sent_.find(id);
  if (found == sent_.end())
    return;
  const TargetLoad& load = found->second.load;
  TargetLoad& own = own_totals_[load.target];
  own.running -= load.running;
  own.waiting_tokens -= load.waiting_tokens;
  own.memory_tokens -= load.memory_tokens;
  if (own.running == 0)
    own_totals_.erase(load.target);
  sent_.erase(found);
}

void LoadTable::SubtractReport(const PeerReport& report) {
  for (const TargetLoad& row : report.rows) {
    TargetLoad& peer = peer_totals_[row.target];
    peer.running -= row.running;
    peer.waiting_tokens -= row.waiting_tokens;
    peer.memory_tokens -= row.memory_tokens;
    if (peer.running == 0 && peer.waiting_tokens == 0 &&
        peer.memory_tokens == 0)
      peer_totals_.erase(row.target);
  }
}

void LoadTable::Expire(Millis now) {
  if (now - expired_at_ < kExpireInterval)
    return;
  expired_at_ = now;
  std::erase_if(peer_reports_, [&](const auto& entry) {
    const bool expired = now - entry.second.received_at >= kReportTimeout;
    if (expired)
      SubtractReport(entry.second);
    return expired;
  });
}

void LoadTable::ClearPeerReports() {
  peer_reports_.clear();
  peer_totals_.clear();
}

auto LoadTable::PeerRows() const -> std::vector<TargetLoad> {
  std::vector<TargetLoad> rows;
  rows.reserve(peer_totals_.size());
  for (const auto& [target, load] : peer_totals_) {
    rows.push_back(load);
    rows.back().target = target;
  }
  return rows;
}

void LoadTable::UpdateFromPeer(BoxId from,
                               const std::vector<TargetLoad>& rows,
                               Millis now) {
  PeerReport& report = peer_reports_[from];
  SubtractReport(report);
  report = PeerReport{rows, now};
  for (const TargetLoad& row : rows)
    Add(row, &peer_totals_[row.target]);
}

auto LoadTable::Own(TargetId target) const -> TargetLoad {
  const auto found = own_totals_.find(target);
  return found == own_totals_.end() ? TargetLoad{target, 0, 0, 0}
                                    : found->second;
}

auto LoadTable::Total(TargetId target) const -> TargetLoad {
  TargetLoad total = Own(target);
  const auto peer = peer_totals_.find(target);
  if (peer != peer_totals_.end())
    Add(peer->second, &total);
  return total;
}

auto LoadTable::OwnRows() const -> std::vector<TargetLoad> {
  std::vector<TargetLoad> rows;
  rows.reserve(own_totals_.size());
  for (const auto& [target, load] : own_totals_)
    rows.push_back(load);
  std::ranges::sort(rows, [](const TargetLoad& a, const TargetLoad& b) {
    return std::tie(b.running, a.target) < std::tie(a.running, b.target);
  });
  return rows;
}

}  // namespace sparbend
