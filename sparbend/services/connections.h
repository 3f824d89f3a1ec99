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
};

class Connections {
 public:
  // A kept connection that is not known to be closed, or null.
  auto Take(TargetId target) -> std::unique_ptr<Connection>;
  // Keeps `connection` for the next request, within a bound. The caller
  // vouches that nothing of the last exchange is left on it.
  void Keep(TargetId target, std::unique_ptr<Connection> connection);
  // Closes what is kept for targets that left.
  void Drop(TargetId target) { idle_.erase(target); }

 private:
  std::map<TargetId, std::vector<std::unique_ptr<Connection>>> idle_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_CONNECTIONS_H_
