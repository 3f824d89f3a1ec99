// Versions only rise within the life of a process, whichever way a
// configuration came; so neither a copy of the store that is behind nor a
// slow peer takes one back. Boxes tell each other the offset up to which they
// know what operators wrote: that covers configurations and emptied halls
// alike, and a hall that is to be empty is known to all as soon as a new
// version is.
//
// Following the store and following peers are two tasks: a store that hangs
// delays nothing that peers already know.
#include "sparbend/services/declarations.h"

#include "sparbend/core/digest.h"
#include "sparbend/kernel/log.h"
#include "sparbend/services/admin.h"

namespace sparbend {
namespace {

// A held call to the store is answered within this time, and then made
// again. A dead connection is noticed a little later, which must be well
// within the three seconds in which a box may lag after an outage.
constexpr Millis kHold = Millis(2'000);
constexpr Millis kPauseAfterFailure = Millis(250);
// One box of a hall waits on the store. The others hear of a new version from
// it, and look for themselves now and then (PollTimer), in case all who wait
// are cut off. While boxes that wait are heard to reach the store, others look
// about twice a second in the whole fleet.
constexpr LookRate kRareLooks = {550, 300'000};
constexpr Millis kLook = Millis(50);
// What peers have is asked of the store first, for so long.
constexpr Millis kStoreFirst = Millis(300);
// Between two calls for versions that peers have: a fifth of the time in which
// a change must be in force, so that of a quick succession not each is read.
constexpr Millis kPauseBehind = Millis(400);
// A configuration that a peer was seen to have is asked for again after this.
constexpr Millis kPauseAfterPeer = Millis(200);
constexpr const char* kMethod = "declarations";

}  // namespace

Declarations::Declarations(Kernel* kernel, const Settings& settings)
    : kernel_(kernel),
      settings_(settings),
      looks_(StableHash(settings.name)),
      rare_looks_(StableHash(settings.name), kRareLooks) {}

void Declarations::Start() {
  feed_ = kernel_->Find<DeclarationSource>("declarations-feed");
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  peers_ = kernel_->Find<Peers>("peers");
  directory_ = kernel_->Find<Directory>("directory");
  kernel_->Find<Admin>("admin")->AddPeerMethod(
      kMethod, [this](const std::string&) { return Tell().dump(); });
  kernel_->Spawn("declarations-store", FollowStore());
  kernel_->Spawn("declarations-peers", FollowPeers());
  kernel_->Spawn("declarations-seeds", AskSeeds());
}

auto Declarations::ready() const -> bool {
  return version_ > 0 && directory_->known();
}

auto Declarations::why_not_ready() const -> std::string {
  return version_ == 0 ? "no configuration has been read yet"
                       : "no list of targets has been read yet";
}

auto Declarations::Tell() const -> Json {
  return Json{{"version", version_},
              {"document", document_},
              {"offset", offset_},
              {"evacuated_halls", halls_.halls()}};
}

void Declarations::Take(const std::string& document, const std::string& from) {
  const Result<DeclaredCatalog> declared = feed_->decode(document);
  if (!declared) {
    Log(LogLevel::kError, "configuration-unreadable",
        {{"from", from}, {"why", declared.error().detail}});
    return;
  }
  if (declared->version <= version_)
    return;
  Log(LogLevel::kInfo, "configuration-taken",
      {{"version", declared->version},
       {"before", version_},
       {"from", from},
       {"routes", declared->catalog->routes().size()},
       {"workspaces", declared->catalog->workspaces().size()},
       {"pools", declared->catalog->pools().size()}});
  version_ = declared->version;
  document_ = document;
  catalog_ = declared->catalog;
  scheduler_->SetCatalog(catalog_, offset_);
}

void Declarations::SetOffset(int64_t offset,
                             bool halls_changed,
                             const std::string& from) {
  if (offset <= offset_ && !halls_changed)
    return;
  offset_ = std::max(offset_, offset);
  scheduler_->SetEvacuatedHalls(halls_.halls(), offset_);
  if (halls_changed)
    Log(LogLevel::kWarning, "evacuated-halls",
        {{"halls", halls_.halls()}, {"offset", offset_}, {"from", from}});
}

void Declarations::TakePage(const KeyedPage& page) {
  bool halls_changed = false;
  std::set<std::string> named;
  for (const KeyedRecord& record : page.records) {
    if (record.key == feed_->key) {
      if (record.value)
        Take(*record.value, "store");
      continue;
    }
    const std::optional<std::string> hall = feed_->evacuated_hall(record.key);
    if (!hall)
      continue;
    if (record.value)
      named.insert(*hall);
    const bool news = record.value ? halls_.Put(*hall, record.offset)
                                   : halls_.Drop(*hall, record.offset);
    halls_changed = halls_changed || news;
  }
  if (page.whole)
    halls_changed = halls_.Retain(named, page.next) || halls_changed;
  SetOffset(page.next, halls_changed, "store");
}

void Declarations::TakeAnswer(const Result<Json>& answer,
                              const std::string& from) {
  if (!answer)
    return;  // the next look asks again
  std::vector<Problem> problems;
  FieldReader reader(*answer, kMethod, &problems);
  const int64_t version = reader.Integer("version", {0, INT64_MAX}, 0);
  const std::string document = reader.String("document", "");
  const int64_t offset = reader.Integer("offset", {0, INT64_MAX}, 0);
  std::set<std::string> halls;
  for (std::string& hall : reader.Strings("evacuated_halls"))
    halls.insert(std::move(hall));
  if (!problems.empty())
    return;
  if (version > version_)
    Take(document, from);
  if (offset <= offset_)
    return;
  bool changed = halls_.Retain(halls, offset);
  for (const std::string& hall : halls)
    changed = halls_.Put(hall, offset - 1) || changed;
  SetOffset(offset, changed, from);
}

// A look that was due while others were heard to look is put off.
auto Declarations::LookDue(Millis now) -> bool {
  if (!directory_->fresh())
    return looks_.Due(now);
  if (rare_looks_.Due(now))
    return true;
  if (looks_.Due(now))
    looks_.MarkPolled(Boxes(), now);
  return false;
}

void Declarations::MarkPolled(Millis now) {
  looks_.MarkPolled(Boxes(), now);
  rare_looks_.MarkPolled(Boxes(), now);
}

auto Declarations::Boxes() const -> size_t {
  return scheduler_->node().members().list().boxes.size();
}

auto Declarations::FollowStore() -> asio::awaitable<void> {
  KeyedLogReader reader(feed_->log);
  Millis looked;
  while (true) {
    const Millis now = kernel_->Now();
    const bool waits = scheduler_->node().IsStoreReader(now);
    // Who hears of something newer reads it itself: one box handing it to all
    // others would be too much for that box when there are many.
    const bool behind = scheduler_->node().HighestOffset().first > offset_ &&
                        now - looked >= kPauseBehind;
    if (!waits && !behind && !LookDue(now)) {
      co_await kernel_->SleepToTick(kLook);
      continue;
    }
    looked = now;
    MarkPolled(now);
    const Millis hold = waits ? kHold : Millis(0);
    const Result<KeyedPage> page = co_await reader.Step(hold);
    if (!page) {
      store_.RecordFailure(page.error().detail, kernel_->Now());
      co_await Sleep(store_.pause());
      continue;
    }
    store_.RecordSuccess(kernel_->Now());
    TakePage(*page);
  }
}

auto Declarations::FollowPeers() -> asio::awaitable<void> {
  const Json nothing = Json::object();
  Millis level_at = kernel_->Now();  // when no peer was ahead
  while (true) {
    const auto [highest, peer] = scheduler_->node().HighestOffset();
    const Millis now = kernel_->Now();
    if (highest <= offset_)
      level_at = now;
    const bool store_had_its_time =
        store_.lost() || now - level_at >= kStoreFirst;
    if (highest > offset_ && store_had_its_time &&
        peer != scheduler_->node().members().self()) {
      const Result<Json> answer = co_await peers_->Call(peer, kMethod, nothing);
      TakeAnswer(answer, "peer");
      co_await Sleep(kPauseAfterPeer);
    }
    co_await kernel_->SleepToTick(kLook);
  }
}

// A box that starts while the store turns it away asks the boxes that its
// settings name, until it knows a configuration.
auto Declarations::AskSeeds() -> asio::awaitable<void> {
  const Json nothing = Json::object();
  while (version_ == 0) {
    co_await Sleep(kPauseAfterFailure);
    if (!store_.lost())
      continue;
    for (const std::string& seed : settings_.seeds) {
      if (version_ != 0 || seed == settings_.peer_rpc_address)
        continue;
      const Result<Json> answer =
          co_await peers_->CallAt(seed, kMethod, nothing);
      TakeAnswer(answer, "seed");
    }
  }
}

}  // namespace sparbend
