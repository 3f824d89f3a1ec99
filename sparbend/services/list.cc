#include "sparbend/services/list.h"

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

constexpr Millis kPollInterval = Millis(1'000);

}  // namespace

ListService::ListService(Kernel* kernel, const Settings& settings)
    : kernel_(kernel),
      client_(*ParseAddress(settings.list_address),
              "sparbend/" + settings.name) {}

void ListService::Start() {
  scheduler_ = kernel_->Find<Scheduler>("scheduler");
  metrics_ = kernel_->Find<Metrics>("metrics");
  kernel_->Spawn("list", Run());
}

auto ListService::Run() -> asio::awaitable<void> {
  uint64_t counted = 0;
  bool reachable = true;
  while (true) {
    const int64_t known = scheduler_->node().members().list().version;
    const Result<std::optional<MemberList>> list =
        co_await client_.Fetch(known);
    metrics_->platform_bytes.Increment(
        static_cast<double>(client_.bytes() - counted));
    counted = client_.bytes();
    if (list && *list) {
      scheduler_->SetList(**list);
      Log(LogLevel::kInfo, "list",
          {{"version", (*list)->version},
           {"boxes", (*list)->boxes.size()},
           {"targets", (*list)->targets.size()}});
    }
    if (list.has_value() != reachable) {
      reachable = list.has_value();
      Log(reachable ? LogLevel::kInfo : LogLevel::kWarning,
          reachable ? "list-reachable" : "list-unreachable",
          {{"detail", reachable ? "" : list.error().detail}});
    }
    co_await Sleep(kPollInterval);
  }
}

}  // namespace sparbend
