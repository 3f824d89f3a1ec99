// While bytes are written, new ones are appended to a second string, and the
// two are swapped when the first has been written. Any progress of a write
// renews its time limit, so a client that reads slowly is not cut off.
#include "sparbend/services/send_backlog.h"

#include <algorithm>

#include "sparbend/services/idle_guard.h"

namespace sparbend {

// Outlives the SendBacklog while the handler of a write is pending.
struct SendBacklog::State {
  State(tcp::socket* socket,
        std::shared_ptr<SendBudget> budget,
        Millis send_time)
      : socket(socket),
        budget(std::move(budget)),
        send_time(send_time),
        guard(socket),
        drained(socket->get_executor()) {}
  tcp::socket* socket;  // null once the backlog is gone
  std::shared_ptr<SendBudget> budget;
  Millis send_time;
  IdleGuard guard;
  asio::steady_timer drained;  // cancelled when nothing is pending any more
  std::string writing;
  size_t written = 0;  // of `writing`
  std::string waiting;
  size_t held = 0;  // reserved of the budget
  size_t max_held = 0;
  int refused = 0;
  bool pending = false;
  bool failed = false;

  void End(bool has_failed) {
    pending = false;
    failed = has_failed;
    budget->Release(held);
    held = 0;
    writing.clear();
    waiting.clear();
    drained.cancel();
  }
};

SendBacklog::SendBacklog(tcp::socket* socket,
                         std::shared_ptr<SendBudget> budget,
                         Millis send_time)
    : socket_(socket), budget_(std::move(budget)), send_time_(send_time) {}

// A pending write keeps its buffer until its handler runs; the caller closes
// the socket.
SendBacklog::~SendBacklog() {
  if (!state_)
    return;
  state_->socket = nullptr;
  state_->guard.End();
  state_->budget->Release(state_->held);
  state_->held = 0;
}

auto SendBacklog::Take(size_t max_size,
                       const std::function<void(std::string*)>& append)
    -> bool {
  if (!budget_ || failed())
    return false;
  if (!state_)
    state_ = std::make_shared<State>(socket_, budget_, send_time_);
  State& state = *state_;
  if (!budget_->Reserve(state.held, max_size)) {
    ++state.refused;
    return false;
  }
  const size_t before = state.waiting.size();
  append(&state.waiting);
  const size_t taken = std::min(state.waiting.size() - before, max_size);
  budget_->Release(max_size - taken);
  state.held += taken;
  state.max_held = std::max(state.max_held, state.held);
  if (!state.pending) {
    state.pending = true;
    Write(state_);
  }
  return true;
}

void SendBacklog::Write(const std::shared_ptr<State>& state) {
  if (state->written == state->writing.size()) {
    state->writing.clear();
    state->written = 0;
    std::swap(state->writing, state->waiting);
  }
  if (state->writing.empty()) {
    state->End(/*has_failed=*/false);
    return;
  }
  state->guard.Begin(state->send_time);
  state->socket->async_write_some(
      asio::buffer(state->writing) + state->written,
      [state](boost::system::error_code error, size_t size) {
        if (state->socket == nullptr)
          return;
        state->guard.End();
        if (error) {
          state->End(/*has_failed=*/true);
          return;
        }
        state->written += size;
        const size_t released = std::min(size, state->held);
        state->held -= released;
        state->budget->Release(released);
        Write(state);
      });
}

auto SendBacklog::Drain() -> asio::awaitable<bool> {
  const std::shared_ptr<State> state = state_;
  while (state && state->pending) {
    state->drained.expires_at(asio::steady_timer::time_point::max());
    co_await state->drained.async_wait(kAwait);
  }
  co_return !state || !state->failed;
}

auto SendBacklog::pending() const -> bool {
  return state_ && state_->pending;
}

auto SendBacklog::failed() const -> bool {
  return state_ && state_->failed;
}

auto SendBacklog::max_held() const -> size_t {
  return state_ ? state_->max_held : 0;
}

auto SendBacklog::refused() const -> int {
  return state_ ? state_->refused : 0;
}

}  // namespace sparbend
