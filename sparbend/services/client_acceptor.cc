// While clients wait, each pass of Run is one turn of the event loop: posting
// itself puts it behind everything that is ready by then, so the time between
// two turns shows how much other work the box has.
#include "sparbend/services/client_acceptor.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

// Few enough that a box with an eighth of a core accepts them in about 10 ms
// and then gets to its other work.
constexpr int kMaxAcceptsPerTurn = 64;
// After a failed accept, most likely for lack of file descriptors: the error
// lasts until some are closed, and accepting again at once would only take
// processor time. A delay of 10 ms is within the objective of any request.
constexpr Millis kAcceptRetryDelay = Millis(10);
// Fewer than the accept queue refuses in a turn: those have waited longer.
constexpr size_t kMaxReservedRefusedPerTurn = 8;
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
  protocol_ = endpoint.protocol();
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
  if (!acceptor_.is_open())
    return;
  while (AcceptPending() == kMaxAcceptsPerTurn) {
  }
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

auto ClientAcceptor::Run() -> asio::awaitable<void> {
  while (acceptor_.is_open()) {
    if (accept_queue_.size() != 0 || !reserved_.empty()) {
      co_await asio::post(asio::use_awaitable);
    } else if (const Millis now = kernel_->Now(); now < next_accept_) {
      co_await Sleep(next_accept_ - now);
    } else {
      const auto [error] =
          co_await acceptor_.async_wait(tcp::acceptor::wait_read, kAwait);
      if (error)
        break;  // closed
    }
    AcceptPending();
    LogLongWait();
    ServeTurn();
    metrics_->callers_waiting.Set(static_cast<double>(accept_queue_.size()));
  }
  while (!waiting_.empty())
    Refuse(waiting_.begin()->first);
  while (!reserved_.empty())
    RefuseReserved();
}

void ClientAcceptor::Add(UniqueFd socket) {
  auto place = ClientConnections::Place::kRegular;
  const std::optional<ConnectionId> id = hooks_.admit(&place);
  if (!id)
    return;  // closed unread: the client tries another box immediately
  const Millis now = kernel_->Now();
  UnreadConnection connection{std::move(socket), protocol_, *id, place, now};
  if (place == ClientConnections::Place::kReserve)
    reserved_.push_back(std::move(connection));
  else
    waiting_.emplace(accept_queue_.Add(now), std::move(connection));
}

void ClientAcceptor::OnAcceptError(const boost::system::error_code& error) {
  next_accept_ = kernel_->Now() + kAcceptRetryDelay;
  if (error == boost::system::errc::too_many_files_open ||
      error == boost::system::errc::too_many_files_open_in_system) {
    hooks_.on_lack_of_descriptors(error.message());
    return;
  }
  Log(LogLevel::kWarning, "accept-failed", {{"error", error.message()}});
}

auto ClientAcceptor::DropReserved(ConnectionId id) -> bool {
  // Those that are dropped are the oldest, so they are found at the front.
  const auto found =
      std::find_if(reserved_.begin(), reserved_.end(),
                   [id](const UnreadConnection& one) { return one.id == id; });
  if (found == reserved_.end())
    return false;
  reserved_.erase(found);
  return true;
}

auto ClientAcceptor::AcceptPending() -> int {
  if (kernel_->Now() < next_accept_)
    return 0;
  int accepted = 0;
  for (; accepted < kMaxAcceptsPerTurn; ++accepted) {
    UniqueFd next(accept4(acceptor_.native_handle(), nullptr, nullptr,
                          SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (next.value() < 0) {
      if (errno == ECONNABORTED || errno == EINTR)
        continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK)
        OnAcceptError({errno, boost::system::system_category()});
      break;
    }
    Add(std::move(next));
  }
  return accepted;
}

void ClientAcceptor::Serve(uint64_t client) {
  auto waiting = waiting_.extract(client);
  hooks_.serve(std::move(waiting.mapped()));
}

void ClientAcceptor::Refuse(uint64_t client) {
  auto waiting = waiting_.extract(client);
  hooks_.refuse(std::move(waiting.mapped()));
}

void ClientAcceptor::RefuseReserved() {
  UnreadConnection connection = std::move(reserved_.front());
  reserved_.pop_front();
  hooks_.refuse(std::move(connection));
}

void ClientAcceptor::ServeTurn() {
  const AcceptQueue::Turn turn = accept_queue_.NextTurn(kernel_->Now());
  for (const uint64_t client : turn.serve)
    Serve(client);
  for (const uint64_t client : turn.refuse)
    Refuse(client);
  for (size_t refused = 0;
       refused < kMaxReservedRefusedPerTurn && !reserved_.empty(); ++refused)
    RefuseReserved();
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
