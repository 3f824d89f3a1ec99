// Each target writes its record more than once a second, so their log is
// polled, often enough that a leaving target gets no new work later than it
// may. A call that waits for new records would return for every heartbeat, and
// each call has a cost. For the same reason only one box of a hall, its store
// reader, polls the store. Every datagram has a digest of its sender's list and
// the age of that list, and a box whose digest differs from that of the
// freshest list requests the changes since its own from the sender. Boxes that
// know of no fresh list poll the store themselves, in turn (PollTimer). After
// the first success the others need not poll, so a store reader that crashes or
// is cut off costs at most a second, and an outage causes no burst of calls.
//
// While the store does not answer, the list stays active or is replaced by a
// fresher one of another box. Targets whose records are gone after an outage
// are retained for a while (StoreAvailability); all boxes drop them at the same
// time.
#include "sparbend/services/directory.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "sparbend/core/digest.h"
#include "sparbend/core/past_origins_record.h"
#include "sparbend/core/quarantine_record.h"
#include "sparbend/kernel/log.h"
#include "sparbend/services/admin.h"
#include "sparbend/services/claims.h"
#include "sparbend/services/control_timer.h"

namespace sparbend {
namespace {

// Greatest age at which a list makes reading the store unnecessary, besides the
// time that reports of it take.
constexpr Millis kMaxFreshListAge = Millis(1'150);
// A peer that takes longer to send its list counts as not answering; the rest
// of the two seconds is left for reading the store.
constexpr Millis kListCallTimeout = Millis(400);
constexpr Millis kPollInterval = Millis(50);
// The store is read this long before the list gets out of date, after which
// nothing may be sent to the targets in it.
constexpr Millis kListRenewalLead = Millis(400);
// The records of boxes are read at the start, again once all boxes have written
// theirs, and then at a longer interval, so that a box that starts later
// becomes known within seconds.
constexpr Millis kInitialBoxesReadInterval = Millis(1'000);
constexpr Millis kBoxesReadInterval = Millis(4'000);
constexpr int kInitialBoxesReads = 2;
// A box that is not its hall's store reader gets new boxes from the lists of
// peers. It reads the records itself only while no list is fresh, and then at
// this interval.
constexpr Millis kRareBoxesReadInterval = Millis(20'000);
// How soon they are read after the store was found to be back from a copy,
// which may lack this box's own record.
constexpr Millis kEraCheckInterval = Millis(500);
constexpr Millis kRetryDelay = Millis(250);
// For boxes that others inform meanwhile; all of them may fail at once.
constexpr Millis kBoxesRetryDelay = Millis(2'000);
constexpr Millis kWriteRetryDelay = Millis(1'000);
// A list of at least this age is stale: the store counts as unavailable for
// this box, which then asks peers.
constexpr Millis kStaleListAge = Millis(1'500);
constexpr Millis kPeerPollInterval = Millis(1'000);
// A list that a peer read reflects the store at least this long before the time
// that the peer's report states, which lacks the duration of the peer's call
// and of the report's way.
constexpr Millis kPeerListSlack = Millis(500);
constexpr size_t kMaxBoxRecordBytes = 64 * 1024;
// Persisted origins of streams are written again when they are this old, which
// is short against the time for which they are remembered.
constexpr Millis kOriginsWriteInterval = Millis(30'000);
// JSON-RPC method by which peers get the list.
constexpr const char* kPeerMethod = "directory";

auto HasAddresses(const BoxEntry& box) -> bool {
  return ParseAddress(box.peer_address) && ParseAddress(box.admin_address);
}

// Compares without the times, which pass.
auto SameOrigins(const PastOrigins& one, const PastOrigins& other) -> bool {
  return std::ranges::equal(std::views::keys(one), std::views::keys(other));
}

// Compares without the ages, which grow, so that the own record stays the same
// while nothing else changes.
auto SameSuspicions(const std::vector<Suspicion>& one,
                    const std::vector<Suspicion>& other) -> bool {
  return std::ranges::equal(one, other,
                            [](const Suspicion& a, const Suspicion& b) {
                              return a.suspect == b.suspect &&
                                     a.cleared == b.cleared && a.ends == b.ends;
                            });
}

}  // namespace

Directory::Directory(Kernel* kernel, const Settings& settings)
    : kernel_(kernel),
      settings_(settings),
      poll_timer_(StableHash(settings.name + kStoreReaderRole)) {}

void Directory::Start() {
  source_ = kernel_->Find<DirectorySource>("directory-feed");
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  peers_ = kernel_->Find<Peers>("peers");
  metrics_ = kernel_->Find<Metrics>("metrics");
  admin_ = kernel_->Find<Admin>("admin");
  admin_->AddPeerMethod(kPeerMethod, [this](const std::string& params) {
    const ControlTimer timer(metrics_.get(), ControlWork::kListForPeer);
    return list_answers_.Answer(
        ListRequestFrom(params),
        {known_, targets_end_, list_read_at_, &targets_, &boxes_}, ListAge());
  });
  scheduler_->SetOnPersistedRowsChanged(
      [this] { kernel_->Spawn("directory-own-record", PersistOwnRecord()); });
  kernel_->Spawn("directory-targets", FollowTargets());
  kernel_->Spawn("directory-boxes", FollowBoxes());
  kernel_->Spawn("directory-peers", AskPeersWhileStale());
}

auto Directory::OwnEntry() const -> BoxEntry {
  BoxEntry self;
  self.name = settings_.name;
  self.hall = settings_.hall;
  self.peer_address = scheduler_->peer_address();
  self.admin_address = admin_->peer_rpc_address();
  self.processor = settings_.processor;
  return self;
}

auto Directory::OwnRecord() -> std::string {
  Json record = ToJson(OwnEntry());
  std::vector<Suspicion> persisted_rows =
      scheduler_->node().quarantine().Kept(kernel_->Now());
  if (!SameSuspicions(persisted_rows, persisted_rows_)) {
    persisted_rows_json_ = QuarantineToJson(persisted_rows, WallClock());
    persisted_rows_ = std::move(persisted_rows);
  }
  if (!persisted_rows_.empty())
    record["quarantine"] = persisted_rows_json_;
  if (RefreshPersistedOrigins())
    record["stream_origins"] = persisted_origins_json_;
  return record.dump();
}

// The store reader of each hall writes for all boxes of the hall, which have
// the same list. A single origin is written too: its targets may be replaced
// while no box runs.
auto Directory::RefreshPersistedOrigins() -> bool {
  const Millis now = kernel_->Now();
  Node& node = scheduler_->node();
  PastOrigins past;
  if (node.IsStoreReader(now))
    past = node.origins(now).possible_origins().OfAllRoutes(now);
  if (!SameOrigins(past, persisted_origins_) ||
      now - persisted_origins_at_ >= kOriginsWriteInterval) {
    persisted_origins_json_ = PastOriginsToJson(past, now, WallClock());
    persisted_origins_ = std::move(past);
    persisted_origins_at_ = now;
  }
  return !persisted_origins_.empty();
}

auto Directory::ListAge() const -> Millis {
  return known_ ? kernel_->Now() - list_read_at_ : Millis(INT32_MAX);
}

auto Directory::MaxFreshAge() const -> Millis {
  return kMaxFreshListAge + scheduler_->node().report_lag();
}

// Logs the targets that are retained though their records are gone.
void Directory::RecordRetained() {
  std::map<std::string, Millis> retained_since;
  Json retained = Json::array();
  bool changed = false;
  for (const auto& [name, known] : targets_.known()) {
    if (!known.record_expired)
      continue;
    const auto earlier = retained_since_.find(name);
    const bool first = earlier == retained_since_.end();
    changed = changed || first;
    retained_since[name] = first ? previous_list_read_at_ : earlier->second;
    retained.push_back(name);
  }
  retained_since_ = std::move(retained_since);
  if (changed)
    Log(LogLevel::kInfo, "targets-kept-without-record",
        {{"targets", retained}});
}

// Logs the targets that get no more work from now on.
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
    const auto retained = retained_since_.find(target.name);
    const Millis last_known = retained == retained_since_.end()
                                  ? previous_list_read_at_
                                  : retained->second;
    metrics_->withdrawal_seconds.Observe(
        static_cast<double>((now - last_known).count()) / 1'000);
  }
  Log(LogLevel::kInfo, "directory",
      {{"version", list.version},
       {"targets", list.targets.size()},
       {"leaving", list.targets.size() - usable.size()},
       {"withdrawn", withdrawn},
       {"list_before_ms_ago", (now - previous_list_read_at_).count()},
       {"boxes", list.boxes.size()},
       {"era", targets_end_.era},
       {"read_to", targets_end_.offset}});
}

void Directory::Publish() {
  MemberList list;
  list.version = ++version_;
  list.targets = targets_.entries(kernel_->Now());
  for (const auto& [name, box] : boxes_)
    list.boxes.push_back(box);
  LogPublished(list);
  const auto self = boxes_.find(settings_.name);
  if (self == boxes_.end() || !(self->second == OwnEntry()))
    scheduler_->node().Introduce(OwnEntry());
  scheduler_->SetList(list);
  // A first list comes before this box has read the records of boxes.
  if (!stored_record_.empty() && OwnRecord() != stored_record_)
    kernel_->Spawn("directory-own-record", PersistOwnRecord());
}

void Directory::EnterEra(LogPosition end) {
  if (end.era <= targets_end_.era)
    return;
  scheduler_->node().OnStoreEra(end.era, kernel_->Now());
  if (targets_end_ == LogPosition())
    return;
  Log(LogLevel::kWarning, "targets-log-returned",
      {{"era", end.era},
       {"offset", end.offset},
       {"era_before", targets_end_.era},
       {"offset_before", targets_end_.offset}});
}

auto Directory::ApplyTargets(const KeyedPage& page) -> bool {
  EnterEra(page.end());
  const Millis now = kernel_->Now();
  const bool uncertain =
      scheduler_->node().store_availability().RecordsMayHaveExpired(now);
  const Removal removal =
      uncertain ? Removal::kUnconfirmed : Removal::kConfirmed;
  bool changed = false;
  std::set<std::string> names;
  for (const KeyedRecord& record : page.records) {
    const LogPosition position = page.PositionOf(record);
    if (!record.value) {
      changed = targets_.Drop(record.key, position, removal) || changed;
      continue;
    }
    const Result<TargetEntry> entry =
        source_->decode_target(record.key, *record.value);
    if (entry) {
      names.insert(record.key);
      changed = targets_.Put(*entry, position, now) || changed;
      continue;
    }
    // Other writers can put records there too, which describe no usable target.
    const bool removed = targets_.RejectRecord(record.key, position);
    changed = removed || changed;
    Log(LogLevel::kError, "target-unreadable",
        {{"target", record.key},
         {"ended", removed},
         {"why", entry.error().detail}});
  }
  if (page.full)
    changed = targets_.Retain(names, page.end(), removal) || changed;
  targets_end_ = std::max(targets_end_, page.end());
  return changed;
}

auto Directory::Digest() const -> uint32_t {
  if (!digest_)
    digest_ = DigestOf(targets_, boxes_);
  return *digest_;
}

void Directory::OnListChanged() {
  digest_.reset();
  list_answers_.Clear();
}

void Directory::SetListReadAt(Millis read_at) {
  list_answers_.Clear();
  previous_list_read_at_ = std::exchange(list_read_at_, read_at);
  scheduler_->node().SetDirectory(Digest(), read_at);
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
  const ControlTimer timer(metrics_.get(), ControlWork::kListRead);
  bool changed = ApplyTargets(*page) || !known_;
  if (!scheduler_->node().store_availability().RecordsMayHaveExpired(now))
    changed = targets_.RemoveExpiredTargets() || changed;
  known_ = true;
  OnListChanged();
  SetListReadAt(now);
  if (changed)
    Publish();
  RecordRetained();
  if (page->has_more)
    co_return;
  store_read_sent_at_ = sent;
  AdvanceListReflects(sent);
  for (const std::shared_ptr<asio::steady_timer>& wait : list_waits_)
    wait->cancel();
}

void Directory::AdvanceListReflects(Millis at) {
  if (at <= list_reflects_ ||
      scheduler_->node().store_availability().RecordsMayHaveExpired(at))
    return;
  list_reflects_ = at;
  if (on_list_read_)
    on_list_read_();
}

auto Directory::WaitForListSince(Millis at, Millis span)
    -> asio::awaitable<bool> {
  list_needed_since_ = std::max(list_needed_since_, at);
  const Millis until = kernel_->Now() + span;
  const auto wait = std::make_shared<asio::steady_timer>(kernel_->io());
  wait->expires_after(std::chrono::milliseconds(span.count()));
  list_waits_.insert(wait);
  while (store_read_sent_at_ < at && kernel_->Now() < until)
    co_await wait->async_wait(kAwait);
  list_waits_.erase(wait);
  co_return store_read_sent_at_ >= at;
}

// A record whose removal was uncertain when the list was read may be known to
// be gone since then, after a report of a peer that reached the store all the
// time.
void Directory::RemoveLapsed() {
  if (scheduler_->node().store_availability().RecordsMayHaveExpired(
          list_read_at_) ||
      !targets_.RemoveExpiredTargets())
    return;
  OnListChanged();
  SetListReadAt(list_read_at_);
  Publish();
  RecordRetained();
}

auto Directory::CheckPeerLists() -> asio::awaitable<PeerListCheck> {
  const Millis now = kernel_->Now();
  const auto freshest =
      scheduler_->node().FreshestDirectory(MaxFreshAge(), now);
  if (!known_ || !freshest || now - freshest->read_at > MaxFreshAge())
    co_return PeerListCheck::kNothing;
  if (freshest->digest == Digest()) {
    if (freshest->read_at > list_read_at_)
      SetListReadAt(freshest->read_at);
    AdvanceListReflects(freshest->read_at - kPeerListSlack);
    co_return PeerListCheck::kUpToDate;
  }
  // This box's list is at least as fresh, or the peer's was got before.
  if (freshest->read_at <=
      std::max(list_read_at_, requested_list_read_at_ + kPollInterval))
    co_return PeerListCheck::kUpToDate;
  const Result<Json> answer = co_await peers_->Call(
      freshest->box, kPeerMethod, ToJson(NextRequest()), kListCallTimeout);
  ApplyPeerAnswer(answer, now, "peer");
  if (answer)
    requested_list_read_at_ = freshest->read_at;
  // A list that was not applied must not be requested again at once.
  co_await Sleep(kPollInterval);
  co_return answer ? PeerListCheck::kUpToDate : PeerListCheck::kFailed;
}

auto Directory::FollowTargets() -> asio::awaitable<void> {
  KeyedLogReader reader(source_->targets);
  Millis read_at;
  while (true) {
    RemoveLapsed();
    const Millis now = kernel_->Now();
    const bool is_store_reader = scheduler_->node().IsStoreReader(now);
    PeerListCheck peer_check = PeerListCheck::kNothing;
    const bool newer_needed = store_read_sent_at_ < list_needed_since_;
    if (!is_store_reader && !newer_needed)
      peer_check = co_await CheckPeerLists();
    // No box polled the store in time, and soon this box could send no
    // requests.
    if (peer_check == PeerListCheck::kNothing &&
        scheduler_->node().IsListOutOfDate(now + kListRenewalLead))
      peer_check = PeerListCheck::kFailed;
    if (!ShouldReadStore({known_, is_store_reader, store_.lost(), peer_check,
                          now - read_at, poll_timer_.Due(now), newer_needed})) {
      // A poll that came due while a peer's list was fresh is put off.
      // Otherwise this box and all others of its hall would read at once when
      // reports stop.
      if (peer_check == PeerListCheck::kUpToDate && poll_timer_.Due(now))
        poll_timer_.MarkPolled(scheduler_->node().members().list().boxes.size(),
                               now);
      co_await kernel_->SleepUntilTick(kPollInterval);
      continue;
    }
    read_at = now;
    poll_timer_.MarkPolled(scheduler_->node().members().list().boxes.size(),
                           now);
    co_await ReadTargets(&reader);
  }
}

auto Directory::ApplyBoxes(const KeyedPage& page) -> bool {
  OnListChanged();
  bool changed = false;
  boxes_era_ = page.era;
  if (page.full)
    stored_record_.clear();
  for (const KeyedRecord& record : page.records) {
    if (record.key == settings_.name)
      stored_record_ = record.value.value_or("");
    if (!record.value) {
      changed = boxes_.erase(record.key) > 0 || changed;
      continue;
    }
    const Result<Json> json = ParseJson(*record.value, kMaxBoxRecordBytes);
    const std::optional<BoxEntry> entry =
        json ? BoxFrom(record.key, *json) : std::nullopt;
    if (!entry || !HasAddresses(*entry)) {
      Log(LogLevel::kWarning, "box-unreadable", {{"box", record.key}});
      continue;
    }
    RestoreQuarantine(record.key, *json);
    scheduler_->node().AddPastOrigins(
        PastOriginsFrom(*json, kernel_->Now(), WallClock()));
    BoxEntry& known = boxes_[record.key];
    changed = changed || !(known == *entry);
    known = *entry;
  }
  return changed;
}

auto Directory::WriteOwnRecord() -> asio::awaitable<bool> {
  const std::string record = OwnRecord();
  if (stored_record_ == record)
    co_return true;
  const Result<int64_t> written =
      co_await source_->boxes.write(settings_.name, record);
  if (written)
    stored_record_ = record;
  else
    Log(LogLevel::kWarning, "own-record-unwritten",
        {{"why", written.error().detail}});
  co_return written.has_value();
}

auto Directory::PersistOwnRecord() -> asio::awaitable<void> {
  if (std::exchange(persisting_, true))
    co_return;
  // A change during a write is written by the next one.
  while (stored_record_ != OwnRecord()) {
    const bool written = co_await WriteOwnRecord();
    if (!written)
      co_await Sleep(kWriteRetryDelay);
  }
  persisting_ = false;
}

void Directory::RestoreQuarantine(const std::string& box, const Json& record) {
  Quarantine& quarantine = scheduler_->node().quarantine();
  const std::vector<Suspicion> rows = QuarantineFrom(record, WallClock());
  if (box == settings_.name)
    quarantine.Restore(rows, kernel_->Now());
  else
    quarantine.UpdateFromPeer(rows, kernel_->Now());
}

// A box that gets its list from peers may first learn of a new era from their
// reports on the configuration.
auto Directory::HasBoxesOfEra() const -> bool {
  const LogPosition config = scheduler_->node().HighestConfigPosition().first;
  return boxes_era_ >= std::max(targets_end_.era, config.era);
}

auto Directory::WaitForBoxesRead(Millis interval) -> asio::awaitable<void> {
  const Millis until = kernel_->Now() + interval;
  do {
    co_await Sleep(std::min(interval, kEraCheckInterval));
  } while (kernel_->Now() < until && HasBoxesOfEra());
}

auto Directory::FollowBoxes() -> asio::awaitable<void> {
  KeyedLogReader reader(source_->boxes);
  int reads = 0;
  Millis read_at;
  while (true) {
    const Millis now = kernel_->Now();
    const bool is_store_reader = scheduler_->node().IsStoreReader(now);
    const bool up_to_date =
        HasBoxesOfEra() &&
        (has_fresh_list() || now - read_at < kRareBoxesReadInterval);
    if (reads >= kInitialBoxesReads && !is_store_reader && up_to_date) {
      co_await WaitForBoxesRead(kBoxesReadInterval);
      continue;
    }
    read_at = now;
    const Result<KeyedPage> page = co_await reader.Step(Millis(0));
    if (!page) {
      const bool is_needed = is_store_reader || reads < kInitialBoxesReads;
      co_await Sleep(is_needed ? kRetryDelay : kBoxesRetryDelay);
      continue;
    }
    if (ApplyBoxes(*page) && known_)
      Publish();
    scheduler_->node().origins(kernel_->Now()).SetPastKnown();
    const bool written = co_await WriteOwnRecord();
    if (!written)
      kernel_->Spawn("directory-own-record", PersistOwnRecord());
    co_await WaitForBoxesRead(++reads < kInitialBoxesReads
                                  ? kInitialBoxesReadInterval
                                  : kBoxesReadInterval);
  }
}

auto Directory::NextRequest() const -> ListRequest {
  return {known_ && !needs_whole_list_ ? targets_end_ : LogPosition(),
          DigestOf(boxes_), DigestOf(targets_)};
}

// The age in the answer is counted from the time of the call: a busy box reads
// the answer some time after it was composed, and must not take the list for
// fresher than it is.
void Directory::ApplyPeerAnswer(const Result<Json>& json,
                                Millis asked,
                                const std::string& from) {
  if (!json)
    return;  // the next poll asks again
  const ControlTimer timer(metrics_.get(), ControlWork::kListFromPeer);
  const std::optional<ListAnswer> answer = ListAnswerFrom(*json);
  if (!answer)
    return;
  const Millis read_at = asked - answer->age;
  if ((known_ && read_at <= list_read_at_) || answer->end < targets_end_ ||
      answer->from > targets_end_)
    return;
  EnterEra(answer->end);
  const bool uncertain =
      scheduler_->node().store_availability().RecordsMayHaveExpired(
          kernel_->Now());
  const Removal removal =
      uncertain ? Removal::kUnconfirmed : Removal::kConfirmed;
  bool changed = Apply(*answer, read_at, removal, &targets_) || !known_;
  for (const auto& [name, box] : answer->boxes) {
    if (HasAddresses(box))
      changed = boxes_.emplace(name, box).second || changed;
  }
  known_ = true;
  targets_end_ = answer->end;
  needs_whole_list_ = answer->from != LogPosition() && answer->targets_digest &&
                      answer->targets_digest != DigestOf(targets_);
  OnListChanged();
  SetListReadAt(read_at);
  if (changed || needs_whole_list_)
    Log(LogLevel::kInfo, "directory-from-peer",
        {{"from", from},
         {"age_ms", answer->age.count()},
         {"era", answer->end.era},
         {"read_to", answer->end.offset},
         {"changes_since", answer->from.offset},
         {"entries", answer->targets.size()},
         {"differs", needs_whole_list_}});
  if (changed)
    Publish();
  if (!needs_whole_list_)
    AdvanceListReflects(read_at - kPeerListSlack);
}

auto Directory::AskPeersWhileStale() -> asio::awaitable<void> {
  size_t next_peer = 0;
  while (true) {
    co_await Sleep(known_ ? kPeerPollInterval : kRetryDelay);
    if (ListAge() < kStaleListAge)
      continue;
    const Millis asked = kernel_->Now();
    const std::vector<BoxId> live = peers_->Live();
    if (!live.empty()) {
      const BoxId peer = live[next_peer++ % live.size()];
      const Result<Json> answer =
          co_await peers_->Call(peer, kPeerMethod, ToJson(NextRequest()));
      ApplyPeerAnswer(answer, asked, "peer");
    } else if (!settings_.seeds.empty() && store_.lost()) {
      const std::string& seed =
          settings_.seeds[next_peer++ % settings_.seeds.size()];
      if (seed == settings_.peer_rpc_address)
        continue;
      const Result<Json> answer =
          co_await peers_->CallAt(seed, kPeerMethod, ToJson(NextRequest()));
      ApplyPeerAnswer(answer, asked, "seed");
    }
  }
}

}  // namespace sparbend
