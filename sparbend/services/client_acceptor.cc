// While clients wait, each pass of Run is one turn of the event loop: posting
// itself puts it behind everything that is ready by then, so the time between
// two turns shows how much other work the box has.
#include "sparbend/services/client_acceptor.h"

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

// Few enough that a box with an eighth of a core accepts them in about 10 ms
// and then gets to its other work.
constexpr int kMaxAcceptsPerTurn = 64;
// After a failed accept, most likely for lack of file descriptors.
constexpr Millis kAcceptRetryDelay = Millis(10);
// A longer wait is logged. This is a tenth of the tightest objective in use for
// the time to the first byte, 300 ms.
constexpr Millis kLongWaitThreshold = Millis(30);
constexpr Millis kLongWaitLogInterval = Millis(500);

}  // namespace

ClientAcceptor::ClientAcceptor(Kernel* kernel,
                               std::shared_ptr<Metrics> metrics,
                               ClientAcceptorHooks hooks)
    : kernel_(kernel),
      metrics_(std::move(metrics)),
      hooks_(std::move(hooks)),
      acceptor_(kernel->io()) {}

auto ClientAcceptor::Listen(const tcp::endpoint& endpoint) -> std::error_code {
  std::error_code error;
  acceptor_ = OpenAcceptor(kernel_->io(), endpoint, &error);
  boost::system::error_code ignored;
  acceptor_.non_blocking(true, ignored);
  return error;
}

auto ClientAcceptor::address() const -> std::string {
  boost::system::error_code error;
  return FormatAddress(acceptor_.local_endpoint(error));
}

// Connections in the kernel's listen queue are accepted first: closing the
// listening socket would reset them without any answer.
void ClientAcceptor::Close() {
  AcceptPending();
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

auto ClientAcceptor::Run() -> asio::awaitable<void> {
  while (acceptor_.is_open()) {
    if (accept_queue_.size() != 0) {
      co_await asio::post(asio::use_awaitable);
    } else {
      auto [error, socket] = co_await acceptor_.async_accept(kAwait);
      if (error == asio::error::operation_aborted)
        break;
      if (error) {
        Log(LogLevel::kWarning, "accept-failed", {{"error", error.message()}});
        co_await Sleep(kAcceptRetryDelay);
        continue;
      }
      Add(std::move(socket));
    }
    AcceptPending();
    LogLongWait();
    ServeTurn();
    metrics_->callers_waiting.Set(static_cast<double>(accept_queue_.size()));
  }
  while (!waiting_.empty())
    Refuse(waiting_.begin()->first);
}

void ClientAcceptor::Add(tcp::socket socket) {
  if (!hooks_.may_accept(accept_queue_.size()))
    return;  // closed unread: the client tries another box immediately
  const Millis now = kernel_->Now();
  waiting_.emplace(accept_queue_.Add(now),
                   WaitingConnection{std::move(socket), now});
}

void ClientAcceptor::AcceptPending() {
  for (int accepted = 0; accepted < kMaxAcceptsPerTurn; ++accepted) {
    tcp::socket next(acceptor_.get_executor());
    boost::system::error_code error;
    acceptor_.accept(next, error);
    if (error)
      return;  // none waits, or the next turn logs the error
    Add(std::move(next));
  }
}

void ClientAcceptor::Serve(uint64_t client) {
  auto waiting = waiting_.extract(client);
  hooks_.serve(std::move(waiting.mapped().socket));
}

void ClientAcceptor::Refuse(uint64_t client) {
  auto waiting = waiting_.extract(client);
  const Millis waited = kernel_->Now() - waiting.mapped().accepted_at;
  hooks_.refuse(std::move(waiting.mapped().socket), waited);
}

void ClientAcceptor::ServeTurn() {
  const AcceptQueue::Turn turn = accept_queue_.NextTurn(kernel_->Now());
  for (const uint64_t client : turn.serve)
    Serve(client);
  for (const uint64_t client : turn.refuse)
    Refuse(client);
}

void ClientAcceptor::LogLongWait() {
  const Millis now = kernel_->Now();
  const Millis longest = accept_queue_.longest_wait(now);
  if (longest < kLongWaitThreshold ||
      now - last_long_wait_log_ < kLongWaitLogInterval)
    return;
  last_long_wait_log_ = now;
  Log(LogLevel::kWarning, "callers-waiting",
      {{"waiting", accept_queue_.size()}, {"longest_ms", longest.count()}});
}

}  // namespace sparbend
