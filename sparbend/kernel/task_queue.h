// A first-in, first-out queue of tasks beside an Asio event loop, and an
// executor that adds to it. Coroutines and completion handlers that run on this
// executor wait for their turn in the queue, while those of the io_context's
// own executor run as soon as the loop sees that they are ready. All of them
// run on the thread of the event loop.
//
//   TaskQueue queue(&io);
//   asio::co_spawn(queue.executor(), Serve(std::move(socket)), handler);
//   while (!queue.empty())
//     queue.RunFor(Millis(5));
#ifndef SPARBEND_KERNEL_TASK_QUEUE_H_
#define SPARBEND_KERNEL_TASK_QUEUE_H_

#include <deque>
#include <memory>
#include <utility>

#include <boost/asio.hpp>

#include "sparbend/core/millis.h"

namespace sparbend {

class TaskQueue {
 public:
  // Adds each function that it is given to the queue. Satisfies Asio's
  // requirements of an executor; sockets and timers that are constructed with
  // it belong to the queue's io_context.
  class Executor {
   public:
    auto query(boost::asio::execution::context_t /*property*/) const noexcept
        -> boost::asio::execution_context& {
      return *queue_->io_;
    }
    static constexpr auto query(
        boost::asio::execution::blocking_t /*property*/) noexcept
        -> boost::asio::execution::blocking_t {
      return boost::asio::execution::blocking.never;
    }
    auto require(boost::asio::execution::blocking_t::never_t /*property*/)
        const noexcept -> Executor {
      return *this;
    }
    template <class Function>
    void execute(Function function) const {
      queue_->Add(std::make_unique<Task<Function>>(std::move(function)));
    }
    auto operator==(const Executor&) const noexcept -> bool = default;

   private:
    friend class TaskQueue;
    explicit Executor(TaskQueue* queue) : queue_(queue) {}

    TaskQueue* queue_;
  };

  // `io` must outlive the queue.
  explicit TaskQueue(boost::asio::io_context* io) : io_(io) {}
  TaskQueue(const TaskQueue&) = delete;
  auto operator=(const TaskQueue&) -> TaskQueue& = delete;

  auto executor() -> Executor { return Executor(this); }
  auto empty() const -> bool { return tasks_.empty(); }
  // Runs tasks in order until the queue is empty, `span` has passed or the
  // io_context has been stopped. At least one if there is any.
  void RunFor(Millis span);

 private:
  // std::function requires functions that can be copied, which Asio's can't.
  class TaskBase {
   public:
    virtual ~TaskBase() = default;
    virtual void Run() = 0;
  };
  template <class Function>
  class Task : public TaskBase {
   public:
    explicit Task(Function function) : function_(std::move(function)) {}
    void Run() override { std::move(function_)(); }

   private:
    Function function_;
  };

  void Add(std::unique_ptr<TaskBase> task) {
    tasks_.push_back(std::move(task));
  }

  boost::asio::io_context* io_;
  std::deque<std::unique_ptr<TaskBase>> tasks_;
};

}  // namespace sparbend

#endif  // SPARBEND_KERNEL_TASK_QUEUE_H_
