// Within one run of the process the version of the configuration only grows, no
// matter whether it comes from the store or from a peer, so neither an outdated
// replica of the store nor a slow peer can revert it. Boxes send each other the
// position up to which they know the records of operators. The position covers
// configurations and evacuated halls alike, so an evacuated hall becomes known
// to all boxes as fast as a new configuration does.
//
// Invariant: what stands before the position that a box sends to others is in
// use there. While the newest configuration can't be decoded the position stays
// where it is; otherwise a peer that asks this box would get an older
// configuration and take itself for up to date.
//
// When the store comes back from an older copy, a new era begins and the boxes
// read all records anew. Until operators have written again what the copy
// lacks, the boxes keep what they know: the version, which boxes that start get
// from the others, and the state of each hall.
//
// A box that has seen that the store has no newer records tells its peers when
// that was (Node::OnConfigConfirmed). Nothing else vouches for the
// configuration: a list of targets that was just read says nothing about it.
//
// Following the store and following peers are separate tasks, so a store that
// hangs does not delay what peers already know.
#include "sparbend/services/declarations.h"

#include <ranges>

#include "sparbend/core/config_reading.h"
#include "sparbend/core/digest.h"
#include "sparbend/kernel/log.h"
#include "sparbend/services/admin.h"
#include "sparbend/services/control_timer.h"

namespace sparbend {
namespace {

// A call that waits for new records is answered within this time and then
// repeated. On a connection that has gone silent it fails only after this time
// and the time limit of a call, 800 ms, and is repeated after a pause of
// 250 ms. Together that is within the two seconds in which a change must be
// active, even if all readers of the fleet are affected at once.
constexpr Millis kStoreReadWait = Millis(600);
constexpr Millis kSeedRetryDelay = Millis(250);
// One box of a hall, its store reader, waits for new records of the store. The
// others get to know of a new version from it, and read the store in turn once
// the configuration is unconfirmed (Node). While it is confirmed, all of them
// together poll the store about twice a second.
constexpr PollRate kRarePollRate = {550, 300'000};
constexpr Millis kPollInterval = Millis(50);
// When a peer knows newer records, this box tries for this long to read them
// from the store before it asks the peer.
constexpr Millis kStoreReadTime = Millis(300);
// A peer that takes longer to send its configuration counts as not answering.
// Three can be asked within the two seconds in which a change must be active.
constexpr Millis kPeerCallTime = Millis(400);
// Pause after a peer was asked for its configuration.
constexpr Millis kPeerRetryDelay = Millis(200);
// JSON-RPC method by which peers get the configuration.
constexpr const char* kPeerMethod = "declarations";

}  // namespace

Declarations::Declarations(Kernel* kernel, const Settings& settings)
    : kernel_(kernel),
      settings_(settings),
      poll_timer_(StableHash(settings.name)),
      rare_poll_timer_(StableHash(settings.name), kRarePollRate) {}

void Declarations::Start() {
  source_ = kernel_->Find<DeclarationSource>("declarations-feed");
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  peers_ = kernel_->Find<Peers>("peers");
  directory_ = kernel_->Find<Directory>("directory");
  metrics_ = kernel_->Find<Metrics>("metrics");
  level_at_ = kernel_->Now();
  answered_at_ = kernel_->Now();
  kernel_->Find<Admin>("admin")->AddPeerMethod(
      kPeerMethod,
      [this](const std::string&) { return StateForPeers().dump(); });
  kernel_->Spawn("declarations-store", FollowStore());
  kernel_->Spawn("declarations-peers", FollowPeers());
  kernel_->Spawn("declarations-seeds", AskSeeds());
}

auto Declarations::ready() const -> bool {
  return version_ > 0 && directory_->known();
}

auto Declarations::not_ready_reason() const -> std::string {
  return version_ == 0 ? "no configuration has been read yet"
                       : "no list of targets has been read yet";
}

auto Declarations::StateForPeers() const -> Json {
  return Json{{"version", version_},
              {"document", document_},
              {"era", position_.era},
              {"offset", position_.offset},
              {"evacuated_halls", evacuated_halls_.halls()}};
}

auto Declarations::ApplyDocument(const std::string& document,
                                 LogPosition end,
                                 const std::string& from) -> bool {
  const Millis decode_start = kernel_->Now();
  const Result<DeclaredCatalog> declared = source_->decode(document);
  if (!declared) {
    Log(LogLevel::kError, "configuration-unreadable",
        {{"from", from}, {"why", declared.error().detail}});
    return false;
  }
  if (declared->version <= version_)
    return true;
  const Millis now = kernel_->Now();
  const Millis behind = scheduler_->node().pending_changes().OldestAge(now);
  metrics_->configuration_lag_seconds.Observe(
      static_cast<double>(behind.count()) / 1'000);
  Log(LogLevel::kInfo, "configuration-taken",
      {{"version", declared->version},
       {"era", end.era},
       {"offset", end.offset},
       {"behind_ms", behind.count()},
       {"decode_ms", (now - decode_start).count()},
       {"read_ms_ago", (now - answered_at_).count()},
       {"read_delay_ms", scheduler_->ReadDelay(now).count()},
       {"before", version_},
       {"from", from},
       {"routes", declared->catalog->routes().size()},
       {"workspaces", declared->catalog->workspaces().size()},
       {"pools", declared->catalog->pools().size()}});
  version_ = declared->version;
  document_ = document;
  catalog_ = declared->catalog;
  scheduler_->SetCatalog(catalog_);
  scheduler_->SetConfigPosition(position_, version_);
  return true;
}

void Declarations::SetPosition(LogPosition position,
                               bool halls_changed,
                               const std::string& from) {
  if (position <= position_ && !halls_changed)
    return;
  position_ = std::max(position_, position);
  scheduler_->SetEvacuatedHalls(evacuated_halls_.halls());
  scheduler_->SetConfigPosition(position_, version_);
  if (halls_changed)
    Log(LogLevel::kWarning, "evacuated-halls",
        {{"halls", evacuated_halls_.halls()},
         {"era", position_.era},
         {"offset", position_.offset},
         {"from", from}});
}

auto Declarations::ApplyNewestDocument(const KeyedPage& page) -> bool {
  bool is_newest = true;
  for (const KeyedRecord& record : page.records | std::views::reverse) {
    if (record.key != source_->key || !record.value)
      continue;
    if (ApplyDocument(*record.value, page.end(), "store"))
      return is_newest;
    is_newest = false;
  }
  return is_newest && position_ == read_to_;
}

void Declarations::EnterEra(LogPosition end) {
  if (read_to_ == LogPosition() || end.era <= read_to_.era)
    return;
  // Spread over a second, as all boxes of the fleet read anew.
  const Millis spread(static_cast<int64_t>(StableHash(settings_.name) % 1'000));
  reread_at_ = kernel_->Now() + StoreAvailability::kRewriteTime + spread;
  Log(LogLevel::kWarning, "operators-log-returned",
      {{"era", end.era},
       {"offset", end.offset},
       {"era_before", read_to_.era},
       {"offset_before", read_to_.offset},
       {"version", version_}});
}

auto Declarations::ApplyHalls(const KeyedPage& page) -> bool {
  EnterEra(page.end());
  const bool may_lack_orders = page.full && reread_at_;
  bool changed = false;
  std::set<std::string> named;
  for (const KeyedRecord& record : page.records) {
    const std::optional<std::string> hall = source_->evacuated_hall(record.key);
    if (!hall)
      continue;
    if (record.value)
      named.insert(*hall);
    if (may_lack_orders)
      continue;
    const LogPosition position = page.PositionOf(record);
    const bool record_changed = record.value
                                    ? evacuated_halls_.Put(*hall, position)
                                    : evacuated_halls_.Drop(*hall, position);
    changed = changed || record_changed;
  }
  if (may_lack_orders)
    return evacuated_halls_.AddUnknown(named, page.end());
  if (page.full)
    changed = evacuated_halls_.Retain(named, page.end()) || changed;
  return changed;
}

void Declarations::ApplyPage(const KeyedPage& page) {
  const ControlTimer timer(metrics_.get(), ControlWork::kConfiguration);
  const bool decoded = ApplyNewestDocument(page);
  const bool halls_changed = ApplyHalls(page);
  read_to_ = std::max(read_to_, page.end());
  SetPosition(decoded ? page.end() : position_, halls_changed, "store");
}

void Declarations::ApplyPeerAnswer(const Result<Json>& answer,
                                   const std::string& from) {
  if (!answer)
    return;  // the next poll asks again
  const ControlTimer timer(metrics_.get(), ControlWork::kConfiguration);
  std::vector<Problem> problems;
  FieldReader reader(*answer, kPeerMethod, &problems);
  const int64_t version = reader.Integer("version", {0, INT64_MAX}, 0);
  const std::string document = reader.String("document", "");
  // Builds without this field read a store without eras.
  const LogPosition position{reader.Integer("era", {0, INT64_MAX}, 0),
                             reader.Integer("offset", {0, INT64_MAX}, 0)};
  std::set<std::string> halls;
  for (std::string& hall : reader.Strings("evacuated_halls"))
    halls.insert(std::move(hall));
  if (!problems.empty())
    return;
  const bool decoded =
      version <= version_ || ApplyDocument(document, position, from);
  EnterEra(position);
  read_to_ = std::max(read_to_, position);
  if (!decoded)
    undecodable_version_ = std::max(undecodable_version_, version);
  if (!decoded || position <= position_)
    return;
  // The peer may have started after the store's return, and know nothing else
  // than the copy.
  if (reread_at_) {
    SetPosition(position, evacuated_halls_.AddUnknown(halls, position), from);
    return;
  }
  bool changed = evacuated_halls_.Retain(halls, position);
  for (const std::string& hall : halls)
    changed = evacuated_halls_.Put(hall, position.Previous()) || changed;
  SetPosition(position, changed, from);
}

auto Declarations::CanConfirm() const -> bool {
  return !store_.lost() && position_ == read_to_;
}

// An empty answer was composed at the end of the wait, any other one at an
// unknown time after the call was sent.
void Declarations::Confirm(const KeyedPage& page, Millis sent, Millis wait) {
  if (!CanConfirm() || page.has_more)
    return;
  const Millis waited = page.records.empty() ? wait : Millis(0);
  scheduler_->node().OnConfigConfirmed(std::min(sent + waited, kernel_->Now()));
}

// A poll that comes due while the configuration is confirmed is put off, except
// by a box that lost the store: without a call it would never take a turn
// again. In an outage this keeps the calls of all boxes together at a low rate.
auto Declarations::PollDue(Millis now) -> bool {
  if (!CanConfirm())
    return poll_timer_.Due(now);
  if (rare_poll_timer_.Due(now))
    return true;
  if (poll_timer_.Due(now))
    poll_timer_.MarkPolled(ListedBoxCount(), now);
  return false;
}

void Declarations::MarkPolled(Millis now) {
  poll_timer_.MarkPolled(ListedBoxCount(), now);
  rare_poll_timer_.MarkPolled(ListedBoxCount(), now);
}

auto Declarations::ListedBoxCount() const -> size_t {
  return scheduler_->node().members().list().boxes.size();
}

void Declarations::LogRole(bool is_store_reader) {
  if (std::exchange(is_store_reader_, is_store_reader) == is_store_reader)
    return;
  Log(LogLevel::kInfo, "store-reader",
      {{"reads_for_hall", is_store_reader},
       {"read_ms_ago", (kernel_->Now() - answered_at_).count()}});
}

auto Declarations::FollowStore() -> asio::awaitable<void> {
  KeyedLogReader reader(source_->log);
  Millis read_at;
  while (true) {
    const Millis now = kernel_->Now();
    const bool is_store_reader = scheduler_->node().IsStoreReader(now);
    LogRole(is_store_reader);
    // A box that sees from datagrams that there are newer records reads them
    // from the store itself. In a large fleet, serving them to all others would
    // overload a single box.
    const bool peer_is_ahead =
        scheduler_->node().HighestConfigPosition().first > read_to_;
    const std::optional<Millis> reread_at = reread_at_;
    const bool is_reread_due = reread_at && now >= *reread_at;
    const bool is_turn =
        CanConfirm() && scheduler_->node().IsConfigReadDue(now);
    if (!is_reread_due &&
        !ShouldReadConfig({is_store_reader, peer_is_ahead, is_turn,
                           scheduler_->ReadDelay(now), now - read_at,
                           PollDue(now)})) {
      co_await kernel_->SleepUntilTick(kPollInterval);
      continue;
    }
    if (is_reread_due)
      reader.Restart();
    read_at = now;
    MarkPolled(now);
    const Millis wait = is_store_reader ? kStoreReadWait : Millis(0);
    const Result<KeyedPage> page = co_await reader.Step(wait);
    if (!page) {
      store_.RecordFailure(page.error().detail, kernel_->Now());
      co_await Sleep(store_.pause());
      continue;
    }
    if (is_reread_due && reread_at_ == reread_at)
      reread_at_.reset();
    ApplyPage(*page);
    answered_at_ = kernel_->Now();
    store_.RecordSuccess(answered_at_);
    Confirm(*page, read_at, wait);
  }
}

// A peer that did not help is asked again only after all others that have newer
// records. A box that could not decode the newest record asks nobody for a
// higher version.
auto Declarations::FollowPeers() -> asio::awaitable<void> {
  const Json no_params = Json::object();
  std::set<BoxId> asked;  // without success since then
  while (true) {
    const Millis now = kernel_->Now();
    const Node& node = scheduler_->node();
    const bool peer_is_ahead =
        node.HighestConfigPosition().first > read_to_ ||
        (position_ == read_to_ && node.HighestConfigVersion(now) >
                                      std::max(version_, undecodable_version_));
    if (!peer_is_ahead) {
      level_at_ = now;
      asked.clear();
    }
    const bool store_time_over =
        store_.lost() || now - level_at_ >= kStoreReadTime;
    const std::optional<BoxId> peer =
        scheduler_->node().ConfigSource(asked, now);
    if (!peer)
      asked.clear();
    if (peer && peer_is_ahead && store_time_over) {
      const Result<Json> answer =
          co_await peers_->Call(*peer, kPeerMethod, no_params, kPeerCallTime);
      ApplyPeerAnswer(answer, "peer");
      asked.insert(*peer);
      co_await Sleep(kPeerRetryDelay);
    }
    co_await kernel_->SleepUntilTick(kPollInterval);
  }
}

// A box that starts while it can't reach the store asks the seed boxes of its
// settings until it knows a configuration.
auto Declarations::AskSeeds() -> asio::awaitable<void> {
  const Json no_params = Json::object();
  while (version_ == 0) {
    co_await Sleep(kSeedRetryDelay);
    if (!store_.lost())
      continue;
    for (const std::string& seed : settings_.seeds) {
      if (version_ != 0 || seed == settings_.peer_rpc_address)
        continue;
      const Result<Json> answer =
          co_await peers_->CallAt(seed, kPeerMethod, no_params);
      ApplyPeerAnswer(answer, "seed");
    }
  }
}

}  // namespace sparbend
