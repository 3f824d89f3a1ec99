// The timer keeps running when an operation ends in time. When it fires, it
// checks the current deadline: without one, it stops until the next Begin; if
// the deadline is later, it waits on; if the deadline has passed, it cancels
// the socket's operations.
#include "sparbend/services/idle_guard.h"

namespace sparbend {
namespace {

using TimePoint = std::chrono::steady_clock::time_point;

}  // namespace

// Outlives the guard while the timer's handler is pending.
struct IdleGuard::State {
  explicit State(tcp::socket* socket)
      : socket(socket), timer(socket->get_executor()) {}
  tcp::socket* socket;  // null once the guard is gone
  asio::steady_timer timer;
  TimePoint deadline = TimePoint::max();
  bool timer_running = false;
};

IdleGuard::IdleGuard(tcp::socket* socket)
    : state_(std::make_shared<State>(socket)) {}

IdleGuard::~IdleGuard() {
  state_->socket = nullptr;
  if (state_->timer_running)
    state_->timer.cancel();
}

void IdleGuard::StartTimer(const std::shared_ptr<State>& state) {
  state->timer_running = true;
  state->timer.expires_at(state->deadline);
  state->timer.async_wait([state](const boost::system::error_code& error) {
    state->timer_running = false;
    if (error || state->socket == nullptr ||
        state->deadline == TimePoint::max())
      return;
    if (std::chrono::steady_clock::now() < state->deadline) {
      StartTimer(state);
      return;
    }
    boost::system::error_code
        ignored;  // a closed socket has no operations left
    state->socket->cancel(ignored);
  });
}

// A deadline before the timer's expiry is noticed only when the timer fires.
// That is enough, because the spans of one guard are similar.
void IdleGuard::Begin(Millis span) {
  state_->deadline = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(span.count());
  if (!state_->timer_running)
    StartTimer(state_);
}

void IdleGuard::End() {
  state_->deadline = TimePoint::max();
}

}  // namespace sparbend
