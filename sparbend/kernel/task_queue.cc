// The executor never runs a function before it returns, not even on the event
// loop's own thread, so the order of the queue is the order of the calls.
#include "sparbend/kernel/task_queue.h"

#include <chrono>

namespace sparbend {

void TaskQueue::RunFor(Millis span) {
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(span.count());
  while (!tasks_.empty() && !io_->stopped()) {
    const std::unique_ptr<TaskBase> task = std::move(tasks_.front());
    tasks_.pop_front();
    task->Run();
    if (std::chrono::steady_clock::now() >= end)
      return;
  }
}

}  // namespace sparbend
