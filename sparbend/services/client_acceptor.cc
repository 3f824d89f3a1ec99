// While callers wait, each pass of Run is one turn of the loop: posting itself
// puts it behind everything that is ready by then, so that the turns tell how
// much other work there is.
#include "sparbend/services/client_acceptor.h"

#include "sparbend/kernel/log.h"

namespace sparbend {
namespace {

// Taken in within one turn: so few that a box of an eighth of a core does it in
// some ten milliseconds and comes to its other work.
constexpr int kMostTakenInATurn = 64;
// A wait after a failed accept: out of descriptors, most likely.
constexpr Millis kPause = Millis(10);
// One that waited this long is worth a line: a tenth of the tightest objective
// of a first byte seen in use (300 ms).
constexpr Millis kLongWait = Millis(30);
constexpr Millis kNoteInterval = Millis(500);

}  // namespace

ClientAcceptor::ClientAcceptor(Kernel* kernel,
                               std::shared_ptr<Metrics> metrics,
                               AcceptingHooks hooks)
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

// What waits in the listen queue is taken in first: closing that would reset
// callers that have been heard by nobody.
void ClientAcceptor::Close() {
  TakeAll();
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

auto ClientAcceptor::Run() -> asio::awaitable<void> {
  while (acceptor_.is_open()) {
    if (intake_.size() != 0) {
      co_await asio::post(asio::use_awaitable);
    } else {
      auto [error, socket] = co_await acceptor_.async_accept(kAwait);
      if (error == asio::error::operation_aborted)
        break;
      if (error) {
        Log(LogLevel::kWarning, "accept-failed", {{"error", error.message()}});
        co_await Sleep(kPause);
        continue;
      }
      Take(std::move(socket));
    }
    TakeAll();
    NoteWaiting();
    ServeTurn();
    metrics_->callers_waiting.Set(static_cast<double>(intake_.size()));
  }
  while (!waiting_.empty())
    Refuse(waiting_.begin()->first);
}

void ClientAcceptor::Take(tcp::socket socket) {
  if (!hooks_.may_take(intake_.size()))
    return;  // closed unread: the caller tries another box at once
  const Millis now = kernel_->Now();
  waiting_.emplace(intake_.Add(now), Waiting{std::move(socket), now});
}

void ClientAcceptor::TakeAll() {
  for (int taken = 0; taken < kMostTakenInATurn; ++taken) {
    tcp::socket next(acceptor_.get_executor());
    boost::system::error_code error;
    acceptor_.accept(next, error);
    if (error)
      return;  // none waits, or the next turn tells why
    Take(std::move(next));
  }
}

void ClientAcceptor::Serve(uint64_t caller) {
  auto waiting = waiting_.extract(caller);
  hooks_.serve(std::move(waiting.mapped().socket));
}

void ClientAcceptor::Refuse(uint64_t caller) {
  auto waiting = waiting_.extract(caller);
  const Millis waited = kernel_->Now() - waiting.mapped().since;
  hooks_.refuse(std::move(waiting.mapped().socket), waited);
}

void ClientAcceptor::ServeTurn() {
  const AcceptQueue::Turn turn = intake_.NextTurn(kernel_->Now());
  for (const uint64_t caller : turn.serve)
    Serve(caller);
  for (const uint64_t caller : turn.refuse)
    Refuse(caller);
}

void ClientAcceptor::NoteWaiting() {
  const Millis now = kernel_->Now();
  const Millis longest = intake_.longest_wait(now);
  if (longest < kLongWait || now - noted_ < kNoteInterval)
    return;
  noted_ = now;
  Log(LogLevel::kWarning, "callers-waiting",
      {{"waiting", intake_.size()}, {"longest_ms", longest.count()}});
}

}  // namespace sparbend
