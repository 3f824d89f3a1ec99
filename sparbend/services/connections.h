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
  Millis expiry_set;  // when the stream's expiry was last renewed
  Millis kept_since;
  Millis keep_time;  // how long the target said it keeps it; zero: not said
  bool reused = false;
  bool suspect = false;  // something on it belonged to no request
};

class Connections {
 public:
  // A kept connection that is not known to be closed and has rested for
  // `longest_rest` at most, or null.
  auto Take(TargetId target, Millis longest_rest, Millis now)
      -> std::shared_ptr<Connection>;
  // Keeps `connection` for the next request, within a bound. The caller
  // vouches that nothing of the last exchange is left on it.
  void Keep(TargetId target,
            std::shared_ptr<Connection> connection,
            Millis now);
  // Closes what is kept for a target that left.
  void Drop(TargetId target) { idle_.erase(target); }

 private:
  std::map<TargetId, std::vector<std::shared_ptr<Connection>>> idle_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CONNECTIONS_H_
