// The origins that a stream of a route may have: the pools that the route leads
// to and the versions of their targets, at present and in the recent past. Only
// where there are several does the origin of a stream have to be known.
//
//   possible.Update(OriginsByRoute(routes, targets), now);
//   if (possible.Of(route, now).size() > 1) ...
#ifndef SPARBEND_CORE_POSSIBLE_ORIGINS_H_
#define SPARBEND_CORE_POSSIBLE_ORIGINS_H_

#include <map>
#include <optional>
#include <vector>

#include "sparbend/core/members.h"
#include "sparbend/core/millis.h"
#include "sparbend/core/route_table.h"
#include "sparbend/core/stream_origin.h"

namespace sparbend {

// How long the client of an interrupted stream may come back. Clients of the
// longest streams wait for about a minute in all.
inline constexpr Millis kOriginRetention = Millis(120'000);

using OriginsByRoute = std::map<RouteId, StreamOrigins>;
// When new streams could last have each origin.
using PastOrigins = std::map<StreamOrigin, Millis>;

// The origins that new streams of each route with resumable streams may have.
// A leaving target counts, since its streams may still be interrupted.
auto ListOrigins(const RouteTable& routes,
                 const std::vector<TargetEntry>& targets) -> OriginsByRoute;

class PossibleOrigins {
 public:
  // Replaces the origins that new streams may have. Returns the routes that
  // from now on have several possible origins.
  auto Update(const OriginsByRoute& present, Millis now)
      -> std::vector<RouteId>;
  // Adds origins of the recent past that this box has not seen itself. Returns
  // the routes that from now on have several possible origins.
  auto AddPast(const RouteTable& routes, const PastOrigins& past, Millis now)
      -> std::vector<RouteId>;
  // Those of `route` at present, and those until a short time ago.
  auto Of(RouteId route, Millis now) const -> StreamOrigins;
  // Those of all routes. A present one counts until `now`.
  auto OfAllRoutes(Millis now) const -> PastOrigins;

 private:
  // When new streams could last have an origin; nothing: they still can.
  using LastPossible = std::map<StreamOrigin, std::optional<Millis>>;

  std::map<RouteId, LastPossible> routes_;
};

}  // namespace sparbend

#endif  // SPARBEND_CORE_POSSIBLE_ORIGINS_H_
