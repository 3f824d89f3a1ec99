// The core of a process: an event loop, a clock, and a registry in which
// services find each other by name. Services start in the order of registration
// and stop in reverse order. One thread runs everything, so services need no
// locks.
//
// Work for clients waits in a queue of its own (client_executor), and control
// work runs between its tasks. So a flood of clients delays what keeps the
// fleet in step, such as datagrams, new configurations and lists of targets, by
// some tens of milliseconds at most.
//
//   Kernel kernel;
//   kernel.Register("front", std::make_shared<Frontend>(...));
//   kernel.Start();
//   kernel.Run();
//   // In a service:
//   kernel->Find<Scheduler>("scheduler")->Enqueue(...);
#ifndef SPARBEND_KERNEL_KERNEL_H_
#define SPARBEND_KERNEL_KERNEL_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio.hpp>

#include "sparbend/core/memory_budget.h"
#include "sparbend/core/millis.h"
#include "sparbend/kernel/task_queue.h"

namespace sparbend {

namespace asio = boost::asio;

// A part of the process with a lifetime that the Kernel controls.
class Service {
 public:
  virtual ~Service() = default;
  // Starts work. From now on other services may be looked up.
  virtual void Start() {}
  // Stops work immediately. Requests of clients must have been completed
  // before.
  virtual void Stop() {}
};

class Kernel {
 public:
  // `memory` bounds what is allocated for peers.
  explicit Kernel(MemoryBudget memory = MemoryBudget());

  // Handlers of this context's own executor are control work.
  auto io() -> asio::io_context& { return io_; }
  // The executor of work for clients.
  auto client_executor() -> TaskQueue::Executor {
    return client_tasks_.executor();
  }
  auto memory() const -> const MemoryBudget& { return memory_; }
  // The time of the monotonic clock.
  auto Now() const -> Millis;
  // Returns the first tick at or after `instant`. Ticks are instants at a fixed
  // interval. Periodic checks run at ticks, so that checks due at about the
  // same time wake the process only once. The offset of the ticks is random per
  // process.
  auto NextTick(Millis instant) const -> Millis;
  // Suspends the calling coroutine until the first tick after `span`.
  auto SleepUntilTick(Millis span) const -> asio::awaitable<void>;

  void Register(std::string name, std::shared_ptr<Service> service);
  // Returns the service registered as `name`, or null if there is none or it is
  // not a T.
  template <class T>
  auto Find(std::string_view name) const -> std::shared_ptr<T> {
    return std::dynamic_pointer_cast<T>(FindAny(name));
  }

  // Starts all services.
  void Start();
  // Stops all services, then the event loop.
  void Stop();
  // Runs the event loop until Stop.
  void Run();
  // Runs a coroutine on the event loop as control work. A std::exception that
  // escapes it is logged with `task_name` and does not affect other work.
  void Spawn(std::string task_name, asio::awaitable<void> work);
  // Like Spawn(), as work for clients.
  void SpawnForClients(std::string task_name, asio::awaitable<void> work);

 private:
  auto FindAny(std::string_view name) const -> std::shared_ptr<Service>;

  asio::io_context io_;
  TaskQueue client_tasks_;
  MemoryBudget memory_;
  Millis tick_offset_;
  std::vector<std::pair<std::string, std::shared_ptr<Service>>> services_;
};

// Suspends the calling coroutine for `span`.
auto Sleep(Millis span) -> asio::awaitable<void>;

}  // namespace sparbend

#endif  // SPARBEND_KERNEL_KERNEL_H_
