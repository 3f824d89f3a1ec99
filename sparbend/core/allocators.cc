// A slot counts as used from the grant until the box says it handed it back:
// used = max(granted - returned, in flight). Both counts only rise within an
// epoch, so messages may be lost, repeated or late.
//
// A demand stands until the box's next word on it, less what was granted for
// it since: a slot that comes back unused must not be granted for the same
// word again, or allocators and boxes toss it to and fro.
//
// Least service first: service is the ledger's (every box's register) plus
// the expected cost of grants not yet confirmed, so that several grants in a
// row do not all go to the same flow on one stale number.
//
// Lifts keep two rules. A flow that begins to wait after idling starts level
// with the least that waits. And nobody lags the foremost waiting flow by
// more than kClampRequests expected requests: beyond that, debt is forgiven.
// Without the second rule a healed partition would let one side starve the
// other until years of differences were made up.
//
// Standing slots: when nothing waits, free slots are spread over the boxes to
// be kept and used without asking. They are called back when work waits.
#include "sparbend/core/allocators.h"

#include <algorithm>
#include <limits>

namespace sparbend {
namespace {

// How long a new duty waits for reports of what runs at its targets.
constexpr Millis kSettling = Millis(400);
// Standing slots come back into use when nothing waited for this long.
constexpr Millis kCalm = Millis(300);
// A flow that did not wait for this long has been idle.
constexpr Millis kIdle = Millis(1'000);
// Debt beyond this many expected requests is forgiven.
constexpr int64_t kClampRequests = 64;
// How far ahead of the least waiting flow a slot may stay, in expected
// requests of the flow whose requests weigh most.
constexpr int64_t kSlackRequests = 2;
// Part of a target's slots that may stand at boxes unasked.
// Requests granted beyond the slots: one waits in the target while another
// ends, so that no slot idles for the messages between them.
constexpr int kAhead = 1;
constexpr int kStandingNumerator = 3;
constexpr int kStandingDenominator = 4;

}  // namespace

auto Allocators::Account::used() const -> int {
  return static_cast<int>(std::max(granted - returned, in_flight));
}

auto Allocators::Account::unused() const -> int {
  return used() - static_cast<int>(in_flight);
}

auto Allocators::Books::used() const -> int {
  int sum = 0;
  for (const auto& [box, account] : accounts)
    sum += account.used();
  return sum;
}

Allocators::Allocators(Ledger* ledger, Permitted permitted, uint32_t seed)
    : ledger_(ledger), permitted_(std::move(permitted)), next_epoch_(seed) {}

void Allocators::SetDuties(const std::vector<TargetView>& targets, Millis now) {
  std::set<TargetId> kept;
  for (const TargetView& view : targets) {
    kept.insert(view.id);
    const auto [books, added] = books_.try_emplace(view.id);
    books->second.view = view;
    if (added)
      books->second.opens = now + kSettling;
  }
  std::erase_if(books_, [&](auto& entry) {
    if (kept.contains(entry.first))
      return false;
    for (auto& [box, account] : entry.second.accounts) {
      for (const Flow flow : account.pending)
        --pending_[{box, flow}];
    }
    return true;
  });
}

void Allocators::SetLiveBoxes(const std::set<BoxId>& boxes) {
  for (const BoxId box : live_) {
    if (!boxes.contains(box))
      OnRestart(box);
  }
  live_ = boxes;
}

void Allocators::OnRestart(BoxId box) {
  for (auto& [target, books] : books_)
    books.accounts.erase(box);
  for (auto& [flow, boxes] : demands_)
    boxes.erase(box);
  std::erase_if(pending_,
                [&](const auto& entry) { return entry.first.first == box; });
}

auto Allocators::AccountOf(Books* books, BoxId box) -> Account& {
  const auto [account, added] = books->accounts.try_emplace(box);
  if (added)
    account->second.epoch = next_epoch_ = std::max(next_epoch_ + 1, 1U);
  return account->second;
}

void Allocators::OnReport(BoxId box, const LeaseReport& report) {
  const auto found = books_.find(report.target);
  if (found == books_.end())
    return;
  const bool known = found->second.accounts.contains(box);
  Account& account = AccountOf(&found->second, box);
  account.in_flight = report.in_flight;
  if (!known) {
    account.granted = report.in_flight;
    account.granted_seen = report.in_flight;
    account.changed = true;
  }
  if (report.epoch != account.epoch)
    return;
  account.returned = std::max(account.returned, report.returned);
  account.granted_seen = std::max(account.granted_seen, report.granted_seen);
  const size_t unseen =
      account.granted - std::min(account.granted, account.granted_seen);
  while (account.pending.size() > unseen) {
    --pending_[{box, account.pending.front()}];
    account.pending.pop_front();
  }
}

void Allocators::OnDemand(BoxId box, const Demand& demand, Millis now) {
  if (demand.queued == 0) {
    const auto found = demands_.find(demand.flow);
    if (found != demands_.end())
      found->second.erase(box);
    return;
  }
  demands_[demand.flow][box] = Waiting{demand, now, Pending(box, demand.flow)};
}

auto Allocators::Pending(BoxId box, Flow flow) const -> int {
  const auto found = pending_.find({box, flow});
  return found == pending_.end() ? 0 : std::max(0, found->second);
}

auto Allocators::Unmet(BoxId box, Flow flow) const -> int {
  const Waiting& waiting = demands_.at(flow).at(box);
  return std::max(0, static_cast<int>(waiting.demand.queued) - waiting.granted);
}

auto Allocators::ServiceAhead(Flow flow) const -> int64_t {
  int64_t service = ledger_->Service(flow);
  for (const auto& [box, waiting] : demands_.at(flow))
    service += Pending(box, flow) * waiting.demand.estimate;
  return service;
}

auto Allocators::WaitingFlows(const TargetView& view) const
    -> std::map<Flow, int64_t> {
  std::map<Flow, int64_t> flows;
  for (const auto& [flow, boxes] : demands_) {
    if (flow.pool != view.pool || !permitted_(flow, view.hall))
      continue;
    const bool unmet = std::ranges::any_of(boxes, [&](const auto& entry) {
      return live_.contains(entry.first) && Unmet(entry.first, flow) > 0;
    });
    if (unmet)
      flows[flow] = ServiceAhead(flow);
  }
  return flows;
}

auto Allocators::OldestBox(Flow flow, Millis now) const -> BoxId {
  BoxId oldest = 0;
  int64_t oldest_age = -1;
  for (const auto& [box, waiting] : demands_.at(flow)) {
    if (!live_.contains(box) || Unmet(box, flow) == 0)
      continue;
    // What was granted since is the older part: the rest is younger.
    const int64_t age =
        (waiting.demand.age_ms + (now - waiting.as_of).count()) /
        (1 + waiting.granted);
    if (age > oldest_age) {
      oldest = box;
      oldest_age = age;
    }
  }
  return oldest;
}

void Allocators::Grant(Books* books, BoxId box, Flow flow) {
  Account& account = AccountOf(books, box);
  ++account.granted;
  account.pending.push_back(flow);
  account.meant_for.push_back(flow.workspace);
  account.changed = true;
  account.urgent = true;
  ++pending_[{box, flow}];
  ++demands_[flow][box].granted;
}

void Allocators::SetKeep(Books* books, bool keep) {
  if (books->keep == keep)
    return;
  books->keep = keep;
  for (auto& [box, account] : books->accounts) {
    account.changed = true;
    account.urgent = account.urgent || (!keep && account.used() > 0);
  }
}

void Allocators::GrantStanding(Books* books) {
  // The boxes with the least held there come first; each gets an equal part.
  const int slots = books->view.slots;
  const int standing = slots * kStandingNumerator / kStandingDenominator;
  const int boxes = static_cast<int>(live_.size());
  if (boxes == 0)
    return;
  const int each = std::max(1, standing / boxes);
  int free = std::min(slots - books->used(), standing - books->used());
  std::vector<std::pair<uint64_t, BoxId>> order;
  for (const BoxId box : live_)
    order.emplace_back(StableHash(std::to_string(box ^ books->view.id)), box);
  std::ranges::sort(order);
  for (const auto& [hash, box] : order) {
    const auto found = books->accounts.find(box);
    int held = found == books->accounts.end() ? 0 : found->second.used();
    for (; held < each && free > 0; ++held, --free) {
      Account& account = AccountOf(books, box);
      ++account.granted;
      account.changed = true;
      account.urgent = true;
    }
  }
}

void Allocators::RunTarget(Books* books, Millis now) {
  if (now < books->opens || books->view.leaving)
    return;
  int free = books->view.slots + kAhead - books->used();
  std::map<Flow, int64_t> waiting = WaitingFlows(books->view);
  while (free > 0 && !waiting.empty()) {
    const Flow flow =
        std::ranges::min_element(waiting, {}, [](const auto& entry) {
          return entry.second;
        })->first;
    Grant(books, OldestBox(flow, now), flow);
    --free;
    waiting = WaitingFlows(books->view);
  }
  if (!waiting.empty()) {
    contended_ = true;
    books->last_unmet = now;
    SetKeep(books, false);
    return;
  }
  if (now - books->last_unmet < kCalm && !books->keep)
    return;
  SetKeep(books, true);
  if (free > 0)
    GrantStanding(books);
}

void Allocators::RaiseLifts(Millis now) {
  std::map<PoolId, std::pair<int64_t, int64_t>> bounds;  // least, most
  const auto begins = [&](Flow flow) {
    const auto found = last_waited_.find(flow);
    return found == last_waited_.end() || now - found->second >= kIdle;
  };
  std::erase_if(demands_,
                [](const auto& entry) { return entry.second.empty(); });
  for (const auto& [flow, boxes] : demands_) {
    if (begins(flow))
      continue;
    const int64_t service = ledger_->Service(flow);
    const auto [found, added] = bounds.try_emplace(flow.pool, service, service);
    found->second.first = std::min(found->second.first, service);
    found->second.second = std::max(found->second.second, service);
  }
  for (const auto& [flow, boxes] : demands_) {
    const auto found = bounds.find(flow.pool);
    if (found != bounds.end()) {
      const auto& [least, most] = found->second;
      const int64_t clamp = most - kClampRequests * LargestEstimate(flow.pool);
      const int64_t start = begins(flow) ? std::max(least, clamp) : clamp;
      ledger_->Lift(flow, start - ledger_->RawService(flow));
    }
    last_waited_[flow] = now;
  }
}

void Allocators::Run(Millis now) {
  RaiseLifts(now);
  contended_ = false;
  for (auto& [target, books] : books_)
    RunTarget(&books, now);
}

auto Allocators::Notices(BoxId box, bool all) -> std::vector<LeaseNotice> {
  std::vector<LeaseNotice> notices;
  for (auto& [target, books] : books_) {
    const auto found = books.accounts.find(box);
    if (found == books.accounts.end())
      continue;
    Account& account = found->second;
    if (!account.changed && !(all && account.used() > 0))
      continue;
    notices.push_back({target, account.epoch, account.granted, books.keep,
                       std::move(account.meant_for)});
    account.meant_for.clear();
    account.changed = false;
    account.urgent = false;
  }
  return notices;
}

auto Allocators::Urgent(BoxId box) const -> bool {
  return std::ranges::any_of(books_, [&](const auto& entry) {
    const auto found = entry.second.accounts.find(box);
    return found != entry.second.accounts.end() && found->second.urgent;
  });
}

auto Allocators::Floors() const -> std::vector<Floor> {
  std::map<PoolId, int64_t> least;
  for (const auto& [target, books] : books_) {
    for (const auto& [flow, service] : WaitingFlows(books.view)) {
      const auto [found, added] = least.try_emplace(flow.pool, service);
      found->second = std::min(found->second, service);
    }
  }
  std::vector<Floor> floors;
  for (const auto& [pool, value] : least)
    floors.push_back({pool, value + kSlackRequests * LargestEstimate(pool)});
  return floors;
}

auto Allocators::LargestEstimate(PoolId pool) const -> int64_t {
  int64_t largest = 0;
  for (const auto& [flow, boxes] : demands_) {
    if (flow.pool != pool)
      continue;
    for (const auto& [box, waiting] : boxes)
      largest = std::max(largest, waiting.demand.estimate);
  }
  return largest;
}

auto Allocators::Usages() const -> std::vector<Usage> {
  std::vector<Usage> usages;
  for (const auto& [target, books] : books_)
    usages.push_back({books.view, books.used(), books.keep});
  return usages;
}

}  // namespace sparbend
