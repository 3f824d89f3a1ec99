// A word states levels; the next one makes a lost one good. Two boxes add up
// for each hall, each on its own, so one that dies or stops costs nothing: the
// other's sums go on. Who they are follows from who lives (Members), without
// agreement: a box that wrongly thinks it adds up counts fewer boxes, and sums
// that count fewer are not believed while others come.
//
// That a box lives is told by the members named in sums, and besides by its own
// word to one other box of the hall in turn, with news of third boxes: that
// needs nobody in particular to live.
//
// Invariant: in a large fleet the books of other boxes' work (Placement,
// FairShares) have one source, the fleet's sum less this box's own part.
#include "sparbend/core/load_report_exchange.h"

#include <algorithm>
#include <unordered_map>

namespace sparbend {
namespace {

// So many boxes at most tell each other directly: words are fresher than sums,
// and each box hears some fifty a second.
constexpr size_t kMostDirect = 24;
// Under direct words one goes out this often for each box in the fleet, within
// bounds: what all boxes send together then grows with their number, not with
// its square.
constexpr int64_t kWordMsPerBox = 12;
constexpr int64_t kLeastWordMs = 100;
constexpr int64_t kMostWordMs = 500;
// Words to those who add up, and their sums. A box that adds up for seventy
// hears 280 words a second, a fiftieth of a core; what a box knows of others is
// a quarter of a second old in the mean, and at most kWordMs and kSumMs.
constexpr int64_t kWordMs = 250;
constexpr int64_t kSumMs = 400;
// Words are so much of their interval earlier or later, in all: boxes in step
// would all act on a view of the same age alike.
constexpr int64_t kSpreadPercent = 50;
constexpr size_t kUsagesPerWord = 16;
constexpr size_t kDenialsPerWord = 16;
// News of third boxes in a word: a hall of seventy is told within a second.
constexpr size_t kNewsPerWord = 8;
constexpr size_t kNewsPerWhole = 2;
constexpr Millis kWhole = Millis(2'000);
// Words remembered, to be taken out of sums: over two seconds' worth.
constexpr size_t kTold = 12;
// A sum that counts fewer boxes than the one believed is believed after so long
// without that one; less than a tenth fewer does not matter.
constexpr Millis kFewerAfter = Millis(1'000);
constexpr uint32_t kFewerPercent = 90;
// The source of the fleet's sum in the books.
constexpr BoxId kFleet = 0;
// Far more than the requests that a fleet can have at one target.
constexpr uint32_t kMostRunning = 1'000'000;

auto Less(uint32_t sum, uint32_t own) -> uint32_t {
  return sum > own ? sum - own : 0;
}

auto Without(std::vector<TargetLoad> sum, const std::vector<TargetLoad>& own)
    -> std::vector<TargetLoad> {
  std::unordered_map<TargetId, const TargetLoad*> parts;
  for (const TargetLoad& row : own)
    parts[row.target] = &row;
  for (TargetLoad& row : sum) {
    const auto part = parts.find(row.target);
    if (part == parts.end())
      continue;
    row.running = Less(row.running, part->second->running);
    row.waiting_tokens = Less(row.waiting_tokens, part->second->waiting_tokens);
    row.memory_tokens = Less(row.memory_tokens, part->second->memory_tokens);
  }
  std::erase_if(sum, [](const TargetLoad& row) {
    return row.running == 0 && row.waiting_tokens == 0 &&
           row.memory_tokens == 0;
  });
  return sum;
}

// `own` was told `age` ago and has faded since.
auto Without(std::vector<FlowValue> sum,
             const std::vector<FlowValue>& own,
             Millis age) -> std::vector<FlowValue> {
  std::map<Flow, int64_t> parts;
  for (const FlowValue& value : own)
    parts[value.flow] = FairUsage::DecayedAfter(value.value, age);
  for (FlowValue& value : sum) {
    const auto part = parts.find(value.flow);
    if (part != parts.end())
      value.value = std::max<int64_t>(0, value.value - part->second);
  }
  return sum;
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

auto Plausible(const Datagram& sum, size_t listed) -> bool {
  return sum.sum.boxes <= listed &&
         std::ranges::all_of(sum.loads,
                             [](const TargetLoad& row) {
                               return row.running <= kMostRunning;
                             }) &&
         std::ranges::all_of(sum.services, [](const FlowValue& value) {
           return value.value >= 0;
         });
}

}  // namespace

LoadReportExchange::LoadReportExchange(std::string name,
                                       std::string hall,
                                       Members* members,
                                       IngressScheduler* entry)
    : name_(std::move(name)),
      hall_(std::move(hall)),
      members_(members),
      entry_(entry),
      aggregators_(hall_, members) {}

auto LoadReportExchange::Summing() const -> bool {
  return members_->list().boxes.size() > kMostDirect;
}

auto LoadReportExchange::SumAge(Millis now) const -> Millis {
  return summing_ ? now - sum_taken_ : Millis(0);
}

auto LoadReportExchange::Lag() const -> Millis {
  return summing_ ? Millis(kWordMs + kSumMs) : Millis(0);
}

auto LoadReportExchange::Take(const Datagram& datagram, Millis now)
    -> std::error_code {
  const std::optional<Datagram> whole = assembly_.Take(datagram);
  if (!whole)
    return {};
  if (whole->kind != DatagramKind::kLoadReport)
    return TakeSum(*whole, now);
  TakeWord(*whole, now);
  return {};
}

void LoadReportExchange::TakeWord(const Datagram& word, Millis now) {
  if (!summing_) {
    entry_->placement().UpdateFromPeer(word.sender, word.loads, word.homes,
                                       now);
    entry_->fair_shares().UpdateFromPeer(word.sender, word.services,
                                         word.denials, now);
    return;
  }
  const BoxEntry* sender = members_->Find(word.sender);
  if (aggregating_ && sender != nullptr && sender->hall == hall_)
    sums_.TakeWord(word, now);
}

auto LoadReportExchange::TakeSum(const Datagram& sum, Millis now)
    -> std::error_code {
  const BoxEntry* sender = members_->Find(sum.sender);
  if (sender == nullptr || !summing_)
    return Errc::kRefused;
  const bool near = sender->hall == hall_;
  if ((sum.kind == DatagramKind::kFleetAggregate) != near)
    return Errc::kRefused;
  if (!Plausible(sum, members_->list().boxes.size()))
    return Errc::kInvalid;
  aggregators_.OnSum(sum.sender, now);
  for (const MemberNews& news : sum.members)
    members_->OnMemberNews(news, now);
  if (near)
    TakeFleetSum(sum, now);
  else if (aggregating_)
    sums_.TakeHallSum(sender->hall, sum, now);
  return {};
}

// The word of this box that is in `sum`; nothing if none is.
auto LoadReportExchange::EchoOf(const Datagram& sum) const -> const Told* {
  const auto own =
      std::ranges::find(sum.members, members_->self(), &MemberNews::box);
  if (own == sum.members.end() || own->incarnation != members_->incarnation())
    return nullptr;
  const auto told = std::ranges::find(told_, own->heartbeat, &Told::heartbeat);
  return told == told_.end() ? nullptr : &*told;
}

void LoadReportExchange::TakeFleetSum(const Datagram& sum, Millis now) {
  const bool believed = sum.sender == sum_from_ ||
                        sum.sum.boxes * 100 >= sum_boxes_ * kFewerPercent ||
                        now - sum_taken_ >= kFewerAfter;
  if (!believed)
    return;
  sum_from_ = sum.sender;
  sum_boxes_ = sum.sum.boxes;
  sum_taken_ = now;
  boxes_ = std::max<size_t>(1, sum.sum.boxes);
  entry_->SetBoxCount(static_cast<int>(boxes_));
  static const Told nothing;
  const Told* echo = EchoOf(sum);
  const Told& own = echo == nullptr ? nothing : *echo;
  entry_->placement().UpdateFromPeer(kFleet, Without(sum.loads, own.loads),
                                     sum.homes, now);
  entry_->fair_shares().UpdateFromPeer(
      kFleet, Without(sum.services, own.served, now - own.at),
      Without(sum.denials, own.denied, now - own.at), now);
}

void LoadReportExchange::SetMode(Millis now) {
  if (Summing() != summing_) {
    summing_ = !summing_;
    entry_->placement().ClearPeerReports();
    entry_->fair_shares().ClearPeerReports();
    sum_taken_ = now;
    sum_boxes_ = 0;
  }
  if (!summing_) {
    aggregating_ = false;
    return;
  }
  near_ = aggregators_.Near(now);
  aggregating_ = std::erase(near_, members_->self()) > 0;
}

auto LoadReportExchange::WordInterval() const -> int64_t {
  if (summing_)
    return kWordMs;
  const auto peers = static_cast<int64_t>(members_->list().boxes.size()) - 1;
  return std::clamp(peers * kWordMsPerBox, kLeastWordMs, kMostWordMs);
}

// News that all boxes tell on at once leaves their words in step; then what
// each believes of targets and flows is a whole interval old for all together,
// and all act on it alike. Words of uneven spacing come apart again.
auto LoadReportExchange::Spread(int64_t interval, uint32_t turn) const
    -> Millis {
  const int64_t spread = interval * kSpreadPercent / 100;
  const uint64_t chance = StableHash(name_ + "/" + std::to_string(turn));
  return Millis(interval - spread / 2 +
                static_cast<int64_t>(chance % static_cast<uint64_t>(spread)));
}

auto LoadReportExchange::WordDue(Millis now) const -> bool {
  return now - word_at_ >= Spread(WordInterval(), words_);
}

auto LoadReportExchange::OwnWord(const Datagram& head, Millis now) -> Datagram {
  Datagram word = head;
  word.heartbeat = ++words_;
  word.sequence = ++sequence_;
  word.loads = entry_->placement().loads().OwnRows();
  word.homes = entry_->placement().homes().Recent(now);
  word.services = entry_->fair_shares().OwnServed(kUsagesPerWord, now);
  word.denials = entry_->fair_shares().OwnDenied(kDenialsPerWord, now);
  if (summing_) {
    word.members = members_->NextNews(kNewsPerWord);
  } else if (now - whole_at_ >= kWhole) {
    word.members = members_->NextNews(kNewsPerWhole);
    whole_at_ = now;
  }
  told_.push_back(
      {word.heartbeat, word.loads, word.services, word.denials, now});
  if (told_.size() > kTold)
    told_.pop_front();
  return word;
}

// For those who do not add up for this box: what its head says is all they use.
auto LoadReportExchange::News(const Datagram& word) -> Datagram {
  Datagram news = word;
  news.loads.clear();
  news.homes.clear();
  news.services.clear();
  news.denials.clear();
  return news;
}

auto LoadReportExchange::Sample() -> std::vector<BoxId> {
  const std::vector<BoxId>& boxes = members_->BoxesOf(hall_);
  if (boxes.empty())
    return {};
  if (sampled_ == 0)  // boxes begin at different places
    sampled_ = StableHash(name_) % boxes.size();
  return {boxes[++sampled_ % boxes.size()]};
}

void LoadReportExchange::TellWord(const Datagram& head,
                                  Urgency urgency,
                                  Millis now,
                                  std::vector<Message>* messages) {
  word_at_ = now;
  const Datagram word = OwnWord(head, now);
  std::vector<BoxId> all;
  for (const std::string& hall : members_->Halls()) {
    const std::vector<BoxId>& boxes = members_->BoxesOf(hall);
    if (urgency == Urgency::kFleet || hall == hall_ || !summing_)
      all.insert(all.end(), boxes.begin(), boxes.end());
  }
  if (!summing_) {
    Send(word, all, messages);
    return;
  }
  if (aggregating_)
    sums_.TakeWord(word, now);
  std::vector<BoxId> others = urgency == Urgency::kNone ? Sample() : all;
  std::erase_if(others, [&](BoxId box) {
    return std::ranges::find(near_, box) != near_.end();
  });
  Send(word, near_, messages);
  Send(News(word), others, messages);
}

void LoadReportExchange::AddSum(const Datagram& head,
                                Datagram sum,
                                const std::vector<BoxId>& to,
                                std::vector<Message>* messages) {
  Datagram whole = head;
  whole.kind = sum.kind;
  whole.sum = sum.sum;
  whole.heartbeat = words_;
  whole.sequence = ++sequence_;
  whole.members = std::move(sum.members);
  whole.loads = std::move(sum.loads);
  whole.homes = std::move(sum.homes);
  whole.services = std::move(sum.services);
  whole.denials = std::move(sum.denials);
  Send(whole, to, messages);
}

void LoadReportExchange::TellSums(const Datagram& head,
                                  Millis now,
                                  std::vector<Message>* messages) {
  sums_at_ = now;
  ++sums_told_;
  AddSum(head, sums_.HallSum(now), aggregators_.Far(now), messages);
  Datagram fleet = sums_.FleetSum(now);
  fleet.sender = members_->self();
  TakeFleetSum(fleet, now);
  AddSum(head, std::move(fleet), members_->BoxesOf(hall_), messages);
}

auto LoadReportExchange::DueMessages(const Datagram& head,
                                     Urgency urgency,
                                     Millis now) -> std::vector<Message> {
  std::vector<Message> messages;
  SetMode(now);
  if (members_->list().boxes.size() < 2)
    return messages;
  if (urgency != Urgency::kNone || WordDue(now))
    TellWord(head, urgency, now, &messages);
  if (aggregating_ && now - sums_at_ >= Spread(kSumMs, sums_told_))
    TellSums(head, now, &messages);
  return messages;
}

}  // namespace sparbend
