// Targets tell of themselves more than once a second each, so their log is
// read on a clock, often enough that a leaving target gets no new work later
// than it may; a call held open would wake for every sign of life, and calls
// are paid for. For the same reason one box of a hall reads: every datagram
// tells a digest of its sender's list and how long ago that was read, and a
// box whose digest differs from the freshest one's asks that box for its list.
// Boxes that hear of no fresh list read the store themselves, in turn
// (PollTimer): the first to succeed spares the others, so a reader that dies or
// is cut off costs a second at most, and an outage no storm of calls.
//
// While the store does not answer, the list stands, or another box's younger
// one is taken. Targets whose records are gone after an outage are kept for a
// while (StoreAvailability), by all boxes until the same moment.
#include "sparbend/services/directory.h"

#include <algorithm>
#include <utility>

#include "sparbend/core/digest.h"
#include "sparbend/core/quarantine_record.h"
#include "sparbend/kernel/log.h"
#include "sparbend/services/admin.h"
#include "sparbend/services/claims.h"

namespace sparbend {
namespace {

// A list read so long ago still spares reading the store, besides the time that
// word of it takes.
constexpr Millis kFresh = Millis(1'150);
// A peer that takes longer to hand over its list is asked in vain; the rest of
// the two seconds is left to the store.
constexpr Millis kListCallTime = Millis(400);
constexpr Millis kLook = Millis(50);
// A list is read so long before nothing may be sent by it.
constexpr Millis kReadBefore = Millis(400);
// Boxes' records are read at the start, when all have written theirs, and
// then on a slow clock: a box that starts later is heard of within seconds.
constexpr Millis kBoxesFirst = Millis(1'000);
constexpr Millis kBoxesRefresh = Millis(4'000);
constexpr int kBoxesFirstReads = 2;
// Who does not read for its hall hears of new boxes from its peers' lists, and
// reads only when no list of theirs is fresh.
constexpr Millis kBoxesRarely = Millis(20'000);
constexpr Millis kPauseAfterFailure = Millis(250);
constexpr Millis kPauseAfterUnwritten = Millis(1'000);
// The store counts as away for this box after so long without an answer.
constexpr Millis kStale = Millis(1'500);
constexpr Millis kPeerLook = Millis(1'000);
constexpr int64_t kMostProcessor = 1'000'000;  // thousandths of a core
constexpr size_t kMaxBoxBytes = 64 * 1024;
constexpr const char* kMethod = "directory";

auto ToJson(const TargetTable::Known& known, Millis now) -> Json {
  const TargetEntry& entry = known.entry;
  // Never nothing while its own word says that it is cold: digests tell that.
  const bool cold = entry.cold_left > Millis(0);
  const Millis cold_left =
      cold ? std::max(Millis(1), known.cold_until - now) : Millis(0);
  return Json{{"name", entry.name},           {"hall", entry.hall},
              {"pool", entry.pool},           {"address", entry.address},
              {"slots", entry.slots},         {"leaving", entry.leaving},
              {"born", entry.started_at_ms},  {"beat", entry.beat},
              {"cold_ms", cold_left.count()}, {"offset", known.offset},
              {"lapsed", known.lapsed}};
}

auto TargetFrom(const Json& json, int64_t* offset)
    -> std::optional<TargetEntry> {
  std::vector<Problem> problems;
  FieldReader reader(json, "target", &problems);
  TargetEntry entry;
  entry.name = reader.RequiredString("name");
  entry.hall = reader.RequiredString("hall");
  entry.pool = reader.RequiredString("pool");
  entry.address = reader.RequiredString("address");
  entry.slots = static_cast<int>(reader.Integer("slots", {1, 100'000}, 1));
  entry.leaving = reader.Bool("leaving", false);
  entry.started_at_ms = reader.Integer("born", {0, INT64_MAX}, 0);
  entry.cold_left = Millis(reader.Integer("cold_ms", {0, INT64_MAX}, 0));
  entry.beat = reader.Integer("beat", {0, INT64_MAX}, 0);
  *offset = reader.Integer("offset", {0, INT64_MAX}, 0);
  return problems.empty() ? std::optional(entry) : std::nullopt;
}

auto BoxFrom(const std::string& name, const Json& json)
    -> std::optional<BoxEntry> {
  std::vector<Problem> problems;
  FieldReader reader(json, "box", &problems);
  BoxEntry entry;
  entry.name = name;
  entry.hall = reader.RequiredString("hall");
  entry.peer_address = reader.RequiredString("peers");
  entry.admin_address = reader.RequiredString("rpc");
  entry.processor =
      static_cast<int>(reader.Integer("processor", {0, kMostProcessor}, 0));
  const bool good = problems.empty() && ParseAddress(entry.peer_address) &&
                    ParseAddress(entry.admin_address);
  return good ? std::optional(entry) : std::nullopt;
}

auto ToJson(const BoxEntry& box) -> Json {
  return Json{{"hall", box.hall},
              {"peers", box.peer_address},
              {"rpc", box.admin_address},
              {"processor", box.processor}};
}

// Ages grow, and the record is to stay the same while nothing else changes.
auto SameRequests(const std::vector<Suspicion>& one,
                  const std::vector<Suspicion>& other) -> bool {
  return std::ranges::equal(one, other,
                            [](const Suspicion& a, const Suspicion& b) {
                              return a.request == b.request &&
                                     a.cleared == b.cleared && a.ends == b.ends;
                            });
}

}  // namespace

Directory::Directory(Kernel* kernel, const Settings& settings)
    : kernel_(kernel),
      settings_(settings),
      looks_(StableHash(settings.name + kStoreReaderRole)) {}

void Directory::Start() {
  feed_ = kernel_->Find<DirectorySource>("directory-feed");
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  peers_ = kernel_->Find<Peers>("peers");
  metrics_ = kernel_->Find<Metrics>("metrics");
  admin_ = kernel_->Find<Admin>("admin");
  admin_->AddPeerMethod(kMethod,
                        [this](const std::string&) { return Tell().dump(); });
  scheduler_->SetOnKeptChanged(
      [this] { kernel_->Spawn("directory-quarantine", KeepQuarantine()); });
  kernel_->Spawn("directory-targets", FollowTargets());
  kernel_->Spawn("directory-boxes", FollowBoxes());
  kernel_->Spawn("directory-peers", FollowPeers());
}

auto Directory::OwnRecord() -> std::string {
  BoxEntry self;
  self.hall = settings_.hall;
  self.peer_address = scheduler_->peer_address();
  self.admin_address = admin_->peer_rpc_address();
  self.processor = settings_.processor;
  Json record = ToJson(self);
  std::vector<Suspicion> kept =
      scheduler_->node().quarantine().Kept(kernel_->Now());
  if (!SameRequests(kept, kept_)) {
    kept_json_ = QuarantineToJson(kept, WallClock());
    kept_ = std::move(kept);
  }
  if (!kept_.empty())
    record["quarantine"] = kept_json_;
  return record.dump();
}

auto Directory::Age() const -> Millis {
  return known_ ? kernel_->Now() - told_ : Millis(INT32_MAX);
}

auto Directory::Fresh() const -> Millis {
  return kFresh + scheduler_->node().report_lag();
}

// Lists in the log which targets are kept though their records are gone.
void Directory::NoteKept() {
  std::map<std::string, Millis> kept_since;
  Json kept = Json::array();
  bool changed = false;
  for (const auto& [name, known] : book_.known()) {
    if (!known.lapsed)
      continue;
    const auto before = kept_since_.find(name);
    const bool first = before == kept_since_.end();
    changed = changed || first;
    kept_since[name] = first ? known_at_ : before->second;
    kept.push_back(name);
  }
  kept_since_ = std::move(kept_since);
  if (changed)
    Log(LogLevel::kInfo, "targets-kept-without-record", {{"targets", kept}});
}

// Lists in the log which targets get no more work from here on.
void Directory::LogPublished(const MemberList& list) {
  std::set<std::string> usable;
  for (const TargetEntry& target : list.targets) {
    if (!target.leaving)
      usable.insert(target.name);
  }
  const Millis now = kernel_->Now();
  Json withdrawn = Json::array();
  for (const TargetEntry& target :
       scheduler_->node().members().list().targets) {
    if (target.leaving || usable.contains(target.name))
      continue;
    withdrawn.push_back(target.name);
    const auto kept = kept_since_.find(target.name);
    const Millis last_known =
        kept == kept_since_.end() ? known_at_ : kept->second;
    metrics_->withdrawal_seconds.Observe(
        static_cast<double>((now - last_known).count()) / 1'000);
  }
  Log(LogLevel::kInfo, "directory",
      {{"version", list.version},
       {"targets", list.targets.size()},
       {"leaving", list.targets.size() - usable.size()},
       {"withdrawn", withdrawn},
       {"list_before_ms_ago", (now - known_at_).count()},
       {"boxes", list.boxes.size()},
       {"read_to", end_}});
}

void Directory::Publish() {
  MemberList list;
  list.version = ++version_;
  list.targets = book_.entries(kernel_->Now());
  for (const auto& [name, box] : boxes_)
    list.boxes.push_back(box);
  LogPublished(list);
  scheduler_->SetList(list);
}

auto Directory::TakeTargets(const KeyedPage& page) -> bool {
  const Millis now = kernel_->Now();
  const bool doubtful = scheduler_->node().store_contact().RecordsMayLapse(now);
  const Removal removal = doubtful ? Removal::kDoubtful : Removal::kFinal;
  bool changed = false;
  std::set<std::string> names;
  for (const KeyedRecord& record : page.records) {
    if (!record.value) {
      changed = book_.Drop(record.key, record.offset, removal) || changed;
      continue;
    }
    const Result<TargetEntry> entry =
        feed_->decode_target(record.key, *record.value);
    if (entry) {
      names.insert(record.key);
      changed = book_.Put(*entry, record.offset, now) || changed;
      continue;
    }
    // Others may write there too; what they write names no target to use.
    const bool ended = book_.Refute(record.key, record.offset);
    changed = ended || changed;
    Log(LogLevel::kError, "target-unreadable",
        {{"target", record.key},
         {"ended", ended},
         {"why", entry.error().detail}});
  }
  if (page.whole)
    changed = book_.Retain(names, page.next, removal) || changed;
  end_ = std::max(end_, page.next);
  return changed;
}

auto Directory::FindDigest() const -> uint32_t {
  std::string text;
  for (const auto& [name, known] : book_.known()) {
    text += name;
    text += known.entry.leaving ? "-" : "+";
    text += std::to_string(known.entry.started_at_ms);
    text += known.entry.cold_left > Millis(0) ? "c" : "";
  }
  for (const auto& [name, box] : boxes_)
    text += name;
  return static_cast<uint32_t>(StableHash(text));
}

auto Directory::Digest() const -> uint32_t {
  if (!digest_)
    digest_ = FindDigest();
  return *digest_;
}

void Directory::SetTold(Millis told) {
  known_at_ = std::exchange(told_, told);
  scheduler_->node().SetDirectory(Digest(), told);
}

auto Directory::ReadTargets(KeyedLogReader* reader) -> asio::awaitable<void> {
  const Millis sent = kernel_->Now();
  const Result<KeyedPage> page = co_await reader->Step(Millis(0));
  const Millis now = kernel_->Now();
  if (!page) {
    store_.RecordFailure(page.error().detail, now);
    scheduler_->node().OnStoreFailed(sent);
    co_await Sleep(store_.pause());
    co_return;
  }
  store_.RecordSuccess(now);
  scheduler_->node().OnStoreAnswered(now);
  bool changed = TakeTargets(*page) || !known_;
  if (!scheduler_->node().store_contact().RecordsMayLapse(now))
    changed = book_.EndLapsed() || changed;
  known_ = true;
  digest_.reset();
  SetTold(now);
  if (changed)
    Publish();
  NoteKept();
}

// What was doubtful when it was read need be so no longer, since a peer was
// heard that reached the store all the while.
void Directory::EndLapsed() {
  if (scheduler_->node().store_contact().RecordsMayLapse(told_) ||
      !book_.EndLapsed())
    return;
  digest_.reset();
  SetTold(told_);
  Publish();
  NoteKept();
}

// Takes the freshest list among the peers'.
auto Directory::FollowPeer() -> asio::awaitable<PeerListCheck> {
  const Millis now = kernel_->Now();
  const auto freshest = scheduler_->node().FreshestDirectory(Fresh(), now);
  if (!known_ || !freshest || now - freshest->read_at > Fresh())
    co_return PeerListCheck::kNothing;
  if (freshest->digest == Digest()) {
    if (freshest->read_at > told_)
      SetTold(freshest->read_at);
    co_return PeerListCheck::kSpared;
  }
  // Ours is younger, or is that one.
  if (freshest->read_at <= std::max(told_, asked_for_ + kLook))
    co_return PeerListCheck::kSpared;
  const Json nothing = Json::object();
  const Result<Json> answer =
      co_await peers_->Call(freshest->box, kMethod, nothing, kListCallTime);
  TakeAnswer(answer, now, "peer");
  if (answer)
    asked_for_ = freshest->read_at;
  co_await Sleep(kLook);  // a list that was not taken is not asked for at once
  co_return answer ? PeerListCheck::kSpared : PeerListCheck::kFailed;
}

auto Directory::FollowTargets() -> asio::awaitable<void> {
  KeyedLogReader reader(feed_->targets);
  Millis read_at;
  while (true) {
    EndLapsed();
    const Millis now = kernel_->Now();
    const bool duty = scheduler_->node().IsStoreReader(now);
    PeerListCheck look = PeerListCheck::kNothing;
    if (!duty)
      look = co_await FollowPeer();
    // Nobody's turn came in time: what this box sends would soon be refused.
    if (look == PeerListCheck::kNothing &&
        scheduler_->node().ListOutOfDate(now + kReadBefore))
      look = PeerListCheck::kFailed;
    if (!ReadNow({known_, duty, store_.lost(), look, now - read_at,
                  looks_.Due(now)})) {
      // A box whose turn came while it was spared would read at once when words
      // stop, and all others of its hall with it.
      if (look == PeerListCheck::kSpared && looks_.Due(now))
        looks_.MarkPolled(scheduler_->node().members().list().boxes.size(),
                          now);
      co_await kernel_->SleepToTick(kLook);
      continue;
    }
    read_at = now;
    looks_.MarkPolled(scheduler_->node().members().list().boxes.size(), now);
    co_await ReadTargets(&reader);
  }
}

auto Directory::TakeBoxes(const KeyedPage& page) -> bool {
  digest_.reset();
  bool changed = false;
  for (const KeyedRecord& record : page.records) {
    if (record.key == settings_.name)
      written_ = record.value.value_or("");
    if (!record.value) {
      changed = boxes_.erase(record.key) > 0 || changed;
      continue;
    }
    const Result<Json> json = ParseJson(*record.value, kMaxBoxBytes);
    const std::optional<BoxEntry> entry =
        json ? BoxFrom(record.key, *json) : std::nullopt;
    if (!entry) {
      Log(LogLevel::kWarning, "box-unreadable", {{"box", record.key}});
      continue;
    }
    RestoreQuarantine(record.key, *json);
    BoxEntry& known = boxes_[record.key];
    changed = changed || !(known == *entry);
    known = *entry;
  }
  return changed;
}

auto Directory::WriteOwnRecord() -> asio::awaitable<bool> {
  const std::string record = OwnRecord();
  if (written_ == record)
    co_return true;
  const Result<int64_t> written =
      co_await feed_->boxes.write(settings_.name, record);
  if (written)
    written_ = record;
  else
    Log(LogLevel::kWarning, "own-record-unwritten",
        {{"why", written.error().detail}});
  co_return written.has_value();
}

auto Directory::KeepQuarantine() -> asio::awaitable<void> {
  if (std::exchange(keeping_, true))
    co_return;
  // What changes while it is written is written after.
  while (written_ != OwnRecord()) {
    const bool written = co_await WriteOwnRecord();
    if (!written)
      co_await Sleep(kPauseAfterUnwritten);
  }
  keeping_ = false;
}

void Directory::RestoreQuarantine(const std::string& box, const Json& record) {
  Quarantine& quarantine = scheduler_->node().quarantine();
  const std::vector<Suspicion> rows = QuarantineFrom(record, WallClock());
  if (box == settings_.name)
    quarantine.Restore(rows, kernel_->Now());
  else
    quarantine.UpdateFromPeer(rows, kernel_->Now());
}

auto Directory::FollowBoxes() -> asio::awaitable<void> {
  KeyedLogReader reader(feed_->boxes);
  int reads = 0;
  Millis read_at;
  while (true) {
    const Millis now = kernel_->Now();
    const bool duty = scheduler_->node().IsStoreReader(now);
    const bool spared = fresh() || now - read_at < kBoxesRarely;
    if (reads >= kBoxesFirstReads && !duty && spared) {
      co_await Sleep(kBoxesRefresh);
      continue;
    }
    read_at = now;
    const Result<KeyedPage> page = co_await reader.Step(Millis(0));
    if (!page) {
      co_await Sleep(kPauseAfterFailure);
      continue;
    }
    if (TakeBoxes(*page) && known_)
      Publish();
    co_await WriteOwnRecord();
    co_await Sleep(++reads < kBoxesFirstReads ? kBoxesFirst : kBoxesRefresh);
  }
}

auto Directory::Tell() const -> Json {
  const Millis now = kernel_->Now();
  Json targets = Json::array();
  for (const auto& [name, known] : book_.known())
    targets.push_back(ToJson(known, now));
  Json boxes = Json::object();
  for (const auto& [name, box] : boxes_)
    boxes[name] = ToJson(box);
  return Json{{"known", known_},
              {"age_ms", Age().count()},
              {"end", end_},
              {"targets", targets},
              {"boxes", boxes}};
}

// Ages are counted from the call: a busy box reads the answer later than it was
// made, and must not take the list for younger than it is.
void Directory::TakeAnswer(const Result<Json>& answer,
                           Millis asked,
                           const std::string& from) {
  if (!answer)
    return;  // the next look asks again
  std::vector<Problem> problems;
  FieldReader reader(*answer, kMethod, &problems);
  const Millis age = Millis(reader.Integer("age_ms", {0, INT64_MAX}, 0));
  const int64_t end = reader.Integer("end", {0, INT64_MAX}, 0);
  const Millis read_at = asked - age;
  if (!reader.Bool("known", false) || (known_ && read_at <= told_) ||
      end < end_)
    return;
  const Millis now = kernel_->Now();
  bool changed = !known_;
  std::set<std::string> names;
  for (const Json* json : reader.Objects("targets")) {
    int64_t offset = 0;
    const auto entry = TargetFrom(*json, &offset);
    if (!entry)
      continue;
    names.insert(entry->name);
    changed = book_.Put(*entry, offset, now) || changed;
    if (FieldReader(*json, "target", &problems).Bool("lapsed", false))
      book_.SetLapsed(entry->name, offset);
  }
  changed = book_.RetainTold(names, end) || changed;
  if (const Json* boxes = reader.Object("boxes"); boxes != nullptr) {
    for (const auto& [name, json] : boxes->items()) {
      const auto entry = BoxFrom(name, json);
      if (entry && !boxes_.contains(name)) {
        boxes_[name] = *entry;
        changed = true;
      }
    }
  }
  known_ = true;
  end_ = end;
  digest_.reset();
  SetTold(read_at);
  if (!changed)
    return;
  Log(LogLevel::kInfo, "directory-from-peer",
      {{"from", from}, {"age_ms", age.count()}, {"read_to", end}});
  Publish();
}

auto Directory::FollowPeers() -> asio::awaitable<void> {
  const Json nothing = Json::object();
  size_t turn = 0;
  while (true) {
    co_await Sleep(known_ ? kPeerLook : kPauseAfterFailure);
    if (Age() < kStale)
      continue;
    const Millis asked = kernel_->Now();
    const std::vector<BoxId> live = peers_->Live();
    if (!live.empty()) {
      const BoxId peer = live[turn++ % live.size()];
      const Result<Json> answer = co_await peers_->Call(peer, kMethod, nothing);
      TakeAnswer(answer, asked, "peer");
    } else if (!settings_.seeds.empty() && store_.lost()) {
      const std::string& seed =
          settings_.seeds[turn++ % settings_.seeds.size()];
      if (seed == settings_.peer_rpc_address)
        continue;
      const Result<Json> answer =
          co_await peers_->CallAt(seed, kMethod, nothing);
      TakeAnswer(answer, asked, "seed");
    }
  }
}

}  // namespace sparbend
