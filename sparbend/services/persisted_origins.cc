// Streams do not wait for the store. A box that is killed loses the streams
// that began within the last OriginAppendInterval(); the boxes that were
// informed about them (OriginExchange) know them if they run on.
//
// One read at a time serves all streams that no box knows, and starts where the
// last one ended. The position has the store's era: if the store is back from
// an older copy, the log is read from its first record again, since the offsets
// after the copy hold other records now.
#include "sparbend/services/persisted_origins.h"

#include "sparbend/kernel/log.h"
#include "sparbend/services/claims.h"

namespace sparbend {
namespace {

// For the whole log, after a start; it goes on for streams that come later.
constexpr Millis kReadTime = Millis(300);
// Streams that no box knows lead to no more reads than this. Records appear in
// the log late only if their box had to repeat the write.
constexpr Millis kReadInterval = Millis(1'000);
// Far more than boxes write while the store keeps records.
constexpr int kMaxPages = 1'000;

}  // namespace

void PersistedOrigins::Start() {
  source_ = kernel_->Find<OriginLogSource>("stream-origins-feed");
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  if (source_ == nullptr)
    return;
  scheduler_->node()
      .origins(kernel_->Now())
      .SetOnOwnPersistable(
          [this](const std::vector<StreamOriginTable::Row>& rows) {
            unwritten_.Add(rows);
            if (!std::exchange(writing_, true))
              kernel_->Spawn("stream-origins-write", WriteAll());
          });
}

auto PersistedOrigins::WriteAll() -> asio::awaitable<void> {
  while (!unwritten_.empty()) {
    co_await Sleep(
        OriginAppendInterval(scheduler_->node().members().list().boxes.size()));
    std::string record = unwritten_.Take(kernel_->Now(), WallClock());
    if (!record.empty())
      co_await Append(std::move(record));
  }
  writing_ = false;
}

// A write whose outcome is unknown is repeated: the record may be there twice.
auto PersistedOrigins::Append(std::string record) -> asio::awaitable<void> {
  const Millis until = kernel_->Now() + kOriginRetention;
  while (kernel_->Now() < until) {
    const Result<int64_t> written = co_await source_->log.append(record);
    if (written) {
      store_.RecordSuccess(kernel_->Now());
      co_return;
    }
    store_.RecordFailure(written.error().detail, kernel_->Now());
    co_await Sleep(store_.pause());
  }
}

auto PersistedOrigins::Refresh() -> asio::awaitable<bool> {
  if (source_ == nullptr)
    co_return true;
  const Millis now = kernel_->Now();
  if (!reading_ && read_at_ && now - *read_at_ < kReadInterval)
    co_return read_to_end_;
  if (!std::exchange(reading_, true))
    kernel_->Spawn("stream-origins-read", ReadAll());
  const auto timer = std::make_shared<asio::steady_timer>(kernel_->io());
  timer->expires_after(
      std::chrono::milliseconds(scheduler_->SendingWithin(kReadTime).count()));
  waits_.push_back(timer);
  co_await timer->async_wait(kAwait);
  std::erase(waits_, timer);
  co_return !reading_ && read_to_end_;
}

auto PersistedOrigins::ReadAll() -> asio::awaitable<void> {
  read_at_ = kernel_->Now();
  read_to_end_ = co_await ReadPages();
  reading_ = false;
  for (const auto& timer : waits_)
    timer->cancel();
}

auto PersistedOrigins::ReadPages() -> asio::awaitable<bool> {
  for (int pages = 0; pages < kMaxPages; ++pages) {
    const int64_t from = next_ ? next_->offset : 0;
    const Result<RecordPage> page = co_await source_->log.read(from);
    if (!page) {
      Log(LogLevel::kWarning, "stream-origins-unread",
          {{"why", page.error().detail}});
      co_return false;
    }
    if (next_ && page->next.era != next_->era) {
      next_ = LogPosition{page->next.era, 0};
      continue;
    }
    next_ = page->next;
    Apply(page->records);
    if (!page->has_more)
      co_return true;
  }
  co_return false;
}

void PersistedOrigins::Apply(const std::vector<std::string>& records) {
  const Millis now = kernel_->Now();
  OriginExchange& origins = scheduler_->node().origins(now);
  size_t streams = 0;
  size_t unreadable = 0;
  for (const std::string& record : records) {
    const auto decoded = DecodeOriginLogRecord(record, WallClock());
    if (decoded)
      origins.AddPersisted(*decoded, now);
    streams += decoded ? decoded->size() : 0;
    unreadable += decoded ? 0 : 1;
  }
  if (!records.empty())
    Log(LogLevel::kInfo, "stream-origins-read",
        {{"records", records.size()},
         {"streams", streams},
         {"unreadable", unreadable},
         {"era", next_->era},
         {"read_to", next_->offset}});
}

}  // namespace sparbend
