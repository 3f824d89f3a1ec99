// Invariant: own_[t] is the sum of the rows of sent_ for t, with the waiting
// tokens of those whose answer has begun left out.
//
// Invariant: told_[t] is the sum of all rows of words_ for t, so that asking
// for a total does not grow with the number of boxes.
//
// A peer tells levels, not changes, so a lost word does no lasting harm. A
// word older than kTrusted counts for nothing: its box is dead or cut off,
// and its requests end soon.
#include "sparbend/core/load_table.h"

#include <algorithm>
#include <tuple>

namespace sparbend {
namespace {

// Four heartbeats of a box that has nothing new to tell.
constexpr Millis kTrusted = Millis(2'000);
constexpr Millis kExpireInterval = Millis(250);

void Add(const TargetLoad& part, TargetLoad* sum) {
  sum->running += part.running;
  sum->waiting_tokens += part.waiting_tokens;
  sum->memory_tokens += part.memory_tokens;
}

}  // namespace

void LoadTable::Start(RequestId id, const TargetLoad& load, Millis now) {
  Sent sent{load, now, false};
  sent.load.running = 1;
  sent_[id] = sent;
  TargetLoad& own = own_[load.target];
  own.target = load.target;
  Add(sent.load, &own);
}

auto LoadTable::FirstByte(RequestId id, Millis now) -> std::optional<Millis> {
  const auto found = sent_.find(id);
  if (found == sent_.end() || found->second.began)
    return std::nullopt;
  found->second.began = true;
  own_[found->second.load.target].waiting_tokens -=
      found->second.load.waiting_tokens;
  found->second.load.waiting_tokens = 0;
  return now - found->second.since;
}

void LoadTable::Finish(RequestId id) {
  const auto found = sent_.find(id);
  if (found == sent_.end())
    return;
  const TargetLoad& load = found->second.load;
  TargetLoad& own = own_[load.target];
  own.running -= load.running;
  own.waiting_tokens -= load.waiting_tokens;
  own.memory_tokens -= load.memory_tokens;
  if (own.running == 0)
    own_.erase(load.target);
  sent_.erase(found);
}

void LoadTable::Forget(const Word& word) {
  for (const TargetLoad& row : word.rows) {
    TargetLoad& told = told_[row.target];
    told.running -= row.running;
    told.waiting_tokens -= row.waiting_tokens;
    told.memory_tokens -= row.memory_tokens;
    if (told.running == 0 && told.waiting_tokens == 0 &&
        told.memory_tokens == 0)
      told_.erase(row.target);
  }
}

void LoadTable::Expire(Millis now) {
  if (now - expired_at_ < kExpireInterval)
    return;
  expired_at_ = now;
  std::erase_if(words_, [&](const auto& entry) {
    const bool old = now - entry.second.at >= kTrusted;
    if (old)
      Forget(entry.second);
    return old;
  });
}

void LoadTable::ClearPeerReports() {
  words_.clear();
  told_.clear();
}

auto LoadTable::ToldRows() const -> std::vector<TargetLoad> {
  std::vector<TargetLoad> rows;
  rows.reserve(told_.size());
  for (const auto& [target, load] : told_) {
    rows.push_back(load);
    rows.back().target = target;
  }
  return rows;
}

void LoadTable::UpdateFromPeer(BoxId from,
                               const std::vector<TargetLoad>& rows,
                               Millis now) {
  Word& word = words_[from];
  Forget(word);
  word = Word{rows, now};
  for (const TargetLoad& row : rows)
    Add(row, &told_[row.target]);
}

auto LoadTable::Own(TargetId target) const -> TargetLoad {
  const auto found = own_.find(target);
  return found == own_.end() ? TargetLoad{target, 0, 0, 0} : found->second;
}

auto LoadTable::Total(TargetId target) const -> TargetLoad {
  TargetLoad total = Own(target);
  const auto told = told_.find(target);
  if (told != told_.end())
    Add(told->second, &total);
  return total;
}

auto LoadTable::OwnRows() const -> std::vector<TargetLoad> {
  std::vector<TargetLoad> rows;
  rows.reserve(own_.size());
  for (const auto& [target, load] : own_)
    rows.push_back(load);
  std::ranges::sort(rows, [](const TargetLoad& a, const TargetLoad& b) {
    return std::tie(b.running, a.target) < std::tie(a.running, b.target);
  });
  return rows;
}

}  // namespace sparbend
