// The client's side of one request: writes the answer, watches whether the
// client disconnects, and makes sure that an interrupted answer never looks
// complete to the client.
//
//   ClientStream client(&tcp_stream, {version, keep_alive}, send_time);
//   client.Watch([] { ... });                    // the client disconnected
//   co_await client.Begin(header, std::nullopt);  // or Answer(response)
//   co_await client.Send(bytes, /*more=*/true);
//   co_await client.Send({}, /*more=*/false);
#ifndef SPARBEND_SERVICES_CLIENT_STREAM_H_
#define SPARBEND_SERVICES_CLIENT_STREAM_H_

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "sparbend/core/answer_end.h"
#include "sparbend/core/verdict.h"
#include "sparbend/kernel/http.h"
#include "sparbend/services/idle_guard.h"
#include "sparbend/services/send_backlog.h"

namespace sparbend {

// Header fields of an answer: whether a target may have executed the request,
// and the id under which the box logged it.
inline constexpr std::string_view kVerdictField = "Sparbend-Verdict";
inline constexpr std::string_view kRequestField = "Sparbend-Request";

// What the client's request states about its connection.
struct ClientHttp {
  unsigned version = 11;  // 10 * major + minor
  bool keep_alive = false;
  bool head = false;  // the method is HEAD: the answer has no body

  auto operator==(const ClientHttp&) const -> bool = default;
};

class ClientStream {
 public:
  using Header = http::response_header<>;

  // `stream` must outlive this. A write that takes longer than `send_time` is
  // cancelled and counts as a client that is gone. With `budget`, Send keeps
  // what the client has not taken yet, so that the caller can read on.
  ClientStream(beast::tcp_stream* stream,
               ClientHttp http,
               Millis send_time,
               std::shared_ptr<SendBudget> budget = nullptr);
  ~ClientStream();

  // Sends a complete answer of the box itself. False if the client is gone.
  auto Answer(StringResponse response) -> asio::awaitable<bool>;
  // Sends the header of the target's answer, with the length of the body if it
  // is known, otherwise with chunked encoding, or delimited by the end of the
  // connection for a client of HTTP/1.0. With `body_follows`, the header
  // leaves in one write with the next Send, which must follow without waiting
  // for the target. False if the client is gone.
  auto Begin(const Header& header,
             std::optional<uint64_t> length,
             bool body_follows = false) -> asio::awaitable<bool>;
  // Sends `piece` of the body after Begin. The last call has `more` false, and
  // may have an empty piece. False if the client is gone.
  auto Send(std::string_view piece, bool more) -> asio::awaitable<bool>;
  // Waits until the client has taken what Send keeps. False if it is gone.
  auto Flush() -> asio::awaitable<bool>;

  // Calls `on_gone` once if the client closes its side before EndWatch. Only
  // one watch may be active.
  void Watch(std::function<void()> on_gone);
  void EndWatch();

  // Whether the header waits for the next Send.
  auto holds_header() const -> bool { return !held_header_.empty(); }
  // Whether the first write of an answer has started.
  auto began() const -> bool { return began_; }
  auto gone() const -> bool { return gone_; }
  // What delimits the body of the target's answer that Begin sent.
  auto framing() const -> Framing { return framing_; }
  // Whether an answer was sent to its end.
  auto complete() const -> bool { return complete_; }
  auto backlog() const -> const SendBacklog& { return backlog_; }
  // `may_keep_alive` is asked when an answer begins. If it returns false, the
  // answer ends its connection and says so.
  void SetMayKeepAlive(std::function<bool()> may_keep_alive) {
    may_keep_alive_ = std::move(may_keep_alive);
  }
  // Whether another request may follow on this connection.
  auto reusable() const -> bool {
    return complete_ && http_.keep_alive && !gone_;
  }

 private:
  struct WatchState;

  // To be called when an answer begins.
  void DecideKeepAlive();
  // Writes what the socket accepts at once, and passes the rest to WriteSlowly.
  // `more` of the answer follows. False if the client is gone.
  auto Write(std::span<const asio::const_buffer> buffers, bool more)
      -> asio::awaitable<bool>;
  // Whether a close of the connection, by the process's exit too, resets it.
  void SetResetOnClose(bool reset);
  // Keeps the bytes if `more` follows and the budget allows, otherwise waits
  // until they are written.
  auto WriteSlowly(std::string bytes, bool more)
      -> asio::awaitable<boost::system::error_code>;

  beast::tcp_stream* stream_;
  ClientHttp http_;
  Millis send_time_;
  std::function<bool()> may_keep_alive_;  // null: yes
  std::string held_header_;               // leaves with the next Send
  Framing framing_ = Framing::kNone;
  IdleGuard send_guard_;  // limits the writes that have to wait
  SendBacklog backlog_;
  std::shared_ptr<WatchState> watch_;
  bool began_ = false;
  bool complete_ = false;
  bool gone_ = false;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CLIENT_STREAM_H_
