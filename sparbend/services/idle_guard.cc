// The timer is left running when its operation ends in time. When it fires it
// looks at what is due by then: nothing, and it rests until the next Begin;
// something later, and it waits on; something now, and it cancels.
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
  TimePoint due = TimePoint::max();
  bool armed = false;
};

IdleGuard::IdleGuard(tcp::socket* socket)
    : state_(std::make_shared<State>(socket)) {}

IdleGuard::~IdleGuard() {
  state_->socket = nullptr;
  if (state_->armed)
    state_->timer.cancel();
}

void IdleGuard::Arm(const std::shared_ptr<State>& state) {
  state->armed = true;
  state->timer.expires_at(state->due);
  state->timer.async_wait([state](const boost::system::error_code& error) {
    state->armed = false;
    if (error || state->socket == nullptr || state->due == TimePoint::max())
      return;
    if (std::chrono::steady_clock::now() < state->due) {
      Arm(state);
      return;
    }
    boost::system::error_code ignored;  // a closed socket has no operations
    state->socket->cancel(ignored);
  });
}

// An earlier moment than the timer's is not seen before the timer fires: spans
// of one guard are alike.
void IdleGuard::Begin(Millis span) {
  state_->due = std::chrono::steady_clock::now() +
                std::chrono::milliseconds(span.count());
  if (!state_->armed)
    Arm(state_);
}

void IdleGuard::End() {
  state_->due = TimePoint::max();
}

}  // namespace sparbend
