// A box without state takes the highest valid of: a peer's snapshot, the log
// (from its start, or from a snapshot in it). Only then does it serve. Once
// loaded it never goes back: the fold's offset only rises, and while the
// platform is out of reach the last accepted state stays in force.
//
// Two boxes of a hall wait on the log; the rest see a peer's higher offset in
// its datagrams and fetch the records there. Each box also looks at the log
// now and then by itself, in case both readers cannot reach it. Following the
// log and following peers are two tasks, so that a log that hangs delays
// nothing that peers already know; records applied twice are passed over.
#include "sparbend/services/config.h"

#include <algorithm>

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

constexpr size_t kTailersPerHall = 2;
constexpr Millis kTailWait = Millis(5'000);
constexpr Millis kRoundPause = Millis(50);
constexpr Millis kPauseAfterFailure = Millis(500);
constexpr int64_t kOwnLookMs = 10'000;
constexpr size_t kRecentBytes = 4 * 1024 * 1024;
constexpr int64_t kSnapshotRecords = 512;
constexpr int64_t kSnapshotMs = 60'000;
constexpr int kPeersAsked = 4;
constexpr Millis kListPatience = Millis(2'000);
constexpr const char* kTailDuty = "config-log";

// Built outside the coroutines: g++ 12 miscompiles braced initialisers inside
// an awaiting expression.
auto FromOffset(int64_t offset) -> Json {
  return Json{{"from", offset}};
}

}  // namespace

ConfigService::ConfigService(Kernel* kernel, const Settings& settings)
    : kernel_(kernel),
      settings_(settings),
      log_(*ParseAddress(settings.log_address), "sparbend/" + settings.name),
      reader_(
          &log_,
          [this](const Decision& decision, const std::string& record) {
            OnRecord(decision, record);
          },
          [this] { InForce(); }),
      random_(StableHash(settings.name)) {}

void ConfigService::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  peers_ = kernel_->Find<Peers>("peers");
  metrics_ = kernel_->Find<Metrics>("metrics");
  kernel_->Spawn("config", Run());
}

auto ConfigService::ready() const -> bool {
  return loaded_ && scheduler_->node().members().list().version > 0;
}

auto ConfigService::why_not_ready() const -> std::string {
  return loaded_ ? "no list of targets has been read yet"
                 : "no configuration has been read yet";
}

void ConfigService::InForce() {
  TrimRecent();
  if (loaded_)
    scheduler_->SetCatalog(fold_.catalog(), fold_.next_offset());
}

// Records kept must end where the fold stands; a snapshot breaks that.
void ConfigService::TrimRecent() {
  const size_t expected = static_cast<size_t>(
      std::max<int64_t>(0, fold_.next_offset() - recent_first_));
  if (recent_.size() != expected) {
    recent_.clear();
    recent_bytes_ = 0;
    recent_first_ = fold_.next_offset();
  }
}

void ConfigService::OnRecord(const Decision& decision,
                             const std::string& record) {
  recent_.push_back(record);
  recent_bytes_ += record.size();
  while (recent_bytes_ > kRecentBytes) {
    recent_bytes_ -= recent_.front().size();
    recent_.pop_front();
    ++recent_first_;
  }
  ++records_since_snapshot_;
  InForce();
  if (decision.outcome == Outcome::kSnapshot) {
    snapshot_seen_ = kernel_->Now();
    records_since_snapshot_ = 0;
    return;
  }
  Log(LogLevel::kInfo, "audit",
      {{"offset", decision.offset},
       {"outcome", ToString(decision.outcome)},
       {"change", decision.change_id},
       {"document", decision.document},
       {"author", decision.author},
       {"reason", decision.reason},
       {"cause", decision.cause}});
}

void ConfigService::TakeRecords(int64_t first,
                                const std::vector<std::string>& records) {
  int64_t offset = first;
  for (const std::string& record : records) {
    if (offset == fold_.next_offset())
      OnRecord(fold_.Apply(offset, record), record);
    ++offset;
  }
}

auto ConfigService::RecordsFrom(int64_t from) const -> Json {
  if (from < recent_first_)
    return Json::object();
  Json records = Json::array();
  size_t bytes = 0;
  for (size_t i = static_cast<size_t>(from - recent_first_);
       i < recent_.size() && bytes < kRecentBytes / 4; ++i) {
    records.push_back(recent_[i]);
    bytes += recent_[i].size();
  }
  return Json{{"first", from}, {"records", records}};
}

auto ConfigService::FetchFrom(BoxId peer) -> asio::awaitable<bool> {
  const Json wanted = FromOffset(fold_.next_offset());
  const Result<Json> records = co_await peers_->Call(peer, "records", wanted);
  if (!records)
    co_return false;
  std::vector<Problem> problems;
  FieldReader reader(*records, "records", &problems);
  const int64_t first = reader.Integer("first", {1, INT64_MAX}, 0);
  const std::vector<std::string> list = reader.Strings("records");
  if (first != 0 && problems.empty()) {
    TakeRecords(first, list);
    co_return true;
  }
  const Json nothing = Json::object();
  const Result<Json> snapshot =
      co_await peers_->Call(peer, "snapshot", nothing);
  if (!snapshot)
    co_return false;
  Result<ConfigFold> restored = DecodeSnapshotRecord(*snapshot);
  if (!restored || restored->next_offset() <= fold_.next_offset())
    co_return false;
  fold_ = std::move(*restored);
  InForce();
  co_return true;
}

auto ConfigService::FromPeers() -> asio::awaitable<bool> {
  int asked = 0;
  for (const BoxId peer : peers_->Listed()) {
    if (++asked > kPeersAsked)
      break;
    if (co_await FetchFrom(peer) && fold_.next_offset() > 1)
      co_return true;
  }
  co_return false;
}

auto ConfigService::TailLog(Millis wait) -> asio::awaitable<bool> {
  const Result<bool> read = co_await reader_.Step(&fold_, wait);
  metrics_->platform_bytes.Increment(
      static_cast<double>(log_.bytes() - counted_bytes_));
  counted_bytes_ = log_.bytes();
  if (!read) {
    Log(LogLevel::kWarning, "log-unreachable",
        {{"error", read.error().code.message()},
         {"detail", read.error().detail}});
    co_return false;
  }
  co_return true;
}

// A box that starts knows nothing of the service received so far: the first
// peer that answers tells. Without any it serves all the same.
auto ConfigService::RecoverLedger() -> asio::awaitable<void> {
  const Millis give_up = kernel_->Now() + kListPatience;
  while (scheduler_->node().members().list().version == 0 &&
         kernel_->Now() < give_up)
    co_await Sleep(kRoundPause);
  int asked = 0;
  const Json nothing = Json::object();
  for (const BoxId peer : peers_->Listed()) {
    if (++asked > kPeersAsked)
      co_return;
    const Result<Json> books = co_await peers_->Call(peer, "ledger", nothing);
    if (books && scheduler_->node().ledger().Import(*books)) {
      Log(LogLevel::kInfo, "books-recovered", Json::object());
      co_return;
    }
  }
}

auto ConfigService::Bootstrap() -> asio::awaitable<void> {
  bool loaded = false;
  while (!loaded) {
    const Result<bool> read = co_await reader_.CatchUp(&fold_);
    loaded = read.has_value();
    if (!loaded) {
      Log(LogLevel::kWarning, "not-ready",
          {{"error", read.error().code.message()},
           {"detail", read.error().detail}});
      loaded = co_await FromPeers();
    }
    if (!loaded)
      co_await Sleep(kPauseAfterFailure);
  }
  co_await RecoverLedger();
  loaded_ = true;
  InForce();
  snapshot_seen_ = kernel_->Now();
  Log(LogLevel::kInfo, "configuration-loaded",
      {{"offset", fold_.next_offset()}});
}

auto ConfigService::IsTailer() const -> bool {
  return scheduler_->node().members().HasRole(kTailDuty, kTailersPerHall,
                                              kernel_->Now());
}

auto ConfigService::MaybeSnapshot() -> asio::awaitable<void> {
  const Millis age = kernel_->Now() - snapshot_seen_;
  // Jitter, so that mostly one of the readers publishes and the others see it.
  const auto due =
      Millis(kSnapshotMs + static_cast<int64_t>(random_() % (kSnapshotMs / 2)));
  const bool many =
      records_since_snapshot_ >=
      kSnapshotRecords + static_cast<int64_t>(random_() % kSnapshotRecords);
  if (fold_.next_offset() <= 1 || (age < due && !many))
    co_return;
  snapshot_seen_ = kernel_->Now();
  records_since_snapshot_ = 0;
  std::vector<std::string> records;
  records.push_back(EncodeSnapshotRecord(fold_));
  const Result<int64_t> appended =
      co_await log_.Append(kConfigStream, std::move(records));
  Log(LogLevel::kInfo, "snapshot",
      {{"offset", fold_.next_offset()}, {"appended", appended.has_value()}});
}

auto ConfigService::FollowPeers() -> asio::awaitable<void> {
  while (true) {
    const auto [highest, peer] = scheduler_->node().HighestConfigOffset();
    const bool behind = highest > fold_.next_offset() &&
                        peer != scheduler_->node().members().self();
    if (behind && !co_await FetchFrom(peer))
      co_await Sleep(kPauseAfterFailure);
    co_await Sleep(kRoundPause);
  }
}

auto ConfigService::FollowLog() -> asio::awaitable<void> {
  while (true) {
    const bool tailer = IsTailer();
    bool read = true;
    if (tailer || kernel_->Now() >= next_poll_) {
      read = co_await TailLog(tailer ? kTailWait : Millis(0));
      next_poll_ =
          kernel_->Now() +
          Millis(kOwnLookMs + static_cast<int64_t>(random_() % kOwnLookMs));
      if (tailer && read)
        co_await MaybeSnapshot();
    }
    co_await Sleep(read ? kRoundPause : kPauseAfterFailure);
  }
}

auto ConfigService::Run() -> asio::awaitable<void> {
  co_await Bootstrap();
  kernel_->Spawn("config-peers", FollowPeers());
  kernel_->Spawn("config-log", FollowLog());
}

}  // namespace sparbend
