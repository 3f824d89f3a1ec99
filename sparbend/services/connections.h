// Idle connections to targets, kept for reuse. A connection is kept only before
// its first request, or after a complete request and answer, so that a late
// answer never reaches the next client.
//
//   std::shared_ptr<Connection> connection =
//       connections.Take(target, max_idle_time, now);   // null: connect
//   ...
//   connections.Keep(target, std::move(connection), now);
#ifndef SPARBEND_SERVICES_CONNECTIONS_H_
#define SPARBEND_SERVICES_CONNECTIONS_H_

#include <cstddef>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/core/queue.h"
#include "sparbend/kernel/http.h"

namespace sparbend {

// How far the request on a connection is written.
struct RequestProgress {
  bool done = false;
  bool failed = false;
  size_t sent = 0;  // bytes passed to the kernel; set when done
};

struct Connection {
  // `*open` is the number of connections that exist; null: not counted.
  explicit Connection(const asio::any_io_executor& executor,
                      std::shared_ptr<size_t> open = nullptr)
      : stream(executor), open_count(std::move(open)) {
    if (open_count)
      ++*open_count;
  }
  ~Connection() {
    if (open_count)
      --*open_count;
  }
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  // Received bytes that the parser can't consume yet: a head, or the header of
  // a chunk.
  static constexpr size_t kMaxBufferedBytes = 64 * 1024;

  // Closes it without a reset, after a complete exchange.
  void CloseInOrder() {
    SetResetOnClose(&stream.socket(), false);
    stream.close();
  }

  // Turns the kernel's probes of a silent connection on or off.
  void SetKeepAlive(bool on) {
    boost::system::error_code ignored;
    if (std::exchange(keep_alive, on) != on)
      stream.socket().set_option(asio::socket_base::keep_alive(on), ignored);
  }

  beast::tcp_stream stream;
  std::shared_ptr<size_t> open_count;
  beast::flat_buffer buffer{kMaxBufferedBytes};
  RequestProgress written;  // of the current request
  RequestId request = 0;    // the current one, or the last if it is idle
  Millis connected_at;
  Millis sent_at;            // when the current request was sent
  Millis expiry_renewed_at;  // when the stream's expiry was last renewed
  Millis idle_since;         // when it was last kept for reuse
  // How long the target keeps it open while idle, from the Keep-Alive field;
  // zero: not stated.
  Millis keep_alive_timeout;
  // Bytes of the current request that the target had not acknowledged when the
  // connection was reset for that.
  int unacknowledged = 0;
  bool keep_alive = false;  // the kernel probes it
  bool in_use = true;       // not idle
  bool reused = false;
  // It can't be reused: the target closes it, or bytes of other requests may be
  // on it.
  bool must_close = false;
};

class Connections {
 public:
  // A connection that has been idle for longer than `max_idle_time` is closed.
  explicit Connections(Millis max_idle_time) : max_idle_time_(max_idle_time) {}

  // Returns a connection that is not open yet; open() counts it.
  auto New(const asio::any_io_executor& executor) const
      -> std::shared_ptr<Connection> {
    return std::make_shared<Connection>(executor, open_);
  }
  // Makes a connection that New returned, and that is open now, known as one to
  // `target`.
  void Register(TargetId target, const std::shared_ptr<Connection>& connection);
  // Whether a connection to `target` that was made at `at` or before is open
  // and has nothing to read: the process that accepted it then still runs,
  // unless its machine has failed within the last seconds. May return false
  // though there is one.
  auto HasOpenSince(TargetId target, Millis at, Millis now) -> bool;
  // Removes and returns a connection that is not known to be closed, has been
  // idle for at most `max_idle_time` and was not used for `request`; null if
  // there is none. A surplus answer to an earlier attempt of the request could
  // not be told from that to the next one.
  auto Take(TargetId target,
            RequestId request,
            Millis max_idle_time,
            Millis now) -> std::shared_ptr<Connection>;
  // Keeps `connection` for the next request, unless as many are idle as allowed
  // or it can't be reused. The caller guarantees that nothing of the last
  // request or answer is still to come on it.
  void Keep(TargetId target,
            std::shared_ptr<Connection> connection,
            Millis now);
  // Closes all connections that are kept.
  void CloseIdle();
  // Connections kept over all targets. Includes those that have been closed or
  // idle for too long and were not removed yet.
  auto idle() const -> size_t { return idle_count_; }
  // Connections made by New that exist: idle, in use or being opened.
  auto open() const -> size_t { return *open_; }

 private:
  // Closes connections that have been idle for too long.
  void Sweep(Millis now);

  Millis max_idle_time_;
  Millis last_sweep_;
  // Shared, since a connection may outlive this.
  std::shared_ptr<size_t> open_ = std::make_shared<size_t>(0);
  size_t idle_count_ = 0;  // over all targets
  std::map<TargetId, std::vector<std::shared_ptr<Connection>>> idle_;
  // Idle and in use; some may have been closed.
  std::map<TargetId, std::vector<std::weak_ptr<Connection>>> registered_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CONNECTIONS_H_
