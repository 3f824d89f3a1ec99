// A box that starts loads the configuration from the log (from its start, or
// from a snapshot in it) or, while the log can't be read, from a peer. It
// serves no requests before that. Once loaded, the configuration never goes
// back: the offset of the replicated state only grows, and while the platform
// is unreachable the last accepted state stays active.
//
// Two boxes of a hall wait for new records of the log. The others see a peer's
// higher offset in its datagrams and fetch the records from that peer. Each box
// also polls the log now and then, in case neither log reader reaches it.
// Following the log and following peers are separate tasks, so a log that hangs
// does not delay what peers already know. Records that were applied before are
// skipped.
#include "sparbend/services/config.h"

#include <algorithm>

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

constexpr size_t kLogReadersPerHall = 2;
constexpr Millis kLogReadWait = Millis(5'000);
constexpr Millis kPollInterval = Millis(50);
constexpr Millis kRetryDelay = Millis(500);
// Each box polls the log at random intervals between this and twice this.
constexpr int64_t kMinOwnPollMs = 10'000;
// Bytes of recent records kept for peers. A page for a peer ends after a
// quarter of this.
constexpr size_t kMaxRecentBytes = 4 * 1024 * 1024;
// A snapshot is due after a random number of records between this and twice
// this, or after a random time between the interval below and one and a half of
// it.
constexpr int64_t kMinSnapshotRecords = 512;
constexpr int64_t kMinSnapshotIntervalMs = 60'000;
constexpr int kMaxPeersAsked = 4;
// How long a box that starts waits for the first list of boxes before it asks
// peers for service counters.
constexpr Millis kListTimeout = Millis(2'000);
constexpr const char* kLogReaderRole = "config-log";

// A function of its own, since g++ 12 miscompiles braced initialisers inside an
// expression with co_await.
auto FromOffset(int64_t offset) -> Json {
  return Json{{"from", offset}};
}

}  // namespace

ConfigService::ConfigService(Kernel* kernel, const Settings& settings)
    : kernel_(kernel),
      settings_(settings),
      log_(*ParseAddress(settings.log_address),
           "sparbend/" + settings.name,
           AnswerLimits{.memory = kernel->memory()}),
      reader_(
          &log_,
          [this](const Decision& decision, const std::string& record) {
            OnRecord(decision, record);
          },
          [this] { ActivateCatalog(); }),
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

auto ConfigService::not_ready_reason() const -> std::string {
  return loaded_ ? "no list of targets has been read yet"
                 : "no configuration has been read yet";
}

void ConfigService::ActivateCatalog() {
  TrimRecent();
  if (!loaded_)
    return;
  scheduler_->SetCatalog(fold_.catalog());
  scheduler_->SetConfigPosition(LogPosition{0, fold_.next_offset()},
                                /*version=*/0);
}

// The kept records must end at the offset of the replicated state. A snapshot
// moves that offset without records, and then they are dropped.
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
  while (recent_bytes_ > kMaxRecentBytes) {
    recent_bytes_ -= recent_.front().size();
    recent_.pop_front();
    ++recent_first_;
  }
  ++records_since_snapshot_;
  ActivateCatalog();
  if (decision.outcome == Outcome::kSnapshot) {
    last_snapshot_ = kernel_->Now();
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

void ConfigService::ApplyRecords(int64_t first,
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
       i < recent_.size() && bytes < kMaxRecentBytes / 4; ++i) {
    records.push_back(recent_[i]);
    bytes += recent_[i].size();
  }
  return Json{{"first", from}, {"records", records}};
}

auto ConfigService::FetchFrom(BoxId peer) -> asio::awaitable<bool> {
  const Json params = FromOffset(fold_.next_offset());
  const Result<Json> records = co_await peers_->Call(peer, "records", params);
  if (!records)
    co_return false;
  std::vector<Problem> problems;
  FieldReader reader(*records, "records", &problems);
  const int64_t first = reader.Integer("first", {1, INT64_MAX}, 0);
  const std::vector<std::string> list = reader.Strings("records");
  if (first != 0 && problems.empty()) {
    ApplyRecords(first, list);
    co_return true;
  }
  const Json no_params = Json::object();
  const Result<Json> snapshot =
      co_await peers_->Call(peer, "snapshot", no_params);
  if (!snapshot)
    co_return false;
  Result<ConfigFold> restored = DecodeSnapshotRecord(*snapshot);
  if (!restored || restored->next_offset() <= fold_.next_offset())
    co_return false;
  fold_ = std::move(*restored);
  ActivateCatalog();
  co_return true;
}

auto ConfigService::LoadFromPeers() -> asio::awaitable<bool> {
  int asked = 0;
  for (const BoxId peer : peers_->Listed()) {
    if (++asked > kMaxPeersAsked)
      break;
    if (co_await FetchFrom(peer) && fold_.next_offset() > 1)
      co_return true;
  }
  co_return false;
}

auto ConfigService::ReadLog(Millis wait) -> asio::awaitable<bool> {
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

// A box that starts has no service counters, so it takes those of the first
// peer that answers. If none does, it starts without them.
auto ConfigService::RecoverServiceCounters() -> asio::awaitable<void> {
  const Millis deadline = kernel_->Now() + kListTimeout;
  while (scheduler_->node().members().list().version == 0 &&
         kernel_->Now() < deadline)
    co_await Sleep(kPollInterval);
  int asked = 0;
  const Json no_params = Json::object();
  for (const BoxId peer : peers_->Listed()) {
    if (++asked > kMaxPeersAsked)
      co_return;
    const Result<Json> service_counters =
        co_await peers_->Call(peer, "ledger", no_params);
    if (service_counters &&
        scheduler_->node().ledger().Import(*service_counters)) {
      Log(LogLevel::kInfo, "books-recovered");
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
      loaded = co_await LoadFromPeers();
    }
    if (!loaded)
      co_await Sleep(kRetryDelay);
  }
  co_await RecoverServiceCounters();
  loaded_ = true;
  ActivateCatalog();
  last_snapshot_ = kernel_->Now();
  Log(LogLevel::kInfo, "configuration-loaded",
      {{"offset", fold_.next_offset()}});
}

auto ConfigService::IsLogReader() const -> bool {
  return scheduler_->node().members().HasRole(
      kLogReaderRole, kLogReadersPerHall, kernel_->Now());
}

auto ConfigService::AppendSnapshotIfDue() -> asio::awaitable<void> {
  const Millis age = kernel_->Now() - last_snapshot_;
  // Random additions, so that usually only one of the log readers appends a
  // snapshot and the others see it.
  const auto interval =
      Millis(kMinSnapshotIntervalMs +
             static_cast<int64_t>(random_() % (kMinSnapshotIntervalMs / 2)));
  const bool many_records =
      records_since_snapshot_ >=
      kMinSnapshotRecords +
          static_cast<int64_t>(random_() % kMinSnapshotRecords);
  if (fold_.next_offset() <= 1 || (age < interval && !many_records))
    co_return;
  last_snapshot_ = kernel_->Now();
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
    const auto [highest, peer] = scheduler_->node().HighestConfigPosition();
    const bool peer_is_ahead = highest.offset > fold_.next_offset() &&
                               peer != scheduler_->node().members().self();
    if (peer_is_ahead && !co_await FetchFrom(peer))
      co_await Sleep(kRetryDelay);
    co_await Sleep(kPollInterval);
  }
}

auto ConfigService::FollowLog() -> asio::awaitable<void> {
  while (true) {
    const bool is_log_reader = IsLogReader();
    bool read = true;
    if (is_log_reader || kernel_->Now() >= next_poll_) {
      read = co_await ReadLog(is_log_reader ? kLogReadWait : Millis(0));
      next_poll_ = kernel_->Now() +
                   Millis(kMinOwnPollMs +
                          static_cast<int64_t>(random_() % kMinOwnPollMs));
      if (is_log_reader && read)
        co_await AppendSnapshotIfDue();
    }
    co_await Sleep(read ? kPollInterval : kRetryDelay);
  }
}

auto ConfigService::Run() -> asio::awaitable<void> {
  co_await Bootstrap();
  kernel_->Spawn("config-peers", FollowPeers());
  kernel_->Spawn("config-log", FollowLog());
}

}  // namespace sparbend
