// One task per shard takes what is queued, appends it as one batch, and reads
// the stream to its end; claims come back in log order, each followed by its
// answer. What arrives meanwhile forms the next batch, so the rate of appends
// is bounded by the log's own pace and not by the rate of requests.
//
// An append whose answer was lost is resolved by reading: the claim is found
// in the log, or its time runs out and the asker is told that there is no
// decision. The asker then refuses as not run and releases the claim, since
// the append may still take effect.
#include "sparbend/services/claims.h"

#include <algorithm>
#include <chrono>

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

constexpr size_t kReadersPerShard = 2;
constexpr Millis kDecisionTime = Millis(2'000);
constexpr Millis kPauseAfterFailure = Millis(100);
constexpr int kPageRecords = 1'000;
constexpr size_t kMaxBatch = 200;
constexpr size_t kMaxQueue = 5'000;
constexpr size_t kMaxAnswerBytes = 4'096;

auto StreamOf(uint32_t shard) -> std::string {
  return std::string(kClaimStream) + "-" + std::to_string(shard);
}

}  // namespace

auto WallClock() -> Millis {
  return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count());
}

auto ToJson(const ClaimAnswer& answer) -> Json {
  return Json::array({static_cast<int>(answer.outcome), answer.detail});
}

auto ClaimAnswerFrom(const Json& json) -> ClaimAnswer {
  const bool shaped = json.is_array() && json.size() == 2 &&
                      json[0].is_number_unsigned() && json[0] <= 2 &&
                      json[1].is_string();
  if (!shaped)
    return {ClaimOutcome::kUnavailable, "an answer of a wrong shape"};
  return {static_cast<ClaimOutcome>(json[0].get<int>()),
          json[1].get<std::string>()};
}

Claims::Claims(Kernel* kernel, const Settings& settings)
    : kernel_(kernel),
      log_(*ParseAddress(settings.log_address), "sparbend/" + settings.name) {}

void Claims::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  peers_ = kernel_->Find<Peers>("peers");
  metrics_ = kernel_->Find<Metrics>("metrics");
}

auto Claims::Readers(uint32_t shard) const -> std::vector<BoxId> {
  const Members& members = scheduler_->node().members();
  std::vector<std::pair<uint64_t, BoxId>> order;
  for (const BoxId box : members.LiveBoxes(kernel_->Now()))
    order.emplace_back(StableHash(std::to_string(box) + StreamOf(shard)), box);
  std::ranges::sort(order);
  std::vector<BoxId> readers;
  for (size_t i = 0; i < std::min(order.size(), kReadersPerShard); ++i)
    readers.push_back(order[i].second);
  return readers;
}

auto Claims::Ask(BoxId box, const ClaimRecord& record)
    -> asio::awaitable<ClaimAnswer> {
  if (box == scheduler_->node().members().self())
    co_return co_await DecideHere(record);
  const std::string body = EncodeClaim(record);
  const Result<StringResponse> response =
      co_await peers_->Post(box, "/claim", body, kDecisionTime + kDecisionTime);
  if (!response || response->result() != http::status::ok)
    co_return ClaimAnswer{ClaimOutcome::kUnavailable,
                          "a reader of the claims did not answer"};
  const Result<Json> answer = ParseJson(response->body(), kMaxAnswerBytes);
  co_return ClaimAnswerFrom(answer ? *answer : Json());
}

auto Claims::Send(ClaimRecord record) -> asio::awaitable<ClaimAnswer> {
  ClaimAnswer answer = {ClaimOutcome::kUnavailable, "no box reads the claims"};
  for (const BoxId box : Readers(ClaimShard(record.workspace, record.key))) {
    answer = co_await Ask(box, record);
    if (answer.outcome != ClaimOutcome::kUnavailable)
      break;
  }
  co_return answer;
}

auto Claims::Claim(WorkspaceId workspace, std::string key, std::string claim)
    -> asio::awaitable<ClaimAnswer> {
  const ClaimRecord record = {ClaimAction::kClaim, workspace, key, claim};
  const ClaimAnswer answer = co_await Send(record);
  if (answer.outcome == ClaimOutcome::kWon)
    metrics_->claims_won.Increment();
  if (answer.outcome == ClaimOutcome::kLost)
    metrics_->claims_lost.Increment();
  if (answer.outcome == ClaimOutcome::kUnavailable)
    Release(workspace, key, claim);
  co_return answer;
}

void Claims::Release(WorkspaceId workspace,
                     std::string key,
                     std::string claim) {
  ClaimRecord record = {ClaimAction::kRelease, workspace, std::move(key),
                        std::move(claim)};
  asio::co_spawn(kernel_->io(), Send(std::move(record)), asio::detached);
}

auto Claims::DecideHere(ClaimRecord record) -> asio::awaitable<ClaimAnswer> {
  const uint32_t number = ClaimShard(record.workspace, record.key);
  Shard& shard = shards_[number];
  shard.stream = StreamOf(number);
  if (shard.queue.size() >= kMaxQueue)
    co_return ClaimAnswer{ClaimOutcome::kUnavailable, "too many claims wait"};
  const auto pending = std::make_shared<Pending>(kernel_->io());
  pending->record = std::move(record);
  pending->give_up = kernel_->Now() + kDecisionTime;
  pending->done.expires_at(asio::steady_timer::time_point::max());
  shard.queue.push_back(pending);
  if (!shard.running) {
    shard.running = true;
    kernel_->Spawn("claims", Work(number));
  }
  while (!pending->answer)
    co_await pending->done.async_wait(kAwait);
  co_return *pending->answer;
}

void Claims::Settle(Pending* pending, ClaimAnswer answer) {
  pending->answer = std::move(answer);
  pending->done.cancel();
}

auto Claims::Work(uint32_t number) -> asio::awaitable<void> {
  Shard& shard = shards_[number];
  while (!shard.queue.empty() || !shard.written.empty()) {
    if (!shard.queue.empty())
      co_await AppendQueue(&shard);
    const bool read = co_await ReadUp(&shard);
    SettleWritten(&shard);
    metrics_->platform_bytes.Increment(
        static_cast<double>(log_.bytes() - counted_bytes_));
    counted_bytes_ = log_.bytes();
    if (!read || (shard.queue.empty() && !shard.written.empty()))
      co_await Sleep(kPauseAfterFailure);
  }
  shard.table.Forget(WallClock());
  shard.running = false;
}

auto Claims::AppendQueue(Shard* shard) -> asio::awaitable<void> {
  const size_t count = std::min(shard->queue.size(), kMaxBatch);
  std::vector<std::shared_ptr<Pending>> batch(
      shard->queue.begin(),
      shard->queue.begin() + static_cast<std::ptrdiff_t>(count));
  shard->queue.erase(shard->queue.begin(),
                     shard->queue.begin() + static_cast<std::ptrdiff_t>(count));
  std::vector<std::string> records;
  for (const auto& pending : batch)
    records.push_back(EncodeClaim(pending->record));
  metrics_->claim_appends.Increment();
  const Result<int64_t> appended =
      co_await log_.Append(shard->stream, std::move(records));
  if (appended || appended.error().code == Errc::kUnknown) {
    shard->written.insert(shard->written.end(), batch.begin(), batch.end());
    co_return;
  }
  for (const auto& pending : batch)
    Settle(pending.get(),
           {ClaimOutcome::kUnavailable,
            "the platform's log takes no claims: " + appended.error().detail});
}

auto Claims::ReadUp(Shard* shard) -> asio::awaitable<bool> {
  while (true) {
    const Result<LogPage> page =
        co_await log_.Read(shard->stream, shard->next, kPageRecords, Millis(0));
    if (!page && page.error().code == Errc::kTrimmed) {
      // Older records only name keys whose window is over.
      const Result<Json> body = ParseJson(page.error().detail, 1'024);
      shard->next = body && body->is_object()
                        ? body->value("oldest", shard->next + 1)
                        : shard->next + 1;
      continue;
    }
    if (!page)
      co_return false;
    for (const std::string& record : page->records) {
      ++shard->next;
      const Result<ClaimRecord> claim = DecodeClaim(record);
      if (!claim)
        continue;
      shard->table.Apply(*claim);
      for (const auto& pending : shard->written) {
        if (pending->record == *claim && !pending->answer) {
          const auto holder = shard->table.Holder(claim->workspace, claim->key);
          const bool won = holder == claim->claim;
          Settle(pending.get(), {won ? ClaimOutcome::kWon : ClaimOutcome::kLost,
                                 holder.value_or("")});
        }
      }
    }
    if (shard->next >= page->next)
      co_return true;
  }
}

void Claims::SettleWritten(Shard* shard) {
  const Millis now = kernel_->Now();
  for (const auto& pending : shard->written) {
    if (!pending->answer && now >= pending->give_up)
      Settle(pending.get(),
             {ClaimOutcome::kUnavailable, "the claim was not decided in time"});
  }
  std::erase_if(shard->written, [](const auto& pending) {
    return pending->answer.has_value();
  });
}

}  // namespace sparbend
