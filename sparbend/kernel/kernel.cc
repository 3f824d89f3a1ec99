#include "sparbend/kernel/kernel.h"

#include <chrono>
#include <exception>
#include <random>
#include <ranges>

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

// The interval at which the scheduler checks its waiting requests.
constexpr int64_t kTickIntervalMs = 50;
// How long work for clients runs before the event loop looks for control work.
// A new configuration takes three steps (a datagram, a call and its response),
// so a saturated box is delayed by some 120 ms of the two seconds in which it
// must use it. Looking more often leaves less of a small box for its clients.
constexpr Millis kMaxClientTaskTime = Millis(40);
// How long control work runs while work for clients waits. A box that gets more
// datagrams than it can read still serves clients, reports that it is live and
// notices its delay, all of which are work for clients.
constexpr Millis kMaxControlTime = Millis(15);

// Logs the exception, if any, that ended the task.
auto LogFailure(std::string task_name) {
  return [task_name = std::move(task_name)](std::exception_ptr exception) {
    if (!exception)
      return;
    try {
      std::rethrow_exception(exception);
    } catch (const std::exception& error) {
      Log(LogLevel::kError, "task-failed",
          {{"task", task_name}, {"error", error.what()}});
    }
  };
}

}  // namespace

Kernel::Kernel(MemoryBudget memory)
    : io_(/*concurrency_hint=*/1),
      client_tasks_(&io_),
      memory_(std::move(memory)),
      tick_offset_(
          static_cast<int64_t>(std::random_device()() % kTickIntervalMs)) {}

auto Kernel::NextTick(Millis instant) const -> Millis {
  const int64_t elapsed_ms = (instant - tick_offset_).count();
  return tick_offset_ + Millis((elapsed_ms + kTickIntervalMs - 1) /
                               kTickIntervalMs * kTickIntervalMs);
}

auto Kernel::SleepUntilTick(Millis span) const -> asio::awaitable<void> {
  const Millis now = Now();
  return Sleep(NextTick(now + span) - now);
}

auto Kernel::Now() const -> Millis {
  return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now().time_since_epoch())
                    .count());
}

void Kernel::Register(std::string name, std::shared_ptr<Service> service) {
  services_.emplace_back(std::move(name), std::move(service));
}

auto Kernel::FindAny(std::string_view name) const -> std::shared_ptr<Service> {
  for (const auto& [registered_name, service] : services_) {
    if (registered_name == name)
      return service;
  }
  return nullptr;
}

void Kernel::Start() {
  for (const auto& [name, service] : services_)
    service->Start();
}

void Kernel::Stop() {
  for (const auto& [name, service] : std::views::reverse(services_))
    service->Stop();
  io_.stop();
}

void Kernel::Run() {
  const auto work = asio::make_work_guard(io_);
  while (!io_.stopped()) {
    if (client_tasks_.empty()) {
      io_.run_one();
      continue;
    }
    client_tasks_.RunFor(kMaxClientTaskTime);
    const Millis end = Now() + kMaxControlTime;
    while (Now() < end && io_.poll_one() != 0) {
    }
  }
}

void Kernel::Spawn(std::string task_name, asio::awaitable<void> work) {
  asio::co_spawn(io_, std::move(work), LogFailure(std::move(task_name)));
}

void Kernel::SpawnForClients(std::string task_name,
                             asio::awaitable<void> work) {
  asio::co_spawn(client_executor(), std::move(work),
                 LogFailure(std::move(task_name)));
}

auto Sleep(Millis span) -> asio::awaitable<void> {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(span.count()));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

}  // namespace sparbend
