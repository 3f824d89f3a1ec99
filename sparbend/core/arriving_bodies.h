// The large bodies that are still arriving, and which of them ends so that one
// of another workspace can be received. Clients that send slowly would
// otherwise hold the budget for bodies for as long as a request may take to
// arrive.
//
//   ArrivingBodies arriving;
//   arriving.Set(connection, workspace, bytes, now);
//   while (!budget.Grow(...)) {
//     const auto victim = arriving.NextToEnd(workspace, bytes, now);
//     ...  // none: refuse the request
//   }
//   arriving.Remove(connection);  // it has arrived, or ended
#ifndef SPARBEND_CORE_ARRIVING_BODIES_H_
#define SPARBEND_CORE_ARRIVING_BODIES_H_

#include <cstddef>
#include <map>
#include <optional>

#include "sparbend/core/client_connections.h"
#include "sparbend/core/ids.h"
#include "sparbend/core/millis.h"

namespace sparbend {

class ArrivingBodies {
 public:
  // `bytes` are reserved for the body that arrives on `connection`. It began to
  // arrive when the connection was first set.
  void Set(ConnectionId connection,
           WorkspaceId workspace,
           size_t bytes,
           Millis now);
  void Remove(ConnectionId connection);

  // The connection whose body ends first so that `workspace` can have `bytes`
  // more: of the workspace with the most bytes, the one that has been arriving
  // for longest, if that is slow. None if `workspace` would have more than that
  // one then.
  auto NextToEnd(WorkspaceId workspace, size_t bytes, Millis now) const
      -> std::optional<ConnectionId>;

  auto size() const -> size_t { return bodies_.size(); }

 private:
  struct Body {
    WorkspaceId workspace = 0;
    size_t bytes = 0;
    Millis since;
  };

  std::map<ConnectionId, Body> bodies_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_ARRIVING_BODIES_H_
