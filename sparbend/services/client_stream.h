// The caller's side of one request: writes the answer, watches for the caller
// leaving, and makes sure that a broken answer never looks whole.
#ifndef SPARBEND_SERVICES_CLIENT_STREAM_H_
#define SPARBEND_SERVICES_CLIENT_STREAM_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sparbend/core/verdict.h"
#include "sparbend/kernel/http.h"
#include "sparbend/services/idle_guard.h"

namespace sparbend {

// Header fields the answer carries for the caller to quote and to act on.
inline constexpr std::string_view kVerdictField = "Sparbend-Verdict";
inline constexpr std::string_view kRequestField = "Sparbend-Request";

class ClientStream {
 public:
  using Header = http::response_header<>;

  // `stream` must outlive this; `send_time` bounds one write.
  ClientStream(beast::tcp_stream* stream, bool keep_alive, Millis send_time);
  ~ClientStream();

  // Sends a whole answer of our own. False if the caller is gone.
  auto Answer(StringResponse response) -> asio::awaitable<bool>;
  // Begins the target's answer: its length if known, else chunked.
  auto Begin(const Header& header, std::optional<uint64_t> length)
      -> asio::awaitable<bool>;
  // Sends a piece of the body; an empty one with `more` off ends it.
  auto Send(std::string_view piece, bool more) -> asio::awaitable<bool>;

  // Calls `on_gone` once if the caller closes its side. At most one watch.
  void Watch(std::function<void()> on_gone);
  void EndWatch();

  // Whether some byte of an answer was handed over.
  auto began() const -> bool { return began_; }
  auto gone() const -> bool { return gone_; }
  // Whether another request may follow on this connection.
  auto reusable() const -> bool { return whole_ && keep_alive_ && !gone_; }

 private:
  using Body = http::response<http::buffer_body>;
  struct WatchState;

  void RenewExpiry();

  beast::tcp_stream* stream_;
  bool keep_alive_;
  Millis send_time_;
  std::chrono::steady_clock::time_point expiry_set_;
  Body answer_;
  std::optional<http::response_serializer<http::buffer_body>> serializer_;
  IdleGuard guard_;  // of Send
  std::shared_ptr<WatchState> watch_;
  bool began_ = false;
  bool whole_ = false;
  bool gone_ = false;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CLIENT_STREAM_H_
