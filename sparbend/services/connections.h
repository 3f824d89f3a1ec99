// Kept connections to targets. One is kept only after a whole exchange, so
// that a late answer never meets the next caller.
#ifndef SPARBEND_SERVICES_CONNECTIONS_H_
#define SPARBEND_SERVICES_CONNECTIONS_H_

#include <map>
#include <memory>
#include <vector>

#include "sparbend/core/ids.h"
#include "sparbend/kernel/http.h"

namespace sparbend {

struct Connection {
  explicit Connection(const asio::any_io_executor& executor)
      : stream(executor) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  Millis made_at;
  Millis sent_at;     // the request under way
  Millis expiry_set;  // when the stream's expiry was last renewed
  Millis kept_since;
  Millis keep_time;  // how long the target said it keeps it; zero: not said
  bool reused = false;
  bool suspect = false;  // something on it belonged to no request
};

class Connections {
 public:
  // None is kept that has rested for longer than `longest_rest`.
  explicit Connections(Millis longest_rest) : longest_rest_(longest_rest) {}

  // A kept connection that is not known to be closed and has rested for
  // `longest_rest` at most, or null.
  auto Take(TargetId target, Millis longest_rest, Millis now)
      -> std::shared_ptr<Connection>;
  // Keeps `connection` for the next request, within a bound. The caller
  // vouches that nothing of the last exchange is left on it.
  void Keep(TargetId target,
            std::shared_ptr<Connection> connection,
            Millis now);
  // Kept over all targets, those not yet found useless included.
  auto idle() const -> size_t { return idle_count_; }

 private:
  // Closes what is of no use any more.
  void Sweep(Millis now);

  Millis longest_rest_;
  Millis swept_;
  size_t idle_count_ = 0;  // over all targets
  std::map<TargetId, std::vector<std::shared_ptr<Connection>>> idle_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CONNECTIONS_H_
