// The keepers of a stream are the boxes with the highest rendezvous hash of its
// key: two of the hall of the box that began it, where its client usually comes
// back, and one of all other halls, which remains if the hall fails. Each box
// computes them from its own list and its own view of which boxes are live.
// These views differ for a while after a change, so one more box of each hall
// is asked than gets reports.
//
// A report states a fact that does not change, so its loss or repetition does
// not lead to a wrong answer: a stream that no box knows is not resumed where
// several origins are possible. It is sent while a single origin is possible,
// too: the box may be killed before it knows of the second one, or before it
// could report what it began, while other boxes know of it. Reports to keepers
// by stream would then be most of what boxes send, for streams that are hardly
// ever asked for. So all go to the same two boxes, ten datagrams a second at
// most, and asking for such a stream costs a question to each box.
#include "sparbend/core/origin_exchange.h"

#include <algorithm>

#include "sparbend/core/candidates.h"

namespace sparbend {
namespace {

constexpr size_t kKeepersInHall = 2;
constexpr size_t kKeepers = 3;
constexpr size_t kOwnKeepersInHall = 1;
constexpr size_t kOwnKeepers = 2;
// Streams of a box that is killed are unknown if they began within this time
// before: short against the seconds that streams last.
constexpr Millis kCollectTime = Millis(200);
constexpr size_t kAskedInHall = 3;
constexpr size_t kAskedInOtherHall = 2;
// About 100 bytes each; a box with 36 new streams per second that each keeps
// for two minutes knows some 20,000, those of which it is a keeper included.
constexpr size_t kMaxStreams = 65'536;

auto LeftMs(Millis expires, Millis now) -> uint32_t {
  return static_cast<uint32_t>(
      std::clamp<int64_t>((expires - now).count(), 0, UINT32_MAX));
}

}  // namespace

OriginExchange::OriginExchange(const Members* members, std::string hall)
    : members_(members), hall_(std::move(hall)), table_(kMaxStreams) {}

auto OriginExchange::HighestRanked(StreamKey stream,
                                   const std::vector<BoxId>& boxes,
                                   size_t count,
                                   Millis now) const -> std::vector<BoxId> {
  std::vector<std::pair<uint64_t, BoxId>> ranked;
  for (const BoxId box : boxes) {
    if (members_->IsLive(box, now))
      ranked.emplace_back(HashPair(stream, box), box);
  }
  if (ranked.empty()) {
    for (const BoxId box : boxes)
      ranked.emplace_back(HashPair(stream, box), box);
  }
  count = std::min(count, ranked.size());
  std::ranges::partial_sort(ranked, ranked.begin() + static_cast<long>(count),
                            std::greater());
  std::vector<BoxId> highest;
  for (size_t i = 0; i < count; ++i)
    highest.push_back(ranked[i].second);
  return highest;
}

auto OriginExchange::Keepers(uint64_t key,
                             size_t in_hall,
                             size_t count,
                             Millis now) const -> std::vector<BoxId> {
  std::vector<BoxId> keepers =
      HighestRanked(key, members_->OtherBoxesOf(hall_), in_hall, now);
  std::vector<BoxId> outside;
  for (const std::string& hall : members_->Halls()) {
    if (hall == hall_)
      continue;
    const std::vector<BoxId>& boxes = members_->OtherBoxesOf(hall);
    outside.insert(outside.end(), boxes.begin(), boxes.end());
  }
  for (const BoxId box :
       HighestRanked(key, outside, count - keepers.size(), now))
    keepers.push_back(box);
  return keepers;
}

auto OriginExchange::KeepersOf(StreamKey stream, Millis now) const
    -> std::vector<BoxId> {
  return Keepers(stream, kKeepersInHall, kKeepers, now);
}

auto OriginExchange::OwnKeepers(Millis now) const -> std::vector<BoxId> {
  return Keepers(members_->self(), kOwnKeepersInHall, kOwnKeepers, now);
}

auto OriginExchange::BoxesToAsk(StreamKey stream, Millis now) const
    -> std::vector<BoxId> {
  std::vector<BoxId> asked;
  for (const std::string& hall : members_->Halls()) {
    for (const BoxId box :
         HighestRanked(stream, members_->OtherBoxesOf(hall),
                       hall == hall_ ? kAskedInHall : kAskedInOtherHall, now))
      asked.push_back(box);
  }
  return asked;
}

void OriginExchange::SetPossibleOrigins(const OriginsByRoute& present,
                                        Millis now) {
  for (const RouteId route : possible_.Update(present, now))
    ReportAmongSeveral(table_.TakeUnpersisted(route, now), now);
}

void OriginExchange::AddPastOrigins(const RouteTable& routes,
                                    const PastOrigins& past,
                                    Millis now) {
  for (const RouteId route : possible_.AddPast(routes, past, now))
    ReportAmongSeveral(table_.TakeUnpersisted(route, now), now);
}

void OriginExchange::OnStreamBegan(StreamKey stream,
                                   const StreamOriginTable::Entry& entry,
                                   Millis now) {
  StreamOriginTable::Entry recorded = entry;
  recorded.persisted = possible_.Of(entry.route, now).size() > 1;
  table_.Record(stream, recorded, now);
  if (recorded.persisted) {
    ReportAmongSeveral({{stream, recorded}}, now);
    return;
  }
  if (collected_.empty())
    collected_since_ = now;
  collected_.emplace_back(stream, recorded);
}

void OriginExchange::SendCollected(Millis now) {
  if (collected_.empty() || now - collected_since_ < kCollectTime)
    return;
  std::vector<OriginRecord> records;
  for (const auto& [stream, entry] : collected_)
    records.push_back(
        {stream, entry.route, entry.origin, LeftMs(entry.expires, now)});
  collected_.clear();
  for (const BoxId keeper : OwnKeepers(now))
    SendReports(keeper, records);
}

void OriginExchange::AddPersisted(const std::vector<OriginRecord>& records,
                                  Millis now) {
  for (const OriginRecord& record : records) {
    if (table_.Find(record.stream, now) == nullptr)
      Keep(record, now);
  }
}

void OriginExchange::ReportAmongSeveral(
    const std::vector<StreamOriginTable::Row>& rows,
    Millis now) {
  Report(rows, now);
  if (on_own_persistable_ && !rows.empty())
    on_own_persistable_(rows);
}

void OriginExchange::Report(const std::vector<StreamOriginTable::Row>& rows,
                            Millis now) {
  std::map<BoxId, std::vector<OriginRecord>> by_keeper;
  for (const auto& [stream, entry] : rows) {
    for (const BoxId keeper : KeepersOf(stream, now))
      by_keeper[keeper].push_back(
          {stream, entry.route, entry.origin, LeftMs(entry.expires, now)});
  }
  for (const auto& [keeper, records] : by_keeper)
    SendReports(keeper, records);
}

void OriginExchange::SendReports(BoxId keeper,
                                 const std::vector<OriginRecord>& records) {
  for (size_t i = 0; i < records.size(); i += kMaxRecordsPerReport) {
    OriginMessage report;
    report.sender = members_->self();
    const auto begin = records.begin() + static_cast<long>(i);
    const size_t count = std::min(kMaxRecordsPerReport, records.size() - i);
    report.records.assign(begin, begin + static_cast<long>(count));
    outgoing_.push_back({keeper, std::move(report)});
  }
}

void OriginExchange::SendQuestion(uint32_t number,
                                  const Question& question,
                                  BoxId to) {
  OriginMessage message;
  message.kind = OriginMessageKind::kQuestion;
  message.sender = members_->self();
  message.question = number;
  message.stream = question.stream;
  message.route = question.route;
  outgoing_.push_back({to, std::move(message)});
}

auto OriginExchange::Ask(StreamKey stream, RouteId route, Millis now)
    -> uint32_t {
  const uint32_t number = ++last_question_;
  Question& question = questions_[number];
  question.stream = stream;
  question.route = route;
  for (const BoxId box : BoxesToAsk(stream, now))
    question.unanswered.insert(box);
  AskAgain(number);
  return number;
}

void OriginExchange::AskAll(uint32_t number, Millis now) {
  const auto found = questions_.find(number);
  if (found == questions_.end())
    return;
  const std::vector<BoxId> asked = BoxesToAsk(found->second.stream, now);
  for (const std::string& hall : members_->Halls()) {
    for (const BoxId box : members_->OtherBoxesOf(hall)) {
      if (!members_->IsLive(box, now) ||
          std::ranges::find(asked, box) != asked.end())
        continue;
      found->second.unanswered.insert(box);
      SendQuestion(number, found->second, box);
    }
  }
}

void OriginExchange::AskAgain(uint32_t number) {
  const Question* question = Find(number);
  if (question == nullptr)
    return;
  for (const BoxId box : question->unanswered)
    SendQuestion(number, *question, box);
}

auto OriginExchange::Find(uint32_t question) const -> const Question* {
  const auto found = questions_.find(question);
  return found == questions_.end() ? nullptr : &found->second;
}

auto OriginExchange::OnMessage(const OriginMessage& message, Millis now)
    -> std::optional<OriginMessage> {
  switch (message.kind) {
    case OriginMessageKind::kQuestion:
      return AnswerTo(message, now);
    case OriginMessageKind::kReport:
      OnReport(message, now);
      break;
    case OriginMessageKind::kAnswer:
      OnAnswerMessage(message, now);
      break;
  }
  return std::nullopt;
}

void OriginExchange::OnReport(const OriginMessage& report, Millis now) {
  for (const OriginRecord& record : report.records)
    Keep(record, now);
}

void OriginExchange::Keep(const OriginRecord& record, Millis now) {
  table_.Record(record.stream,
                {record.origin, record.route, now + Millis(record.left_ms),
                 /*persisted=*/true},
                now);
}

auto OriginExchange::AnswerTo(const OriginMessage& question, Millis now) const
    -> std::optional<OriginMessage> {
  const StreamOriginTable::Entry* entry = table_.Find(question.stream, now);
  if (!past_known_ && entry == nullptr)
    return std::nullopt;
  OriginMessage answer = question;
  answer.kind = OriginMessageKind::kAnswer;
  answer.sender = members_->self();
  answer.possible = possible_.Of(question.route, now);
  if (entry != nullptr)
    answer.records = {{question.stream, entry->route, entry->origin,
                       LeftMs(entry->expires, now)}};
  return answer;
}

void OriginExchange::OnAnswerMessage(const OriginMessage& answer, Millis now) {
  const auto found = questions_.find(answer.question);
  if (found == questions_.end() || found->second.stream != answer.stream ||
      found->second.unanswered.erase(answer.sender) == 0)
    return;
  Question& question = found->second;
  ++question.answers;
  question.possible.insert(answer.possible.begin(), answer.possible.end());
  for (const OriginRecord& record : answer.records) {
    if (record.stream != question.stream)
      continue;
    question.origin = record.origin;
    OnReport(answer, now);
  }
  if (on_answer_)
    on_answer_(answer.question);
}

auto OriginExchange::TakeOutgoing() -> std::vector<Outgoing> {
  return std::exchange(outgoing_, {});
}

}  // namespace sparbend
